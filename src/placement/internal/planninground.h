#ifndef KINGCUPHUB_PLACEMENT_INTERNAL_PLANNINGROUND_H
#define KINGCUPHUB_PLACEMENT_INTERNAL_PLANNINGROUND_H

/// \file
/// Makes one plan, step by step on a PlacementView.

#include "placementview.h"

#include <optional>

namespace kingcuphub::placement {

class PlanningRound {
public:
  PlanningRound(const PlanInput &Input, const PlannerRules &Rules,
                const PlannerSettings &Settings);

  Plan run();

private:
  /// Which replicas may be evicted to make room for another.
  enum class EvictionLimit {
    /// Those whose model keeps a serving replica.
    KeepOne,
    /// Those whose model keeps the required zones.
    KeepZones,
    /// Those whose model keeps the required zones and enough capacity.
    Surplus,
    /// Those whose model keeps the required zones, if the new replica serves
    /// more demand than is lost.
    NetGain,
    None,
  };
  /// A place for a replica, and the evictions that it needs.
  struct Candidate {
    std::size_t Accelerator = 0;
    std::vector<ReplicaRef> Evicted;
    /// The memory is not free yet, as unloads there are open or planned.
    bool AwaitsMemory = false;
    double Score = 0;
    /// Demand that would go unserved after the evictions.
    double LostDemand = 0;
  };
  /// The requirements for placing a replica.
  struct ReplicaRequest {
    std::size_t Model = 0;
    EvictionLimit Evictions = EvictionLimit::None;
    std::size_t KeepZones = 1;
    /// Zones that already hold the model; others are preferred.
    ZoneSet Zones;
    /// Only zones outside of Zones are eligible.
    bool NewZoneOnly = false;
    /// Accelerators that hold another version of the model are eligible.
    bool AllowOtherVersion = false;
    /// The least demand to serve there, without and with evictions, and the
    /// most that is counted as gain; all 0 if demand does not matter.
    double MinGain = 0;
    double MinGainWithEviction = 0;
    double WantedDemand = 0;
  };

  void repairUnreachable();
  void repairZones(std::size_t Zones);
  void unloadStale();
  void rollOut();
  bool rollOutModel(std::size_t Model);
  bool unloadOldVersion(std::size_t Model);
  bool makeRoomForVersion(std::size_t Model);
  void grow();
  void loadAdapters(bool UnreachableOnly);
  void loadAdapter(const ModelView &Model, const state::Adapter &What,
                   AcceleratorView &Where, MoveReason Reason);
  void listUnreachable();

  std::optional<Candidate> findCandidate(const ReplicaRequest &Request) const;
  std::optional<Candidate> findFree(const ReplicaRequest &Request) const;
  std::optional<Candidate> findByEviction(const ReplicaRequest &Request) const;
  bool isEligible(const ReplicaRequest &Request, std::size_t Accelerator) const;
  double gainAt(const ReplicaRequest &Request, std::size_t Accelerator) const;
  double scoreAt(const ReplicaRequest &Request, std::size_t Accelerator) const;
  std::optional<Candidate> evictionsAt(const ReplicaRequest &Request,
                                       std::size_t Accelerator) const;
  /// Demand that would go unserved without a replica: of the current forecast,
  /// and of its highest value in the peak window.
  double expectedShortfallWithout(ReplicaRef Victim) const;
  double peakShortfallWithout(ReplicaRef Victim) const;
  bool mayEvict(const ReplicaRequest &Request, ReplicaRef Victim) const;

  bool place(const ReplicaRequest &Request, MoveReason Reason);
  void evict(ReplicaRef Which, MoveReason Reason);
  bool budgetLeft() const { return this->ModelLoads > 0; }

  const PlanInput &Input;
  const PlannerRules &Rules;
  const PlannerSettings &Settings;
  PlacementView View;
  Plan Out;
  unsigned ModelLoads;
  unsigned AdapterLoads;
  std::set<std::size_t> ModelsWithoutSpace;
};

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_INTERNAL_PLANNINGROUND_H
