#include "placementsimulation.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kingcuphub::placement::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds TimeStep{100};
constexpr milliseconds PollInterval{500};
/// How late a copy of an order may reach an engine that honours fencing.
constexpr std::int64_t MaxFencedDelayMs = 120000;
/// After a loss, an unload that was planned before it may still arrive for this
/// long.
constexpr seconds LossDetectionTime{40};
/// How far the clock rates of instances differ: less than the lease allows for.
constexpr double ClockError = 0.03;

} // namespace

PlacementSimulation::PlacementSimulation(SimulationSettings Settings,
                                         std::uint64_t Seed)
    : Settings(Settings), Random(Seed),
      Config(std::make_shared<state::Config>()) {
  for (unsigned Zone = 0; Zone < Settings.Zones; ++Zone)
    for (unsigned Index = 0; Index < Settings.EnginesPerZone; ++Index) {
      Engine New;
      New.Id = {"engine-" + std::to_string(Zone) + std::to_string(Index)};
      New.Zone = {"zone-" + std::to_string(Zone)};
      New.Fencing = this->Engines.size() % 2 == 0;
      New.Sizes.assign(Settings.AcceleratorsPerEngine,
                       Settings.AcceleratorSize);
      New.Items.resize(New.Sizes.size());
      state::Target Target;
      Target.Id = New.Id;
      Target.Zone = New.Zone;
      Target.Fencing = New.Fencing;
      Target.Accelerators = New.Sizes;
      this->Config->Targets[New.Id] = Target;
      this->Engines.push_back(std::move(New));
    }
  for (unsigned Index = 0; Index < Settings.Models; ++Index) {
    state::Model Model;
    Model.Id = {"model-" + std::to_string(Index)};
    Model.Version = "1";
    Model.Weights = Settings.ModelSize;
    Model.Adapters.push_back(
        {{"adapter-" + std::to_string(Index)}, Settings.AdapterSize});
    this->Config->Models[Model.Id] = Model;
    this->Demand.push_back(200);
  }
  for (unsigned Index = 0; Index < Settings.Instances; ++Index) {
    Instance New;
    New.Id = {"instance-" + std::to_string(Index)};
    New.ClockRate =
        1 + ClockError *
                (static_cast<double>(Index) - (Settings.Instances - 1) / 2.0) /
                Settings.Instances;
    this->Instances.push_back(std::move(New));
  }
  for (std::size_t Index = 0; Index < this->Instances.size(); ++Index)
    this->restartInstance(Index);
}

milliseconds PlacementSimulation::random(std::int64_t Least,
                                         std::int64_t Most) {
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(Least, Most)(this->Random));
}

bool PlacementSimulation::withProbability(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) <
         Probability;
}

base::TimePoint PlacementSimulation::clockOf(const Instance &Current) const {
  double Passed = std::chrono::duration<double>(
                      this->Now - base::TimePoint(std::chrono::hours(1)))
                      .count() *
                  Current.ClockRate;
  return base::TimePoint(std::chrono::hours(10)) +
         std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double>(Passed));
}

void PlacementSimulation::schedule(base::TimePoint When,
                                   std::function<void()> Run) {
  this->Events.push_back({When, this->NextEvent++, std::move(Run)});
}

void PlacementSimulation::run(milliseconds Time) {
  for (base::TimePoint End = this->Now + Time; this->Now < End;)
    this->step();
}

void PlacementSimulation::step() {
  this->Now += TimeStep;
  std::vector<Event> Due;
  std::erase_if(this->Events, [&](Event &Each) {
    if (Each.At > this->Now)
      return false;
    Due.push_back(std::move(Each));
    return true;
  });
  std::sort(Due.begin(), Due.end(), [](const Event &Left, const Event &Right) {
    return std::tie(Left.At, Left.Order) < std::tie(Right.At, Right.Order);
  });
  for (Event &Each : Due)
    Each.Run();
  for (Engine &Each : this->Engines)
    this->snapshot(Each);
  for (Instance &Each : this->Instances)
    if (this->Now >= Each.PausedUntil)
      this->runInstance(Each);
  this->checkHolders();
}

void PlacementSimulation::snapshot(Engine &Current) {
  MemoryReport Report;
  Report.Target = Current.Id;
  Report.Incarnation = base::Incarnation{Current.Incarnation};
  Report.Sequence = ++Current.Sequence;
  for (std::uint32_t Index = 0; Index < Current.Items.size(); ++Index) {
    base::Bytes Used;
    for (const auto &[What, Size] : Current.Items[Index]) {
      Report.Items.push_back({What, Index, Size});
      Used += Size;
    }
    Report.Used.push_back(Used);
  }
  Current.History.emplace_back(this->Now, std::move(Report));
  while (Current.History.front().first + this->Settings.ReportLag < this->Now)
    Current.History.pop_front();
}

void PlacementSimulation::runInstance(Instance &Current) {
  std::size_t Index =
      static_cast<std::size_t>(&Current - this->Instances.data());
  base::TimePoint Clock = this->clockOf(Current);
  bool LogUnavailable = this->Now < this->LogUnavailableUntil;
  if (!LogUnavailable)
    this->read(Current);
  if (this->Now >= Current.PolledAt + PollInterval) {
    Current.PolledAt = this->Now;
    this->poll(Current);
  }
  for (std::size_t Model = 0; Model < this->Demand.size(); ++Model)
    Current.Placement->onDemand(
        {"model-" + std::to_string(Model)},
        this->Demand[Model] * std::chrono::duration<double>(TimeStep).count());
  for (ControllerCommand &Each :
       Current.Placement->tick(Clock, !LogUnavailable))
    this->handleCommand(Index, std::move(Each));
}

void PlacementSimulation::read(Instance &Current) {
  // A reader may be one record behind.
  std::size_t Until = this->Log.size();
  if (Until > 0 && this->withProbability(0.1))
    --Until;
  for (; Current.NextRecord < Until; ++Current.NextRecord)
    Current.Placement->onRecord(base::Offset{Current.NextRecord},
                                this->Log[Current.NextRecord],
                                this->clockOf(Current));
}

void PlacementSimulation::poll(Instance &Current) {
  for (Engine &Each : this->Engines) {
    if (!Each.Reachable || Each.History.empty() ||
        (this->LossyNetwork && this->withProbability(0.1)))
      continue;
    std::size_t Age = std::uniform_int_distribution<std::size_t>(
        0, Each.History.size() - 1)(this->Random);
    MemoryReport Report = Each.History[Age].second;
    Report.RequestedAt = this->clockOf(Current);
    Current.Placement->onReport(Report);
  }
}

void PlacementSimulation::handleCommand(std::size_t Index,
                                        ControllerCommand Command) {
  Instance &Current = this->Instances[Index];
  wire::Record Record;
  Record.set_base_offset(Current.NextRecord);
  Record.set_author(Current.Id.Value);
  Record.set_id(std::to_string(this->NextEvent));
  if (auto *Lease = std::get_if<AppendLease>(&Command)) {
    Record.set_id(Lease->RecordId);
    *Record.mutable_lease() = Lease->Body;
  } else if (auto *Intent = std::get_if<AppendIntent>(&Command)) {
    *Record.mutable_order_intent() = toWire(Intent->What);
  } else if (auto *Outcome = std::get_if<AppendOutcome>(&Command)) {
    Record.mutable_order_outcome()->set_order(Outcome->Id.Value);
    Record.mutable_order_outcome()->set_result(
        Outcome->Answer == OrderAnswer::Done ? wire::ORDER_RESULT_DONE
                                             : wire::ORDER_RESULT_NOT_DONE);
    Record.mutable_order_outcome()->set_fencing(Outcome->HolderFencing.Value);
  } else if (auto *Send = std::get_if<SendOrder>(&Command)) {
    this->send(Index, *Send);
    return;
  }
  this->append(std::move(Record));
}

void PlacementSimulation::append(wire::Record Record) {
  if (this->Now < this->LogUnavailableUntil)
    return;
  auto Append = [this, Record] {
    if (this->Now >= this->LogUnavailableUntil)
      this->Log.push_back(Record);
  };
  if (this->LossyNetwork && this->withProbability(0.05))
    return;
  this->schedule(this->Now + this->random(0, 200), Append);
  // A duplicate arrives late.
  if (this->LossyNetwork && this->withProbability(0.05))
    this->schedule(this->Now + this->random(200, 8000), Append);
}

void PlacementSimulation::send(std::size_t Index, const SendOrder &Sent) {
  Instance &Current = this->Instances[Index];
  OrderId Id = Sent.What.Id;
  std::uint64_t InstanceIncarnation = Current.Incarnation;
  auto NoAnswer = [this, Index, InstanceIncarnation, Id] {
    Instance &Sender = this->Instances[Index];
    if (Sender.Incarnation == InstanceIncarnation)
      Sender.Placement->onAnswer(Id, std::nullopt, this->clockOf(Sender));
  };
  if (Current.Placement->held(this->clockOf(Current)) != Sent.HolderFencing) {
    NoAnswer();
    return;
  }
  bool Lost = this->LossyNetwork && this->withProbability(0.15);
  bool Duplicated = this->LossyNetwork && this->withProbability(0.15);
  bool Late = this->LossyNetwork && this->withProbability(0.15);
  auto Host = std::find_if(
      this->Engines.begin(), this->Engines.end(),
      [&](const Engine &Each) { return Each.Id == Sent.What.Where.Target; });
  std::int64_t MaxDelayMs =
      Host->Fencing ? MaxFencedDelayMs
                    : std::chrono::duration_cast<milliseconds>(
                          this->Settings.Controller.Ledger.ExpiryMargin / 2)
                          .count();
  auto Deliver = [&](base::TimePoint When) {
    // A copy later than half the margin is lost if the engine restarts, as its
    // connection ends with the process.
    bool EndsWithinMargin =
        When <= this->Now + this->Settings.Controller.Ledger.ExpiryMargin / 2;
    this->schedule(When, [this, Index, InstanceIncarnation, Sent,
                          EndsWithinMargin,
                          EngineIncarnation = Host->Incarnation] {
      this->deliver(Index, InstanceIncarnation, Sent,
                    EndsWithinMargin ? std::nullopt
                                     : std::make_optional(EngineIncarnation));
    });
  };
  if (Lost) {
    this->schedule(this->Now + seconds(2), NoAnswer);
  } else if (Late) {
    this->schedule(this->Now + seconds(2), NoAnswer);
    Deliver(this->Now + this->random(0, MaxDelayMs));
  } else {
    Deliver(this->Now + this->random(0, 300));
  }
  if (Duplicated)
    Deliver(this->Now + this->random(0, MaxDelayMs));
}

void PlacementSimulation::deliver(
    std::size_t Index, std::uint64_t InstanceIncarnation, const SendOrder &Sent,
    std::optional<std::uint64_t> EngineIncarnation) {
  OrderId Id = Sent.What.Id;
  auto Host = std::find_if(
      this->Engines.begin(), this->Engines.end(),
      [&](const Engine &Each) { return Each.Id == Sent.What.Where.Target; });
  std::optional<OrderAnswer> Answer;
  if (Host->Reachable &&
      EngineIncarnation.value_or(Host->Incarnation) == Host->Incarnation)
    Answer = this->execute(*Host, Sent);
  if (Answer && this->LossyNetwork && this->withProbability(0.1))
    Answer.reset();
  std::int64_t Delay = Sent.What.Kind == OrderKind::LoadModel ? 2000 : 100;
  this->schedule(this->Now + this->random(0, Delay),
                 [this, Index, InstanceIncarnation, Id, Answer] {
                   Instance &Sender = this->Instances[Index];
                   if (Sender.Incarnation == InstanceIncarnation)
                     Sender.Placement->onAnswer(Id, Answer,
                                                this->clockOf(Sender));
                 });
}

std::optional<OrderAnswer> PlacementSimulation::execute(Engine &Host,
                                                        const SendOrder &Sent) {
  const Order &What = Sent.What;
  if (auto First = Host.Answers.find(What.Id); First != Host.Answers.end()) {
    Host.NewestFencing = std::max(Host.NewestFencing, Sent.HolderFencing.Value);
    return First->second;
  }
  if (Host.Fencing && Sent.HolderFencing.Value < Host.NewestFencing) {
    ++this->Refused;
    return OrderAnswer::NotDone;
  }
  Host.NewestFencing = std::max(Host.NewestFencing, Sent.HolderFencing.Value);
  ++this->Executed;
  auto &Items = Host.Items[What.Where.Index];
  OrderAnswer Answer = OrderAnswer::Done;
  if (What.Kind == OrderKind::LoadModel &&
      this->Now < this->StoreUnavailableUntil) {
    Answer = OrderAnswer::NotDone;
  } else if (takesMemory(What.Kind)) {
    Items[What.OrderedItem] = What.Size;
    this->checkMemory(Host, Sent);
  } else {
    Items.erase(What.OrderedItem);
    if (What.OrderedItem.isModel())
      this->checkUnload(Host, What);
  }
  Host.Answers[What.Id] = Answer;
  return Answer;
}

void PlacementSimulation::checkMemory(const Engine &Host,
                                      const SendOrder &Sent) {
  base::Bytes Used;
  std::uint32_t Index = Sent.What.Where.Index;
  for (const auto &[What, Size] : Host.Items[Index])
    Used += Size;
  if (Used > Host.Sizes[Index])
    this->Violations.push_back(
        "memory of " + Host.Id.Value +
        " overcommitted: " + std::to_string(Used.Value) + " of " +
        std::to_string(Host.Sizes[Index].Value) + " by " + Sent.What.Id.Value);
}

bool PlacementSimulation::isReachable(const base::ModelId &Model) const {
  for (const Engine &Each : this->Engines) {
    if (!Each.Reachable || this->Config->ZonesOut.count(Each.Zone) != 0)
      continue;
    for (const auto &Items : Each.Items)
      for (const auto &[What, Size] : Items)
        if (What.isModel() && What.Model == Model)
          return true;
  }
  return false;
}

void PlacementSimulation::checkUnload(const Engine &Host, const Order &What) {
  if (this->isReachable(What.OrderedItem.Model) ||
      this->Now < this->LastLoss + LossDetectionTime)
    return;
  this->Violations.push_back("order " + What.Id.Value + " unloaded " +
                             What.OrderedItem.Model.Value + " from " +
                             Host.Id.Value + ", its last reachable replica");
}

void PlacementSimulation::checkHolders() {
  std::size_t Holders = 0;
  for (const Instance &Each : this->Instances)
    if (Each.Placement->held(this->clockOf(Each)))
      ++Holders;
  if (Holders > 1)
    this->Violations.push_back("two instances hold the lease");
}

void PlacementSimulation::publish() {
  for (Instance &Each : this->Instances)
    Each.Placement->onConfig(std::make_shared<state::Config>(*this->Config));
}

void PlacementSimulation::pause(std::size_t Index, milliseconds Time) {
  Instance &Current = this->Instances[Index % this->Instances.size()];
  Current.PausedUntil = std::max(Current.PausedUntil, this->Now + Time);
}

void PlacementSimulation::restartInstance(std::size_t Index) {
  Instance &Current = this->Instances[Index % this->Instances.size()];
  ++Current.Incarnation;
  Current.Placement = std::make_unique<Controller>(
      Current.Id, base::Incarnation{Current.Incarnation},
      this->Settings.Controller, std::mt19937_64(this->Random()));
  Current.Placement->onConfig(std::make_shared<state::Config>(*this->Config));
  Current.NextRecord = 0;
  Current.PolledAt = {};
  // A restarted instance starts from the state of a snapshot.
  OrderLog State;
  for (std::size_t Each = 0; Each < this->Log.size(); ++Each)
    State.reduce(base::Offset{Each}, this->Log[Each]);
  if (!Current.Placement->load(State.save(), this->clockOf(Current)))
    this->Violations.push_back("a saved state was not loaded");
  Current.NextRecord = this->Log.size();
}

void PlacementSimulation::restartEngine(std::size_t Index) {
  Engine &Current = this->Engines[Index % this->Engines.size()];
  ++Current.Incarnation;
  Current.Sequence = 0;
  Current.NewestFencing = 0;
  Current.Answers.clear();
  for (auto &Each : Current.Items)
    Each.clear();
  Current.History.clear();
  this->LastLoss = this->Now;
}

void PlacementSimulation::setReachable(std::size_t Index, bool Reachable) {
  this->Engines[Index % this->Engines.size()].Reachable = Reachable;
  this->LastLoss = this->Now;
}

void PlacementSimulation::stopLog(milliseconds Time) {
  this->LogUnavailableUntil = this->Now + Time;
}

void PlacementSimulation::stopStore(milliseconds Time) {
  this->StoreUnavailableUntil = this->Now + Time;
}

void PlacementSimulation::setZoneOut(std::size_t Index, bool Out) {
  base::ZoneId Zone{"zone-" + std::to_string(Index % this->Settings.Zones)};
  if (Out)
    this->Config->ZonesOut = {Zone};
  else
    this->Config->ZonesOut.clear();
  this->LastLoss = this->Now;
  this->publish();
}

void PlacementSimulation::changeVersion(std::size_t Model) {
  auto &Current = this->Config->Models.at(
      {"model-" + std::to_string(Model % this->Settings.Models)});
  Current.Version = std::to_string(std::stoi(Current.Version) + 1);
  this->publish();
}

void PlacementSimulation::setDemand(std::size_t Model, double TokensPerSecond) {
  this->Demand[Model % this->Settings.Models] = TokensPerSecond;
}

void PlacementSimulation::usePreset(state::Preset Preset) {
  this->Config->ActivePreset = Preset;
  this->publish();
}

void PlacementSimulation::clearFaults() {
  this->LossyNetwork = false;
  this->LogUnavailableUntil = {};
  this->StoreUnavailableUntil = {};
  for (Engine &Each : this->Engines)
    Each.Reachable = true;
  for (Instance &Each : this->Instances)
    Each.PausedUntil = {};
}

std::vector<std::string> PlacementSimulation::unreachable() const {
  std::vector<std::string> Out;
  for (const auto &[Id, Each] : this->Config->Models)
    if (!this->isReachable(Id))
      Out.push_back(Id.Value);
  return Out;
}

std::vector<std::string> PlacementSimulation::inFewerThanTwoZones() const {
  std::vector<std::string> Out;
  for (const auto &[Id, Each] : this->Config->Models) {
    std::set<base::ZoneId> Zones;
    for (const Engine &Host : this->Engines)
      for (const auto &Items : Host.Items)
        for (const auto &[What, Size] : Items)
          if (What.isModel() && What.Model == Id && Host.Reachable &&
              this->Config->ZonesOut.count(Host.Zone) == 0)
            Zones.insert(Host.Zone);
    if (Zones.size() < 2)
      Out.push_back(Id.Value);
  }
  return Out;
}

std::string PlacementSimulation::describe() const {
  std::string Out;
  for (const Engine &Each : this->Engines) {
    Out += Each.Id.Value + (Each.Fencing ? " fencing" : " ignores") + ":";
    for (const auto &Items : Each.Items)
      for (const auto &[What, Size] : Items)
        Out += " " + What.Model.Value + "@" + What.Version + What.Adapter.Value;
    Out += "\n";
  }
  for (const Instance &Each : this->Instances)
    Out += Each.Id.Value +
           (Each.Placement->held(this->clockOf(Each)) ? " holds" : "") +
           " open orders " +
           std::to_string(Each.Placement->orderLog().open().size()) +
           " unsettled " +
           std::to_string(Each.Placement->memory().orders().size()) + "\n";
  for (const Instance &Each : this->Instances) {
    if (!Each.Placement->held(this->clockOf(Each)))
      continue;
    Out += "planned:";
    for (const Move &Made : Each.Placement->lastPlan().Moves)
      Out += " " + std::string(moveReasonName(Made.Reason)) + " " +
             std::string(orderKindName(Made.Kind)) + " " +
             Made.What.Model.Value + " " + Made.Where.Target.Value + ";";
    for (const auto &[Id, Open] : Each.Placement->memory().orders())
      Out += " open " + Id.Value +
             (Open.EngineRestarted ? " engine restarted" : "");
    for (const AcceleratorId &Where : Each.Placement->memory().accelerators())
      Out += " " + Where.Target.Value + " free " +
             std::to_string(Each.Placement->memory().free(Where).Value);
    Out += "\n";
  }
  for (const base::ZoneId &Each : this->Config->ZonesOut)
    Out += "out: " + Each.Value + "\n";
  return Out;
}

} // namespace kingcuphub::placement::test
