#ifndef KINGCUPHUB_PLACEMENT_DISPATCHER_H
#define KINGCUPHUB_PLACEMENT_DISPATCHER_H

/// \file
/// Takes orders through their lifecycle at the lease holder. The intent is
/// appended to the log and read back before the order is sent. An order without
/// an answer is sent again under the same id until the engine answers or a
/// report settles it; then the outcome is appended. Open orders of a former
/// holder are taken over.

#include "placement/ledger.h"
#include "placement/orderlog.h"
#include "placement/planner.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kingcuphub::placement {

struct DispatcherSettings {
  std::chrono::milliseconds LoadDeadline{60000};
  std::chrono::milliseconds ShortDeadline{10000};
  /// Time between reading the intent of a model's unload, at which instances
  /// stop routing to the replica, and sending the order.
  std::chrono::milliseconds DrainTime{2000};
  /// An append that has not been read back after this time is repeated.
  std::chrono::milliseconds AppendRetryInterval{1000};
  std::chrono::milliseconds InitialResendDelay{500};
  std::chrono::milliseconds MaxResendDelay{15000};
};

struct AppendIntent {
  Order What;
};
/// The outcome, appended under the current holder's fencing number.
struct AppendOutcome {
  OrderId Id;
  OrderAnswer Answer = OrderAnswer::NotDone;
  base::Offset HolderFencing;
};
/// The order, sent under the current holder's fencing number. The lease must be
/// checked again right before.
struct SendOrder {
  Order What;
  base::Offset HolderFencing;
};
using DispatchCommand = std::variant<AppendIntent, AppendOutcome, SendOrder>;

class Dispatcher {
public:
  Dispatcher(DispatcherSettings Settings, Ledger &Memory, const OrderLog &Log);

  /// Takes over the open orders if \p Fencing is a new claim.
  void takeOver(base::Offset Fencing, base::TimePoint Now);
  /// Creates an order for the move if the ledger admits it. Its intent is
  /// appended at the next tick().
  base::Result<OrderId> submit(const Move &Wanted, base::Offset Fencing,
                               base::TimePoint Now);
  /// Handles the reducer's result for a record. Also called on instances that
  /// do not hold the lease.
  void onEvent(const OrderLogEvent &Event, base::TimePoint Now);
  /// Adds the open orders of a loaded snapshot or peer state to the ledger.
  void onLoaded(base::TimePoint Now);
  /// Handles an engine's answer, or that none was received.
  void onAnswer(const OrderId &Id, std::optional<OrderAnswer> Answer,
                base::TimePoint Now);
  /// Commands to carry out now; none while the lease is not held.
  std::vector<DispatchCommand> tick(std::optional<base::Offset> Held,
                                    base::TimePoint Now);

  /// Number of unsettled orders of the kind.
  unsigned inFlight(OrderKind Kind) const;

private:
  enum class Stage { Proposed, Ready, Sent, Unknown, Answered };
  struct TrackedOrder {
    Order What;
    Stage CurrentStage = Stage::Proposed;
    /// When the next step of the stage is due.
    base::TimePoint DueAt;
    std::chrono::milliseconds ResendAfter{0};
    OrderAnswer Answer = OrderAnswer::NotDone;
  };

  void step(TrackedOrder &Tracked, base::Offset Fencing, base::TimePoint Now,
            std::vector<DispatchCommand> &Out);
  void resend(TrackedOrder &Tracked, base::Offset Fencing, base::TimePoint Now,
              std::vector<DispatchCommand> &Out);
  void setAnswered(TrackedOrder &Tracked, OrderAnswer Answer,
                   base::TimePoint Now);
  bool isResident(const Order &What) const;

  DispatcherSettings Settings;
  Ledger &Memory;
  const OrderLog &Log;
  std::map<OrderId, TrackedOrder> TrackedOrders;
  std::optional<base::Offset> Fencing;
  std::uint64_t NextOrder = 0;
};

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_DISPATCHER_H
