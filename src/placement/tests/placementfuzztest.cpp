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

  friend std::ostream &operator<<(std::ostream &Out, const Step &Of) {
    return Out << Of.Kind << "/" << Of.Which << "/" << Of.Amount;
  }
};

constexpr unsigned StepKinds = 14;

rc::Gen<std::vector<Step>> genSteps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::Kind, rc::gen::inRange(0U, StepKinds)),
      rc::gen::set(&Step::Which, rc::gen::inRange(0U, 12U)),
      rc::gen::set(&Step::Amount, rc::gen::inRange(0U, 100U))));
}

void apply(PlacementSimulation &On, const Step &Each) {
  switch (Each.Kind) {
  case 0:
    return On.pause(Each.Which, milliseconds(200 * Each.Amount));
  case 1:
    return On.restartInstance(Each.Which);
  case 2:
    return On.restartEngine(Each.Which);
  case 3:
    return On.setReachable(Each.Which, Each.Amount % 2 == 0);
  case 4:
    return On.stopLog(milliseconds(150 * Each.Amount));
  case 5:
    return On.stopStore(milliseconds(600 * Each.Amount));
  case 6:
    return On.setZoneOut(Each.Which, Each.Amount % 2 == 0);
  case 7:
    return On.changeVersion(Each.Which);
  case 8:
    return On.setDemand(Each.Which, 50.0 * Each.Amount);
  case 9:
    return On.usePreset(static_cast<state::Preset>(Each.Amount % 3));
  default:
    return On.run(milliseconds(200 * Each.Amount));
  }
}

SimulationSettings scarceMemory() {
  SimulationSettings Out;
  Out.Models = 9;
  Out.ModelSize = base::Bytes{24};
  return Out;
}

SimulationSettings ampleMemory() { return {}; }

ControllerSettings shortTimeouts(ControllerSettings Of) {
  Of.Ledger = {seconds(2), seconds(2)};
  Of.Dispatch.LoadDeadline = milliseconds(5000);
  Of.Dispatch.ShortDeadline = milliseconds(3000);
  Of.WarmUp = seconds(20);
  Of.Loads.MaxBackoff = seconds(8);
  return Of;
}

void runSimulation(SimulationSettings Settings, bool CheckZones) {
  Settings.Controller = shortTimeouts(Settings.Controller);
  auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  auto Steps = *genSteps();
  PlacementSimulation On(Settings, Seed);
  On.run(seconds(30));
  for (const Step &Each : Steps) {
    apply(On, Each);
    On.run(milliseconds(500));
    if (!On.violations().empty())
      RC_FAIL(On.violations().front() + "\n" + On.describe());
  }
  On.clearFaults();
  On.run(seconds(240));
  if (!On.violations().empty())
    RC_FAIL(On.violations().front() + "\n" + On.describe());
  for (const std::string &Each : On.unreachable())
    RC_FAIL(Each + " is not reachable in the end\n" + On.describe());
  if (CheckZones && On.config().ZonesOut.empty())
    for (const std::string &Each : On.inFewerThanTwoZones())
      RC_FAIL(Each + " is in one zone in the end\n" + On.describe());
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
  PlacementSimulation On(Settings, 7);
  On.setLossyNetwork(false);
  On.run(seconds(60));
  EXPECT_TRUE(On.violations().empty());
  EXPECT_TRUE(On.unreachable().empty()) << On.describe();
  EXPECT_TRUE(On.inFewerThanTwoZones().empty()) << On.describe();
}
