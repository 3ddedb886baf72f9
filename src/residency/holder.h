#ifndef KINGCUPHUB_RESIDENCY_HOLDER_H
#define KINGCUPHUB_RESIDENCY_HOLDER_H

/// \file
/// The lease holder's duties: requests reports from engines, plans, and sends
/// them orders. Every instance has a Holder and keeps it up to date with the
/// catalog and the targets; it acts only while the lease is held. No I/O and no
/// clock.

#include "placement/loadbudget.h"
#include "residency/demandtracker.h"
#include "residency/enginetracker.h"
#include "residency/planner.h"

#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcuphub::residency {

struct HolderSettings {
  DemandTrackerSettings Demand;
  EngineTrackerSettings Engines;
  PlannerSettings Planner;
};

struct AskReport {
  base::TargetId Target;
};
struct SendOrder {
  Order What;
  std::string_view Reason;
};
using HolderCommand = std::variant<AskReport, SendOrder>;

/// To which engines orders may be given.
struct OrderGate {
  bool Open = true;
  EngineTracker::Admission Admits;
};

/// What a service with engines is asked for, and what its engines carry.
struct ServiceLoad {
  /// Requested engine time of all models, in seconds per second, and its rise
  /// over the last seconds.
  double Work = 0;
  double Rise = 0;
  /// Engine time per second that one engine of the service's mean speed
  /// carries.
  double CarriedPerEngine = 0;
  /// Engines that have memory for every model once.
  unsigned EnginesForModels = 0;
};

class Holder {
public:
  explicit Holder(HolderSettings Settings)
      : Settings(Settings), Demand(Settings.Demand), Engines(Settings.Engines) {
  }

  void setCatalog(const catalog::CatalogPtr &New, base::TimePoint Now);
  void setTargets(const catalog::TargetListPtr &New, base::TimePoint Now);
  /// Handles that the lease was gained under \p NewToken, or lost if it is
  /// none.
  void setLease(std::optional<FencingToken> NewToken, base::TimePoint Now);
  bool holds() const { return this->Token.has_value(); }

  void onUse(const base::InstanceId &From, const std::vector<ItemUse> &Use,
             base::TimePoint Now);
  void onReport(const base::TargetId &Id,
                const std::optional<EngineReport> &Report, base::TimePoint Now);
  void onAnswer(const Order &Sent, OrderAnswer Answer, base::TimePoint Now);
  /// Sets how long work takes at engines relative to usual, as far as is known.
  void setSlowness(std::map<base::TargetId, double> New) {
    this->Slowness = std::move(New);
  }
  /// Requests reports that are due and gives the orders that \p Gate admits.
  std::vector<HolderCommand> tick(base::TimePoint Now,
                                  const OrderGate &Gate = {});

  const EngineTracker &engines() const { return this->Engines; }
  /// Nothing if the service has no engines.
  ServiceLoad serviceLoad(const catalog::ServiceId &Id,
                          base::TimePoint Now) const;

private:
  /// Whether a model that was withdrawn has another copy, or nobody asks for
  /// it: the other may have been lost since.
  bool mayUnload(const EngineTracker::DueUnload &What,
                 base::TimePoint Now) const;
  /// Of one service's engines.
  std::map<base::TargetId, double>
  slownessOf(const std::vector<EngineView> &Views,
             const catalog::ServiceId &Service) const;
  void plan(base::TimePoint Now, const OrderGate &Gate,
            std::vector<HolderCommand> &Out);

  HolderSettings Settings;
  catalog::CatalogPtr Catalog;
  std::optional<FencingToken> Token;
  DemandTracker Demand;
  EngineTracker Engines;
  std::map<base::TargetId, double> Slowness;
  /// One load budget per service, as each service has its own weight store.
  std::map<catalog::ServiceId, placement::LoadBudget> Budgets;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_HOLDER_H
