#ifndef KINGCUPHUB_RESIDENCY_PLANNER_H
#define KINGCUPHUB_RESIDENCY_PLANNER_H

/// \file
/// Decides which models and adapters engines load and unload next, from what
/// they hold and from demand: first models and adapters that callers wait for,
/// and recently requested models, that no engine has; then models with too few
/// copies for their demand; then other models that no engine holds; then
/// adapters with too few copies. To free memory, models that have more copies
/// than their demand needs lose some, and models without recent requests may
/// lose their last.
///
/// Load pattern: demand moves from a few busy models to others within seconds,
/// and rare models and adapters are requested now and then. Where the engines'
/// speeds are known, also: demand for a model rises from little to hundreds of
/// requests a second within 3 s while all memory is in use. Copies are then
/// added in proportion to demand and its trend, several in a round, by what the
/// engines carry. Keeps no state; no I/O and no clock.

#include "residency/demandtracker.h"
#include "residency/enginetracker.h"

#include <map>
#include <vector>

namespace kingcuphub::residency {

struct PlannerSettings {
  /// Engine time per second and copy above which another copy is loaded into
  /// free memory, or into memory freed by unloading another model.
  double GrowAbove = 0.35;
  double ReplaceAbove = 0.7;
  /// Where speeds are known: engine time per second that one slot of an engine
  /// of usual speed carries, and the shares of that above which a model's
  /// engines get help from free memory, and from memory that other models give
  /// up. Queues grow fast from about four fifths on.
  double WorkPerSlot = 0.06;
  double GrowAboveShare = 0.45;
  double ReplaceAboveShare = 0.65;
  /// A copy is unloaded only if the remaining copies of its model then have at
  /// most this fraction of the work per copy of the model that gains one.
  double VictimWorkFraction = 0.5;
  /// A model with more engine time per second than this gets a second copy
  /// where memory is free, so that the loss of one engine does not remove it.
  double SecondCopyAbove = 0.02;
  /// The copies of an adapter are its share of its model's demand, times the
  /// copies of the model, times this factor.
  double AdapterCopiesFactor = 1.5;
  /// Lower limit for concurrent model loads, even if the weight store sustains
  /// fewer: loads from an engine's own disk do not use it.
  unsigned MinConcurrentLoads = 6;
};

struct PlanInput {
  catalog::ServiceId Service;
  const catalog::Engine &Kind;
  const std::vector<EngineView> &Engines;
  const DemandTracker &Demand;
  base::TimePoint Now;
  /// The number of loads from the weight store that may start now.
  unsigned StoreLoads = 0;
  /// How long work takes at each engine relative to usual; empty if nothing is
  /// known of any, 1 for those that are missing.
  std::map<base::TargetId, double> Slowness = {};
};

struct PlannedOrder {
  base::TargetId Target;
  OrderKind Kind = OrderKind::Load;
  Item What;
  /// Logged with the order.
  std::string_view Reason;
  /// Whether the weights come from the weight store.
  bool FromStore = false;
};

/// The limit for concurrent model loads: as many as the weight store starts in
/// the mean time of a load, but at least MinConcurrentLoads.
unsigned maxConcurrentLoads(const catalog::Engine &Kind,
                            const PlannerSettings &Settings);

/// Engine time per second that an engine of usual speed carries.
double workPerEngine(const catalog::Engine &Kind,
                     const PlannerSettings &Settings);

/// Plans at most one order per engine.
std::vector<PlannedOrder> planOrders(const PlanInput &Input,
                                     const PlannerSettings &Settings);

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_PLANNER_H
