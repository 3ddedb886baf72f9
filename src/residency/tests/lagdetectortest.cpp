#include "residency/lagdetector.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::residency;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Tick{50};
const base::TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST(LagDetectorTest, OneVeryLateTickCountsAsBehindForAWhile) {
  LagDetector Detector;
  base::TimePoint Now = Start;
  for (int Each = 0; Each < 20; ++Each, Now += Tick)
    Detector.onTick(milliseconds(5), Now);
  EXPECT_FALSE(Detector.isBehind(Now));
  Detector.onTick(milliseconds(1000), Now);
  EXPECT_TRUE(Detector.isBehind(Now));
  for (int Each = 0; Each < 39; ++Each, Now += Tick)
    Detector.onTick(milliseconds(5), Now);
  EXPECT_TRUE(Detector.isBehind(Now));
  Now += 2 * Tick;
  EXPECT_FALSE(Detector.isBehind(Now));
}

TEST(LagDetectorTest, SlightlyLateTicksCountAsBehindOnlyInARow) {
  LagDetector Detector;
  Detector.onTick(milliseconds(150), Start);
  Detector.onTick(milliseconds(150), Start);
  Detector.onTick(milliseconds(20), Start);
  Detector.onTick(milliseconds(150), Start);
  Detector.onTick(milliseconds(150), Start);
  EXPECT_FALSE(Detector.isBehind(Start));
  Detector.onTick(milliseconds(150), Start);
  EXPECT_TRUE(Detector.isBehind(Start));
}
