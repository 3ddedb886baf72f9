#include "residency/lagdetector.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::residency;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Tick{50};
const base::TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST(HolderLoadTest, AHolderWhoseTicksAreLateIsBehindUntilItKeepsUpAgain) {
  HolderLoad Load;
  base::TimePoint Now = Start;
  for (int Each = 0; Each < 20; ++Each, Now += Tick)
    Load.onTick(milliseconds(5), Now);
  EXPECT_FALSE(Load.isBehind(Now));
  Load.onTick(milliseconds(1000), Now);
  EXPECT_TRUE(Load.isBehind(Now));
  for (int Each = 0; Each < 39; ++Each, Now += Tick)
    Load.onTick(milliseconds(5), Now);
  EXPECT_TRUE(Load.isBehind(Now));
  Now += 2 * Tick;
  EXPECT_FALSE(Load.isBehind(Now));
}

TEST(HolderLoadTest, TicksThatAreALittleLateCountInARow) {
  HolderLoad Load;
  Load.onTick(milliseconds(150), Start);
  Load.onTick(milliseconds(150), Start);
  Load.onTick(milliseconds(20), Start);
  Load.onTick(milliseconds(150), Start);
  Load.onTick(milliseconds(150), Start);
  EXPECT_FALSE(Load.isBehind(Start));
  Load.onTick(milliseconds(150), Start);
  EXPECT_TRUE(Load.isBehind(Start));
}
