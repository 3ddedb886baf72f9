#include "planninground.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcuphub::placement {

namespace {

/// Scores of a new zone and a new target; a third or later zone scores like a
/// new target. An idle accelerator scores 1, a fully loaded one 0.
constexpr double NewZoneScore = 2;
constexpr double NewTargetScore = 0.2;
/// Deducted from the score for each eviction.
constexpr double EvictionCost = 0.1;

} // namespace

PlanningRound::PlanningRound(const PlanInput &Input, const PlannerRules &Rules,
                             const PlannerSettings &Settings)
    : Input(Input), Rules(Rules), Settings(Settings), View(Input, Settings),
      ModelLoads(Input.ModelLoads), AdapterLoads(Input.AdapterLoads) {}

Plan PlanningRound::run() {
  this->View.routeDemand(this->Rules.GrowHeadroom);
  this->repairUnreachable();
  this->loadAdapters(true);
  std::size_t Zones =
      std::min<std::size_t>(this->Rules.Zones, this->View.liveZones());
  for (std::size_t Each = 2; Each <= Zones; ++Each)
    this->repairZones(Each);
  this->unloadStale();
  if (this->Rules.Rollouts)
    this->rollOut();
  this->grow();
  this->loadAdapters(false);
  this->listUnreachable();
  return std::move(this->Out);
}

void PlanningRound::repairUnreachable() {
  for (std::size_t Model = 0; Model < this->View.Models.size(); ++Model) {
    if (!this->View.plannedZones(Model).empty())
      continue;
    ReplicaRequest Request;
    Request.Model = Model;
    Request.Evictions = EvictionLimit::KeepOne;
    if (!this->place(Request, MoveReason::Unreachable))
      this->ModelsWithoutSpace.insert(Model);
  }
}

void PlanningRound::repairZones(std::size_t Zones) {
  for (std::size_t Model = 0; Model < this->View.Models.size(); ++Model) {
    ZoneSet Held = this->View.plannedZones(Model);
    if (Held.empty() || Held.size() >= Zones)
      continue;
    ReplicaRequest Request;
    Request.Model = Model;
    Request.Evictions =
        Zones == 2 ? EvictionLimit::KeepZones : EvictionLimit::Surplus;
    Request.KeepZones = Zones;
    Request.Zones = std::move(Held);
    Request.NewZoneOnly = true;
    if (!this->place(Request, MoveReason::TooFewZones))
      this->Out.TooFewZones.push_back(this->View.Models[Model].Configured->Id);
  }
}

void PlanningRound::unloadStale() {
  for (const StaleItem &Each : this->View.Stale) {
    if (this->Input.Live.count(Each.Where.Target) == 0 ||
        this->Input.Memory.hasOpenOrder(Each.Where, Each.What))
      continue;
    this->Out.Moves.push_back({Each.What.isModel() ? OrderKind::UnloadModel
                                                   : OrderKind::UnloadAdapter,
                               Each.Where, Each.What, Each.Size,
                               MoveReason::Withdrawn});
  }
}

void PlanningRound::rollOut() {
  unsigned Running = 0;
  for (std::size_t Model = 0; Model < this->View.Models.size(); ++Model) {
    if (Running >= this->Rules.RolloutsAtOnce)
      return;
    if (this->rollOutModel(Model))
      ++Running;
  }
}

bool PlanningRound::rollOutModel(std::size_t Model) {
  const ModelView &ModelInfo = this->View.Models[Model];
  bool Old = false;
  bool InTransition = false;
  ZoneSet NewVersionZones;
  for (const ReplicaView &Each : ModelInfo.Replicas) {
    bool NewVersion = Each.Version == ModelInfo.Configured->Version;
    Old = Old || (!NewVersion && Each.serves());
    InTransition = InTransition || (Each.Live && !Each.serves());
    if (NewVersion && Each.isPresentOrLoading())
      NewVersionZones.insert(this->View.Accelerators[Each.Accelerator].Zone);
  }
  if (!Old)
    return false;
  if (InTransition || this->unloadOldVersion(Model))
    return true;
  ReplicaRequest Request;
  Request.Model = Model;
  Request.Evictions = EvictionLimit::Surplus;
  Request.KeepZones = 2;
  Request.Zones = std::move(NewVersionZones);
  Request.AllowOtherVersion = true;
  return this->place(Request, MoveReason::Rollout) ||
         this->makeRoomForVersion(Model);
}

bool PlanningRound::unloadOldVersion(std::size_t Model) {
  const ModelView &ModelInfo = this->View.Models[Model];
  std::size_t NewVersion = 0;
  std::size_t Old = 0;
  for (const ReplicaView &Each : ModelInfo.Replicas)
    if (Each.serves())
      ++(Each.Version == ModelInfo.Configured->Version ? NewVersion : Old);
  std::size_t Zones = this->View.servingZones(Model).size();
  for (std::size_t Index = 0; Index < ModelInfo.Replicas.size(); ++Index) {
    ReplicaRef Which{Model, Index};
    if (!ModelInfo.Replicas[Index].serves() ||
        ModelInfo.Replicas[Index].Version == ModelInfo.Configured->Version)
      continue;
    bool Dispensable =
        NewVersion >= Old || this->peakShortfallWithout(Which) == 0;
    std::size_t Left = this->View.servingZonesWithout(Which).size();
    if (NewVersion == 0 || !Dispensable ||
        Left < std::min<std::size_t>(2, Zones))
      continue;
    this->evict(Which, MoveReason::Rollout);
    return true;
  }
  return false;
}

bool PlanningRound::makeRoomForVersion(std::size_t Model) {
  const ModelView &ModelInfo = this->View.Models[Model];
  if (!this->Input.MayEvictSurplus || !this->budgetLeft())
    return false;
  for (std::size_t Index = 0; Index < ModelInfo.Replicas.size(); ++Index) {
    ReplicaRef Which{Model, Index};
    const ReplicaView &Each = ModelInfo.Replicas[Index];
    if (!Each.serves() || Each.Version == ModelInfo.Configured->Version ||
        this->View.servingZonesWithout(Which).empty())
      continue;
    const AcceleratorView &Where = this->View.Accelerators[Each.Accelerator];
    if (Where.ExpectedFree + Each.SizeWithAdapters < ModelInfo.Footprint)
      continue;
    --this->ModelLoads;
    this->evict(Which, MoveReason::Rollout);
    return true;
  }
  return false;
}

void PlanningRound::grow() {
  double Rate = this->Settings.AcceleratorRate;
  std::set<std::size_t> Tried = this->ModelsWithoutSpace;
  while (this->budgetLeft()) {
    this->View.routeDemand(this->Rules.GrowHeadroom);
    std::optional<std::size_t> LeastServed;
    for (std::size_t Model = 0; Model < this->View.Models.size(); ++Model) {
      double Unserved = this->View.Models[Model].Unserved;
      if (Tried.count(Model) == 0 && Unserved >= this->Rules.MinGain * Rate &&
          (!LeastServed || Unserved > this->View.Models[*LeastServed].Unserved))
        LeastServed = Model;
    }
    if (!LeastServed)
      return;
    ReplicaRequest Request;
    Request.Model = *LeastServed;
    Request.Evictions = this->Rules.EvictForGrowth ? EvictionLimit::NetGain
                                                   : EvictionLimit::None;
    Request.KeepZones = 2;
    Request.Zones = this->View.plannedZones(*LeastServed);
    Request.WantedDemand = this->View.Models[*LeastServed].Unserved;
    Request.MinGain = this->Rules.MinGain * Rate;
    Request.MinGainWithEviction = this->Rules.MinGainWithEviction * Rate;
    if (!this->place(Request, MoveReason::Growth))
      Tried.insert(*LeastServed);
  }
}

void PlanningRound::loadAdapters(bool UnreachableOnly) {
  for (const ModelView &Model : this->View.Models)
    for (const state::Adapter &Each : Model.Configured->Adapters) {
      Item What{Model.Configured->Id, {}, Each.Id};
      bool Reachable = false;
      for (const ReplicaView &Replica : Model.Replicas) {
        const AcceleratorView &Where =
            this->View.Accelerators[Replica.Accelerator];
        Reachable = Reachable ||
                    (Replica.serves() &&
                     (this->Input.Memory.residents(Where.Id).count(What) != 0 ||
                      this->Input.Memory.hasOpenOrder(Where.Id, What)));
      }
      if (UnreachableOnly && Reachable)
        continue;
      for (const ReplicaView &Replica : Model.Replicas) {
        if (!Replica.serves())
          continue;
        this->loadAdapter(Model, Each,
                          this->View.Accelerators[Replica.Accelerator],
                          Reachable ? MoveReason::AdapterGrowth
                                    : MoveReason::AdapterUnreachable);
        if (UnreachableOnly)
          break;
      }
    }
}

void PlanningRound::loadAdapter(const ModelView &Model,
                                const state::Adapter &What,
                                AcceleratorView &Where, MoveReason Reason) {
  Item AdapterItem{Model.Configured->Id, {}, What.Id};
  if (this->AdapterLoads == 0 || Where.LedgerFree < What.Size ||
      this->Input.Memory.residents(Where.Id).count(AdapterItem) != 0 ||
      this->Input.Memory.hasOpenOrder(Where.Id, AdapterItem))
    return;
  for (const Move &Each : this->Out.Moves)
    if (Each.Where == Where.Id && Each.What == AdapterItem)
      return;
  --this->AdapterLoads;
  Where.LedgerFree -= What.Size;
  this->Out.Moves.push_back(
      {OrderKind::LoadAdapter, Where.Id, AdapterItem, What.Size, Reason});
}

void PlanningRound::listUnreachable() {
  for (std::size_t Index = 0; Index < this->View.Models.size(); ++Index) {
    const ModelView &Model = this->View.Models[Index];
    if (this->View.servingZones(Index).empty())
      this->Out.Unreachable.push_back(
          {{Model.Configured->Id, Model.Configured->Version, {}},
           this->ModelsWithoutSpace.count(Index) != 0 && this->budgetLeft()});
  }
}

bool PlanningRound::place(const ReplicaRequest &Request, MoveReason Reason) {
  if (!this->budgetLeft())
    return false;
  std::optional<Candidate> Found = this->findCandidate(Request);
  if (!Found)
    return false;
  --this->ModelLoads;
  for (ReplicaRef Each : Found->Evicted)
    this->evict(Each, Reason);
  bool AwaitsMemory = Found->AwaitsMemory || !Found->Evicted.empty();
  this->View.addReplica(Request.Model, Found->Accelerator, AwaitsMemory);
  if (AwaitsMemory)
    return true;
  const state::Model &Configured = *this->View.Models[Request.Model].Configured;
  this->Out.Moves.push_back({OrderKind::LoadModel,
                             this->View.Accelerators[Found->Accelerator].Id,
                             {Configured.Id, Configured.Version, {}},
                             Configured.Weights + Configured.KvReserve,
                             Reason});
  return true;
}

void PlanningRound::evict(ReplicaRef Which, MoveReason Reason) {
  const ModelView &Model = this->View.Models[Which.Model];
  const ReplicaView &Replica = Model.Replicas[Which.Replica];
  const AcceleratorId &Where = this->View.Accelerators[Replica.Accelerator].Id;
  bool OtherVersionStays = false;
  for (std::size_t Index = 0; Index < Model.Replicas.size(); ++Index)
    OtherVersionStays =
        OtherVersionStays ||
        (Index != Which.Replica &&
         Model.Replicas[Index].Accelerator == Replica.Accelerator);
  this->Out.Moves.push_back({OrderKind::UnloadModel,
                             Where,
                             {Model.Configured->Id, Replica.Version, {}},
                             Replica.Size,
                             Reason});
  if (!OtherVersionStays)
    for (const auto &[What, Known] : this->Input.Memory.residents(Where))
      if (!What.Adapter.empty() && What.Model == Model.Configured->Id &&
          Known.Confirmed && !this->Input.Memory.hasOpenOrder(Where, What))
        this->Out.Moves.push_back(
            {OrderKind::UnloadAdapter, Where, What, Known.Size, Reason});
  this->View.removeReplica(Which);
}

std::optional<PlanningRound::Candidate>
PlanningRound::findCandidate(const ReplicaRequest &Request) const {
  if (auto Free = this->findFree(Request))
    return Free;
  bool Repairs = Request.Evictions == EvictionLimit::KeepOne ||
                 Request.Evictions == EvictionLimit::KeepZones;
  if (Request.Evictions == EvictionLimit::None ||
      (!Repairs && !this->Input.MayEvictSurplus))
    return std::nullopt;
  return this->findByEviction(Request);
}

std::optional<PlanningRound::Candidate>
PlanningRound::findFree(const ReplicaRequest &Request) const {
  base::Bytes Footprint = this->View.Models[Request.Model].Footprint;
  std::optional<Candidate> Best;
  for (std::size_t Index = 0; Index < this->View.Accelerators.size(); ++Index) {
    const AcceleratorView &Where = this->View.Accelerators[Index];
    if (std::max(Where.Free, Where.ExpectedFree) < Footprint ||
        !this->isEligible(Request, Index) ||
        this->gainAt(Request, Index) < Request.MinGain)
      continue;
    Candidate Here{
        Index, {}, Where.Free < Footprint, this->scoreAt(Request, Index)};
    if (!Best || (Best->AwaitsMemory && !Here.AwaitsMemory) ||
        (Best->AwaitsMemory == Here.AwaitsMemory && Here.Score > Best->Score))
      Best = std::move(Here);
  }
  return Best;
}

std::optional<PlanningRound::Candidate>
PlanningRound::findByEviction(const ReplicaRequest &Request) const {
  std::optional<Candidate> Best;
  for (std::size_t Index = 0; Index < this->View.Accelerators.size(); ++Index) {
    if (!this->isEligible(Request, Index) ||
        this->gainAt(Request, Index) < Request.MinGainWithEviction)
      continue;
    double Score = this->scoreAt(Request, Index);
    if (Best && Score - EvictionCost <= Best->Score)
      continue;
    auto Here = this->evictionsAt(Request, Index);
    if (!Here || this->gainAt(Request, Index) - Here->LostDemand <
                     Request.MinGainWithEviction)
      continue;
    Here->Score = Score -
                  EvictionCost * static_cast<double>(Here->Evicted.size()) -
                  Here->LostDemand / this->Settings.AcceleratorRate;
    if (!Best || Here->Score > Best->Score)
      Best = std::move(Here);
  }
  return Best;
}

bool PlanningRound::isEligible(const ReplicaRequest &Request,
                               std::size_t Accelerator) const {
  const AcceleratorView &Where = this->View.Accelerators[Accelerator];
  if (!Where.Live)
    return false;
  if (Request.NewZoneOnly && Request.Zones.count(Where.Zone) != 0)
    return false;
  for (ReplicaRef Each : Where.Replicas)
    if (Each.Model == Request.Model &&
        (!Request.AllowOtherVersion ||
         this->View.replica(Each).Version ==
             this->View.Models[Request.Model].Configured->Version))
      return false;
  return true;
}

double PlanningRound::gainAt(const ReplicaRequest &Request,
                             std::size_t Accelerator) const {
  double Room = this->Settings.AcceleratorRate -
                this->View.Accelerators[Accelerator].Load;
  return std::max(
      0.0, std::min({Request.WantedDemand, this->Settings.ReplicaRate, Room}));
}

double PlanningRound::scoreAt(const ReplicaRequest &Request,
                              std::size_t Accelerator) const {
  const AcceleratorView &Where = this->View.Accelerators[Accelerator];
  double Score = 1 - Where.Load / this->Settings.AcceleratorRate;
  if (Request.Zones.count(Where.Zone) == 0)
    Score += Request.Zones.size() < 2 ? NewZoneScore : NewTargetScore;
  for (const ReplicaView &Each : this->View.Models[Request.Model].Replicas)
    if (this->View.Accelerators[Each.Accelerator].Id.Target == Where.Id.Target)
      return Score;
  return Score + NewTargetScore;
}

std::optional<PlanningRound::Candidate>
PlanningRound::evictionsAt(const ReplicaRequest &Request,
                           std::size_t Accelerator) const {
  const AcceleratorView &Where = this->View.Accelerators[Accelerator];
  struct Victim {
    ReplicaRef Which;
    double LostDemand;
    double RoutedDemand;
  };
  std::vector<Victim> Victims;
  for (ReplicaRef Each : Where.Replicas)
    if (this->mayEvict(Request, Each))
      Victims.push_back({Each, this->expectedShortfallWithout(Each),
                         this->View.replica(Each).RoutedDemand});
  std::sort(Victims.begin(), Victims.end(),
            [](const Victim &Left, const Victim &Right) {
              return std::tie(Left.LostDemand, Left.RoutedDemand) <
                     std::tie(Right.LostDemand, Right.RoutedDemand);
            });
  base::Bytes Freed = Where.ExpectedFree;
  Candidate Out;
  Out.Accelerator = Accelerator;
  for (const Victim &Each : Victims) {
    // mayEvict() checks a replica with the model's others in place, so at most
    // one replica of each model is evicted.
    if (std::any_of(Out.Evicted.begin(), Out.Evicted.end(),
                    [&](ReplicaRef Chosen) {
                      return Chosen.Model == Each.Which.Model;
                    }))
      continue;
    Out.Evicted.push_back(Each.Which);
    Out.LostDemand += Each.LostDemand;
    Freed += this->View.replica(Each.Which).SizeWithAdapters;
    if (Freed >= this->View.Models[Request.Model].Footprint)
      return Out;
  }
  return std::nullopt;
}

double PlanningRound::expectedShortfallWithout(ReplicaRef Victim) const {
  double Expected = this->View.Models[Victim.Model].Demand.Expected;
  return this->View.shortfallWithout(Victim,
                                     Expected * this->Rules.KeepHeadroom);
}

double PlanningRound::peakShortfallWithout(ReplicaRef Victim) const {
  double Peak = this->View.Models[Victim.Model].Demand.RecentPeak;
  return this->View.shortfallWithout(Victim, Peak * this->Rules.KeepHeadroom);
}

bool PlanningRound::mayEvict(const ReplicaRequest &Request,
                             ReplicaRef Victim) const {
  const ReplicaView &Replica = this->View.replica(Victim);
  if (!Replica.serves() || Victim.Model == Request.Model)
    return false;
  std::size_t Left = this->View.servingZonesWithout(Victim).size();
  switch (Request.Evictions) {
  case EvictionLimit::KeepOne:
    return Left >= 1;
  case EvictionLimit::KeepZones:
    return Left >= Request.KeepZones;
  case EvictionLimit::Surplus:
    return Left >= Request.KeepZones && this->peakShortfallWithout(Victim) == 0;
  case EvictionLimit::NetGain:
    return Left >= Request.KeepZones;
  case EvictionLimit::None:
    return false;
  }
  return false;
}

} // namespace kingcuphub::placement
