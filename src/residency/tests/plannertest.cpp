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

/// Simulates engines that execute orders at once, and demand that is reported
/// in each step.
class PlannerSimulation {
public:
  PlannerSimulation(std::size_t Engines, std::size_t Models) {
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

  /// Reports a request for the item; it waits if no engine holds the item.
  void ask(const Item &What, double WorkPerSecond) {
    ItemUse Use;
    Use.Service = Pool;
    Use.What = What;
    Use.Work = std::chrono::duration<double>(WorkPerSecond * 0.25);
    Use.Arrived = 1;
    Use.Waiting = this->copies(What) == 0 ? 1 : 0;
    this->Demand.onUse({"i"}, {Use}, this->Now);
  }

  /// Loads go on for as long as this is set.
  void setLoading(bool New) { this->KeepsLoading = New; }
  void setSlots(unsigned Slots) { this->Kind.BatchSlots = Slots; }
  void setSlowness(std::size_t Engine, double Slowness) {
    this->Slowness[this->Engines[Engine].Target] = Slowness;
  }
  bool holds(std::size_t Engine, std::size_t Model) const {
    return this->Engines[Engine].Models.count(modelName(Model)) != 0;
  }

  /// Runs one planning round and executes its orders.
  std::vector<PlannedOrder> step(unsigned StoreLoads = 1) {
    this->Now += milliseconds(250);
    for (EngineView &Each : this->Engines)
      this->refresh(Each);
    PlanInput Input{Pool,      this->Kind, this->Engines, this->Demand,
                    this->Now, StoreLoads, this->Slowness};
    auto Orders = planOrders(Input, PlannerSettings{});
    for (const PlannedOrder &Each : Orders)
      this->carryOut(Each);
    return Orders;
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

  /// Checks memory and adapter slots of every engine.
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
  void refresh(EngineView &View) const {
    View.AcceptsModelOrder = View.AcceptsAdapterOrder = View.Loading.empty();
    View.Reserved.clear();
    View.ReservedMb = 0;
    View.ReservedAdapters = 0;
    for (const Item &Each : View.Loading) {
      View.Reserved.insert(Each);
      View.ReservedMb += ModelMb;
    }
    for (const auto &[Id, Held] : View.Models) {
      View.Reserved.insert({Id, {}});
      View.ReservedMb += ModelMb;
      for (const base::AdapterId &Adapter : Held.Adapters) {
        View.Reserved.insert({Id, Adapter});
        View.ReservedMb += 1;
        ++View.ReservedAdapters;
      }
    }
  }

  void carryOut(const PlannedOrder &What) {
    auto At = std::find_if(
        this->Engines.begin(), this->Engines.end(),
        [&What](const EngineView &Each) { return Each.Target == What.Target; });
    catalog::HeldModels &Models = At->Models;
    bool Load = What.Kind == OrderKind::Load;
    if (Load && this->KeepsLoading) {
      At->Loading.insert(What.What);
      return;
    }
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
  DemandTracker Demand{DemandTrackerSettings{}};
  std::map<base::TargetId, double> Slowness;
  bool KeepsLoading = false;
  base::TimePoint Now{std::chrono::hours(1)};
};

} // namespace

/// Load pattern: demand moves on a fleet of 140 engines whose weight store
/// starts 20 loads per second. The limit for concurrent loads follows that
/// rate.
TEST(PlannerTest, ConcurrentLoadsFollowTheRateOfTheWeightStore) {
  catalog::Engine Kind;
  Kind.StoreLoadsPerSecond = 20;
  Kind.Models[modelName(0)].StoreLoad = milliseconds(1400);
  EXPECT_EQ(maxConcurrentLoads(Kind, PlannerSettings{}), 28U);
  Kind.StoreLoadsPerSecond = 1.6;
  EXPECT_EQ(maxConcurrentLoads(Kind, PlannerSettings{}),
            PlannerSettings{}.MinConcurrentLoads);
}

/// Random models and adapters are requested: no engine exceeds its memory or
/// its adapter slots.
RC_GTEST_PROP(PlannerTest, NoEngineIsOvercommitted, ()) {
  PlannerSimulation Simulation(3, 7);
  for (int Step = 0; Step < 60; ++Step) {
    auto Model = modelName(*rc::gen::inRange<std::size_t>(0, 7));
    std::string Adapter = *rc::gen::element<std::string>("", "a1", "a2", "a3");
    Simulation.ask({Model, {Adapter}}, *rc::gen::inRange(0, 4));
    Simulation.step(*rc::gen::inRange(0U, 3U));
    Simulation.checkLimits();
  }
}

/// Demand moves from the busiest model to another, which must have several
/// copies within 12 s.
TEST(PlannerTest, MemoryFollowsAShiftOfDemand) {
  PlannerSimulation Simulation(6, 6);
  for (std::size_t Engine = 0; Engine < 6; ++Engine)
    for (std::size_t Model : {Engine % 6, (Engine + 1) % 6, (Engine + 2) % 6})
      Simulation.hold(Engine, Model);
  for (int Step = 0; Step < 40; ++Step) {
    Simulation.ask({modelName(0), {}}, 4);
    Simulation.step();
  }
  EXPECT_GE(Simulation.copies({modelName(0), {}}), 4U);
  for (int Step = 0; Step < 48; ++Step) {
    Simulation.ask({modelName(3), {}}, 4);
    Simulation.step();
  }
  EXPECT_GE(Simulation.copies({modelName(3), {}}), 4U);
}

namespace {

constexpr std::size_t ManyEngines = 60;
constexpr std::size_t ManyModels = 90;

/// Engines whose memory is full of two copies each of many models.
PlannerSimulation fullFleet() {
  PlannerSimulation Out(ManyEngines, ManyModels);
  Out.setSlots(12);
  for (std::size_t Place = 0; Place < 3 * ManyEngines; ++Place)
    Out.hold(Place % ManyEngines, Place % ManyModels);
  return Out;
}

} // namespace

// Guards against one copy more a second while a model is asked for hundreds of
// times a second: it was on 4 to 7 of the 30 engines that it needed for 11 s.
// Demand rises within 3 s; the weight store starts 16 loads a second.
TEST(PlannerTest, CopiesGrowInProportionToDemand) {
  PlannerSimulation Simulation = fullFleet();
  Simulation.setSlowness(0, 1);
  double Work = 0.5;
  for (int Step = 0; Step < 24; ++Step) {
    Work = std::min(15.0, Work + 1.25);
    Simulation.ask({modelName(0), {}}, Work);
    Simulation.step(4);
  }
  EXPECT_GE(Simulation.copies({modelName(0), {}}), 25U);
  for (std::size_t Model = 0; Model < ManyModels; ++Model)
    EXPECT_GE(Simulation.copies({modelName(Model), {}}), 1U) << Model;
}

// Guards against waiting for the first copy of a model that no engine holds
// before further ones are ordered: a load takes seconds.
TEST(PlannerTest, AModelThatNoEngineHoldsGetsManyCopiesAtOnce) {
  PlannerSimulation Simulation(20, 21);
  Simulation.setSlots(12);
  Simulation.setSlowness(0, 1);
  for (std::size_t Model = 0; Model < 20; ++Model)
    Simulation.hold(Model, Model);
  std::size_t Ordered = 0;
  for (int Step = 0; Step < 4; ++Step) {
    Simulation.ask({modelName(20), {}}, 8);
    Simulation.setLoading(true);
    for (const PlannedOrder &Each : Simulation.step(4))
      Ordered += Each.What.Model == modelName(20) ? 1 : 0;
  }
  EXPECT_EQ(Ordered, PlannerSettings{}.MinConcurrentLoads);
}

// What fell silent gives way to what is asked for now.
TEST(PlannerTest, SilentModelsGiveTheirCopiesUp) {
  PlannerSimulation Simulation = fullFleet();
  Simulation.setSlowness(0, 1);
  for (std::size_t Busy : {0U, 1U})
    for (int Step = 0; Step < 48; ++Step) {
      Simulation.ask({modelName(Busy), {}}, 20);
      Simulation.step(4);
    }
  EXPECT_GE(Simulation.copies({modelName(1), {}}), 30U);
}

// Guards against adding copies where they carry next to nothing.
TEST(PlannerTest, BusyModelsGoToFastEngines) {
  PlannerSimulation Simulation(8, 3);
  Simulation.setSlots(12);
  Simulation.hold(0, 0);
  for (std::size_t Engine = 0; Engine < 8; ++Engine)
    Simulation.setSlowness(Engine, Engine < 4 ? 1 : 8);
  for (int Step = 0; Step < 20; ++Step) {
    Simulation.ask({modelName(0), {}}, 0.6);
    Simulation.step(4);
  }
  std::size_t Fast = 0;
  std::size_t Slow = 0;
  for (std::size_t Engine = 0; Engine < 8; ++Engine)
    (Engine < 4 ? Fast : Slow) += Simulation.holds(Engine, 0) ? 1 : 0;
  EXPECT_GE(Fast, 2U);
  EXPECT_EQ(Slow, 0U);
}

/// A rare model that no engine holds is requested: the last copies of models in
/// use stay.
TEST(PlannerTest, ARareModelIsLoadedWithoutEvictingOneInUse) {
  PlannerSimulation Simulation(2, 7);
  for (std::size_t Model = 0; Model < 6; ++Model)
    Simulation.hold(Model / 3, Model);
  for (int Step = 0; Step < 20; ++Step) {
    for (std::size_t Model : {0U, 1U, 2U, 3U, 4U})
      Simulation.ask({modelName(Model), {}}, 0.2);
    Simulation.ask({modelName(6), {}}, 0.05);
    Simulation.step();
  }
  for (std::size_t Model : {0U, 1U, 2U, 3U, 4U, 6U})
    EXPECT_EQ(Simulation.copies({modelName(Model), {}}), 1U) << Model;
}

/// A request for a model that needs memory unloads only one other model.
TEST(PlannerTest, OneRequestedModelUnloadsOnlyOneOther) {
  PlannerSimulation Simulation(3, 10);
  for (std::size_t Model = 0; Model < 9; ++Model)
    Simulation.hold(Model / 3, Model);
  Simulation.ask({modelName(9), {}}, 0.1);
  auto Orders = Simulation.step();
  EXPECT_EQ(Orders.size(), 1U);
}

/// All adapter slots are in use: no adapter is evicted for another copy of one.
TEST(PlannerTest, AdaptersInUseAreNotEvictedForGrowth) {
  PlannerSimulation Simulation(1, 1);
  Simulation.hold(0, 0);
  Simulation.ask({modelName(0), {"a1"}}, 1);
  Simulation.step();
  Simulation.ask({modelName(0), {"a2"}}, 1);
  Simulation.step();
  for (int Step = 0; Step < 8; ++Step) {
    Simulation.ask({modelName(0), {"a1"}}, 1);
    Simulation.ask({modelName(0), {"a2"}}, 1);
    EXPECT_TRUE(Simulation.step().empty());
  }
}
