#ifndef KINGCUPHUB_PLACEMENT_PLANNER_H
#define KINGCUPHUB_PLACEMENT_PLANNER_H

/// \file
/// Decides which loads and unloads come next. The planner is stateless: each
/// plan is made from the ledger, the configuration and the forecast alone, so
/// that a new lease holder continues where the former one stopped. Repairs come
/// first (models on no live target, then models in too few zones), then
/// rollouts of versions, then growth. How far a plan may evict other replicas
/// depends on the reason. A repair for reachability or for a second zone may
/// take any that leaves its model the required zones, and growth any that loses
/// less demand than is gained; other loads take only surplus replicas, and a
/// rollout also an old version of the same model.

#include "placement/forecast.h"
#include "placement/ledger.h"
#include "placement/policy.h"
#include "state/config.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcuphub::placement {

/// Throughput assumed for accelerators and replicas.
struct PlannerSettings {
  /// Tokens a second that one accelerator serves over all its models.
  double AcceleratorRate = 2000;
  /// The most tokens a second that one replica serves, bounded by its KV
  /// reserve.
  double ReplicaRate = 1200;
};

struct PlanInput {
  const state::Config &Config;
  const Ledger &Memory;
  const std::map<base::ModelId, ModelDemand> &Demand;
  /// Targets in service: reachable, not leaving, and not in a zone that is out.
  const std::set<base::TargetId> &Live;
  /// Loads that may start now in addition to those in flight.
  unsigned ModelLoads = 0;
  unsigned AdapterLoads = 0;
  /// False while the weight store fails: only repairs may then evict replicas,
  /// as the load that follows may fail.
  bool MayEvictSurplus = true;
};

/// Why a load or unload is planned, in the order in which they are made.
enum class MoveReason {
  Unreachable,
  AdapterUnreachable,
  TooFewZones,
  Withdrawn,
  Rollout,
  Growth,
  AdapterGrowth,
};

std::string_view moveReasonName(MoveReason Reason);

/// A planned load or unload.
struct Move {
  OrderKind Kind = OrderKind::LoadModel;
  AcceleratorId Where;
  Item What;
  base::Bytes Size;
  MoveReason Reason = MoveReason::Growth;
};

/// A model or adapter that no live target holds.
struct UnreachableItem {
  Item What;
  /// True if no permitted eviction makes enough room.
  bool NoCapacity = false;
};

struct Plan {
  std::vector<Move> Moves;
  std::vector<UnreachableItem> Unreachable;
  /// Models in fewer zones than the policy asks for.
  std::vector<base::ModelId> TooFewZones;
};

class Planner {
public:
  explicit Planner(PlannerSettings Settings) : Settings(Settings) {}

  Plan plan(const PlanInput &Input, const Policy &Policy) const;

private:
  PlannerSettings Settings;
};

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_PLANNER_H
