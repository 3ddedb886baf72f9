#include "placement/controller.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace kingcuphub::placement {

namespace {

/// Moves that one plan submits; the rest is planned again the next time.
constexpr std::size_t MaxMoves = 64;

} // namespace

Controller::Controller(base::InstanceId Self, base::Incarnation Incarnation,
                       ControllerSettings Settings, std::mt19937_64 Random)
    : Settings(Settings), Config(std::make_shared<state::Config>()),
      Lease(std::move(Self), Incarnation, Settings.Lease, Random),
      Memory(Settings.Ledger), Orders(Settings.Dispatch, Memory, Log),
      Forecast(Settings.Forecast), Budget(Settings.Loads) {}

void Controller::onConfig(state::ConfigPtr NewConfig) {
  for (const auto &[Id, Each] : this->Config->Targets)
    if (NewConfig->Targets.count(Id) == 0)
      this->Memory.removeTarget(Id);
  for (const auto &[Id, Each] : NewConfig->Targets)
    if (Each.Kind == state::TargetKind::Engine)
      this->Memory.setTarget(Id, Each.Fencing, Each.Accelerators);
  this->Config = std::move(NewConfig);
}

OrderLogEvent Controller::onRecord(base::Offset At, const wire::Record &Record,
                                   base::TimePoint Now) {
  if (Record.has_order_outcome())
    this->countLoad(Record.order_outcome());
  OrderLogEvent Event = this->Log.reduce(At, Record);
  if (const auto *Changed = std::get_if<LeaseChanged>(&Event))
    this->Lease.onLease(Changed->RecordId, this->Log, Now);
  else
    this->Orders.onEvent(Event, Now);
  return Event;
}

void Controller::countLoad(const wire::OrderOutcome &Outcome) {
  auto Known = this->Log.open().find(OrderId{Outcome.order()});
  if (Known != this->Log.open().end() &&
      Known->second.Kind == OrderKind::LoadModel &&
      Outcome.result() == wire::ORDER_RESULT_DONE)
    ++this->LoadsDone;
}

base::Result<void> Controller::load(const wire::PlacementState &Saved,
                                    base::TimePoint Now) {
  if (auto Loaded = this->Log.load(Saved); !Loaded)
    return Loaded;
  this->Lease.onLoaded(this->Log, Now);
  this->Orders.onLoaded(Now);
  return {};
}

void Controller::onReport(const MemoryReport &Report) {
  this->Memory.report(Report);
  base::TimePoint &At = this->ReportedAt[Report.Target];
  At = std::max(At, Report.RequestedAt);
}

void Controller::onDemand(const base::ModelId &Model, double Tokens) {
  this->Forecast.add(Model, Tokens);
}

void Controller::onAnswer(const OrderId &Id, std::optional<OrderAnswer> Answer,
                          base::TimePoint Now) {
  auto Known = this->Memory.orders().find(Id);
  if (Known != this->Memory.orders().end() &&
      Known->second.What.Kind == OrderKind::LoadModel) {
    if (Answer == OrderAnswer::Done)
      this->Budget.loadSucceeded();
    else
      this->Budget.loadFailed(Now);
  }
  this->Orders.onAnswer(Id, Answer, Now);
}

std::vector<ControllerCommand> Controller::tick(base::TimePoint Now,
                                                bool AtTail) {
  std::vector<ControllerCommand> Out;
  this->Forecast.advance(Now);
  this->Memory.expire(Now);
  if (auto Append = this->Lease.tick(Now, AtTail))
    Out.push_back(std::move(*Append));
  std::optional<base::Offset> Held = this->Lease.held(Now);
  if (Held && this->HeldFencing != Held) {
    this->HeldFencing = Held;
    this->Budget.start(Now);
    this->Orders.takeOver(*Held, Now);
  }
  if (Held && AtTail && Now >= this->PlannedAt + this->Settings.PlanInterval) {
    this->PlannedAt = Now;
    this->plan(*Held, Now);
  }
  for (DispatchCommand &Each : this->Orders.tick(Held, Now))
    std::visit([&](auto &Command) { Out.emplace_back(std::move(Command)); },
               Each);
  return Out;
}

std::set<base::TargetId> Controller::liveTargets(base::TimePoint Now) const {
  std::set<base::TargetId> Out;
  for (const auto &[Id, Each] : this->Config->Targets) {
    auto Reported = this->ReportedAt.find(Id);
    bool Recent = Reported != this->ReportedAt.end() &&
                  Now - Reported->second <= this->Settings.MaxReportAge;
    if (Recent && !Each.Leaving && Each.Kind == state::TargetKind::Engine &&
        this->Config->ZonesOut.count(Each.Zone) == 0)
      Out.insert(Id);
  }
  return Out;
}

std::map<base::ModelId, ModelDemand>
Controller::demand(const PlannerRules &Rules) const {
  bool HistoryLongEnough =
      this->Forecast.observedFor() >= this->Settings.WarmUp;
  std::map<base::ModelId, ModelDemand> Out;
  for (const auto &[Id, Each] : this->Config->Models) {
    ModelDemand Predicted = this->Forecast.demand(Id, Rules.PeakWindow);
    if (!HistoryLongEnough)
      Predicted.RecentPeak = std::numeric_limits<double>::max();
    Out.emplace(Id, Predicted);
  }
  return Out;
}

void Controller::plan(base::Offset Fencing, base::TimePoint Now) {
  Policy Rules = policyOf(this->Config->ActivePreset);
  std::map<base::ModelId, ModelDemand> Demand = this->demand(rulesOf(Rules));
  std::set<base::TargetId> Live = this->liveTargets(Now);
  PlanInput Input{
      *this->Config,
      this->Memory,
      Demand,
      Live,
      this->Budget.modelLoads(Now, this->Orders.inFlight(OrderKind::LoadModel)),
      this->Budget.adapterLoads(this->Orders.inFlight(OrderKind::LoadAdapter)),
      this->Budget.storeUsable()};
  this->LastPlan = Planner(this->Settings.Planner).plan(Input, Rules);
  if (this->LastPlan.Moves.size() > MaxMoves)
    this->LastPlan.Moves.resize(MaxMoves);
  for (const Move &Each : this->LastPlan.Moves)
    if (this->Orders.submit(Each, Fencing, Now) &&
        Each.Kind == OrderKind::LoadModel)
      this->Budget.loadStarted();
}

bool Controller::mayRoute(const base::TargetId &Target,
                          const base::ModelId &Model,
                          const base::AdapterId &Adapter) const {
  auto Known = this->Config->Targets.find(Target);
  if (Known == this->Config->Targets.end())
    return true;
  bool Unloading = false;
  std::size_t Count = Known->second.Accelerators.size();
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    for (const auto &[What, Copy] : this->Memory.residents({Target, Index})) {
      if (What.Model != Model || What.Adapter != Adapter)
        continue;
      if (Copy.Confirmed)
        return true;
      Unloading = true;
    }
  return !Unloading;
}

PlacementStatus Controller::status(base::TimePoint Now) const {
  PlacementStatus Out;
  Out.Lease = this->Log.lease();
  Out.HeldHere = this->Lease.held(Now).has_value();
  Out.OpenOrders = this->Log.open().size();
  Out.LoadsDone = this->LoadsDone;
  std::set<base::TargetId> Live = this->liveTargets(Now);
  std::map<base::ModelId, std::set<base::ZoneId>> Zones;
  std::set<std::pair<base::ModelId, base::AdapterId>> Adapters;
  for (const AcceleratorId &Where : this->Memory.accelerators()) {
    if (Live.count(Where.Target) == 0)
      continue;
    for (const auto &[What, Known] : this->Memory.residents(Where)) {
      if (!Known.Confirmed)
        continue;
      if (What.isModel())
        Zones[What.Model].insert(this->Config->Targets.at(Where.Target).Zone);
      else
        Adapters.emplace(What.Model, What.Adapter);
    }
  }
  for (const auto &[Id, Each] : this->Config->Models) {
    if (Zones.count(Id) == 0)
      Out.Unreachable.push_back({{Id, Each.Version, {}}, false});
    else if (Zones.at(Id).size() == 1)
      Out.OneZoneOnly.push_back(Id);
    for (const state::Adapter &Adapter : Each.Adapters)
      if (Adapters.count({Id, Adapter.Id}) == 0)
        Out.Unreachable.push_back({{Id, {}, Adapter.Id}, false});
  }
  return Out;
}

} // namespace kingcuphub::placement
