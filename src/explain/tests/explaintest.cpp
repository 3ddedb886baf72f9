#include "explain/explain.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace kingcuphub::explain;

TEST(ExplainTest, ARefusalIsToldWithTheLimitItRestsOn) {
  std::istringstream Logs(
      R"(  2.1 front-1 {"time_ms":100,"instance":"i1","event":"account-limit-is","account":"acme","per_second":9}
{"time_ms":150,"instance":"i1","event":"account-limit-is","account":"acme","per_second":5}
{"time_ms":160,"instance":"i2","event":"account-limit-is","account":"acme","per_second":7}
{"time_ms":170,"instance":"i1","event":"ended","request":"other"}
no log line
{"time_ms":200,"instance":"i1","event":"ended","request":"r1","reason":"account-limit","account":"acme"}
)");
  auto Steps = explain(Logs, {"r1"});
  ASSERT_EQ(Steps.size(), 2U);
  EXPECT_TRUE(Steps[0].IsBelief);
  EXPECT_EQ(Steps[0].Fields["per_second"], 5);
  EXPECT_EQ(Steps[1].Event, "ended");
}

TEST(ExplainTest, StepsComeInOrderOfTimeFromAllInstances) {
  std::istringstream Logs(
      R"({"time_ms":300,"instance":"i1","event":"ended","request":"r1"}
{"time_ms":100,"instance":"i1","event":"waits","request":"r1","for":"place"}
{"time_ms":200,"instance":"i1","event":"sent","request":"r1","target":"t"}
)");
  auto Steps = explain(Logs, {"r1"});
  ASSERT_EQ(Steps.size(), 3U);
  EXPECT_EQ(Steps[0].Event, "waits");
  EXPECT_EQ(Steps[2].Event, "ended");
  EXPECT_EQ(describe(Steps[1], 100), "100 ms i1 sent target=t");
}

TEST(ExplainTest, AnUnknownRequestHasNoSteps) {
  std::istringstream Logs("{\"time_ms\":1,\"event\":\"ended\"}\n");
  EXPECT_TRUE(explain(Logs, {"r1"}).empty());
}
