#ifndef KINGCUPHUB_PLACEMENT_CONTROLLER_H
#define KINGCUPHUB_PLACEMENT_CONTROLLER_H

/// \file
/// Runs the placement of one instance: takes records, reports, answers and
/// demand, and returns the records to append and the orders to send. Every
/// instance keeps the ledger; only the lease holder plans and sends orders.

#include "placement/dispatcher.h"
#include "placement/forecast.h"
#include "placement/lease.h"
#include "placement/ledger.h"
#include "placement/loadbudget.h"
#include "placement/orderlog.h"
#include "placement/planner.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace kingcuphub::placement {

struct ControllerSettings {
  LeaseSettings Lease;
  LedgerSettings Ledger;
  DispatcherSettings Dispatch;
  PlannerSettings Planner;
  ForecastSettings Forecast;
  LoadLimits Loads;
  base::Duration PlanInterval = std::chrono::seconds(1);
  /// A target whose last report is older does not count as live.
  base::Duration MaxReportAge = std::chrono::seconds(3);
  /// Demand must have been observed for this long before a replica counts as
  /// surplus.
  base::Duration WarmUp = std::chrono::minutes(3);
};

using ControllerCommand =
    std::variant<AppendLease, AppendIntent, AppendOutcome, SendOrder>;

/// The placement's state as shown to operators.
struct PlacementStatus {
  std::optional<LeaseState> Lease;
  bool HeldHere = false;
  std::size_t OpenOrders = 0;
  /// Model loads done since this instance began to read the log.
  std::uint64_t LoadsDone = 0;
  /// Models and adapters that no live target holds.
  std::vector<UnreachableItem> Unreachable;
  std::vector<base::ModelId> OneZoneOnly;
};

class Controller {
public:
  Controller(base::InstanceId Self, base::Incarnation Incarnation,
             ControllerSettings Settings, std::mt19937_64 Random);
  Controller(const Controller &) = delete;
  Controller &operator=(const Controller &) = delete;

  void onConfig(state::ConfigPtr Config);
  /// Reduces the record of the `system` stream at \p At.
  OrderLogEvent onRecord(base::Offset At, const wire::Record &Record,
                         base::TimePoint Now);
  wire::PlacementState save() const { return this->Log.save(); }
  /// Loads the state of a snapshot or a peer.
  base::Result<void> load(const wire::PlacementState &Saved,
                          base::TimePoint Now);
  void onReport(const MemoryReport &Report);
  void onDemand(const base::ModelId &Model, double Tokens);
  /// Handles an engine's answer; none if the order's outcome is unknown.
  void onAnswer(const OrderId &Id, std::optional<OrderAnswer> Answer,
                base::TimePoint Now);
  /// Commands to carry out now. \p AtTail tells whether all of the `system`
  /// stream has been reduced.
  std::vector<ControllerCommand> tick(base::TimePoint Now, bool AtTail);
  /// Releases the lease, as part of a graceful shutdown.
  std::optional<AppendLease> release(base::TimePoint Now) {
    return this->Lease.release(Now);
  }

  /// The fencing number if the lease is held at \p Now. To be checked right
  /// before each order is sent.
  std::optional<base::Offset> held(base::TimePoint Now) const {
    return this->Lease.held(Now);
  }
  /// Whether an instance may route to a model, or an adapter of it, at a
  /// target: not while each copy there has an unsettled unload.
  bool mayRoute(const base::TargetId &Target, const base::ModelId &Model,
                const base::AdapterId &Adapter) const;
  PlacementStatus status(base::TimePoint Now) const;
  const Ledger &memory() const { return this->Memory; }
  const OrderLog &orderLog() const { return this->Log; }
  const Plan &lastPlan() const { return this->LastPlan; }

private:
  void countLoad(const wire::OrderOutcome &Outcome);
  void plan(base::Offset Fencing, base::TimePoint Now);
  std::set<base::TargetId> liveTargets(base::TimePoint Now) const;
  std::map<base::ModelId, ModelDemand> demand(const PlannerRules &Rules) const;

  ControllerSettings Settings;
  state::ConfigPtr Config;
  OrderLog Log;
  LeaseManager Lease;
  Ledger Memory;
  Dispatcher Orders;
  DemandForecast Forecast;
  LoadBudget Budget;
  std::map<base::TargetId, base::TimePoint> ReportedAt;
  std::optional<base::Offset> HeldFencing;
  base::TimePoint PlannedAt;
  Plan LastPlan;
  std::uint64_t LoadsDone = 0;
};

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_CONTROLLER_H
