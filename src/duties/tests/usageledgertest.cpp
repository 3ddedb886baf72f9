#include "duties/usageledger.h"
#include "duties/beguncounts.h"
#include "duties/fleetclock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::duties;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Length{5000};
const base::InstanceId One{"i1"};
const base::InstanceId Two{"i2"};
const base::AccountId Acme{"acme"};

UsageLedgerSettings settings() {
  UsageLedgerSettings Out;
  Out.WindowLength = Length;
  return Out;
}

/// Time of day in the middle of the n-th window of the test.
WallMillis inWindow(std::uint64_t Number,
                    milliseconds After = milliseconds(0)) {
  return Length * static_cast<std::int64_t>(Number) + After;
}

std::map<WindowId, BegunCounts> counts(std::uint64_t Window,
                                       std::uint64_t Count) {
  return {{{Window}, {{Acme, Count}}}};
}

} // namespace

TEST(UsageLedgerTest, AWindowIsSettledOnceAllInstancesHaveReported) {
  UsageLedger Ledger(settings());
  Ledger.start({}, inWindow(100));
  Ledger.onCounts(One, {100}, counts(100, 7));
  WallMillis Now = inWindow(101, milliseconds(700));
  EXPECT_FALSE(Ledger.settle({{One, Two}}, Now));
  Ledger.onCounts(Two, {100}, counts(100, 5));
  Ledger.onCounts(Two, {100}, counts(100, 5));
  ASSERT_TRUE(Ledger.settle({{One, Two}}, Now));
  ASSERT_EQ(Ledger.reports().size(), 1U);
  EXPECT_EQ(Ledger.reports()[0].Counts.at(Acme), 12U);
  // A late report changes nothing.
  Ledger.onCounts(One, {100}, counts(100, 9));
  Ledger.settle({{One, Two}}, Now);
  EXPECT_EQ(Ledger.reports()[0].Counts.at(Acme), 12U);
}

// Failure: an instance has died with its counts; the report is not held back
// beyond the time when it is due.
TEST(UsageLedgerTest, AnInstanceThatNeverReportsDelaysNoWindowForLong) {
  UsageLedger Ledger(settings());
  Ledger.start({}, inWindow(100));
  Ledger.onCounts(One, {100}, counts(100, 7));
  EXPECT_FALSE(Ledger.settle({{One, Two}}, inWindow(101, milliseconds(4900))));
  EXPECT_TRUE(Ledger.settle({{One, Two}}, inWindow(102)));
}

// Guards against sending counts that a later holder does not know: it would
// send others for the same window.
TEST(UsageLedgerTest, NothingIsSentBeforeItIsStored) {
  UsageLedger Ledger(settings());
  Ledger.start({}, inWindow(100));
  Ledger.onCounts(One, {100}, counts(100, 7));
  WallMillis Now = inWindow(101, milliseconds(700));
  ASSERT_TRUE(Ledger.settle({{One}}, Now));
  EXPECT_FALSE(Ledger.takeDue(Now));
  Ledger.onStored({{{100}, {{Acme, 8}}, false}});
  EXPECT_FALSE(Ledger.takeDue(Now)) << "other counts were stored";
  Ledger.onStored(Ledger.reports());
  ASSERT_TRUE(Ledger.takeDue(Now));
  EXPECT_FALSE(Ledger.takeDue(Now)) << "under way";
  // An answer that is lost: the same counts are sent again.
  Ledger.onSent({100}, false);
  EXPECT_FALSE(Ledger.takeDue(Now));
  EXPECT_TRUE(Ledger.takeDue(Now + milliseconds(1000)));
  Ledger.onSent({100}, true);
  EXPECT_FALSE(Ledger.takeDue(Now + milliseconds(5000)));
}

/// Holders change at any step, records of the lease are lost, answers are lost,
/// and instances report again to each holder. All calls for one window that may
/// reach the platform have the same counts, and no window is left out that a
/// holder had enough time for.
RC_GTEST_PROP(UsageLedgerTest, HoldersInSeriesNeverSendOtherCounts, ()) {
  std::map<WindowId, BegunCounts> Sent;
  UsageState Record;
  BegunReport FirstBegun(6);
  BegunReport SecondBegun(6);
  auto Ledger = std::make_unique<UsageLedger>(settings());
  WallMillis Now = inWindow(100);
  Ledger->start(Record, Now);
  for (int Step = 0; Step < 400; ++Step) {
    Now += milliseconds(250);
    WindowId Current = windowAt(Now, Length);
    FirstBegun.add(Current, {{Acme, *rc::gen::inRange(0, 5)}});
    SecondBegun.add(Current, {{Acme, *rc::gen::inRange(0, 5)}});
    switch (*rc::gen::weightedElement<int>({{20, 0}, {1, 1}, {2, 2}, {2, 3}})) {
    case 1: // Another holder, with what the record has.
      Ledger = std::make_unique<UsageLedger>(settings());
      Ledger->start(Record, Now);
      FirstBegun.onNewHolder();
      SecondBegun.onNewHolder();
      break;
    case 2: // A report is lost.
      break;
    case 3: // The record is not appended in this step.
      Ledger->settle({{One, Two}}, Now);
      break;
    default:
      Ledger->onCounts(One, {Current.Value - 1},
                       FirstBegun.unconfirmed(Current));
      FirstBegun.onConfirmed({Current.Value - 1});
      Ledger->onCounts(Two, {Current.Value - 1},
                       SecondBegun.unconfirmed(Current));
      SecondBegun.onConfirmed({Current.Value - 1});
      Ledger->settle({{One, Two}}, Now);
      Record = Ledger->state();
      Ledger->onStored(Record.Reports);
    }
    while (auto Due = Ledger->takeDue(Now)) {
      auto [Known, New] = Sent.try_emplace(Due->Window, Due->Counts);
      RC_ASSERT(New || Known->second == Due->Counts);
      Ledger->onSent(Due->Window, *rc::gen::inRange(0, 3) > 0);
    }
  }
  RC_ASSERT(Sent.size() >= 15U);
}

// Failure: the store has lost the records of the last seconds, and with them
// what the holder before may have sent.
TEST(UsageLedgerTest, WindowsOfAnIncompleteRecordAreLeftOut) {
  UsageLedger Ledger(settings());
  Ledger.start({{{{98}, {{Acme, 3}}, false}}, {98}},
               inWindow(101, milliseconds(700)), true);
  Ledger.onCounts(One, {100}, counts(100, 7));
  Ledger.settle({{One}}, inWindow(101, milliseconds(800)));
  EXPECT_EQ(Ledger.reports().size(), 1U);
  Ledger.onCounts(One, {101}, counts(101, 2));
  Ledger.settle({{One}}, inWindow(102, milliseconds(700)));
  ASSERT_EQ(Ledger.reports().size(), 2U);
  EXPECT_EQ(Ledger.reports().back().Window.Value, 101U);
}

// Failure: the holder after a loss is replaced before it has settled a window.
TEST(UsageLedgerTest, WindowsThatWereLeftOutStaySoForLaterHolders) {
  UsageLedger First(settings());
  First.start({}, inWindow(101), true);
  UsageLedger Next(settings());
  Next.start(First.state(), inWindow(101, milliseconds(900)));
  Next.onCounts(One, {100}, counts(100, 7));
  EXPECT_FALSE(Next.settle({{One}}, inWindow(101, milliseconds(1000))));
  EXPECT_TRUE(Next.reports().empty());
}

// Guards against settling a window with the counts of the instances that happen
// to report first to a new holder.
TEST(UsageLedgerTest, ANewHolderThatDoesNotKnowTheInstancesWaits) {
  UsageLedger Ledger(settings());
  Ledger.start({}, inWindow(101));
  Ledger.onCounts(One, {100}, counts(100, 7));
  EXPECT_FALSE(Ledger.settle(std::nullopt, inWindow(101, milliseconds(700))));
  EXPECT_TRUE(Ledger.settle(std::nullopt, inWindow(102)));
}

TEST(BegunReportTest, CountsThatFollowAReportOfTheirWindowAreReported) {
  BegunReport Begun(6);
  Begun.add({100}, {{Acme, 3}});
  Begun.onConfirmed({100});
  EXPECT_TRUE(Begun.unconfirmed({101}).empty());
  Begun.add({100}, {{Acme, 1}});
  EXPECT_EQ(Begun.unconfirmed({101}).at({100}).at(Acme), 4U);
}

// Guards against counts in the wrong window after the time of day has jumped on
// some instances, the holder among them.
TEST(FleetClockTest, TheTimeOfMostInstancesCounts) {
  FleetClock Clock;
  base::TimePoint Now{std::chrono::hours(1)};
  EXPECT_FALSE(Clock.wallAt(Now));
  for (int Index = 0; Index < 7; ++Index)
    Clock.onReported({std::to_string(Index)},
                     inWindow(100, milliseconds(Index < 3 ? 7000 : Index)),
                     Now);
  WallMillis Wall = *Clock.wallAt(Now + milliseconds(1000));
  EXPECT_GE(Wall, inWindow(100, milliseconds(1000)));
  EXPECT_LE(Wall, inWindow(100, milliseconds(1010)));
  // Those that have gone have no say.
  Clock.onReported({"0"}, inWindow(102), Now + milliseconds(6000));
  EXPECT_EQ(*Clock.wallAt(Now + milliseconds(6000)), inWindow(102));
}
