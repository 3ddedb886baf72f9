#include "fleet.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::membership;
using namespace kingcuphub::membership::tests;

namespace {

constexpr std::size_t Size = 9;
constexpr base::Duration Convergence = 15s;

MemberStatus statusOf(Fleet &All, std::size_t Observer, std::size_t Of) {
  const MemberView *Found = All.at(Observer)->find(Fleet::nameOf(Of));
  return Found == nullptr ? MemberStatus::Dead : Found->Status;
}

} // namespace

TEST(MembershipTest, InstancesDiscoverEachOtherFromList) {
  Fleet All(Size, 1);
  All.run(Convergence);
  EXPECT_TRUE(All.agrees());
}

TEST(MembershipTest, KilledInstanceIsSuspectedThenDead) {
  Fleet All(Size, 2);
  All.run(Convergence);
  All.kill(3);
  bool Suspected = false;
  for (int Count = 0; Count < 100; ++Count) {
    All.run(Step);
    Suspected |= statusOf(All, 0, 3) == MemberStatus::Suspect;
    EXPECT_TRUE(Suspected || statusOf(All, 0, 3) == MemberStatus::Alive);
  }
  EXPECT_TRUE(Suspected);
  EXPECT_EQ(statusOf(All, 0, 3), MemberStatus::Dead);
}

TEST(MembershipTest, LeavingInstanceIsRemovedWithoutSuspicion) {
  Fleet All(Size, 3);
  All.run(Convergence);
  All.leave(4);
  for (int Count = 0; Count < 30; ++Count) {
    All.run(Step);
    EXPECT_NE(statusOf(All, 0, 4), MemberStatus::Suspect);
  }
  EXPECT_EQ(statusOf(All, 0, 4), MemberStatus::Left);
}

TEST(MembershipTest, SilentConnectionIsReplacedAndNoInstanceDies) {
  Fleet All(Size, 4);
  All.run(Convergence);
  for (std::size_t To = 1; To < Size; ++To) {
    All.silence(0, To);
    All.silence(To, 0);
  }
  for (int Count = 0; Count < 200; ++Count) {
    All.run(Step);
    for (std::size_t Other = 1; Other < Size; ++Other) {
      EXPECT_NE(statusOf(All, 0, Other), MemberStatus::Dead);
      EXPECT_NE(statusOf(All, Other, 0), MemberStatus::Dead);
    }
  }
  EXPECT_GE(All.reconnects(), Size - 1);
  EXPECT_TRUE(All.agrees());
}

TEST(MembershipTest, RestartedInstanceReplacesFormerIncarnation) {
  Fleet All(Size, 5);
  All.run(Convergence);
  All.kill(2);
  All.start(2);
  All.run(Convergence);
  EXPECT_TRUE(All.agrees());
}

TEST(MembershipTest, InstancesAgreeAfterRollingRestart) {
  Fleet All(Size, 6);
  All.run(Convergence);
  for (std::size_t Index = 0; Index < Size; ++Index) {
    All.leave(Index);
    All.run(1s);
    All.start(Index);
    All.run(5s);
  }
  All.run(Convergence);
  EXPECT_TRUE(All.agrees());
}

TEST(MembershipTest, ResumedInstanceSuspectsNoPeerAndRejoins) {
  // The pause begins at each tenth of the period between two heartbeat rounds.
  for (int Phase = 0; Phase < 10; ++Phase) {
    Fleet All(Size, 7);
    All.run(Convergence + Phase * Step);
    All.pause(1, 20s);
    All.run(20s);
    EXPECT_EQ(statusOf(All, 0, 1), MemberStatus::Dead);
    for (int Count = 0; Count < 150; ++Count) {
      for (std::size_t Other : {0, 2, 3, 4, 5, 6, 7, 8})
        EXPECT_EQ(statusOf(All, 1, Other), MemberStatus::Alive);
      All.run(Step);
    }
    EXPECT_TRUE(All.agrees());
  }
}

TEST(MembershipTest, MessageFromAnotherDeploymentIsIgnored) {
  Membership One({{"tcp://a"}, {1}, {"z"}}, "ours", {}, std::mt19937_64(1));
  wire::PeerMessage Foreign;
  Foreign.set_deployment("theirs");
  Foreign.mutable_from()->set_instance("tcp://b");
  Foreign.mutable_heartbeat()->set_epoch(9);
  EXPECT_TRUE(One.receive(Foreign, base::TimePoint(1h)).empty());
  EXPECT_TRUE(One.peers().empty());
  EXPECT_EQ(One.versions().Epoch.Value, 0U);
}

TEST(MembershipTest, HighestConfigOffsetReachesEveryInstance) {
  Fleet All(Size, 8);
  All.run(Convergence);
  All.at(0)->setVersions({{77}, {3}});
  All.run(10s);
  for (std::size_t Index = 0; Index < Size; ++Index)
    EXPECT_EQ(All.at(Index)->versions().Config.Value, 77U);
  // Each instance sends only the epoch that it attests itself.
  EXPECT_EQ(All.at(1)->versions().Epoch.Value, 0U);
  EXPECT_EQ(All.at(1)->find(Fleet::nameOf(0))->ReportedVersions,
            (Versions{{77}, {3}}));
}

TEST(MembershipTest, MessageSizeIsBoundedWhenManyInstancesDie) {
  constexpr std::size_t InstanceCount = 100;
  constexpr std::size_t MaxBytes = 1000;
  Fleet All(InstanceCount, 9);
  All.run(30s);
  EXPECT_TRUE(All.agrees());
  for (std::size_t Index = 0; Index < InstanceCount / 2; ++Index)
    All.kill(Index);
  All.run(20s);
  EXPECT_LE(All.largestMessage(), MaxBytes);
}
