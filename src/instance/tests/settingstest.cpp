#include "instance/settings.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::instance;

namespace {

struct Read {
  instance::Settings Settings;
  std::vector<base::SettingsProblem> Problems;
};

Read read(const nlohmann::json &From) {
  Read Out;
  base::SettingsReader Reader(From, "", Out.Problems);
  Out.Settings = parseSettings(Reader);
  Reader.finish();
  return Out;
}

} // namespace

TEST(InstanceSettingsTest, TheExampleIsComplete) {
  Read Got = read(exampleSettings());
  EXPECT_TRUE(Got.Problems.empty());
  EXPECT_EQ(Got.Settings.Callers.text(), "127.0.0.1:8080");
  EXPECT_EQ(Got.Settings.Lease.count(), 1800);
}

TEST(InstanceSettingsTest, AllProblemsAreToldAtOnce) {
  nlohmann::json Bad = exampleSettings();
  Bad.erase("store");
  Bad["callers"] = "nowhere";
  Bad["repeats"] = {{"ratio", 7}};
  Bad["unknown"] = 1;
  EXPECT_GE(read(Bad).Problems.size(), 4U);
}

TEST(InstanceSettingsTest, TheMemoryIsThatOfTheMachine) {
  nlohmann::json Given = exampleSettings();
  Given["capacity"] = {{"memory_mb", 260}};
  EXPECT_EQ(read(Given).Settings.Memory, 260U << 20U);
  Given["capacity"] = {{"memory_mb", 0}};
  EXPECT_EQ(read(Given).Problems.size(), 1U);
}

TEST(InstanceSettingsTest, AStopNeedsTimeToFinishWhatRuns) {
  nlohmann::json Bad = exampleSettings();
  Bad["stop"] = {{"grace_ms", 3000}, {"accept_for_ms", 2900}};
  EXPECT_EQ(read(Bad).Problems.size(), 1U);
}

TEST(InstanceSettingsTest, ALeaseTooShortForAnOrderIsRefused) {
  nlohmann::json Bad = exampleSettings();
  Bad["lease_ms"] = 600;
  EXPECT_EQ(read(Bad).Problems.size(), 1U);
}

TEST(InstanceSettingsTest, TheTurnOfAHolderIsTheDeploymentsBound) {
  nlohmann::json From = exampleSettings();
  From["order_turn_ms"] = 5000;
  residency::HolderLeaseSettings Lease = read(From).Settings.lease();
  EXPECT_EQ(Lease.OrderTurn.count(), 5000);
}

// Guards against calls that the deployment has not asked for.
TEST(InstanceSettingsTest, OnlyTheDutiesThatAreNamedAreSwitchedOn) {
  nlohmann::json From = exampleSettings();
  From["duties"] = {{"address", "127.0.0.1:9001"}, {"calls", {"scaling"}}};
  Read Got = read(From);
  EXPECT_TRUE(Got.Problems.empty());
  ASSERT_TRUE(Got.Settings.Duties);
  EXPECT_TRUE(Got.Settings.Duties->OrdersTargets);
  EXPECT_FALSE(Got.Settings.Duties->ReportsUsage);
}
