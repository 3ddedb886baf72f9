#include "catalog/targettable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::catalog;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

TargetEntry entry(std::uint64_t Lifetime, std::uint64_t Beat,
                  bool Leaving = false) {
  TargetEntry Out;
  Out.Id = {"t"};
  Out.Lifetime = {Lifetime};
  Out.Beat = Beat;
  Out.Leaving = Leaving;
  return Out;
}

const Target *find(TargetTable &Table) {
  static TargetListPtr List;
  List = Table.list();
  auto Found = List->Targets.find({"t"});
  return Found == List->Targets.end() ? nullptr : &Found->second;
}

} // namespace

/// Heartbeats may arrive out of order and more than once: the list reflects the
/// latest one, and a target that is leaving stays so within its lifetime.
RC_GTEST_PROP(TargetTableTest, ListReflectsLatestHeartbeat, ()) {
  struct Beat {
    std::uint64_t Lifetime = 0;
    std::uint64_t Number = 0;
  };
  auto Order = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(0, 40));
  TargetTable Table({});
  std::uint64_t Newest = 0;
  bool Any = false;
  for (std::uint64_t Each : Order) {
    // Each lifetime has ten heartbeats, of which the last three report leaving.
    Table.onEntry(entry(Each / 10, Each % 10, Each % 10 >= 7), Start);
    Newest = std::max(Newest, Each);
    Any = true;
  }
  const Target *Known = find(Table);
  RC_ASSERT((Known != nullptr) == Any);
  if (Known == nullptr)
    return;
  RC_ASSERT(Known->Entry.Lifetime.Value == Newest / 10);
  RC_ASSERT(Known->Entry.Beat == Newest % 10);
  RC_ASSERT(Known->Entry.Leaving == (Newest % 10 >= 7));
}

TEST(TargetTableTest, RemovesTargetImmediately) {
  TargetTable Table({});
  Table.onEntry(entry(1, 1), Start);
  Table.onRemoved({"t"}, Start);
  EXPECT_EQ(find(Table), nullptr);
}

TEST(TargetTableTest, OutdatedHeartbeatDoesNotRestoreRemovedTarget) {
  TargetTable Table({});
  Table.onEntry(entry(1, 5), Start);
  Table.onRemoved({"t"}, Start);
  Table.onEntry(entry(1, 4), Start);
  EXPECT_EQ(find(Table), nullptr);
  Table.onEntry(entry(1, 6), Start);
  EXPECT_NE(find(Table), nullptr);
}

TEST(TargetTableTest, DefersRemovalAfterOutage) {
  TargetTable Table({});
  Table.onEntry(entry(1, 1), Start);
  Table.setOutage(Start + milliseconds(100));
  Table.onRemoved({"t"}, Start + milliseconds(300));
  Table.tick(Start + milliseconds(1500));
  EXPECT_NE(find(Table), nullptr);
  Table.tick(Start + milliseconds(3000));
  EXPECT_EQ(find(Table), nullptr);
}

TEST(TargetTableTest, RewrittenEntryCancelsDeferredRemoval) {
  TargetTable Table({});
  Table.onEntry(entry(1, 1), Start);
  Table.setOutage(Start);
  Table.onRemoved({"t"}, Start);
  Table.onEntry(entry(1, 2), Start + milliseconds(1000));
  Table.tick(Start + milliseconds(5000));
  EXPECT_NE(find(Table), nullptr);
}

TEST(TargetTableTest, RemovesLeavingTargetWithoutDeferral) {
  TargetTable Table({});
  Table.onEntry(entry(1, 1, true), Start);
  Table.setOutage(Start);
  Table.onRemoved({"t"}, Start);
  EXPECT_EQ(find(Table), nullptr);
}

TEST(TargetTableTest, RemovesTargetWhenItsLifetimeEnds) {
  TargetTable Table({});
  TargetEntry Ending = entry(1, 1, true);
  Ending.TimeLeft = milliseconds(2000);
  Table.onEntry(Ending, Start);
  Table.tick(Start + milliseconds(1900));
  EXPECT_NE(find(Table), nullptr);
  Table.tick(Start + milliseconds(2000));
  EXPECT_EQ(find(Table), nullptr);
}

TEST(TargetTableTest, RemovesTargetsMissingFromCompleteList) {
  TargetTable Table({});
  Table.onEntry(entry(1, 1), Start);
  Table.onCompleteList({}, Start);
  EXPECT_EQ(find(Table), nullptr);
}

/// An instance that could not reach the store for a moment does not doubt what
/// the holder has read.
TEST(TargetTableTest, RemovalByTheHolderIsNotDeferred) {
  TargetTable Table({});
  Table.onEntry(entry(1, 1), Start);
  Table.setOutage(Start);
  Table.onRemoved({"t"}, Start, ToldBy::Holder);
  EXPECT_EQ(find(Table), nullptr);
}

/// The entry was rewritten after this instance had stopped reading the list.
TEST(TargetTableTest, TargetThatTheHolderListsOutlivesTheDeferral) {
  TargetTable Table({});
  Table.onEntry(entry(1, 1), Start);
  Target Listed = *find(Table);
  Table.setOutage(Start);
  Table.onRemoved({"t"}, Start + milliseconds(100));
  // As the holder had read it before.
  Table.compare({&Listed}, Start + milliseconds(50), Start + milliseconds(500));
  Table.compare({&Listed}, Start + milliseconds(900),
                Start + milliseconds(1200));
  Table.tick(Start + milliseconds(5000));
  EXPECT_NE(find(Table), nullptr);
}

/// To the holder nothing has changed, so that its deltas do not tell.
TEST(TargetTableTest, TargetThatTheHolderListsLaterComesBack) {
  TargetTable Table({});
  Table.onEntry(entry(1, 7), Start);
  Target Listed = *find(Table);
  Table.onRemoved({"t"}, Start + milliseconds(100));
  Table.compare({&Listed}, Start + milliseconds(50), Start + milliseconds(500));
  EXPECT_EQ(find(Table), nullptr);
  Table.compare({&Listed}, Start + milliseconds(900),
                Start + milliseconds(1200));
  EXPECT_NE(find(Table), nullptr);
}

TEST(TargetTableTest, TargetThatTheHolderNoLongerListsGoes) {
  TargetTable Table({});
  Table.onEntry(entry(1, 1), Start);
  // Read by this instance after the holder's list.
  Table.compare({}, Start - milliseconds(100), Start + milliseconds(100));
  EXPECT_NE(find(Table), nullptr);
  Table.compare({}, Start + milliseconds(100), Start + milliseconds(300));
  EXPECT_EQ(find(Table), nullptr);
}

/// Another instance was served all the while, as its report says.
TEST(TargetTableTest, RemovalDeferredForNoOutageTakesEffect) {
  TargetTable Table({});
  Table.onEntry(entry(1, 1), Start);
  Table.setOutage(Start);
  Table.onRemoved({"t"}, Start + milliseconds(100));
  EXPECT_TRUE(Table.isInDoubt());
  Table.setOutage(std::nullopt);
  Table.tick(Start + milliseconds(150));
  EXPECT_EQ(find(Table), nullptr);
  EXPECT_FALSE(Table.isInDoubt());
}

/// The holder was turned away and still lists what this instance has read to be
/// gone, by a heartbeat that only the holder had read.
TEST(TargetTableTest, AnOlderListOfTheHolderBringsNoRemovedTargetBack) {
  TargetTable Table({});
  Table.onEntry(entry(1, 3), Start);
  Table.onRemoved({"t"}, Start + milliseconds(100));
  Table.onEntry(entry(1, 9), Start + milliseconds(200), ToldBy::Holder);
  EXPECT_EQ(find(Table), nullptr);
  // It has started again since.
  Table.onEntry(entry(2, 1), Start + milliseconds(300), ToldBy::Holder);
  EXPECT_NE(find(Table), nullptr);
}

/// After the next holder's list, of which it is not known how old it is, comes
/// the proof.
TEST(TargetTableTest, WhatOneHolderRemovedTheNextBringsBackByProofOnly) {
  TargetTable Table({});
  Table.onEntry(entry(1, 3), Start);
  Target Listed = *find(Table);
  Listed.Entry.Beat = 4;
  Table.onRemoved({"t"}, Start + milliseconds(100), ToldBy::Holder);
  Table.onEntry(Listed.Entry, Start + milliseconds(200), ToldBy::Holder);
  EXPECT_EQ(find(Table), nullptr);
  Table.compare({&Listed}, Start + milliseconds(50), Start + milliseconds(250));
  EXPECT_EQ(find(Table), nullptr);
  Table.compare({&Listed}, Start + milliseconds(300),
                Start + milliseconds(500));
  EXPECT_NE(find(Table), nullptr);
}

TEST(TargetTableTest, AnOlderListOfTheHolderEndsNoDeferral) {
  TargetTable Table({});
  Table.onEntry(entry(1, 3), Start);
  Table.setOutage(Start);
  Table.onRemoved({"t"}, Start + milliseconds(100));
  Table.onEntry(entry(1, 9), Start + milliseconds(200), ToldBy::Holder);
  Table.tick(Start + milliseconds(3000));
  EXPECT_EQ(find(Table), nullptr);
}
