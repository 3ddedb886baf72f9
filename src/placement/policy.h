#ifndef KINGCUPHUB_PLACEMENT_POLICY_H
#define KINGCUPHUB_PLACEMENT_POLICY_H

/// \file
/// The placement policy of each preset. A switch of preset replaces all values
/// at once and issues no orders by itself.

#include "base/clock.h"
#include "state/config.h"

#include <variant>

namespace kingcuphub::placement {

/// Parameters of the planner.
struct PlannerRules {
  /// Capacity to plan for, as a multiple of the expected demand.
  double GrowHeadroom = 1.05;
  /// Capacity that must remain after a replica is removed, as a multiple of the
  /// demand.
  double KeepHeadroom = 1.0;
  /// A replica is surplus only if the highest expected demand of this past time
  /// is served without it.
  base::Duration PeakWindow = std::chrono::minutes(1);
  /// Zones that should hold each model, where memory allows.
  unsigned Zones = 2;
  /// The least gain in served demand that justifies a load, as a fraction of an
  /// accelerator's rate; the second applies where another replica must be
  /// evicted for it.
  double MinGain = 0.02;
  double MinGainWithEviction = 0.06;
  bool EvictForGrowth = true;
  /// Whether new versions are rolled out.
  bool Rollouts = true;
  /// Models that may be changing version at the same time.
  unsigned RolloutsAtOnce = 2;
};

/// Days without peaks: the placement follows demand with few moves.
struct OrdinaryPolicy {
  PlannerRules Rules{};
};

/// Peaks: plans more headroom, removes few replicas, and rolls out no versions.
struct PeakPolicy {
  PlannerRules Rules{1.5,   1.6, std::chrono::minutes(45), 2, 0.03, 0.10, true,
                     false, 0};
};

/// Maintenance: each model is held in one zone more than usual, so that any
/// zone can be taken out of service; no replica is evicted to follow demand.
struct MaintenancePolicy {
  PlannerRules Rules{1.2,  1.5, std::chrono::minutes(60), 3, 0.10, 1.0, false,
                     true, 4};
};

using Policy = std::variant<OrdinaryPolicy, PeakPolicy, MaintenancePolicy>;

Policy policyOf(state::Preset Preset);
const PlannerRules &rulesOf(const Policy &Active);

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_POLICY_H
