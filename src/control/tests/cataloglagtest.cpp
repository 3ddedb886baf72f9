#include "../internal/cataloglag.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::control;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST(CatalogLagTest, ACallThatTheStoreNeverEndsIsNotWaitedFor) {
  CatalogLag Lag;
  EXPECT_FALSE(Lag.onWord({31}, {27}, Start));
  EXPECT_FALSE(Lag.onWord({31}, {27}, Start + milliseconds(250)));
  EXPECT_TRUE(Lag.onWord({31}, {27}, Start + milliseconds(500)));
  EXPECT_FALSE(Lag.onWord({31}, {27}, Start + milliseconds(750)));
  EXPECT_TRUE(Lag.onWord({31}, {27}, Start + milliseconds(1500)));
}

TEST(CatalogLagTest, AChangeThatSpreadsInTimeIsNotReadTwice) {
  CatalogLag Lag;
  EXPECT_FALSE(Lag.onWord({31}, {27}, Start));
  EXPECT_FALSE(Lag.onWord({31}, {31}, Start + milliseconds(100)));
  EXPECT_FALSE(Lag.onWord({33}, {31}, Start + milliseconds(500)));
}

TEST(CatalogLagTest, OneThatIsFurtherBehindSaysNothing) {
  CatalogLag Lag;
  EXPECT_FALSE(Lag.onWord({31}, {27}, Start));
  EXPECT_FALSE(Lag.onWord({25}, {27}, Start + milliseconds(200)));
  EXPECT_TRUE(Lag.onWord({31}, {27}, Start + milliseconds(400)));
}
