/// \file
/// How long the lease holder takes to plan and to tell what engines hold, by
/// the size of the deployment; see docs/measurements/large-fleets.md.

#include "residency/holder.h"

#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <random>

namespace {

using namespace kingcuphub;
using namespace kingcuphub::residency;
using std::chrono::milliseconds;

constexpr double ModelMb = 70000;
constexpr double AdapterMb = 40;
constexpr double EngineMb = 220000;
constexpr unsigned AdapterSlots = 8;
constexpr std::size_t Instances = 95;
constexpr double StoreLoadsPerSecond = 10;
constexpr milliseconds Tick{50};
constexpr milliseconds WorkOfRequest{120};
const catalog::ServiceId Pool{"pool"};

struct Size {
  std::size_t Engines = 0;
  std::size_t Models = 0;
  std::size_t Adapters = 0;
  std::size_t RequestsPerSecond = 0;
};

base::ModelId modelName(std::size_t Index) {
  return {"model-" + std::to_string(Index)};
}

/// A holder whose engines carry out every order at once.
class Deployment {
public:
  explicit Deployment(const Size &Of) : Of(Of), Acting(HolderSettings{}) {
    auto New = std::make_shared<catalog::Catalog>();
    catalog::Engine Kind;
    Kind.WeightsMb = EngineMb;
    Kind.AdapterSlots = AdapterSlots;
    Kind.StoreLoadsPerSecond = StoreLoadsPerSecond;
    for (std::size_t Index = 0; Index < Of.Models; ++Index) {
      catalog::Model Model;
      Model.Id = modelName(Index);
      Model.WeightsMb = ModelMb;
      Model.Adapters = static_cast<unsigned>(Of.Adapters / Of.Models);
      Model.AdapterMb = AdapterMb;
      Model.StoreLoad = milliseconds(1500);
      Kind.Models[Model.Id] = Model;
    }
    New->Services[Pool].Id = Pool;
    New->Services[Pool].Engine = Kind;
    auto Listed = std::make_shared<catalog::TargetList>();
    for (std::size_t Index = 0; Index < Of.Engines; ++Index) {
      catalog::Target Each;
      Each.Entry.Id = {"engine-" + std::to_string(Index)};
      Each.Entry.Service = Pool;
      Each.Entry.Lifetime.Value = 1;
      Listed->Targets[Each.Entry.Id] = Each;
    }
    this->Acting.setCatalog(New, this->Now);
    this->Acting.setTargets(Listed, this->Now);
    this->Acting.setLease(FencingToken{1}, this->Now);
  }

  /// One tick's reports of demand, and the tick itself.
  std::chrono::nanoseconds step() {
    this->Now += Tick;
    auto Requests = this->Of.RequestsPerSecond *
                    static_cast<std::size_t>(Tick.count()) / std::milli::den;
    std::map<std::size_t, std::vector<ItemUse>> Told;
    for (std::size_t Each = 0; Each < Requests; ++Each)
      Told[this->Random() % Instances].push_back(this->request());
    auto Begun = std::chrono::steady_clock::now();
    for (const auto &[Index, Uses] : Told)
      this->Acting.onUse({"instance-" + std::to_string(Index)}, Uses,
                         this->Now);
    auto Commands = this->Acting.tick(this->Now);
    this->HeldCount += this->Acting.engines().held(this->Now).size();
    auto Took = std::chrono::steady_clock::now() - Begun;
    for (const HolderCommand &Each : Commands)
      this->carryOut(Each);
    return Took;
  }

  std::size_t Orders = 0;
  std::size_t HeldCount = 0;

private:
  ItemUse request() {
    // Few models get most of the requests.
    std::size_t Drawn = this->Random() % this->Of.Models;
    std::size_t Model =
        Drawn * (this->Random() % this->Of.Models) / this->Of.Models;
    std::size_t PerModel =
        std::max<std::size_t>(1, this->Of.Adapters / this->Of.Models);
    ItemUse Out;
    Out.Service = Pool;
    Out.What.Model = modelName(Model);
    if (this->Random() % 2 == 0)
      Out.What.Adapter = {"a" + std::to_string(1 + this->Random() % PerModel)};
    Out.Work = WorkOfRequest;
    Out.Arrived = 1;
    Out.Waiting = this->Random() % 8 == 0 ? 1 : 0;
    return Out;
  }

  void carryOut(const HolderCommand &Command) {
    if (auto *Ask = std::get_if<AskReport>(&Command)) {
      this->Acting.onReport(Ask->Target, this->States[Ask->Target], this->Now);
      return;
    }
    const Order &What = std::get<SendOrder>(Command).What;
    EngineReport &State = this->States[What.Target];
    ++this->Orders;
    ++State.Revision;
    auto &Models = State.Models;
    if (What.Kind == OrderKind::Unload && What.What.isAdapter())
      Models[What.What.Model].Adapters.erase(What.What.Adapter);
    else if (What.Kind == OrderKind::Unload)
      Models.erase(What.What.Model);
    else if (What.What.isAdapter())
      Models[What.What.Model].Adapters.insert(What.What.Adapter);
    else
      Models[What.What.Model];
    this->Acting.onAnswer(What, OrderAnswer::Accepted, this->Now);
  }

  Size Of;
  Holder Acting;
  std::map<base::TargetId, EngineReport> States;
  std::mt19937_64 Random{7};
  base::TimePoint Now{std::chrono::hours(1)};
};

void play(const Size &Of, std::size_t Steps) {
  Deployment Played(Of);
  std::chrono::nanoseconds Whole{0};
  std::chrono::nanoseconds Longest{0};
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    auto Took = Played.step();
    Whole += Took;
    Longest = std::max(Longest, Took);
  }
  using Millis = std::chrono::duration<double, std::milli>;
  std::cout << Of.Engines << " engines, " << Of.Models << " models, "
            << Of.Adapters << " adapters: "
            << Millis(Whole).count() / static_cast<double>(Steps)
            << " ms a tick, longest " << Millis(Longest).count() << " ms, "
            << Played.Orders << " orders\n";
}

} // namespace

int main(int Count, char **Words) {
  cxxopts::Options Options("residencybench", "time of the holder's planning");
  Options.add_options()("steps", "ticks to play",
                        cxxopts::value<std::size_t>()->default_value("400"));
  auto Steps = Options.parse(Count, Words)["steps"].as<std::size_t>();
  play({9, 18, 42, 120}, Steps);
  play({53, 116, 255, 450}, Steps);
  play({140, 242, 678, 400}, Steps);
  return 0;
}
