#include "../internal/figuremessages.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::control;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

catalog::TargetList twoTargets() {
  catalog::TargetList Out;
  for (const char *Id : {"a", "b"}) {
    Out.Targets[{Id}].Entry.Id = {Id};
    Out.Targets[{Id}].Entry.Lifetime = {7};
  }
  return Out;
}

} // namespace

TEST(FigureMessagesTest, FiguresAreReadAsTheyWereWritten) {
  dispatch::FigureTable Table;
  Table[{"a"}] = {{7}, 9, Start - milliseconds(300), 12, 2.5, 1.25, 6, 0.25};
  Table[{"gone"}] = {{1}, 3, Start, 12, 1, 1, 12};
  std::string Bytes = encodeFigures(Table, Start);
  // Received 40 ms later.
  auto Read = decodeFigures(Bytes, twoTargets(), Start + milliseconds(40));
  ASSERT_TRUE(Read);
  ASSERT_EQ(Read->size(), 1U);
  const dispatch::TargetFigures &Got = Read->at({"a"});
  EXPECT_EQ(Got.Load, 9);
  EXPECT_EQ(Got.LoadAt, Start - milliseconds(260));
  EXPECT_EQ(Got.Slots, 12);
  EXPECT_DOUBLE_EQ(Got.Slowness, 2.5);
  EXPECT_DOUBLE_EQ(Got.Pace, 1.25);
  EXPECT_EQ(Got.Limit, 6);
  EXPECT_DOUBLE_EQ(Got.FailureShare, 0.25);
}

// Failure: bytes that can't be read, and lists of unequal length.
TEST(FigureMessagesTest, FiguresThatCannotBeReadArePassedOver) {
  EXPECT_FALSE(decodeFigures("\xff\xff", twoTargets(), Start));
  wire::TargetFigures Uneven;
  Uneven.add_keys(1);
  EXPECT_FALSE(decodeFigures(Uneven.SerializeAsString(), twoTargets(), Start));
}

// Guards against taking a message that says nothing of levels, such as a
// broadcast of what engines hold, for one that lifts them all.
TEST(FigureMessagesTest, AMessageWithoutLevelsIsToldFromOneThatLiftsThem) {
  wire::HolderReply Broadcast;
  EXPECT_FALSE(Broadcast.admission_included());
  wire::HolderReply Lifted;
  writeAdmission({}, Lifted);
  EXPECT_TRUE(Lifted.admission_included());
  wire::HolderReply Levels;
  overload::AdmissionLevels Before = {
      {{{"s"}, {"m"}}, {3.5, milliseconds(700)}}};
  writeAdmission(Before, Levels);
  EXPECT_EQ(readAdmission(Levels), Before);
}

TEST(FigureMessagesTest, SamplesAndArrivalsAreReadAsTheyWereWritten) {
  pacing::TargetSample Sample;
  Sample.Target = {"a"};
  Sample.Lifetime = {7};
  Sample.Load = dispatch::StatedLoad{3, 2, 12, 1.5};
  Sample.LoadAt = Start - milliseconds(100);
  Sample.Times[2] = {4, 300, 200};
  Sample.Answered = 4;
  wire::InstanceReport Report;
  writeSamples({Sample}, Start, Report);
  auto Read = readSamples(Report, Start);
  ASSERT_EQ(Read.size(), 1U);
  EXPECT_EQ(Read[0].Load->Running + Read[0].Load->Waiting, 5);
  EXPECT_EQ(Read[0].Load->Slowness, 1.5);
  EXPECT_EQ(Read[0].LoadAt, Sample.LoadAt);
  EXPECT_DOUBLE_EQ(Read[0].Times[2].MeasuredMillis, 300);
  overload::ArrivalTable Arrivals;
  Arrivals[{{"s"}, {"m"}}].Asked[3] = 5;
  Arrivals[{{"s"}, {"m"}}].Sent = 4;
  writeArrivals(Arrivals, Report);
  EXPECT_EQ(readArrivals(Report).at({{"s"}, {"m"}}).Asked[3], 5U);
}
