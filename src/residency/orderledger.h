#ifndef KINGCUPHUB_RESIDENCY_ORDERLEDGER_H
#define KINGCUPHUB_RESIDENCY_ORDERLEDGER_H

/// \file
/// Which engines may not have read all orders that were sent to them. An order
/// ends when its sender has the answer or gives it up. It is settled once it
/// can no longer arrive: with the answer, or when MaxOrderDelay has passed. An
/// engine may carry an order out after its connection has broken, its sender
/// has ended, reports that were requested later have been answered, and the
/// engine has started again under its id. A turn is the minimum time between
/// orders of one machine to one engine with orders of another machine in
/// between. No I/O and no clock.

#include "residency/types.h"

#include <map>
#include <optional>
#include <vector>

namespace kingcuphub::residency {

/// A process that sends orders. All processes of a machine bear its name.
struct OrderSender {
  base::InstanceId Instance;
  base::Incarnation Incarnation;
  auto operator<=>(const OrderSender &) const = default;
};

/// A process has sent an engine orders that are not settled.
struct UnsettledOrders {
  OrderSender Sender;
  base::TargetId Engine;
  catalog::Lifetime Lifetime;
  /// When they count as settled at the latest, from when this was written;
  /// below zero if they are, which still bears on the sender's own machine.
  std::chrono::milliseconds Left{0};
  bool operator==(const UnsettledOrders &) const = default;
};

struct OrderLedgerSettings {
  /// Minimum time from an instance's last order to an engine to its next one
  /// there if another instance may have ordered in between.
  std::chrono::milliseconds OrderTurn{3000};
  /// Allows for the drift between the clocks of instances and platform.
  std::chrono::milliseconds Drift{300};
  /// An order that was not answered may arrive up to this much later.
  std::chrono::milliseconds MaxOrderDelay = DefaultMaxOrderDelay;
};

class OrderLedger {
public:
  OrderLedger(OrderSender Self, OrderLedgerSettings Settings)
      : Self(std::move(Self)), Settings(Settings) {}

  /// Handles a claim of the lease under \p Token. If \p Continues, nobody else
  /// can have ordered since this machine's last order.
  void onClaim(FencingToken Token, bool Continues);
  /// Must be called for each order that is sent; once it has been answered or
  /// given up; and, then or later, once it is settled.
  void onSent(const base::TargetId &Engine, catalog::Lifetime Lifetime,
              base::TimePoint Now);
  void onEnded(const base::TargetId &Engine);
  void onSettled(const base::TargetId &Engine, base::TimePoint Now);
  /// Must be called in place of onSettled() if the connection of an order broke
  /// without an answer. prune() settles the order.
  void onCut(const base::TargetId &Engine, base::TimePoint Now);

  /// Takes over what an earlier holder has left, as read at \p ReadAt.
  void inherit(const std::vector<UnsettledOrders> &Left, base::TimePoint ReadAt,
               base::TimePoint Now);
  /// Handles that the process \p Sender has no other unsettled orders than
  /// \p Current.
  void replace(const OrderSender &Sender,
               const std::vector<UnsettledOrders> &Current,
               base::TimePoint Now);

  /// Whether this instance may order at the engine, as far as earlier orders
  /// there are concerned.
  ///
  /// Load pattern: a busy machine, where engines read orders seconds after
  /// their senders have given them up, and the lease changes hands meanwhile.
  bool mayOrder(const base::TargetId &Engine, base::TimePoint Now) const;

  /// What this process has given up, and what it knows of others.
  std::vector<UnsettledOrders> own(base::TimePoint Now) const;
  std::vector<UnsettledOrders> all(base::TimePoint Now) const;

  /// Drops what no longer bears on any decision.
  void prune(base::TimePoint Now);

private:
  /// This process's orders to one engine.
  struct OwnOrders {
    /// The claim under which the latest was sent; none if another holder may
    /// have ordered since.
    FencingToken Token;
    catalog::Lifetime Lifetime;
    unsigned Unsettled = 0;
    unsigned UnderWay = 0;
    /// Unsettled ones whose connection broke, the latest at CutAt.
    unsigned Cut = 0;
    base::TimePoint CutAt;
    base::TimePoint LastSentAt;
    base::TimePoint LastSettledAt;
  };
  struct OtherOrders {
    catalog::Lifetime Lifetime;
    base::TimePoint Until;
  };

  /// When orders that this process has given up count as settled.
  base::TimePoint settledAtLatest(const OwnOrders &Entry) const;
  /// When this machine may order again at an engine where its last order was
  /// settled at \p SettledAt.
  base::TimePoint turnAfter(base::TimePoint SettledAt) const {
    return SettledAt + this->Settings.OrderTurn + this->Settings.Drift;
  }

  OrderSender Self;
  OrderLedgerSettings Settings;
  FencingToken Claim;
  std::map<base::TargetId, OwnOrders> Own;
  std::map<base::TargetId, std::map<OrderSender, OtherOrders>> Others;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_ORDERLEDGER_H
