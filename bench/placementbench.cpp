/// \file
/// Placement measured on the two deployments' traces: the real controller
/// (lease, orders, ledger, forecast, planner) against static placement and
/// least-recently-used loading on the same demand. An engine is its memory
/// and a rate; see docs/measurements/placement.md.

#include "placement/controller.h"
#include "replay/generator.h"

#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <set>

namespace {

using namespace kingcuphub;
using namespace kingcuphub::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr PlannerSettings Rates{2000, 1200};
constexpr seconds LoadTime{10};
constexpr seconds ShortTime{1};
constexpr double ZoneOutFrom = 0.55;
constexpr double ZoneOutUntil = 0.75;
constexpr double MeanRequestTokens = 600;
constexpr int RoutingRounds = 12;

/// Models on accelerators, and what they serve.
struct Cluster {
  explicit Cluster(const replay::TraceHeader &From) : Header(From) {
    for (const replay::TraceTarget &Each : From.Targets)
      for (std::size_t Index = 0; Index < Each.AcceleratorMegaBytes.size();
           ++Index) {
        this->Where.push_back({Each.Id, static_cast<std::uint32_t>(Index)});
        this->Zones.push_back(Each.Zone);
        this->Sizes.push_back(Each.AcceleratorMegaBytes[Index]);
      }
    this->Held.resize(this->Where.size());
  }

  std::int64_t footprint(std::size_t Model) const {
    const replay::TraceModel &Of = this->Header.Models[Model];
    std::int64_t Out = Of.WeightMegaBytes + Of.KvMegaBytes;
    for (const replay::TraceAdapter &Each : Of.Adapters)
      Out += Each.MegaBytes;
    return Out;
  }
  std::int64_t freeAt(std::size_t Index) const {
    std::int64_t Free = this->Sizes[Index];
    for (std::size_t Model : this->Held[Index])
      Free -= this->footprint(Model);
    return Free;
  }
  bool live(std::size_t Index) const {
    return this->Zones[Index] != this->ZoneOut;
  }

  /// Tokens of each model that are served of \p Demand in a second; where
  /// they were served goes into Flow.
  std::vector<double> serve(const std::vector<double> &Demand) {
    std::size_t Count = this->Where.size();
    this->Flow.assign(Demand.size(), std::vector<double>(Count, 0));
    std::vector<double> Load(Count, 0);
    for (int Round = 0; Round < RoutingRounds; ++Round) {
      std::vector<double> Sum(Demand.size(), 0);
      for (std::size_t Index = 0; Index < Count; ++Index)
        for (std::size_t Model : this->Held[Index]) {
          if (!this->live(Index))
            continue;
          double &Part = this->Flow[Model][Index];
          double Shift = std::clamp(
              Rates.AcceleratorRate / std::max(1.0, Load[Index]), 0.25, 4.0);
          Part = Round == 0 ? 1 : Part * Shift;
          Sum[Model] += Part;
        }
      std::fill(Load.begin(), Load.end(), 0);
      for (std::size_t Model = 0; Model < Demand.size(); ++Model)
        for (std::size_t Index = 0; Index < Count; ++Index)
          if (Sum[Model] > 0) {
            this->Flow[Model][Index] *= Demand[Model] / Sum[Model];
            Load[Index] += this->Flow[Model][Index];
          }
    }
    std::vector<double> Served(Demand.size(), 0);
    for (std::size_t Model = 0; Model < Demand.size(); ++Model)
      for (std::size_t Index = 0; Index < Count; ++Index) {
        double Part = Load[Index] > Rates.AcceleratorRate
                          ? Rates.AcceleratorRate / Load[Index]
                          : 1;
        Served[Model] +=
            std::min(this->Flow[Model][Index] * Part, Rates.ReplicaRate);
      }
    return Served;
  }

  std::size_t unreachable() const {
    std::set<std::size_t> Reached;
    for (std::size_t Index = 0; Index < this->Held.size(); ++Index)
      if (this->live(Index))
        Reached.insert(this->Held[Index].begin(), this->Held[Index].end());
    return this->Header.Models.size() - Reached.size();
  }

  const replay::TraceHeader &Header;
  std::vector<AcceleratorId> Where;
  std::vector<base::ZoneId> Zones;
  std::vector<std::int64_t> Sizes;
  std::vector<std::set<std::size_t>> Held;
  std::vector<std::vector<double>> Flow;
  base::ZoneId ZoneOut;
};

/// Two zones for each model, then the rest of the memory by mean demand,
/// which a static placement is given in advance.
void placeStatic(Cluster &On, const std::vector<double> &Mean) {
  std::vector<std::size_t> Replicas(Mean.size(), 0);
  std::vector<std::set<base::ZoneId>> Zones(Mean.size());
  std::vector<double> Load(On.Where.size(), 0);
  auto Place = [&](std::size_t Model) {
    std::optional<std::size_t> Best;
    bool NewZone = Zones[Model].size() < 2;
    for (std::size_t Index = 0; Index < On.Where.size(); ++Index) {
      if (On.freeAt(Index) < On.footprint(Model) ||
          On.Held[Index].count(Model) != 0 ||
          (NewZone && Zones[Model].count(On.Zones[Index]) != 0))
        continue;
      if (!Best || Load[Index] < Load[*Best])
        Best = Index;
    }
    if (!Best)
      return false;
    On.Held[*Best].insert(Model);
    Zones[Model].insert(On.Zones[*Best]);
    ++Replicas[Model];
    Load[*Best] += Mean[Model] / static_cast<double>(Replicas[Model]);
    return true;
  };
  for (int Round = 0; Round < 2; ++Round)
    for (std::size_t Model = 0; Model < Mean.size(); ++Model)
      Place(Model);
  std::set<std::size_t> Full;
  while (Full.size() < Mean.size()) {
    std::optional<std::size_t> Next;
    for (std::size_t Model = 0; Model < Mean.size(); ++Model)
      if (Full.count(Model) == 0 &&
          (!Next || Mean[Model] / static_cast<double>(Replicas[Model]) >
                        Mean[*Next] / static_cast<double>(Replicas[*Next])))
        Next = Model;
    if (!Place(*Next))
      Full.insert(*Next);
  }
}

/// What changes the placement from second to second.
class Strategy {
public:
  virtual ~Strategy() = default;
  virtual void step(Cluster &On, seconds Now, const std::vector<double> &Demand,
                    const std::vector<double> &Served) = 0;
  virtual std::size_t moves() const = 0;
};

class StaticStrategy final : public Strategy {
public:
  void step(Cluster &, seconds, const std::vector<double> &,
            const std::vector<double> &) override {}
  std::size_t moves() const override { return 0; }
};

/// Loads a model wherever demand goes unserved, in the place of the least
/// recently used ones, within the same limits of the weight store.
class RecencyStrategy final : public Strategy {
public:
  explicit RecencyStrategy(std::uint64_t Seed) : Random(Seed) {}

  void step(Cluster &On, seconds Now, const std::vector<double> &Demand,
            const std::vector<double> &Served) override {
    std::erase_if(this->Loading, [&](const Load &Each) {
      if (Each.Until > Now)
        return false;
      On.Held[Each.Where].insert(Each.Model);
      return true;
    });
    this->touch(On, Now);
    this->Available = std::min(2.0, this->Available + On.Header.LoadsPerSecond);
    std::vector<std::size_t> Short;
    for (std::size_t Model = 0; Model < Demand.size(); ++Model)
      if (Demand[Model] - Served[Model] > 0.05 * Rates.AcceleratorRate &&
          !this->isLoading(Model))
        Short.push_back(Model);
    std::sort(Short.begin(), Short.end(), [&](auto Left, auto Right) {
      return Demand[Left] - Served[Left] > Demand[Right] - Served[Right];
    });
    for (std::size_t Model : Short)
      if (this->Available >= 1 && this->Loading.size() < On.Header.LoadsAtOnce)
        this->load(On, Now, Model);
  }
  std::size_t moves() const override { return this->Moves; }

private:
  struct Load {
    std::size_t Model;
    std::size_t Where;
    seconds Until;
  };

  void touch(const Cluster &On, seconds Now) {
    std::uniform_real_distribution<double> Chance(0, 1);
    for (std::size_t Index = 0; Index < On.Held.size(); ++Index)
      for (std::size_t Model : On.Held[Index])
        if (!On.Flow.empty() &&
            Chance(this->Random) < On.Flow[Model][Index] / MeanRequestTokens)
          this->UsedAt[{Index, Model}] = Now;
  }
  bool isLoading(std::size_t Model) const {
    return std::any_of(this->Loading.begin(), this->Loading.end(),
                       [Model](const Load &Of) { return Of.Model == Model; });
  }
  seconds usedAt(std::size_t Index, std::size_t Model) const {
    auto Known = this->UsedAt.find({Index, Model});
    return Known == this->UsedAt.end() ? seconds(-1) : Known->second;
  }

  void load(Cluster &On, seconds Now, std::size_t Model) {
    std::optional<std::size_t> Best;
    seconds BestUsed{};
    for (std::size_t Index = 0; Index < On.Held.size(); ++Index) {
      if (!On.live(Index) || On.Held[Index].count(Model) != 0 ||
          std::any_of(this->Loading.begin(), this->Loading.end(),
                      [Index](const Load &Of) { return Of.Where == Index; }))
        continue;
      seconds Used = seconds::max();
      for (std::size_t Other : On.Held[Index])
        Used = std::min(Used, this->usedAt(Index, Other));
      if (!Best || Used < BestUsed) {
        Best = Index;
        BestUsed = Used;
      }
    }
    if (!Best)
      return;
    while (On.freeAt(*Best) < On.footprint(Model) && !On.Held[*Best].empty())
      On.Held[*Best].erase(*std::min_element(
          On.Held[*Best].begin(), On.Held[*Best].end(),
          [&](std::size_t Left, std::size_t Right) {
            return this->usedAt(*Best, Left) < this->usedAt(*Best, Right);
          }));
    this->Available -= 1;
    ++this->Moves;
    this->Loading.push_back({Model, *Best, Now + LoadTime});
  }

  std::mt19937_64 Random;
  std::vector<Load> Loading;
  std::map<std::pair<std::size_t, std::size_t>, seconds> UsedAt;
  double Available = 0;
  std::size_t Moves = 0;
};

state::Config configOf(const replay::TraceHeader &From) {
  state::Config Out;
  for (const replay::TraceTarget &Each : From.Targets) {
    if (Each.AcceleratorMegaBytes.empty())
      continue;
    state::Target Target;
    Target.Id = Each.Id;
    Target.Zone = Each.Zone;
    Target.Fencing = Each.Fencing;
    for (std::int64_t Size : Each.AcceleratorMegaBytes)
      Target.Accelerators.push_back({Size});
    Out.Targets[Each.Id] = Target;
  }
  for (const replay::TraceModel &Each : From.Models) {
    state::Model Model;
    Model.Id = Each.Id;
    Model.Version = "1";
    Model.Weights = {Each.WeightMegaBytes};
    Model.KvReserve = {Each.KvMegaBytes};
    for (const replay::TraceAdapter &Adapter : Each.Adapters)
      Model.Adapters.push_back({Adapter.Id, {Adapter.MegaBytes}});
    Out.Models[Each.Id] = Model;
  }
  return Out;
}

/// The real controller against engines that carry out every order.
class PlannerStrategy final : public Strategy {
public:
  PlannerStrategy(const Cluster &On, state::Preset Preset)
      : Config(configOf(On.Header)) {
    ControllerSettings Settings;
    Settings.Planner = Rates;
    Settings.Ledger = {seconds(1), seconds(2)};
    Settings.Loads.LoadsPerSecond = On.Header.LoadsPerSecond;
    Settings.Loads.LoadsAtOnce = On.Header.LoadsAtOnce;
    Settings.Loads.AdapterLoadsAtOnce = On.Header.AdapterLoadsAtOnce;
    this->Config.ActivePreset = Preset;
    this->Placement = std::make_unique<Controller>(
        base::InstanceId{"bench"}, base::Incarnation{1}, Settings,
        std::mt19937_64(1));
    for (std::size_t Index = 0; Index < On.Header.Models.size(); ++Index)
      this->ModelIndex[On.Header.Models[Index].Id] = Index;
    for (std::size_t Index = 0; Index < On.Where.size(); ++Index) {
      this->WhereIndex[On.Where[Index]] = Index;
      for (std::size_t Model : On.Held[Index])
        this->addModel(On, Index, Model);
    }
    this->publish();
  }

  void step(Cluster &On, seconds Now, const std::vector<double> &Demand,
            const std::vector<double> &) override {
    base::TimePoint Clock = base::TimePoint(std::chrono::hours(1)) + Now;
    if (this->Config.ZonesOut.count(On.ZoneOut) == 0 ||
        this->Config.ZonesOut.empty()) {
      this->Config.ZonesOut.clear();
      if (!On.ZoneOut.empty())
        this->Config.ZonesOut.insert(On.ZoneOut);
      this->publish();
    }
    while (!this->Running.empty() && this->Running.front().first <= Now) {
      this->finish(On, this->Running.front().second, Clock);
      this->Running.pop_front();
    }
    this->report(On, Clock);
    for (std::size_t Model = 0; Model < Demand.size(); ++Model)
      this->Placement->onDemand(On.Header.Models[Model].Id, Demand[Model]);
    for (int Part = 0; Part < 4; ++Part)
      for (ControllerCommand &Each :
           this->Placement->tick(Clock + Part * milliseconds(250), true))
        this->carryOut(On, Now, Clock + Part * milliseconds(250), Each);
  }
  std::size_t moves() const override { return this->Moves; }

private:
  void addModel(const Cluster &On, std::size_t Index, std::size_t Model) {
    const replay::TraceModel &Of = On.Header.Models[Model];
    this->Items[Index][{Of.Id, "1", {}}] = {Of.WeightMegaBytes +
                                            Of.KvMegaBytes};
    for (const replay::TraceAdapter &Each : Of.Adapters)
      this->Items[Index][{Of.Id, {}, Each.Id}] = {Each.MegaBytes};
  }
  void publish() {
    this->Placement->onConfig(std::make_shared<state::Config>(this->Config));
  }
  void report(const Cluster &On, base::TimePoint Clock) {
    std::map<base::TargetId, MemoryReport> Reports;
    for (std::size_t Index = 0; Index < On.Where.size(); ++Index) {
      MemoryReport &Of = Reports[On.Where[Index].Target];
      Of.Target = On.Where[Index].Target;
      Of.Incarnation = {1};
      Of.Sequence = ++this->Sequence;
      Of.RequestedAt = Clock;
      for (const auto &[What, Size] : this->Items[Index])
        Of.Items.push_back({What, On.Where[Index].Index, Size});
    }
    for (const auto &[Id, Each] : Reports)
      this->Placement->onReport(Each);
  }
  void append(wire::Record Record, base::TimePoint Clock) {
    Record.set_id(std::to_string(this->Next));
    this->read(std::move(Record), Clock);
  }
  void read(wire::Record Record, base::TimePoint Clock) {
    Record.set_base_offset(this->Next);
    this->Placement->onRecord({this->Next}, Record, Clock);
    ++this->Next;
  }
  void carryOut(Cluster &On, seconds Now, base::TimePoint Clock,
                const ControllerCommand &Command) {
    wire::Record Record;
    if (const auto *Lease = std::get_if<AppendLease>(&Command)) {
      Record.set_id(Lease->RecordId);
      *Record.mutable_lease() = Lease->Body;
      this->read(std::move(Record), Clock);
    } else if (const auto *Intent = std::get_if<AppendIntent>(&Command)) {
      *Record.mutable_order_intent() = toWire(Intent->What);
      this->append(std::move(Record), Clock);
    } else if (const auto *Outcome = std::get_if<AppendOutcome>(&Command)) {
      Record.mutable_order_outcome()->set_order(Outcome->Id.Value);
      Record.mutable_order_outcome()->set_result(wire::ORDER_RESULT_DONE);
      Record.mutable_order_outcome()->set_fencing(Outcome->HolderFencing.Value);
      this->append(std::move(Record), Clock);
    } else if (const auto *Send = std::get_if<SendOrder>(&Command)) {
      this->begin(On, Now, Send->What);
    }
  }
  void begin(Cluster &On, seconds Now, const Order &What) {
    std::size_t Index = this->WhereIndex.at(What.Where);
    bool Loads = What.Kind == OrderKind::LoadModel;
    if (Loads)
      ++this->Moves;
    if (takesMemory(What.Kind))
      this->Reserved[Index] += What.Size.Value;
    if (What.Kind == OrderKind::UnloadModel)
      On.Held[Index].erase(this->ModelIndex.at(What.OrderedItem.Model));
    this->checkMemory(On, Index);
    auto At = std::find_if(
        this->Running.begin(), this->Running.end(), [&](const auto &Each) {
          return Each.first > Now + (Loads ? LoadTime : ShortTime);
        });
    this->Running.insert(At, {Now + (Loads ? LoadTime : ShortTime), What});
  }
  void finish(Cluster &On, const Order &What, base::TimePoint Clock) {
    std::size_t Index = this->WhereIndex.at(What.Where);
    if (takesMemory(What.Kind)) {
      this->Reserved[Index] -= What.Size.Value;
      this->Items[Index][What.OrderedItem] = What.Size;
      if (What.Kind == OrderKind::LoadModel)
        On.Held[Index].insert(this->ModelIndex.at(What.OrderedItem.Model));
    } else {
      this->Items[Index].erase(What.OrderedItem);
    }
    this->Placement->onAnswer(What.Id, OrderAnswer::Done, Clock);
  }
  void checkMemory(const Cluster &On, std::size_t Index) {
    std::int64_t Used = this->Reserved[Index];
    for (const auto &[What, Size] : this->Items[Index])
      Used += Size.Value;
    if (Used > On.Sizes[Index])
      std::cerr << "OVERCOMMITTED " << On.Where[Index].Target << "\n";
  }

  state::Config Config;
  std::unique_ptr<Controller> Placement;
  std::map<base::ModelId, std::size_t> ModelIndex;
  std::map<AcceleratorId, std::size_t> WhereIndex;
  std::map<std::size_t, std::map<Item, base::Bytes>> Items;
  std::map<std::size_t, std::int64_t> Reserved;
  std::deque<std::pair<seconds, Order>> Running;
  std::uint64_t Next = 0;
  std::uint64_t Sequence = 0;
  std::size_t Moves = 0;
};

struct Result {
  double Attainment = 0;
  double OutAttainment = 0;
  std::size_t Moves = 0;
  std::size_t UnreachableSeconds = 0;
};

Result simulate(
    Cluster On, const replay::DemandCurve &Curve, seconds Length,
    std::uint64_t Seed,
    const std::function<std::unique_ptr<Strategy>(const Cluster &)> &Make) {
  std::unique_ptr<Strategy> Of = Make(On);
  std::mt19937_64 Random(Seed);
  Result Out;
  double Offered = 0;
  double Served = 0;
  double OutOffered = 0;
  double OutServed = 0;
  base::ZoneId Zone = On.Zones.front();
  for (seconds Now{0}; Now < Length; ++Now) {
    double Part =
        static_cast<double>(Now.count()) / static_cast<double>(Length.count());
    bool ZoneOut = Part >= ZoneOutFrom && Part < ZoneOutUntil;
    On.ZoneOut = ZoneOut ? Zone : base::ZoneId();
    std::vector<double> Demand = Curve(Now);
    for (double &Each : Demand) {
      std::poisson_distribution<int> Requests(Each / MeanRequestTokens);
      Each = Requests(Random) * MeanRequestTokens;
    }
    std::vector<double> Got = On.serve(Demand);
    for (std::size_t Model = 0; Model < Demand.size(); ++Model) {
      Offered += Demand[Model];
      Served += Got[Model];
      OutOffered += ZoneOut ? Demand[Model] : 0;
      OutServed += ZoneOut ? Got[Model] : 0;
    }
    Of->step(On, Now, Demand, Got);
    Out.UnreachableSeconds += On.unreachable();
  }
  Out.Attainment = Served / Offered;
  Out.OutAttainment = OutServed / std::max(1.0, OutOffered);
  Out.Moves = Of->moves();
  return Out;
}

void print(const char *Name, const Result &Of, const Result &Static,
           std::size_t Accelerators) {
  std::cout << "  " << Name << ": attainment " << Of.Attainment
            << " per accelerator "
            << Of.Attainment / static_cast<double>(Accelerators)
            << " (x static " << Of.Attainment / Static.Attainment
            << "), zone out " << Of.OutAttainment << ", moves " << Of.Moves
            << ", unreachable model-seconds " << Of.UnreachableSeconds << "\n";
}

void compare(replay::DeploymentKind Kind, const char *Name,
             const replay::GeneratorSettings &Settings) {
  replay::TraceHeader Header = replay::deploymentOf(Kind);
  replay::DemandCurve Curve = replay::demandOf(Kind, Settings);
  std::vector<double> Mean(Header.Models.size(), 0);
  for (seconds Now{0}; Now < Settings.Length; ++Now) {
    std::vector<double> Demand = Curve(Now);
    for (std::size_t Model = 0; Model < Mean.size(); ++Model)
      Mean[Model] +=
          Demand[Model] / static_cast<double>(Settings.Length.count());
  }
  double Sum = 0;
  for (double Each : Mean)
    Sum += Each;
  Cluster Informed(Header);
  placeStatic(Informed, Mean);
  Cluster Even(Header);
  placeStatic(Even, std::vector<double>(Mean.size(), Sum / Mean.size()));
  std::size_t Count = Informed.Where.size();
  std::cout << Name << ": " << Count << " accelerators, " << Mean.size()
            << " models, mean demand "
            << Sum / (static_cast<double>(Count) * Rates.AcceleratorRate)
            << " of the accelerators' rate\n";
  auto Run = [&](const Cluster &From, auto Make) {
    return simulate(From, Curve, Settings.Length, Settings.Seed, Make);
  };
  auto MakeStatic = [](const Cluster &) {
    return std::make_unique<StaticStrategy>();
  };
  auto MakeRecency = [&](const Cluster &) {
    return std::make_unique<RecencyStrategy>(Settings.Seed);
  };
  Result Static = Run(Even, MakeStatic);
  print("static, even", Static, Static, Count);
  print("static, by mean demand known in advance", Run(Informed, MakeStatic),
        Static, Count);
  print("least recently used", Run(Even, MakeRecency), Static, Count);
  for (state::Preset Preset : {state::Preset::Ordinary, state::Preset::Peak,
                               state::Preset::Maintenance}) {
    std::string Label = "planner, " + std::string(state::presetName(Preset));
    print(Label.c_str(),
          Run(Even,
              [&](const Cluster &On) {
                return std::make_unique<PlannerStrategy>(On, Preset);
              }),
          Static, Count);
  }
}

/// One decision at the users' target size, with a zone just out.
void measureTargetSize() {
  constexpr unsigned Models = 490;
  constexpr unsigned Targets = 1700;
  constexpr unsigned Zones = 12;
  constexpr std::int64_t Size = 80000;
  constexpr std::int64_t Footprint = 18000;
  constexpr int Decisions = 5;
  state::Config Config;
  Ledger Memory;
  std::set<base::TargetId> Live;
  std::map<base::ModelId, ModelDemand> Demand;
  std::mt19937_64 Random(1);
  for (unsigned Index = 0; Index < Models; ++Index) {
    state::Model Model;
    Model.Id = {"model-" + std::to_string(Index)};
    Model.Version = "1";
    Model.Weights = {Footprint};
    Config.Models[Model.Id] = Model;
    double Tokens = 40000.0 / (1 + Index % 40);
    Demand[Model.Id] = {Tokens, Tokens};
  }
  base::TimePoint Now{std::chrono::hours(1)};
  for (unsigned Index = 0; Index < Targets; ++Index) {
    state::Target Target;
    Target.Id = {"engine-" + std::to_string(Index)};
    Target.Zone = {"zone-" + std::to_string(Index % Zones)};
    Target.Accelerators = {{Size}, {Size}};
    Config.Targets[Target.Id] = Target;
    Memory.setTarget(Target.Id, true, Target.Accelerators);
    MemoryReport Report{Target.Id, {1}, 1, Now, {}, {}};
    for (std::uint32_t Where = 0; Where < 2; ++Where)
      for (unsigned Slot = 0; Slot < 4; ++Slot)
        Report.Items.push_back(
            {{{"model-" + std::to_string(Random() % Models)}, "1", {}},
             Where,
             {Footprint}});
    Memory.report(Report);
    if (Index % Zones != 0)
      Live.insert(Target.Id);
  }
  PlanInput Input{Config, Memory, Demand, Live, 50, 500, true};
  std::vector<double> Took;
  std::size_t Moves = 0;
  for (int Each = 0; Each < Decisions; ++Each) {
    auto Began = std::chrono::steady_clock::now();
    Moves = Planner(Rates).plan(Input, OrdinaryPolicy{}).Moves.size();
    Took.push_back(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - Began)
            .count());
  }
  std::sort(Took.begin(), Took.end());
  std::cout << "target size: " << Models << " models, " << Targets
            << " targets, " << 2 * Targets << " accelerators, " << Zones
            << " zones: " << Moves << " moves, a decision takes "
            << Took[Decisions / 2] << " s (median), " << Took.back()
            << " s (most)\n";
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("placementbench", "placement against its baselines");
  Options.add_options()("seed", "of the traces",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "length of the traces",
      cxxopts::value<int>()->default_value("3600"))(
      "scale", "of the demand", cxxopts::value<double>()->default_value("1"))(
      "target-size", "measure a decision at target size only");
  auto Parsed = Options.parse(Count, Arguments);
  replay::GeneratorSettings Settings{Parsed["seed"].as<std::uint64_t>(),
                                     seconds(Parsed["seconds"].as<int>()),
                                     Parsed["scale"].as<double>()};
  measureTargetSize();
  if (Parsed.count("target-size") != 0)
    return 0;
  compare(replay::DeploymentKind::Zemgale, "zemgale", Settings);
  compare(replay::DeploymentKind::Soyapath, "soyapath", Settings);
  return 0;
}
