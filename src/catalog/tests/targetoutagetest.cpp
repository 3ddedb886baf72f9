#include "catalog/targetoutage.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::catalog;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};
constexpr std::size_t Targets = 12;

TargetLogRead readAt(int Millis, std::uint64_t Position) {
  return {Start + milliseconds(Millis), Position};
}

} // namespace

/// The holder alone is turned away for 2 s; the others' targets write on.
TEST(TargetOutageTest, FailedCallsAloneAreNoOutageOfTheTargets) {
  TargetOutageDetector Outages;
  EXPECT_FALSE(
      Outages.onRead(readAt(0, 100), Targets, Start + milliseconds(5)));
  Outages.onCallFailed(Start + milliseconds(1000));
  Outages.onCallFailed(Start + milliseconds(2000));
  EXPECT_FALSE(
      Outages.onRead(readAt(3000, 129), Targets, Start + milliseconds(3005)));
}

TEST(TargetOutageTest, TargetsThatWroteNothingHadAnOutage) {
  TargetOutageDetector Outages;
  Outages.onRead(readAt(0, 100), Targets, Start + milliseconds(5));
  Outages.onCallFailed(Start + milliseconds(3000));
  auto Found =
      Outages.onRead(readAt(4200, 104), Targets, Start + milliseconds(4205));
  ASSERT_TRUE(Found);
  EXPECT_EQ(Found->At, Start + milliseconds(4200));
  ASSERT_TRUE(Found->Silence);
  EXPECT_GT(*Found->Silence, milliseconds(3500));
  // Nobody's call has to fail for that.
  Outages.onRead(readAt(5200, 116), Targets, Start + milliseconds(5205));
  EXPECT_TRUE(
      Outages.onRead(readAt(9000, 120), Targets, Start + milliseconds(9005)));
}

/// Between two reads of the list in normal operation, few may have written.
TEST(TargetOutageTest, APauseOfAHeartbeatIsNone) {
  TargetOutageDetector Outages;
  Outages.onRead(readAt(0, 100), 2, Start + milliseconds(5));
  EXPECT_FALSE(
      Outages.onRead(readAt(1000, 100), 2, Start + milliseconds(1020)));
}

/// Without an earlier position that is comparable, failed calls decide.
TEST(TargetOutageTest, WithoutAnEarlierReadAFailedCallCounts) {
  TargetOutageDetector Outages;
  EXPECT_FALSE(
      Outages.onRead(readAt(0, 100), Targets, Start + milliseconds(5)));
  TargetOutageDetector Other;
  Other.onCallFailed(Start - milliseconds(200));
  auto Found = Other.onRead(readAt(0, 100), Targets, Start + milliseconds(5));
  ASSERT_TRUE(Found);
  EXPECT_EQ(Found->At, Start - milliseconds(200));
  // Too long ago, and in another era of the store.
  Other.onCallFailed(Start + milliseconds(20000));
  Found =
      Other.onRead(readAt(21000, 310), Targets, Start + milliseconds(21005));
  ASSERT_TRUE(Found);
  EXPECT_FALSE(Found->Silence);
  Found = Other.onRead(readAt(22000, (std::uint64_t{1} << 40U) + 5), Targets,
                       Start + milliseconds(22005));
  ASSERT_TRUE(Found);
  EXPECT_FALSE(Found->Silence);
}

/// An instance that begins to read for itself knows from the holder how far the
/// log was then.
TEST(TargetOutageTest, TheHoldersReadCountsAsAnEarlierOne) {
  TargetOutageDetector Outages;
  Outages.onCallFailed(Start + milliseconds(500));
  Outages.onReported(readAt(0, 100));
  EXPECT_FALSE(
      Outages.onRead(readAt(2000, 119), Targets, Start + milliseconds(2010)));
}
