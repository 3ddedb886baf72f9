#ifndef KINGCUPHUB_RESIDENCY_TYPES_H
#define KINGCUPHUB_RESIDENCY_TYPES_H

/// \file
/// What the holder of the lease goes by when it moves models and adapters
/// between engines: their reports, the orders to them and the demand.

#include "base/clock.h"
#include "base/ids.h"
#include "catalog/target.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>

namespace kingcuphub::residency {

/// The number under which a holder gives orders; engines refuse a lower one
/// than they have seen.
using FencingToken = base::NumberId<struct FencingTag>;

/// A model, or one adapter of it.
struct Item {
  base::ModelId Model;
  base::AdapterId Adapter;
  auto operator<=>(const Item &) const = default;
  bool isAdapter() const { return !this->Adapter.empty(); }
};

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

/// What an engine said to an order.
enum class OrderAnswer {
  Accepted,
  /// What the order asks for holds already.
  Holds,
  /// Another order is being carried out, or the revision differs.
  Conflict,
  /// A holder with a higher fencing token has given orders.
  Fenced,
  /// The order cannot be carried out.
  Invalid,
  /// Another target, or another lifetime, has the address.
  Misdirected,
  /// Nothing is known: it may be carried out now, later or never.
  Unknown,
};

std::string_view orderAnswerName(OrderAnswer Answer);

/// An engine's own word on its state, some hundred milliseconds old.
struct EngineReport {
  catalog::HeldModels Models;
  /// Adapters that are being fetched; they take their places already.
  std::set<Item> Fetching;
  /// Models whose weights are kept in the engine's memory or on its disk.
  std::set<base::ModelId> CachedWeights;
  /// A load or unload of a model is being carried out.
  bool Busy = false;
  /// Orders that it has accepted in this lifetime.
  std::uint64_t Revision = 0;
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
};

/// What one instance has seen of the requests for an item since it last told.
struct ItemUse {
  catalog::ServiceId Service;
  Item What;
  /// Engine time that the requests which arrived need, by estimate.
  std::chrono::duration<double> Work{0};
  unsigned Arrived = 0;
  /// Requests that wait for a target that holds the item.
  unsigned Waiting = 0;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_TYPES_H
