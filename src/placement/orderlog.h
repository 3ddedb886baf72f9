#ifndef KINGCUPHUB_PLACEMENT_ORDERLOG_H
#define KINGCUPHUB_PLACEMENT_ORDERLOG_H

/// \file
/// Deterministic reducer of the placement records in the `system` stream: which
/// instance holds the lease, and which orders have no outcome yet. It ignores
/// other records.

#include "placement/types.h"

#include <deque>
#include <map>
#include <optional>
#include <records.pb.h>
#include <string>
#include <variant>

namespace kingcuphub::placement {

/// The shard that every lease record names; there is only one.
constexpr const char *PlacementShard = "placement";

/// The lease as the log states it.
struct LeaseState {
  base::InstanceId Holder;
  base::Incarnation HolderIncarnation;
  /// Offset of the claim, which is the fencing number.
  base::Offset Fencing;
  /// Offset of the last accepted renewal, or of the claim.
  base::Offset RenewedAt;
  std::chrono::milliseconds Duration{0};
  bool Released = false;
};

/// The lease was claimed, renewed or released.
struct LeaseChanged {
  std::string RecordId;
};
struct OrderBegun {
  Order What;
};
struct OrderEnded {
  OrderId Id;
  OrderAnswer Answer = OrderAnswer::NotDone;
  base::Offset HolderFencing;
};
/// A record of another kind.
struct NotPlacement {};
/// The record has no effect. Every reader rejects the same records.
struct RecordRejected {
  std::string RecordId;
  /// The order to drop; empty if the record is not an intent, or repeats one.
  OrderId Order;
  base::Error Reason;
};

using OrderLogEvent = std::variant<NotPlacement, LeaseChanged, OrderBegun,
                                   OrderEnded, RecordRejected>;

class OrderLog {
public:
  OrderLogEvent reduce(base::Offset At, const wire::Record &Record);

  const std::optional<LeaseState> &lease() const { return this->Lease; }
  const std::map<OrderId, Order> &open() const { return this->Open; }

  wire::PlacementState save() const;
  base::Result<void> load(const wire::PlacementState &Saved);

private:
  OrderLogEvent reduceLease(base::Offset At, const wire::Record &Record);
  OrderLogEvent reduceIntent(const wire::Record &Record);
  OrderLogEvent reduceOutcome(const wire::Record &Record);
  bool isClosed(const OrderId &Id) const;

  std::optional<LeaseState> Lease;
  std::map<OrderId, Order> Open;
  std::deque<OrderId> Closed;
};

/// Converts an order to and from the body of its intent record.
wire::OrderIntent toWire(const Order &What);
base::Result<Order> parse(const wire::OrderIntent &Intent);

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_ORDERLOG_H
