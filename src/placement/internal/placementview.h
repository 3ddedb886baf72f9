#ifndef KINGCUPHUB_PLACEMENT_INTERNAL_PLACEMENTVIEW_H
#define KINGCUPHUB_PLACEMENT_INTERNAL_PLACEMENTVIEW_H

/// \file
/// The working copy of the placement for one planning round: indexed copies of
/// the ledger's and the configuration's content, with planned changes applied,
/// and the demand that each replica would be sent.

#include "placement/planner.h"

#include <cstddef>
#include <vector>

namespace kingcuphub::placement {

/// A model on an accelerator: resident, being loaded, or planned.
struct ReplicaView {
  std::size_t Accelerator = 0;
  std::string Version;
  base::Bytes Size;
  /// Memory that its unload frees, including its adapters.
  base::Bytes SizeWithAdapters;
  bool Live = false;
  /// Resident, and no unload of it is unsettled.
  bool Confirmed = false;
  /// An unload of it is unsettled or planned.
  bool Unloading = false;
  /// Tokens a second that would be routed to it.
  double RoutedDemand = 0;

  /// Resident, being loaded or planned on a live target, and not being
  /// unloaded.
  bool isPresentOrLoading() const { return this->Live && !this->Unloading; }
  /// Known to be resident on a live target, and not being unloaded.
  bool serves() const { return this->isPresentOrLoading() && this->Confirmed; }
};

struct ModelView {
  const state::Model *Configured = nullptr;
  ModelDemand Demand;
  std::vector<ReplicaView> Replicas;
  /// Memory of one replica with all its adapters.
  base::Bytes Footprint;
  /// Demand that its present and loading replicas would not serve.
  double Unserved = 0;
};

/// A resident item that the configuration does not ask for there.
struct StaleItem {
  AcceleratorId Where;
  Item What;
  base::Bytes Size;
};

struct ReplicaRef {
  std::size_t Model = 0;
  std::size_t Replica = 0;
};

struct AcceleratorView {
  AcceleratorId Id;
  std::size_t Zone = 0;
  bool Live = false;
  /// Unreserved memory, less what the adapters of its replicas still need.
  base::Bytes Free;
  /// The same once the open and planned unloads are done.
  base::Bytes ExpectedFree;
  /// Unreserved memory in the ledger, less planned loads.
  base::Bytes LedgerFree;
  double Load = 0;
  std::vector<ReplicaRef> Replicas;
};

/// Zones by their index.
using ZoneSet = std::set<std::size_t>;

class PlacementView {
public:
  PlacementView(const PlanInput &Input, const PlannerSettings &Settings);

  /// Distributes each model's expected demand, times \p Headroom, over its
  /// present and loading replicas, favouring less loaded accelerators.
  void routeDemand(double Headroom);

  /// Adds a planned replica. If \p AwaitsMemory, its memory is not free yet.
  void addReplica(std::size_t Model, std::size_t Accelerator,
                  bool AwaitsMemory);
  /// Marks a replica as being unloaded.
  void removeReplica(ReplicaRef Which);

  ZoneSet plannedZones(std::size_t Model) const;
  ZoneSet servingZones(std::size_t Model) const;
  /// Zones of the model's serving replicas other than \p Which.
  ZoneSet servingZonesWithout(ReplicaRef Which) const;
  std::size_t liveZones() const;
  /// The part of \p Demand that the model's other replicas could not serve.
  double shortfallWithout(ReplicaRef Which, double Demand) const;
  bool holds(std::size_t Model, std::size_t Accelerator) const;

  const ReplicaView &replica(ReplicaRef Which) const {
    return this->Models[Which.Model].Replicas[Which.Replica];
  }

  std::vector<AcceleratorView> Accelerators;
  std::vector<ModelView> Models;
  std::vector<StaleItem> Stale;

private:
  void readAccelerators(const PlanInput &Input);
  void readItems(const PlanInput &Input, std::size_t Index);
  void readOrders(const PlanInput &Input);
  void reserveAdapters(const PlanInput &Input);
  void distributeDemand(ModelView &ModelInfo, double Demand, bool First);

  PlannerSettings Settings;
  std::map<base::ModelId, std::size_t> ModelIndex;
  std::map<AcceleratorId, std::size_t> AcceleratorIndex;
};

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_INTERNAL_PLACEMENTVIEW_H
