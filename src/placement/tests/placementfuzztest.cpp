#include "placementsimulation.h"

#include <gtest/gtest.h>
#include <ostream>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::placement;
using namespace kingcuphub::placement::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fault, a change by an operator, or time without either.
struct Step {
  unsigned Kind = 0;
  unsigned Which = 0;
  unsigned Amount = 0;

  friend std::ostream &operator<<(std::ostream &Out, const Step &Printed) {
    return Out << Printed.Kind << "/" << Printed.Which << "/" << Printed.Amount;
  }
};

constexpr unsigned StepKinds = 14;

rc::Gen<std::vector<Step>> genSteps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::Kind, rc::gen::inRange(0U, StepKinds)),
      rc::gen::set(&Step::Which, rc::gen::inRange(0U, 12U)),
      rc::gen::set(&Step::Amount, rc::gen::inRange(0U, 100U))));
}

void apply(PlacementSimulation &Simulation, const Step &Each) {
  switch (Each.Kind) {
  case 0:
    return Simulation.pause(Each.Which, milliseconds(200 * Each.Amount));
  case 1:
    return Simulation.restartInstance(Each.Which);
  case 2:
    return Simulation.restartEngine(Each.Which);
  case 3:
    return Simulation.setReachable(Each.Which, Each.Amount % 2 == 0);
  case 4:
    return Simulation.stopLog(milliseconds(150 * Each.Amount));
  case 5:
    return Simulation.stopStore(milliseconds(600 * Each.Amount));
  case 6:
    return Simulation.setZoneOut(Each.Which, Each.Amount % 2 == 0);
  case 7:
    return Simulation.changeVersion(Each.Which);
  case 8:
    return Simulation.setDemand(Each.Which, 50.0 * Each.Amount);
  case 9:
    return Simulation.usePreset(static_cast<state::Preset>(Each.Amount % 3));
  default:
    return Simulation.run(milliseconds(200 * Each.Amount));
  }
}

SimulationSettings scarceMemory() {
  SimulationSettings Out;
  Out.Models = 9;
  Out.ModelSize = base::Bytes{24};
  return Out;
}

SimulationSettings ampleMemory() { return {}; }

ControllerSettings shortTimeouts(ControllerSettings Settings) {
  Settings.Ledger = {seconds(2), seconds(2)};
  Settings.Dispatch.LoadDeadline = milliseconds(5000);
  Settings.Dispatch.ShortDeadline = milliseconds(3000);
  Settings.WarmUp = seconds(20);
  Settings.Loads.MaxBackoff = seconds(8);
  return Settings;
}

void runSimulation(SimulationSettings Settings, bool CheckZones) {
  Settings.Controller = shortTimeouts(Settings.Controller);
  auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  auto Steps = *genSteps();
  PlacementSimulation Simulation(Settings, Seed);
  Simulation.run(seconds(30));
  for (const Step &Each : Steps) {
    apply(Simulation, Each);
    Simulation.run(milliseconds(500));
    if (!Simulation.violations().empty())
      RC_FAIL(Simulation.violations().front() + "\n" + Simulation.describe());
  }
  Simulation.clearFaults();
  Simulation.run(seconds(240));
  if (!Simulation.violations().empty())
    RC_FAIL(Simulation.violations().front() + "\n" + Simulation.describe());
  for (const std::string &Each : Simulation.unreachable())
    RC_FAIL(Each + " is not reachable in the end\n" + Simulation.describe());
  if (CheckZones && Simulation.config().ZonesOut.empty())
    for (const std::string &Each : Simulation.inFewerThanTwoZones())
      RC_FAIL(Each + " is in one zone in the end\n" + Simulation.describe());
}

} // namespace

RC_GTEST_PROP(PlacementFuzzTest, MemoryLimitsAndReachabilityHoldWithAmpleMemory,
              ()) {
  runSimulation(ampleMemory(), true);
}

RC_GTEST_PROP(PlacementFuzzTest,
              MemoryLimitsAndReachabilityHoldWithScarceMemory, ()) {
  runSimulation(scarceMemory(), false);
}

TEST(PlacementSimulationTest, EveryModelIsInTwoZonesWithinAMinute) {
  SimulationSettings Settings = ampleMemory();
  Settings.Controller = shortTimeouts(Settings.Controller);
  PlacementSimulation Simulation(Settings, 7);
  Simulation.setLossyNetwork(false);
  Simulation.run(seconds(60));
  EXPECT_TRUE(Simulation.violations().empty());
  EXPECT_TRUE(Simulation.unreachable().empty()) << Simulation.describe();
  EXPECT_TRUE(Simulation.inFewerThanTwoZones().empty())
      << Simulation.describe();
}
