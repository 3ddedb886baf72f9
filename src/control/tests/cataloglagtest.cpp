#include "../internal/cataloglag.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::control;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST(CatalogLagTest, ALaggingCatalogIsReadAgainWhileACallHangs) {
  CatalogLag Lag;
  EXPECT_FALSE(Lag.onReported({31}, {27}, Start));
  EXPECT_FALSE(Lag.onReported({31}, {27}, Start + milliseconds(250)));
  EXPECT_TRUE(Lag.onReported({31}, {27}, Start + milliseconds(500)));
  EXPECT_FALSE(Lag.onReported({31}, {27}, Start + milliseconds(750)));
  EXPECT_TRUE(Lag.onReported({31}, {27}, Start + milliseconds(1500)));
}

TEST(CatalogLagTest, AChangeThatArrivesInTimeIsNotReadAgain) {
  CatalogLag Lag;
  EXPECT_FALSE(Lag.onReported({31}, {27}, Start));
  EXPECT_FALSE(Lag.onReported({31}, {31}, Start + milliseconds(100)));
  EXPECT_FALSE(Lag.onReported({33}, {31}, Start + milliseconds(500)));
}

TEST(CatalogLagTest, AnInstanceThatLagsFurtherIsIgnored) {
  CatalogLag Lag;
  EXPECT_FALSE(Lag.onReported({31}, {27}, Start));
  EXPECT_FALSE(Lag.onReported({25}, {27}, Start + milliseconds(200)));
  EXPECT_TRUE(Lag.onReported({31}, {27}, Start + milliseconds(400)));
}

/// No further report is needed to find out that the lag lasts.
TEST(CatalogLagTest, ALagIsFoundBetweenTwoReports) {
  CatalogLag Lag;
  EXPECT_FALSE(Lag.onReported({31}, {27}, Start));
  EXPECT_FALSE(Lag.isDue({27}, Start + milliseconds(250)));
  EXPECT_TRUE(Lag.isDue({27}, Start + milliseconds(300)));
  EXPECT_FALSE(Lag.isDue({31}, Start + milliseconds(2000)));
}
