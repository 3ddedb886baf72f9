#ifndef KINGCUPHUB_RESIDENCY_PLANNER_H
#define KINGCUPHUB_RESIDENCY_PLANNER_H

/// \file
/// Load pattern: demand moves from a few busy models to others within seconds,
/// and rare models and adapters are asked for now and then. Decides the next
/// orders from what the engines hold and from demand: first what callers wait
/// for and no engine has, then what is held by too few for its demand, then
/// what no engine holds at all. Copies of models whose demand is served by
/// fewer make way. Keeps no state; no I/O and no clock.

#include "residency/demandtracker.h"
#include "residency/enginetracker.h"

#include <vector>

namespace kingcuphub::residency {

struct PlannerSettings {
  /// Engine time a second per copy above which another copy is worth a load
  /// into free memory, and into memory that another copy gives up.
  double GrowAbove = 0.35;
  double ReplaceAbove = 0.7;
  /// A copy makes way only if the copies that remain of its model have less
  /// than this part of the work per copy of the model that grows.
  double VictimBelow = 0.5;
  /// A model with more engine time than this has two copies where memory is
  /// free, so that the loss of one engine does not take it away.
  double SpareAbove = 0.02;
  /// Copies of an adapter: its part of its model's demand, times the copies of
  /// the model, times this.
  double AdapterSpread = 1.5;
  /// Model loads that may be under way at a time, however few the weight store
  /// bears: those from an engine's own disk do not burden it.
  unsigned LeastLoadsAtOnce = 6;
};

struct PlanInput {
  catalog::ServiceId Service;
  const catalog::Engine &Kind;
  const std::vector<EngineView> &Engines;
  const DemandBook &Demand;
  base::TimePoint Now;
  /// Loads from the weight store that may begin now.
  unsigned StoreLoads = 0;
};

struct Move {
  base::TargetId Target;
  OrderKind Kind = OrderKind::Load;
  Item What;
  /// Why, for the log.
  std::string_view Reason;
  /// Takes its weights from the weight store.
  bool FromStore = false;
};

/// Model loads that may be under way at a time: as many as the weight store
/// starts in the time that one takes.
unsigned loadsAtOnce(const catalog::Engine &Kind,
                     const PlannerSettings &Settings);

/// At most one move an engine.
std::vector<Move> planMoves(const PlanInput &Input,
                            const PlannerSettings &Settings);

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_PLANNER_H
