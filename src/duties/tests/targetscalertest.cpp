#include "duties/targetscaler.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::duties;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const catalog::ServiceId Service{"llm"};
const base::ZoneId ZoneA{"a"};
const base::ZoneId ZoneB{"b"};
constexpr base::TimePoint Start{std::chrono::hours(1)};
/// Engine time per second that a target carries.
constexpr double Carried = 0.7;

ServiceDemand demand(double Work, unsigned Serving = 10) {
  ServiceDemand Out;
  Out.Bounds = {4, 30, seconds(8)};
  Out.Work = Work;
  Out.CarriedPerTarget = Carried;
  Out.Zones = {{ZoneA, {Serving, false}}, {ZoneB, {Serving, false}}};
  return Out;
}

/// The platform: accepts every order.
OrderedCounts orderAll(TargetScaler &Of, base::TimePoint Now) {
  OrderedCounts Out;
  while (auto Due = Of.takeDue(Now, [](const auto &) { return true; })) {
    Out[Due->Subject] = Due->Count;
    Of.onResult(*Due, ScalingResult::Accepted, Now);
  }
  return Out;
}

/// Updates and orders twice a second for \p Length.
base::TimePoint play(TargetScaler &Of, const ServiceDemand &Demand,
                     base::TimePoint From, base::Duration Length) {
  base::TimePoint Now = From;
  for (; Now < From + Length; Now += milliseconds(500)) {
    Of.update(Service, Demand, Now);
    orderAll(Of, Now);
  }
  return Now;
}

unsigned orderedIn(const TargetScaler &Of, const base::ZoneId &Zone) {
  OrderedCounts All = Of.ordered();
  auto Found = All.find({Service, Zone});
  return Found == All.end() ? 0 : Found->second;
}

} // namespace

// Load: demand multiplies within a second. Guards against counts that follow
// it step by step while requests are refused.
TEST(TargetScalerTest, AJumpInDemandIsOrderedAtOnce) {
  TargetScaler Scaler({});
  Scaler.start({}, Start);
  base::TimePoint Now = play(Scaler, demand(8), Start, seconds(2));
  EXPECT_EQ(orderedIn(Scaler, ZoneA), 10U);
  ServiceDemand Jump = demand(16);
  Jump.Rise = 4;
  Scaler.update(Service, Jump, Now);
  OrderedCounts Ordered = orderAll(Scaler, Now);
  // 20 / (0.7 * 0.6) targets over two zones.
  EXPECT_EQ(Ordered.at({Service, ZoneA}), 24U);
  EXPECT_EQ(Ordered.at({Service, ZoneB}), 24U);
}

TEST(TargetScalerTest, CountsStayWithinTheServicesBounds) {
  TargetScaler Scaler({});
  Scaler.start({}, Start);
  base::TimePoint Now = play(Scaler, demand(1000), Start, seconds(2));
  EXPECT_EQ(orderedIn(Scaler, ZoneA), 30U);
  play(Scaler, demand(0), Now, seconds(600));
  EXPECT_EQ(orderedIn(Scaler, ZoneA), 4U);
}

// Load: a peak with dips of some seconds. Guards against giving up targets
// that have just loaded their models and are needed again at once.
TEST(TargetScalerTest, ADipBetweenPeaksGivesUpNoTargets) {
  TargetScaler Scaler({});
  Scaler.start({}, Start);
  base::TimePoint Now = play(Scaler, demand(16), Start, seconds(40));
  unsigned AtPeak = orderedIn(Scaler, ZoneA);
  Now = play(Scaler, demand(14), Now, seconds(4));
  EXPECT_GE(orderedIn(Scaler, ZoneA) + 2, AtPeak);
  play(Scaler, demand(16), Now, seconds(2));
  EXPECT_EQ(orderedIn(Scaler, ZoneA), AtPeak);
}

// Guards against emptying a zone at once, which would move all its requests to
// targets that hold other models.
TEST(TargetScalerTest, ADecreaseRemovesATenthAtMost) {
  TargetScaler Scaler({});
  Scaler.start({}, Start);
  base::TimePoint Now = play(Scaler, demand(16, 20), Start, seconds(30));
  unsigned Before = orderedIn(Scaler, ZoneA);
  for (int Second = 0; Second < 120; ++Second) {
    Now = play(Scaler, demand(0), Now, seconds(1));
    unsigned After = orderedIn(Scaler, ZoneA);
    EXPECT_LE(Before - After, std::max(1U, Before / 10));
    Before = After;
  }
  EXPECT_EQ(Before, 4U);
}

// Guards against giving up memory without which models are held nowhere.
TEST(TargetScalerTest, EnoughTargetsForEveryModelAreKept) {
  TargetScaler Scaler({});
  Scaler.start({}, Start);
  ServiceDemand Idle = demand(0);
  Idle.TargetsForModels = 15;
  play(Scaler, Idle, Start, seconds(300));
  EXPECT_EQ(orderedIn(Scaler, ZoneA), 8U);
}

// Failure: the holder changes while targets that were ordered are starting and
// not listed yet. Guards against orders that take them back.
TEST(TargetScalerTest, ANewHolderGoesOnFromWhatWasOrdered) {
  TargetScaler Before({});
  Before.start({}, Start);
  base::TimePoint Now = play(Before, demand(16), Start, seconds(2));
  TargetScaler Next({});
  Next.start(Before.ordered(), Now);
  Next.update(Service, demand(2), Now);
  EXPECT_TRUE(orderAll(Next, Now).empty());
  EXPECT_EQ(Next.ordered(), Before.ordered());
}

// Failure: the answer to an order is lost, so that it may be carried out after
// a newer one. Guards against a count that stays undone.
TEST(TargetScalerTest, ACountIsOrderedAgainAfterALostAnswer) {
  TargetScaler Scaler({});
  Scaler.start({}, Start);
  Scaler.update(Service, demand(12), Start);
  auto Anywhere = [](const ScalingSubject &Subject) {
    return Subject.second == ZoneA;
  };
  auto Lost = Scaler.takeDue(Start, Anywhere);
  ASSERT_TRUE(Lost);
  EXPECT_FALSE(Scaler.takeDue(Start + seconds(2), Anywhere));
  Scaler.onResult(*Lost, ScalingResult::Unknown, Start);
  EXPECT_EQ(orderedIn(Scaler, ZoneA), 10U);
  base::TimePoint Now = Start + seconds(2);
  auto Again = Scaler.takeDue(Now, Anywhere);
  ASSERT_TRUE(Again);
  Scaler.onResult(*Again, ScalingResult::Accepted, Now);
  EXPECT_EQ(orderedIn(Scaler, ZoneA), Again->Count);
  EXPECT_FALSE(Scaler.takeDue(Now + seconds(5), Anywhere));
  Now = Start + seconds(13);
  auto Confirmed = Scaler.takeDue(Now, Anywhere);
  ASSERT_TRUE(Confirmed);
  EXPECT_EQ(Confirmed->Count, Again->Count);
  Scaler.onResult(*Confirmed, ScalingResult::Accepted, Now);
  EXPECT_FALSE(Scaler.takeDue(Now + seconds(60), Anywhere));
}

// Failure: a zone is evacuated. Guards against ordering targets that must not
// be used, and against giving up those that are needed once it is back.
TEST(TargetScalerTest, AZoneThatIsOutKeepsItsTargetsAndTheOthersGetMore) {
  TargetScaler Scaler({});
  Scaler.start({}, Start);
  base::TimePoint Now = play(Scaler, demand(8), Start, seconds(2));
  ServiceDemand Out = demand(8);
  Out.Zones[ZoneB].IsOut = true;
  play(Scaler, Out, Now, seconds(60));
  EXPECT_EQ(orderedIn(Scaler, ZoneA), 20U);
  EXPECT_EQ(orderedIn(Scaler, ZoneB), 10U);
}
