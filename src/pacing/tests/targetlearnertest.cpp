#include "pacing/targetlearner.h"
#include "pacing/samplecollector.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::pacing;
using std::chrono::milliseconds;

namespace {

const catalog::ServiceId Pool{"pool"};
constexpr std::int64_t Slots = 12;
constexpr double ExpectedMillis = 60;

/// Samples of some 60 instances, each of which sends a target a request every
/// few seconds.
class TargetLearnerTest : public testing::Test {
protected:
  TargetLearnerTest() {
    auto List = std::make_shared<catalog::TargetList>();
    for (int Index = 0; Index < Count; ++Index) {
      catalog::Target Target;
      Target.Entry.Id = id(Index);
      Target.Entry.Lifetime = {1};
      Target.Entry.Service = Pool;
      List->Targets[Target.Entry.Id] = Target;
    }
    this->Learner.setTargets(List);
  }

  static base::TargetId id(int Index) { return {"t" + std::to_string(Index)}; }

  /// One answer after \p Millis, as an instance of its own reports it.
  void answer(int Index, double Load, double Millis) {
    SampleCollector Instance(SamplingMode::All);
    dispatch::StatedLoad Stated{static_cast<std::int64_t>(Load), 0, Slots, 1.0};
    Instance.onStatedLoad(id(Index), {1}, Stated, this->Now);
    Instance.onAnswered({id(Index), {1}, Load, Slots, ExpectedMillis},
                        std::chrono::duration_cast<base::Duration>(
                            std::chrono::duration<double, std::milli>(Millis)));
    for (const TargetSample &Each : Instance.take())
      this->Learner.onSample(Each, this->Now);
  }

  /// Ten answers a second from each target; \p Millis by target and load.
  template <typename Function>
  void play(std::chrono::seconds For, double Load, Function Millis) {
    for (base::TimePoint End = this->Now + For; this->Now < End;
         this->Now += milliseconds(100))
      for (int Index = 0; Index < Count; ++Index)
        this->answer(Index, Load, Millis(Index, Load));
  }

  dispatch::TargetFigures figures(int Index) {
    return this->Learner.figures(this->Now)[id(Index)];
  }

  static constexpr int Count = 10;
  TargetLearner Learner{TargetLearnerSettings{}};
  base::TimePoint Now{std::chrono::hours(1)};
};

} // namespace

// Guards against a target that is ten times as slow as the others being taken
// for a usual one, as single instances see too little of it.
TEST_F(TargetLearnerTest, ASlowTargetIsToldFromTheOthers) {
  this->play(std::chrono::seconds(5), 2,
             [](int Index, double) { return Index == 3 ? 800.0 : 80.0; });
  EXPECT_GT(this->figures(3).Pace, 5);
  EXPECT_NEAR(this->figures(4).Pace, 1, 0.1);
  EXPECT_EQ(this->figures(4).Limit, Slots);
}

TEST_F(TargetLearnerTest, AChangeOfSpeedIsFollowed) {
  this->play(std::chrono::seconds(10), 2,
             [](int Index, double) { return Index == 3 ? 800.0 : 80.0; });
  this->play(std::chrono::seconds(10), 2,
             [](int Index, double) { return Index == 5 ? 800.0 : 80.0; });
  EXPECT_LT(this->figures(3).Pace, 2);
  EXPECT_GT(this->figures(5).Pace, 4);
}

// Guards against filling a target to its slots that slows down at half of them.
TEST_F(TargetLearnerTest, ATargetThatSlowsDownBeforeItIsFullGetsALimit) {
  auto Millis = [](int Index, double Load) {
    return Index == 3 && Load > Slots / 2.0 ? 400.0 : 80.0;
  };
  for (int Round = 0; Round < 10; ++Round)
    for (double Load : {1.0, 4.0, 7.0, 10.0})
      this->play(std::chrono::seconds(1), Load, Millis);
  EXPECT_EQ(this->figures(3).Limit, Slots / 2);
  EXPECT_EQ(this->figures(4).Limit, Slots);
}

// Guards against never using a target again that was slow once.
TEST_F(TargetLearnerTest, ASlowTargetWithoutRequestsCountsAsUsualAgain) {
  this->play(std::chrono::seconds(5), 2,
             [](int Index, double) { return Index == 3 ? 800.0 : 80.0; });
  this->Now += std::chrono::seconds(11);
  EXPECT_DOUBLE_EQ(this->figures(3).Pace, 1);
  EXPECT_EQ(this->figures(3).Limit, Slots);
}

TEST_F(TargetLearnerTest, SamplesOfAnotherLifetimeAreIgnored) {
  SampleCollector Instance(SamplingMode::All);
  Instance.onStatedLoad(id(3), {2}, {12, 5, Slots, 9.0}, this->Now);
  for (const TargetSample &Each : Instance.take())
    this->Learner.onSample(Each, this->Now);
  EXPECT_TRUE(this->Learner.figures(this->Now).empty());
}

// Failure: the holder changes. The new one knows the loads with the first
// reports, and nothing of the old one's times.
TEST_F(TargetLearnerTest, ANewHolderStartsFromTheNextReports) {
  this->play(std::chrono::seconds(5), 2,
             [](int Index, double) { return Index == 3 ? 800.0 : 80.0; });
  this->Learner.clear();
  this->answer(3, 9, 80);
  dispatch::FigureTable Table = this->Learner.figures(this->Now);
  EXPECT_EQ(Table.size(), 1U);
  EXPECT_EQ(Table.at(id(3)).Load, 9);
  EXPECT_DOUBLE_EQ(Table.at(id(3)).Pace, 1);
}

// Guards against reports and decisions that a deployment has not asked for.
TEST(SampleCollectorTest, OnlyTargetsThatStateTheirSlownessAreSampled) {
  SampleCollector Instance(SamplingMode::WhereSlownessIsStated);
  Instance.onStatedLoad({"a"}, {1}, {1, 0, Slots, {}}, {});
  Instance.onStatedLoad({"b"}, {1}, {1, 0, Slots, 1.5}, {});
  auto Samples = Instance.take();
  ASSERT_EQ(Samples.size(), 1U);
  EXPECT_EQ(Samples.front().Target.Value, "b");
  SampleCollector Off(SamplingMode::Off);
  Off.onStatedLoad({"b"}, {1}, {1, 0, Slots, 1.5}, {});
  EXPECT_TRUE(Off.take().empty());
}

// Load: a target fails a fifth of its requests while its health answers are
// good. Guards against each of 60 instances having to find out by itself.
TEST_F(TargetLearnerTest, WhatFailsForAllInstancesIsLearnedOnce) {
  for (int Each = 0; Each < 30; ++Each) {
    SampleCollector Instance(SamplingMode::All);
    Instance.onStatedLoad(id(3), {1}, {1, 0, Slots, 1.0}, this->Now);
    Instance.onEnded(id(3), {1}, Each % 5 == 0);
    for (const TargetSample &Sample : Instance.take())
      this->Learner.onSample(Sample, this->Now);
    this->Now += milliseconds(50);
  }
  EXPECT_NEAR(this->figures(3).FailureShare, 0.18, 0.05);
  this->Now += std::chrono::seconds(20);
  EXPECT_EQ(this->figures(3).FailureShare, 0);
}
