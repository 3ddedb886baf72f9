#include "../internal/linkmessages.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::control;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

catalog::Target targetAt(base::TimePoint ReadAt, std::uint64_t Beat) {
  catalog::Target Out;
  Out.Entry.Id = {"t1"};
  Out.Entry.Lifetime.Value = 7;
  Out.Entry.Beat = Beat;
  Out.Entry.Service = {"chat"};
  Out.Entry.Address = {"127.0.0.1", 9001};
  Out.Entry.Zone = {"a"};
  Out.Entry.Slots = 32;
  Out.Entry.Models[{"m1"}].Adapters = {{"x"}};
  Out.ReadAt = ReadAt;
  Out.ColdUntil = ReadAt;
  return Out;
}

ListedSource::Values one(const catalog::Target &Target) {
  return {{Target.Entry.Id, {Target}}};
}

} // namespace

TEST(ListedTargetTest, HeartbeatsAndAdaptersAreNoChange) {
  ListedSource Sender;
  EXPECT_TRUE(Sender.update(one(targetAt(Start, 1))));
  catalog::Target Later = targetAt(Start + milliseconds(1200), 2);
  Later.Entry.Models[{"m1"}].Adapters = {{"y"}};
  EXPECT_FALSE(Sender.update(one(Later)));
}

TEST(ListedTargetTest, WhatReceiversActOnIsAChange) {
  ListedSource Sender;
  Sender.update(one(targetAt(Start, 1)));
  catalog::Target Leaving = targetAt(Start, 2);
  Leaving.Entry.Leaving = true;
  EXPECT_TRUE(Sender.update(one(Leaving)));
  Leaving.EndsAt = Start + milliseconds(2000);
  EXPECT_TRUE(Sender.update(one(Leaving)));
  catalog::Target Cold = targetAt(Start, 3);
  Cold.ColdUntil = Start + milliseconds(5000);
  EXPECT_TRUE(Sender.update(one(Cold)));
  Cold.ReadAt = Start + milliseconds(1200);
  Cold.ColdUntil = Start + milliseconds(5010);
  EXPECT_FALSE(Sender.update(one(Cold)));
  EXPECT_TRUE(Sender.update({}));
}

TEST(ListedTargetTest, AListIsReadAsItWasWritten) {
  ListedSource Sender;
  catalog::Target Target = targetAt(Start, 5);
  Target.Entry.Leaving = true;
  Target.EndsAt = Start + milliseconds(2000);
  Target.ColdUntil = Start + milliseconds(3000);
  Sender.update(one(Target));
  wire::HolderReply Message;
  writeListed(Sender.since(0), Start + milliseconds(500), Message);
  ListedDelta Read = readListed(Message, Start + milliseconds(600));
  ListedReceiver Received;
  ASSERT_TRUE(Received.apply(Read));
  const catalog::TargetEntry &Entry = Received.values().at({"t1"}).Target.Entry;
  EXPECT_EQ(Entry.Lifetime.Value, 7U);
  EXPECT_EQ(Entry.Beat, 5U);
  EXPECT_EQ(Entry.Address.text(), "127.0.0.1:9001");
  EXPECT_EQ(Entry.Slots, 32U);
  EXPECT_TRUE(Entry.Leaving);
  EXPECT_EQ(Entry.TimeLeft, milliseconds(1500));
  EXPECT_EQ(Entry.ColdFor, milliseconds(2500));
  EXPECT_EQ(Entry.Models, Target.Entry.Models);
}

TEST(SuspectsTest, SuspectsAndEvidenceAreReadAsTheyWereWritten) {
  dispatch::SuspectPart Suspect;
  Suspect.Together = {{3}, {7}};
  Suspect.Since = Start;
  Suspect.Quarantined = true;
  Suspect.Ends = 4;
  Suspect.Trial = {2, {"i1"}};
  Suspect.NextTrialAt = Start + milliseconds(9000);
  SuspectsSource Sender;
  Sender.update({{{7}, Suspect}, {{8}, {}}});
  std::uint64_t Before = Sender.revision();
  wire::HolderReply Whole;
  writeSuspects(Sender.since(0), Start + milliseconds(500), Whole);
  SuspectsReceiver Received;
  ASSERT_TRUE(Received.apply(readSuspects(Whole, Start + milliseconds(500))));
  EXPECT_EQ(Received.values().at({7}), Suspect);
  EXPECT_EQ(Received.values().size(), 2U);
  Sender.update({{{7}, Suspect}});
  wire::HolderReply Change;
  writeSuspects(Sender.since(Before), Start, Change);
  ASSERT_TRUE(Received.apply(readSuspects(Change, Start)));
  EXPECT_EQ(Received.values().size(), 1U);

  std::string State = writeHolderState({{{7}, Suspect}}, {}, {}, Start);
  EXPECT_EQ(readHolderState(State, Start).at({7}), Suspect);
  EXPECT_TRUE(readHolderState("\xff\xff", Start).empty());
  duties::UsageState Usage = {
      {{{5}, {{{"a"}, 3}}, true}, {{6}, {{{"a"}, 0}}, false}}, {6}};
  EXPECT_EQ(
      readUsageState(writeHolderState({{{7}, Suspect}}, Usage, {}, Start)),
      Usage);
  EXPECT_FALSE(readUsageState("\xff\xff"));
  duties::OrderedCounts Ordered = {{{{"llm"}, {"zone-a"}}, 7}};
  EXPECT_EQ(readOrderedCounts(writeHolderState({}, {}, Ordered, Start)),
            Ordered);
  EXPECT_TRUE(readOrderedCounts("\xff\xff").empty());

  dispatch::CrashEvidence Evidence;
  Evidence.Ends = {{{"t"}, {5}, Start, {{{1}, {2}}, {{3}}}}};
  Evidence.Served = {{{9}, Start - milliseconds(200)}};
  Evidence.Refused = {{7}};
  wire::InstanceReport Report;
  writeEvidence(Evidence, Start + milliseconds(100), Report);
  dispatch::CrashEvidence Read =
      readEvidence(Report, Start + milliseconds(100));
  ASSERT_EQ(Read.Ends.size(), 1U);
  EXPECT_EQ(Read.Ends[0].Target.Value, "t");
  EXPECT_EQ(Read.Ends[0].Lifetime.Value, 5U);
  EXPECT_EQ(Read.Ends[0].At, Start);
  EXPECT_EQ(Read.Ends[0].Prompts, Evidence.Ends[0].Prompts);
  ASSERT_EQ(Read.Served.size(), 1U);
  EXPECT_EQ(Read.Served[0].At, Start - milliseconds(200));
  EXPECT_EQ(Read.Refused, Evidence.Refused);
}

/// Adapters come and go on a hundred targets many times a second, and every
/// instance applies each change.
TEST(LinkMessagesTest, AChangeOfOneTargetCopiesNoOthers) {
  constexpr int Targets = 117;
  HeldSource::Values All;
  for (int Index = 0; Index < Targets; ++Index)
    All[{std::to_string(Index)}].Models[{"m"}].Adapters = {{"a1"}, {"a2"}};
  HeldSource Source;
  HeldReceiver Receiver;
  auto Publish = [&] {
    Source.update(All);
    wire::HolderReply Message;
    writeHeld(Source.since(Receiver.revision()), Message);
    ASSERT_TRUE(Receiver.apply(readHeld(Message)));
  };
  Publish();
  catalog::SharedHeldStates Before = Receiver.values();
  ASSERT_EQ(Before.size(), static_cast<std::size_t>(Targets));
  All[{"7"}].Models[{"m"}].Adapters.insert({"a3"});
  Publish();
  for (const auto &[Id, State] : Receiver.values())
    EXPECT_EQ(State == Before.at(Id), Id.Value != "7") << Id.Value;
  EXPECT_EQ(*Receiver.values().at({"7"}), All[{"7"}]);
}
