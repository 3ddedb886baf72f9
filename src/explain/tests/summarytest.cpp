#include "explain/summary.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace kingcuphub::explain;

namespace {

std::string ended(int Time, const std::string &Rest) {
  return R"(front {"time_ms":)" + std::to_string(Time) +
         R"(,"instance":"i1","event":"ended","route":"r",)" + Rest + "}\n";
}

const std::string Refused =
    R"("outcome":"refused","reason":"account-limit","model":"m1","adapter":"a1")";
const std::string Served =
    R"("outcome":"answered","first_byte_ms":40,"model":"m2")";

} // namespace

TEST(SummaryTest, AnItemThatIsAskedForAndNeverAnsweredIsNamed) {
  std::string Lines = "no log line\n";
  for (int Time : {1000, 4000, 7000, 10000})
    Lines += ended(Time, Refused) + ended(Time, Served);
  Lines +=
      R"({"time_ms":1100,"instance":"i2","event":"order-sent","kind":"load","model":"m1","adapter":"a1"}
{"time_ms":1200,"instance":"i2","event":"order-answered","kind":"load","model":"m1","adapter":"a1","answer":"conflict","after_ms":90}
)";
  std::istringstream Logs(Lines);
  Summary Out = summarize(Logs, {});
  EXPECT_EQ(Out.Requests, 8U);
  EXPECT_EQ(Out.ItemsAsked, 2U);
  ASSERT_EQ(Out.Unserved.size(), 1U);
  EXPECT_EQ(Out.Unserved[0].Name, "m1/a1");
  EXPECT_EQ(Out.Unserved[0].Ends.at("refused account-limit"), 4U);
  EXPECT_EQ(Out.Unserved[0].LoadsOrdered, 1U);
  EXPECT_EQ(Out.Unserved[0].LoadsAccepted, 0U);
  EXPECT_EQ(Out.OrderMedian, 90);
  EXPECT_EQ(Out.Routes.at("r").FirstByteMedian, 40);
  EXPECT_EQ(Out.Seconds.at(9).at("answered"), 1U);
  EXPECT_EQ(toJson(Out)["items_never_answered"][0]["name"], "m1/a1");
}

TEST(SummaryTest, SecondsCountFromTheEarliestEndInWhateverOrderLinesCome) {
  std::istringstream Logs(ended(9000, Served) + ended(1000, Refused));
  Summary Out = summarize(Logs, {});
  ASSERT_EQ(Out.Seconds.size(), 2U);
  EXPECT_EQ(Out.Seconds.at(0).at("refused account-limit"), 1U);
  EXPECT_EQ(Out.Seconds.at(8).at("answered"), 1U);
}

TEST(SummaryTest, AnItemThatIsAskedForInOneBurstDoesNotCount) {
  std::string Lines;
  for (int Time : {1000, 1100, 1200, 1300})
    Lines += ended(Time, Refused);
  std::istringstream Logs(Lines);
  Summary Out = summarize(Logs, {});
  EXPECT_EQ(Out.ItemsAsked, 0U);
  EXPECT_TRUE(Out.Unserved.empty());
}

/// An account at its limit looks unlike one whose credit comes late.
TEST(SummaryTest, RefusalsAreCountedByAccountAndByWhyCreditIsMissing) {
  std::istringstream Logs(
      ended(1000, Served + R"(,"account":"small")") +
      ended(1100, Refused + R"(,"account":"small","credit":"unanswered")") +
      ended(1200, Refused + R"(,"account":"hot","credit":"exhausted")"));
  Summary Out = summarize(Logs, {});
  EXPECT_EQ(Out.Accounts.at("small").at("answered"), 1U);
  EXPECT_EQ(Out.Accounts.at("small").at("refused account-limit unanswered"),
            1U);
  EXPECT_EQ(Out.Accounts.at("hot").at("refused account-limit exhausted"), 1U);
  EXPECT_NE(
      describe(Out).find("account hot\n  refused account-limit exhausted"),
      std::string::npos);
  EXPECT_EQ(toJson(Out)["accounts"]["small"]["answered"], 1);
}
