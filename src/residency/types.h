#ifndef KINGCUPHUB_RESIDENCY_TYPES_H
#define KINGCUPHUB_RESIDENCY_TYPES_H

/// \file
/// The engine reports, orders and demand by which the lease holder places
/// models and adapters on engines.

#include "base/clock.h"
#include "base/ids.h"
#include "catalog/target.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>

namespace kingcuphub::residency {

/// Sent with every order of a holder; engines reject a lower token than the
/// highest that they have seen.
using FencingToken = base::NumberId<struct FencingTag>;

/// A model, or one adapter of it.
struct Item {
  base::ModelId Model;
  base::AdapterId Adapter;
  auto operator<=>(const Item &) const = default;
  bool isAdapter() const { return !this->Adapter.empty(); }
};

/// An order that was not answered may arrive, or be executed, up to this much
/// later.
constexpr std::chrono::seconds DefaultMaxOrderDelay{13};

enum class OrderKind { Load, Unload };

struct Order {
  base::TargetId Target;
  catalog::Lifetime Lifetime;
  OrderKind Kind = OrderKind::Load;
  Item What;
  /// The number of orders that the engine has accepted before this one.
  std::uint64_t ExpectedRevision = 0;
  FencingToken Token;
};

std::string_view orderKindName(OrderKind Kind);

/// An engine's answer to an order.
enum class OrderAnswer {
  Accepted,
  /// The requested state already holds.
  Holds,
  /// Another order is executing, or the expected revision differs.
  Conflict,
  /// A holder with a higher fencing token has given orders.
  Fenced,
  /// The order cannot be executed.
  Invalid,
  /// The address now belongs to another target, or to another lifetime of it.
  Misdirected,
  /// The outcome is unknown: the order may be executed now, later or never.
  Unknown,
};

std::string_view orderAnswerName(OrderAnswer Answer);

/// How the call with an order ended; tells orders with an unknown outcome
/// apart.
enum class OrderEnd {
  /// The engine answered.
  Answered,
  /// No connection could be made, or sending was no longer allowed: the engine
  /// never gets the order.
  NotSent,
  /// The connection ended without an answer, or with one that engines do not
  /// give to orders.
  Cut,
  /// No answer came in time; the engine may still read the order.
  GivenUp,
  /// The lease ended before the answer came; the engine may still read the
  /// order.
  Abandoned,
};

std::string_view orderEndName(OrderEnd End);

/// An engine's state as reported by itself; some hundred milliseconds old.
struct EngineReport {
  catalog::HeldModels Models;
  /// Adapters that are being fetched; they already occupy their slots.
  std::set<Item> Fetching;
  /// Models whose weights are kept in the engine's memory or on its disk.
  std::set<base::ModelId> CachedWeights;
  /// A load or unload of a model is in progress.
  bool Busy = false;
  /// The number of orders that the engine has accepted in this lifetime.
  std::uint64_t Revision = 0;
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
};

/// The requests for an item that an instance has seen since its last report.
struct ItemUse {
  catalog::ServiceId Service;
  Item What;
  /// Estimated engine time that the arrived requests need.
  std::chrono::duration<double> Work{0};
  unsigned Arrived = 0;
  /// Requests waiting for a target that holds the item.
  unsigned Waiting = 0;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_TYPES_H
