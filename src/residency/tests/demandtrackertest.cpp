#include "residency/demandtracker.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::residency;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const catalog::ServiceId Pool{"pool"};
const Item Model{{"m"}, {}};

class DemandTrackerTest : public testing::Test {
protected:
  /// Four reports a second of \p Work seconds per second.
  void play(seconds For, double Work) {
    for (base::TimePoint End = this->Now + For; this->Now < End;
         this->Now += milliseconds(250)) {
      ItemUse Use;
      Use.Service = Pool;
      Use.What = Model;
      Use.Arrived = 1;
      Use.Work = std::chrono::duration<double>(Work / 4);
      this->Demand.onUse({"i"}, {Use}, this->Now);
    }
  }

  residency::Demand demand() const {
    return this->Demand.demandOf(Pool, Model, this->Now);
  }

  DemandTracker Demand{DemandTrackerSettings{}};
  base::TimePoint Now{std::chrono::hours(1)};
};

} // namespace

// Load: traffic starts with the demand that it keeps. Guards against taking
// that for a rise: 90 models were unloaded in the first second for copies that
// nobody needed.
TEST_F(DemandTrackerTest, TheStartOfTrafficIsNoRise) {
  this->play(seconds(1), 8);
  EXPECT_LT(this->demand().Trend, 2);
  this->play(seconds(4), 8);
  EXPECT_LT(this->demand().Trend, 1);
}

TEST_F(DemandTrackerTest, AJumpIsARise) {
  this->play(seconds(20), 2);
  this->play(seconds(2), 20);
  EXPECT_GT(this->demand().Trend, 4);
}

// Failure: the holder changes, and the next one knows nothing of the demand
// before, or what it knew as the holder a minute ago.
TEST_F(DemandTrackerTest, ANewHoldersFirstReportsAreNoRise) {
  this->play(seconds(20), 8);
  this->Now += seconds(60);
  this->Demand.restart(this->Now);
  this->play(seconds(1), 8);
  EXPECT_LT(this->demand().Trend, 2);
}

// Guards against orders for targets by the noise of hundreds of models, whose
// rises alone add up to much of the demand.
TEST_F(DemandTrackerTest, WhatMovesBetweenModelsCancelsOut) {
  const Item Other{{"other"}, {}};
  this->play(seconds(20), 8);
  for (int Each = 0; Each < 4; ++Each) {
    ItemUse Use;
    Use.Service = Pool;
    Use.What = Other;
    Use.Arrived = 1;
    Use.Work = std::chrono::duration<double>(2);
    this->Demand.onUse({"i"}, {Use}, this->Now);
    this->Now += milliseconds(250);
  }
  double Rising = this->Demand.demandOf(Pool, Other, this->Now).Trend;
  EXPECT_GT(Rising, 2);
  EXPECT_LT(this->demand().Trend + Rising, Rising / 2);
}
