#include "residency/holder.h"

#include <functional>
#include <gtest/gtest.h>
#include <random>

using namespace kingcuphub;
using namespace kingcuphub::residency;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Tick{50};
constexpr milliseconds DayLength{30000};
constexpr std::size_t EngineCount = 112;
constexpr std::size_t InstanceCount = 73;
/// 680 requests per second.
constexpr std::size_t RequestsPerTick = 34;
constexpr double EngineMb = 220000;
constexpr double ModelMb = 66000;
constexpr double AdapterMb = 50;
constexpr unsigned AdapterSlots = 8;
constexpr double StoreLoadsPerSecond = 16;
constexpr milliseconds ModelLoad{1200};
constexpr milliseconds OrderAnswerDelay{7};
/// How long a request waits for a model or adapter that is not held.
constexpr milliseconds WaitForItem{400};
constexpr milliseconds WorkOfRequest{120};
/// Models by demand: the busy models get nearly all requests, the rare models
/// the rest, and the others none.
constexpr std::size_t BusyModels = 22;
constexpr std::size_t RareModels = 33;
constexpr std::size_t ModelCount = 155;
constexpr double RareFraction = 0.04;
constexpr double LargestFraction = 0.245;
constexpr std::size_t AdaptersOfLargest = 135;
constexpr std::size_t AdaptersOfOthers = 390;
/// Minimum requests, and time between the first and the last, for an item to be
/// checked by neverServed().
constexpr std::size_t LeastAsked = 4;
constexpr milliseconds LeastSpan{8000};
const catalog::ServiceId Pool{"pool"};

base::ModelId modelName(std::size_t Index) {
  return {"model-" + std::to_string(Index)};
}

/// Simulates a lease holder, engines that execute its orders, and demand
/// reported by many instances.
class DaySimulation {
public:
  explicit DaySimulation(std::uint64_t Seed) : Random(Seed), LeaseHolder({}) {
    auto New = std::make_shared<catalog::Catalog>();
    catalog::Engine Kind;
    Kind.WeightsMb = EngineMb;
    Kind.AdapterSlots = AdapterSlots;
    Kind.StoreLoadsPerSecond = StoreLoadsPerSecond;
    for (std::size_t Index = 0; Index < ModelCount; ++Index) {
      catalog::Model Model;
      Model.Id = modelName(Index);
      Model.WeightsMb = ModelMb;
      Model.Adapters = static_cast<unsigned>(adaptersOf(Index));
      Model.AdapterMb = AdapterMb;
      Model.StoreLoad = ModelLoad;
      Kind.Models[Model.Id] = Model;
    }
    New->Services[Pool].Id = Pool;
    New->Services[Pool].Engine = Kind;
    auto Listed = std::make_shared<catalog::TargetList>();
    for (std::size_t Index = 0; Index < EngineCount; ++Index) {
      catalog::Target Each;
      Each.Entry.Id = {"engine-" + std::to_string(Index)};
      Each.Entry.Service = Pool;
      Each.Entry.Lifetime.Value = 1;
      Listed->Targets[Each.Entry.Id] = Each;
      // Initially busy models are on several engines and the others on at most
      // one.
      auto &Models = this->Engines[Each.Entry.Id].Models;
      Models[modelName(Index % BusyModels)];
      if (Index + BusyModels < ModelCount)
        Models[modelName(Index + BusyModels)];
    }
    this->LeaseHolder.setCatalog(New, this->Now);
    this->LeaseHolder.setTargets(Listed, this->Now);
    this->LeaseHolder.setLease(FencingToken{1}, this->Now);
  }

  void run() {
    for (milliseconds Passed{0}; Passed < DayLength; Passed += Tick) {
      this->Now += Tick;
      // Every 10 s, demand moves from two of the busy models to two others.
      this->DemandShift =
          2 * static_cast<std::size_t>(Passed / milliseconds(10000));
      this->carryOutDue();
      this->sendRequests();
      this->answerWaiting();
      for (const HolderCommand &Each : this->LeaseHolder.tick(this->Now))
        this->carryOut(Each);
    }
  }

  /// Models and adapters that were requested repeatedly and never served.
  std::vector<std::string> neverServed() const {
    std::vector<std::string> Out;
    for (const auto &[What, Each] : this->Asked)
      if (Each.Count >= LeastAsked && Each.Last - Each.First >= LeastSpan &&
          Each.Served == 0)
        Out.push_back(What.Model.Value + "/" + What.Adapter.Value);
    return Out;
  }
  std::size_t itemsAsked() const { return this->Asked.size(); }

private:
  struct RequestCounts {
    std::size_t Count = 0;
    std::size_t Served = 0;
    base::TimePoint First;
    base::TimePoint Last;
  };
  struct Waiting {
    Item What;
    base::TimePoint Until;
  };
  struct DueAction {
    base::TimePoint At;
    std::function<void()> Action;
  };

  static std::size_t adaptersOf(std::size_t Model) {
    if (Model == 0)
      return AdaptersOfLargest;
    bool Has = Model % 2 == 0 && Model < BusyModels + RareModels;
    return Has ? AdaptersOfOthers / ((BusyModels + RareModels) / 2) : 0;
  }

  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  Item drawItem() {
    std::size_t Model = 0;
    if (double Fraction = this->draw(); Fraction < RareFraction)
      Model = BusyModels + this->Random() % RareModels;
    else if (Fraction > RareFraction + LargestFraction)
      Model = 1 + static_cast<std::size_t>(this->draw() * this->draw() *
                                           (BusyModels - 1));
    if (Model > 0 && Model < BusyModels)
      Model =
          1 + (Model - 1 + this->DemandShift) % (BusyModels + RareModels - 1);
    Item Out{modelName(Model), {}};
    if (std::size_t Count = adaptersOf(Model); Count > 0)
      Out.Adapter = {"a" + std::to_string(1 + this->Random() % Count)};
    return Out;
  }

  bool isHeld(const Item &What) const {
    for (const auto &[Id, Each] : this->Engines) {
      auto Found = Each.Models.find(What.Model);
      if (Found != Each.Models.end() &&
          (What.Adapter.empty() ||
           Found->second.Adapters.count(What.Adapter) != 0))
        return true;
    }
    return false;
  }

  void sendRequests() {
    std::map<std::size_t, std::vector<ItemUse>> Reports;
    for (std::size_t Each = 0; Each < RequestsPerTick; ++Each) {
      Item What = this->drawItem();
      RequestCounts &Counts = this->Asked[What];
      Counts.First = Counts.Count == 0 ? this->Now : Counts.First;
      Counts.Last = this->Now;
      ++Counts.Count;
      std::size_t Instance = this->Random() % InstanceCount;
      bool Held = this->isHeld(What);
      Counts.Served += Held ? 1 : 0;
      ItemUse Use{Pool, What, WorkOfRequest, 1, Held ? 0U : 1U};
      Reports[Instance].push_back(Use);
      if (!Held)
        this->WaitingRequests.push_back({What, this->Now + WaitForItem});
    }
    for (const auto &[Instance, Uses] : Reports)
      this->LeaseHolder.onUse({"instance-" + std::to_string(Instance)}, Uses,
                              this->Now);
  }

  void answerWaiting() {
    std::erase_if(this->WaitingRequests, [this](const Waiting &Each) {
      if (!this->isHeld(Each.What))
        return this->Now >= Each.Until;
      ++this->Asked[Each.What].Served;
      return true;
    });
  }

  void carryOut(const HolderCommand &Command) {
    if (const auto *Ask = std::get_if<AskReport>(&Command)) {
      this->LeaseHolder.onReport(Ask->Target, this->Engines[Ask->Target],
                                 this->Now);
      return;
    }
    const Order &What = std::get<SendOrder>(Command).What;
    EngineReport &State = this->Engines[What.Target];
    ++State.Revision;
    // An unused adapter is unloaded at once.
    bool AtOnce = What.What.isAdapter() && What.Kind == OrderKind::Unload;
    auto Answer = AtOnce ? OrderAnswer::Holds : OrderAnswer::Accepted;
    this->later(OrderAnswerDelay, [this, What, Answer] {
      this->LeaseHolder.onAnswer(What, Answer, this->Now);
    });
    if (What.What.isAdapter()) {
      auto &Adapters = State.Models[What.What.Model].Adapters;
      if (What.Kind == OrderKind::Load)
        Adapters.insert(What.What.Adapter);
      else
        Adapters.erase(What.What.Adapter);
      return;
    }
    if (What.Kind == OrderKind::Unload) {
      State.Models.erase(What.What.Model);
      return;
    }
    State.Busy = true;
    this->later(ModelLoad, [&State, Model = What.What.Model] {
      State.Models[Model];
      State.CachedWeights.insert(Model);
      State.Busy = false;
    });
  }

  void later(milliseconds Time, std::function<void()> Action) {
    this->Pending.push_back({this->Now + Time, std::move(Action)});
  }

  void carryOutDue() {
    std::vector<DueAction> Ready;
    std::erase_if(this->Pending, [&](DueAction &Each) {
      if (Each.At > this->Now)
        return false;
      Ready.push_back(std::move(Each));
      return true;
    });
    for (const DueAction &Each : Ready)
      Each.Action();
  }

  std::mt19937_64 Random;
  base::TimePoint Now{std::chrono::hours(1)};
  Holder LeaseHolder;
  std::map<base::TargetId, EngineReport> Engines;
  std::map<Item, RequestCounts> Asked;
  std::vector<Waiting> WaitingRequests;
  std::vector<DueAction> Pending;
  std::size_t DemandShift = 0;
};

} // namespace

/// Load pattern: 112 engines, 155 models, 525 adapters and 73 instances; a
/// changing set of few models gets most of the requests.
TEST(DayTest, EveryRepeatedlyRequestedItemIsServed) {
  for (std::uint64_t Seed : {1, 2}) {
    DaySimulation Simulation(Seed);
    Simulation.run();
    EXPECT_EQ(Simulation.neverServed(), std::vector<std::string>{})
        << Simulation.neverServed().size() << " of " << Simulation.itemsAsked()
        << ", seed " << Seed;
  }
}
