#include "residency/holder.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::residency {

void Holder::setCatalog(const catalog::CatalogPtr &New, base::TimePoint Now) {
  this->Catalog = New;
  this->Engines.setCatalog(New, Now);
}

void Holder::setTargets(const catalog::TargetListPtr &New,
                        base::TimePoint Now) {
  this->Engines.setTargets(New, Now);
}

void Holder::setLease(std::optional<FencingToken> NewToken,
                      base::TimePoint Now) {
  bool Gained = NewToken && this->Token != NewToken;
  this->Token = NewToken;
  if (!Gained)
    return;
  this->Engines.reset();
  this->Demand.restart(Now);
  // The previous holder may have just used up the weight store's rate.
  for (auto &[Id, Each] : this->Budgets)
    Each.start(Now);
}

void Holder::onUse(const base::InstanceId &From,
                   const std::vector<ItemUse> &Use, base::TimePoint Now) {
  this->Demand.onUse(From, Use, Now);
}

void Holder::onReport(const base::TargetId &Id,
                      const std::optional<EngineReport> &Report,
                      base::TimePoint Now) {
  this->Engines.onReport(Id, Report, Now);
}

void Holder::onAnswer(const Order &Sent, OrderAnswer Answer,
                      base::TimePoint Now) {
  this->Engines.onAnswer(Sent, Answer, Now);
}

ServiceLoad Holder::serviceLoad(const catalog::ServiceId &Id,
                                base::TimePoint Now) const {
  ServiceLoad Out;
  const catalog::Service *Service =
      this->Catalog ? this->Catalog->service(Id) : nullptr;
  if (Service == nullptr || !Service->Engine)
    return Out;
  const catalog::Engine &Kind = *Service->Engine;
  double LargestMb = 0;
  double Trend = 0;
  for (const auto &[Model, Each] : Kind.Models) {
    residency::Demand Asked = this->Demand.demandOf(Id, {Model, {}}, Now);
    Out.Work += Asked.Work;
    Trend += Asked.Trend;
    LargestMb = std::max(LargestMb, Each.WeightsMb);
  }
  // Models that are asked for less make up for others.
  Out.Rise = std::max(0.0, Trend);
  double Speed = 0;
  unsigned Known = 0;
  for (const EngineView &Each : this->Engines.views(Now))
    if (auto Found = this->Slowness.find(Each.Target);
        Each.Service == Id && Found != this->Slowness.end()) {
      Speed += 1 / Found->second;
      ++Known;
    }
  // Callers state the most tokens that they accept and use fewer. At 0.4 a
  // quiet day's targets held too few copies: 0.929 of the requests were served
  // instead of 0.947.
  constexpr double UsedShareOfWork = 0.6;
  Out.CarriedPerEngine = workPerEngine(Kind, this->Settings.Planner) *
                         (Known == 0 ? 1 : Speed / Known) / UsedShareOfWork;
  double PerEngine = LargestMb > 0 ? std::floor(Kind.WeightsMb / LargestMb) : 0;
  if (PerEngine > 0)
    Out.EnginesForModels = static_cast<unsigned>(
        std::ceil(static_cast<double>(Kind.Models.size()) / PerEngine));
  return Out;
}

std::vector<HolderCommand> Holder::tick(base::TimePoint Now,
                                        const OrderGate &Gate) {
  std::vector<HolderCommand> Out;
  if (!this->Token || !this->Catalog)
    return Out;
  for (const base::TargetId &Each : this->Engines.takeDueReports(Now))
    Out.emplace_back(AskReport{Each});
  if (!Gate.Open)
    return Out;
  for (const Order &Each :
       this->Engines.takeResends(*this->Token, Now, Gate.Admits))
    Out.emplace_back(SendOrder{Each, "no-answer"});
  for (const EngineTracker::DueUnload &Each :
       this->Engines.takeDueUnloads(Now, Gate.Admits))
    if (auto Order =
            !this->mayUnload(Each, Now)
                ? std::nullopt
                : this->Engines.beginOrder(Each.Target, OrderKind::Unload,
                                           Each.Model, *this->Token, Now))
      Out.emplace_back(SendOrder{*Order, Each.Reason});
  this->plan(Now, Gate, Out);
  return Out;
}

bool Holder::mayUnload(const EngineTracker::DueUnload &What,
                       base::TimePoint Now) const {
  const catalog::Target *At = this->Engines.target(What.Target);
  if (At == nullptr)
    return false;
  residency::Demand Asked =
      this->Demand.demandOf(At->Entry.Service, What.Model, Now);
  if (!Asked.Recent && Asked.Waiting == 0)
    return true;
  std::vector<EngineView> Views = this->Engines.views(Now);
  return std::any_of(Views.begin(), Views.end(), [&](const EngineView &Each) {
    return Each.Target != What.Target && Each.Usable &&
           Each.Service == At->Entry.Service &&
           Each.Models.count(What.Model.Model) != 0;
  });
}

std::map<base::TargetId, double>
Holder::slownessOf(const std::vector<EngineView> &Views,
                   const catalog::ServiceId &Service) const {
  std::map<base::TargetId, double> Out;
  for (const EngineView &Each : Views)
    if (auto Found = this->Slowness.find(Each.Target);
        Each.Service == Service && Found != this->Slowness.end())
      Out.insert(*Found);
  return Out;
}

void Holder::plan(base::TimePoint Now, const OrderGate &Gate,
                  std::vector<HolderCommand> &Out) {
  std::vector<EngineView> Views = this->Engines.views(Now, Gate.Admits);
  for (const auto &[Id, Service] : this->Catalog->Services) {
    if (!Service.Engine)
      continue;
    auto [Budget, New] = this->Budgets.try_emplace(
        Id, placement::LoadLimits{
                Service.Engine->StoreLoadsPerSecond,
                maxConcurrentLoads(*Service.Engine, this->Settings.Planner)});
    if (New)
      Budget->second.start(Now);
    auto LoadsInProgress = static_cast<unsigned>(
        std::count_if(Views.begin(), Views.end(), [](const EngineView &Each) {
          return std::any_of(
              Each.Loading.begin(), Each.Loading.end(),
              [](const Item &What) { return !What.isAdapter(); });
        }));
    PlanInput Input{Id,
                    *Service.Engine,
                    Views,
                    this->Demand,
                    Now,
                    Budget->second.modelLoads(Now, LoadsInProgress),
                    this->slownessOf(Views, Id)};
    for (const PlannedOrder &Each : planOrders(Input, this->Settings.Planner)) {
      bool Withdraws = !Input.Slowness.empty() && !Each.What.isAdapter() &&
                       Each.Kind == OrderKind::Unload;
      if (Withdraws) {
        this->Engines.withdraw(Each.Target, Each.What, Each.Reason, Now);
        continue;
      }
      auto Order = this->Engines.beginOrder(Each.Target, Each.Kind, Each.What,
                                            *this->Token, Now);
      if (!Order)
        continue;
      if (Each.FromStore)
        Budget->second.loadStarted();
      Out.emplace_back(SendOrder{*Order, Each.Reason});
    }
  }
}

} // namespace kingcuphub::residency
