#include "placementview.h"

#include <algorithm>

namespace kingcuphub::placement {

namespace {

/// Iterations that shift demand towards less loaded accelerators.
constexpr int RoutingRounds = 8;
/// The largest factor by which one round changes a replica's share of demand.
constexpr double MaxShift = 4;
/// Lower bound of an accelerator's load in tokens a second, against division by
/// zero.
constexpr double IdleLoad = 1;

} // namespace

PlacementView::PlacementView(const PlanInput &Input,
                             const PlannerSettings &Settings)
    : Settings(Settings) {
  for (const auto &[Id, Configured] : Input.Config.Models) {
    ModelView View;
    View.Configured = &Configured;
    if (auto Known = Input.Demand.find(Id); Known != Input.Demand.end())
      View.Demand = Known->second;
    View.Footprint = Configured.Weights + Configured.KvReserve;
    for (const state::Adapter &Each : Configured.Adapters)
      View.Footprint += Each.Size;
    this->ModelIndex[Id] = this->Models.size();
    this->Models.push_back(std::move(View));
  }
  this->readAccelerators(Input);
  for (std::size_t Index = 0; Index < this->Accelerators.size(); ++Index)
    this->readItems(Input, Index);
  this->readOrders(Input);
  this->reserveAdapters(Input);
}

void PlacementView::readAccelerators(const PlanInput &Input) {
  std::map<base::ZoneId, std::size_t> Zones;
  for (const AcceleratorId &Id : Input.Memory.accelerators()) {
    auto Target = Input.Config.Targets.find(Id.Target);
    if (Target == Input.Config.Targets.end())
      continue;
    AcceleratorView View;
    View.Id = Id;
    View.Zone = Zones.emplace(Target->second.Zone, Zones.size()).first->second;
    View.Live = Input.Live.count(Id.Target) != 0 &&
                Input.Memory.incarnation(Id.Target).has_value();
    View.LedgerFree = Input.Memory.free(Id);
    View.Free = View.LedgerFree;
    View.ExpectedFree = Input.Memory.expectedFree(Id);
    this->AcceleratorIndex[Id] = this->Accelerators.size();
    this->Accelerators.push_back(std::move(View));
  }
}

void PlacementView::readItems(const PlanInput &Input, std::size_t Index) {
  AcceleratorView &Where = this->Accelerators[Index];
  const auto &Items = Input.Memory.residents(Where.Id);
  std::map<base::ModelId, ReplicaRef> Here;
  for (const auto &[What, Known] : Items) {
    if (!What.isModel())
      continue;
    auto Model = this->ModelIndex.find(What.Model);
    if (Model == this->ModelIndex.end()) {
      if (Known.Confirmed)
        this->Stale.push_back({Where.Id, What, Known.Size});
      continue;
    }
    ReplicaView Replica;
    Replica.Accelerator = Index;
    Replica.Version = What.Version;
    Replica.Size = Known.Size;
    Replica.SizeWithAdapters = Known.Size;
    Replica.Live = Where.Live;
    Replica.Confirmed = Known.Confirmed;
    Replica.Unloading = !Known.Confirmed;
    auto &Replicas = this->Models[Model->second].Replicas;
    Here[What.Model] = {Model->second, Replicas.size()};
    Where.Replicas.push_back({Model->second, Replicas.size()});
    Replicas.push_back(std::move(Replica));
  }
  for (const auto &[What, Known] : Items) {
    if (What.isModel() || What.isRole())
      continue;
    auto Replica = Here.find(What.Model);
    bool Configured = false;
    if (Replica != Here.end()) {
      ModelView &Model = this->Models[Replica->second.Model];
      Model.Replicas[Replica->second.Replica].SizeWithAdapters += Known.Size;
      for (const state::Adapter &Each : Model.Configured->Adapters)
        Configured = Configured || Each.Id == What.Adapter;
    }
    if (!Configured && Known.Confirmed)
      this->Stale.push_back({Where.Id, What, Known.Size});
  }
}

void PlacementView::readOrders(const PlanInput &Input) {
  for (const auto &[Id, Open] : Input.Memory.orders()) {
    if (!Open.unsettled() || Open.What.Kind != OrderKind::LoadModel)
      continue;
    auto Model = this->ModelIndex.find(Open.What.OrderedItem.Model);
    auto Where = this->AcceleratorIndex.find(Open.What.Where);
    if (Model == this->ModelIndex.end() ||
        Where == this->AcceleratorIndex.end() ||
        Input.Memory.residents(Open.What.Where).count(Open.What.OrderedItem) !=
            0)
      continue;
    ReplicaView Replica;
    Replica.Accelerator = Where->second;
    Replica.Version = Open.What.OrderedItem.Version;
    Replica.Size = Open.What.Size;
    Replica.SizeWithAdapters = Open.What.Size;
    Replica.Live = this->Accelerators[Where->second].Live;
    auto &Replicas = this->Models[Model->second].Replicas;
    this->Accelerators[Where->second].Replicas.push_back(
        {Model->second, Replicas.size()});
    Replicas.push_back(std::move(Replica));
  }
}

void PlacementView::reserveAdapters(const PlanInput &Input) {
  for (ModelView &Model : this->Models)
    for (const ReplicaView &Replica : Model.Replicas) {
      if (Replica.Unloading)
        continue;
      AcceleratorView &Where = this->Accelerators[Replica.Accelerator];
      const auto &Items = Input.Memory.residents(Where.Id);
      for (const state::Adapter &Each : Model.Configured->Adapters) {
        Item What{Model.Configured->Id, {}, Each.Id};
        if (Items.count(What) != 0 || Input.Memory.hasOpenOrder(Where.Id, What))
          continue;
        Where.Free -= Each.Size;
        Where.ExpectedFree -= Each.Size;
      }
    }
}

void PlacementView::distributeDemand(ModelView &ModelInfo, double Demand,
                                     bool First) {
  double Sum = 0;
  for (ReplicaView &Each : ModelInfo.Replicas) {
    if (!Each.isPresentOrLoading())
      continue;
    double Load = std::max(IdleLoad, this->Accelerators[Each.Accelerator].Load);
    double Shift = std::clamp(this->Settings.AcceleratorRate / Load,
                              1 / MaxShift, MaxShift);
    Each.RoutedDemand = First ? 1 : Each.RoutedDemand * Shift;
    Sum += Each.RoutedDemand;
  }
  for (ReplicaView &Each : ModelInfo.Replicas)
    Each.RoutedDemand = Each.isPresentOrLoading() && Sum > 0
                            ? Demand * Each.RoutedDemand / Sum
                            : 0;
}

void PlacementView::routeDemand(double Headroom) {
  for (int Round = 0; Round < RoutingRounds; ++Round) {
    for (ModelView &Each : this->Models)
      this->distributeDemand(Each, Each.Demand.Expected * Headroom, Round == 0);
    for (AcceleratorView &Each : this->Accelerators) {
      Each.Load = 0;
      for (ReplicaRef Ref : Each.Replicas)
        Each.Load += this->replica(Ref).RoutedDemand;
    }
  }
  for (ModelView &Model : this->Models) {
    double Served = 0;
    for (const ReplicaView &Each : Model.Replicas) {
      double Load = this->Accelerators[Each.Accelerator].Load;
      double ServedFraction = Load > this->Settings.AcceleratorRate
                                  ? this->Settings.AcceleratorRate / Load
                                  : 1;
      Served += std::min(Each.RoutedDemand * ServedFraction,
                         this->Settings.ReplicaRate);
    }
    Model.Unserved = std::max(0.0, Model.Demand.Expected * Headroom - Served);
  }
}

void PlacementView::addReplica(std::size_t Model, std::size_t Accelerator,
                               bool AwaitsMemory) {
  ModelView &ModelInfo = this->Models[Model];
  AcceleratorView &Where = this->Accelerators[Accelerator];
  ReplicaView Replica;
  Replica.Accelerator = Accelerator;
  Replica.Version = ModelInfo.Configured->Version;
  Replica.Size =
      ModelInfo.Configured->Weights + ModelInfo.Configured->KvReserve;
  Replica.SizeWithAdapters = ModelInfo.Footprint;
  Replica.Live = true;
  Where.Replicas.push_back({Model, ModelInfo.Replicas.size()});
  Where.ExpectedFree -= ModelInfo.Footprint;
  if (!AwaitsMemory) {
    Where.Free -= ModelInfo.Footprint;
    Where.LedgerFree -= Replica.Size;
  }
  ModelInfo.Replicas.push_back(std::move(Replica));
}

void PlacementView::removeReplica(ReplicaRef Which) {
  ReplicaView &Replica = this->Models[Which.Model].Replicas[Which.Replica];
  Replica.Unloading = true;
  this->Accelerators[Replica.Accelerator].ExpectedFree +=
      Replica.SizeWithAdapters;
}

ZoneSet PlacementView::plannedZones(std::size_t Model) const {
  ZoneSet Out;
  for (const ReplicaView &Each : this->Models[Model].Replicas)
    if (Each.isPresentOrLoading())
      Out.insert(this->Accelerators[Each.Accelerator].Zone);
  return Out;
}

ZoneSet PlacementView::servingZones(std::size_t Model) const {
  ZoneSet Out;
  for (const ReplicaView &Each : this->Models[Model].Replicas)
    if (Each.serves())
      Out.insert(this->Accelerators[Each.Accelerator].Zone);
  return Out;
}

ZoneSet PlacementView::servingZonesWithout(ReplicaRef Which) const {
  ZoneSet Out;
  const ModelView &Model = this->Models[Which.Model];
  for (std::size_t Index = 0; Index < Model.Replicas.size(); ++Index)
    if (Index != Which.Replica && Model.Replicas[Index].serves())
      Out.insert(this->Accelerators[Model.Replicas[Index].Accelerator].Zone);
  return Out;
}

std::size_t PlacementView::liveZones() const {
  ZoneSet Out;
  for (const AcceleratorView &Each : this->Accelerators)
    if (Each.Live)
      Out.insert(Each.Zone);
  return Out.size();
}

double PlacementView::shortfallWithout(ReplicaRef Which, double Demand) const {
  const ModelView &Model = this->Models[Which.Model];
  double Capacity = 0;
  for (std::size_t Index = 0; Index < Model.Replicas.size(); ++Index) {
    const ReplicaView &Each = Model.Replicas[Index];
    if (Index == Which.Replica || !Each.serves())
      continue;
    double Room = std::max(0.0, this->Settings.AcceleratorRate -
                                    this->Accelerators[Each.Accelerator].Load);
    Capacity += std::min(this->Settings.ReplicaRate, Each.RoutedDemand + Room);
  }
  return std::max(0.0, Demand - Capacity);
}

bool PlacementView::holds(std::size_t Model, std::size_t Accelerator) const {
  for (ReplicaRef Each : this->Accelerators[Accelerator].Replicas)
    if (Each.Model == Model)
      return true;
  return false;
}

} // namespace kingcuphub::placement
