#include "residency/planner.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::residency;
using std::chrono::milliseconds;

namespace {

const catalog::ServiceId Pool{"pool"};
constexpr double ModelMb = 70;
constexpr double EngineMb = 220;
constexpr unsigned AdapterSlots = 2;

base::ModelId modelName(std::size_t Index) {
  return {"m" + std::to_string(Index)};
}

/// Engines that carry orders out at once, and demand that is told each step.
class PlannerWorld {
public:
  PlannerWorld(std::size_t Engines, std::size_t Models) {
    this->Kind.WeightsMb = EngineMb;
    this->Kind.AdapterSlots = AdapterSlots;
    for (std::size_t Index = 0; Index < Models; ++Index) {
      catalog::Model Model;
      Model.Id = modelName(Index);
      Model.WeightsMb = ModelMb;
      Model.Adapters = 4;
      Model.AdapterMb = 1;
      this->Kind.Models[Model.Id] = Model;
    }
    for (std::size_t Index = 0; Index < Engines; ++Index) {
      EngineView Engine;
      Engine.Target = {"e" + std::to_string(Index)};
      Engine.Service = Pool;
      Engine.Usable = true;
      this->Engines.push_back(Engine);
    }
  }

  void hold(std::size_t Engine, std::size_t Model) {
    this->Engines[Engine].Models[modelName(Model)];
  }

  /// Callers ask for the model, and wait if no engine holds it.
  void ask(const Item &What, double WorkPerSecond) {
    ItemUse Use;
    Use.Service = Pool;
    Use.What = What;
    Use.Work = std::chrono::duration<double>(WorkPerSecond * 0.25);
    Use.Arrived = 1;
    Use.Waiting = this->copies(What) == 0 ? 1 : 0;
    this->Demand.onUse({"i"}, {Use}, this->Now);
  }

  /// One planning round; its moves are done before the next.
  std::vector<Move> step(unsigned StoreLoads = 1) {
    this->Now += milliseconds(250);
    for (EngineView &Each : this->Engines)
      this->refresh(Each);
    PlanInput Input{Pool,         this->Kind, this->Engines,
                    this->Demand, this->Now,  StoreLoads};
    auto Moves = planMoves(Input, PlannerSettings{});
    for (const Move &Each : Moves)
      this->carryOut(Each);
    return Moves;
  }

  std::size_t copies(const Item &What) const {
    return static_cast<std::size_t>(std::count_if(
        this->Engines.begin(), this->Engines.end(),
        [&What](const EngineView &Each) {
          auto Found = Each.Models.find(What.Model);
          return Found != Each.Models.end() &&
                 (!What.isAdapter() ||
                  Found->second.Adapters.count(What.Adapter) != 0);
        }));
  }

  /// Memory and adapter places of every engine.
  void checkLimits() const {
    for (const EngineView &Each : this->Engines) {
      std::size_t Adapters = 0;
      for (const auto &[Id, Held] : Each.Models)
        Adapters += Held.Adapters.size();
      double Mb = ModelMb * static_cast<double>(Each.Models.size()) +
                  static_cast<double>(Adapters);
      RC_ASSERT(Mb <= EngineMb);
      RC_ASSERT(Adapters <= AdapterSlots);
    }
  }

private:
  void refresh(EngineView &Of) const {
    Of.TakesModelOrder = Of.TakesAdapterOrder = true;
    Of.Claimed.clear();
    Of.TakenMb = 0;
    Of.TakenAdapters = 0;
    for (const auto &[Id, Held] : Of.Models) {
      Of.Claimed.insert({Id, {}});
      Of.TakenMb += ModelMb;
      for (const base::AdapterId &Adapter : Held.Adapters) {
        Of.Claimed.insert({Id, Adapter});
        Of.TakenMb += 1;
        ++Of.TakenAdapters;
      }
    }
  }

  void carryOut(const Move &What) {
    auto At = std::find_if(
        this->Engines.begin(), this->Engines.end(),
        [&What](const EngineView &Each) { return Each.Target == What.Target; });
    catalog::HeldModels &Models = At->Models;
    bool Load = What.Kind == OrderKind::Load;
    if (!What.What.isAdapter()) {
      if (Load)
        Models[What.What.Model];
      else
        Models.erase(What.What.Model);
      return;
    }
    auto &Adapters = Models[What.What.Model].Adapters;
    if (Load)
      Adapters.insert(What.What.Adapter);
    else
      Adapters.erase(What.What.Adapter);
  }

  catalog::Engine Kind;
  std::vector<EngineView> Engines;
  DemandBook Demand{DemandBookSettings{}};
  base::TimePoint Now{std::chrono::hours(1)};
};

} // namespace

/// Load pattern: demand moves on a fleet of 140 engines whose weight store
/// starts 20 loads a second. As many loads are under way as the store bears.
TEST(PlannerTest, LoadsUnderWayFollowWhatTheWeightStoreBears) {
  catalog::Engine Kind;
  Kind.StoreLoadsPerSecond = 20;
  Kind.Models[modelName(0)].StoreLoad = milliseconds(1400);
  EXPECT_EQ(loadsAtOnce(Kind, PlannerSettings{}), 28U);
  Kind.StoreLoadsPerSecond = 1.6;
  EXPECT_EQ(loadsAtOnce(Kind, PlannerSettings{}),
            PlannerSettings{}.LeastLoadsAtOnce);
}

/// Random models and adapters are asked for: no engine is given more than it
/// holds, and what callers wait for comes.
RC_GTEST_PROP(PlannerTest, NoEngineIsOvercommitted, ()) {
  PlannerWorld World(3, 7);
  for (int Step = 0; Step < 60; ++Step) {
    auto Model = modelName(*rc::gen::inRange<std::size_t>(0, 7));
    std::string Adapter = *rc::gen::element<std::string>("", "a1", "a2", "a3");
    World.ask({Model, {Adapter}}, *rc::gen::inRange(0, 4));
    World.step(*rc::gen::inRange(0U, 3U));
    World.checkLimits();
  }
}

/// The busiest model falls silent and another takes its place: it has several
/// copies within two seconds.
TEST(PlannerTest, MemoryFollowsAShiftOfDemand) {
  PlannerWorld World(6, 6);
  for (std::size_t Engine = 0; Engine < 6; ++Engine)
    for (std::size_t Model : {Engine % 6, (Engine + 1) % 6, (Engine + 2) % 6})
      World.hold(Engine, Model);
  for (int Step = 0; Step < 40; ++Step) {
    World.ask({modelName(0), {}}, 4);
    World.step();
  }
  EXPECT_GE(World.copies({modelName(0), {}}), 4U);
  for (int Step = 0; Step < 48; ++Step) {
    World.ask({modelName(3), {}}, 4);
    World.step();
  }
  EXPECT_GE(World.copies({modelName(3), {}}), 4U);
}

/// A rare model that nobody holds is asked for: the last copies of models that
/// are in use stay.
TEST(PlannerTest, ARareModelIsLoadedWithoutTakingOneInUse) {
  PlannerWorld World(2, 7);
  for (std::size_t Model = 0; Model < 6; ++Model)
    World.hold(Model / 3, Model);
  for (int Step = 0; Step < 20; ++Step) {
    for (std::size_t Model : {0U, 1U, 2U, 3U, 4U})
      World.ask({modelName(Model), {}}, 0.2);
    World.ask({modelName(6), {}}, 0.05);
    World.step();
  }
  for (std::size_t Model : {0U, 1U, 2U, 3U, 4U, 6U})
    EXPECT_EQ(World.copies({modelName(Model), {}}), 1U) << Model;
}

/// One need unloads one model, also while the unload is under way.
TEST(PlannerTest, OneNeedFreesMemoryOnce) {
  PlannerWorld World(3, 10);
  for (std::size_t Model = 0; Model < 9; ++Model)
    World.hold(Model / 3, Model);
  World.ask({modelName(9), {}}, 0.1);
  auto Moves = World.step();
  EXPECT_EQ(Moves.size(), 1U);
}

/// More adapters in use than places: nothing is moved for growth alone.
TEST(PlannerTest, AdaptersInUseAreNotEvictedForGrowth) {
  PlannerWorld World(1, 1);
  World.hold(0, 0);
  World.ask({modelName(0), {"a1"}}, 1);
  World.step();
  World.ask({modelName(0), {"a2"}}, 1);
  World.step();
  for (int Step = 0; Step < 8; ++Step) {
    World.ask({modelName(0), {"a1"}}, 1);
    World.ask({modelName(0), {"a2"}}, 1);
    EXPECT_TRUE(World.step().empty());
  }
}
