#ifndef KINGCUPHUB_PLACEMENT_TYPES_H
#define KINGCUPHUB_PLACEMENT_TYPES_H

/// \file
/// The types that placement works with: accelerators, the items resident on
/// them, orders to engines and the memory part of engines' load reports.

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/units.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuphub::placement {

enum class PlacementErrc {
  UnknownAccelerator = 1,
  NoReport,
  WrongIncarnation,
  NoMemory,
  NotResident,
  DuplicateOrder,
  OldFencing,
  NotHolder,
  Blocked,
  BadState,
};
std::error_code make_error_code(PlacementErrc Kind);

using OrderId = base::TextId<struct OrderTag>;

/// One accelerator of a target, by its index in the target's settings.
struct AcceleratorId {
  base::TargetId Target;
  std::uint32_t Index = 0;

  auto operator<=>(const AcceleratorId &) const = default;
};

/// Something that takes memory on an accelerator: a version of a model with its
/// KV reserve, an adapter (no version), or a role (no model; the version is the
/// role's name).
struct Item {
  base::ModelId Model;
  std::string Version;
  base::AdapterId Adapter;

  auto operator<=>(const Item &) const = default;
  bool isModel() const { return !this->Model.empty() && this->Adapter.empty(); }
  bool isRole() const { return this->Model.empty(); }
};

enum class OrderKind {
  LoadModel,
  UnloadModel,
  LoadAdapter,
  UnloadAdapter,
  ChangeRole,
};

std::string_view orderKindName(OrderKind Kind);

/// True for orders that take memory when carried out.
constexpr bool takesMemory(OrderKind Kind) {
  return Kind == OrderKind::LoadModel || Kind == OrderKind::LoadAdapter ||
         Kind == OrderKind::ChangeRole;
}

/// An order to an engine, with the content of its intent record in the log.
struct Order {
  OrderId Id;
  AcceleratorId Where;
  base::Incarnation TargetIncarnation;
  OrderKind Kind = OrderKind::LoadModel;
  Item OrderedItem;
  base::Bytes Size;
  /// Fencing number: the offset of the lease claim under which the order was
  /// created.
  base::Offset Fencing;
  /// Time that each copy of the order has from its sending: the engine carries
  /// out no copy later, and the ledger counts the order until then.
  std::chrono::milliseconds Deadline{0};
};

/// An engine's definite answer to an order. A timeout or a lost connection is
/// no answer: the order may have been carried out.
enum class OrderAnswer { Done, NotDone };

struct ReportedItem {
  Item What;
  std::uint32_t Accelerator = 0;
  base::Bytes Size;
};

/// The memory part of an engine's load report.
struct MemoryReport {
  base::TargetId Target;
  base::Incarnation Incarnation;
  std::uint64_t Sequence = 0;
  /// When the report was requested; its content may be older by up to
  /// LedgerSettings::ReportLag.
  base::TimePoint RequestedAt;
  std::vector<ReportedItem> Items;
  /// Used bytes of each accelerator; empty if the engine does not report them.
  std::vector<base::Bytes> Used;
};

} // namespace kingcuphub::placement

template <>
struct std::is_error_code_enum<kingcuphub::placement::PlacementErrc>
    : std::true_type {};

#endif // KINGCUPHUB_PLACEMENT_TYPES_H
