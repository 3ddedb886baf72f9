#include "cluster.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::shares;
using namespace kingcuphub::shares::tests;

namespace {

constexpr std::int64_t Burst = 900;
constexpr double Rate = 90;
constexpr base::TimePoint Start{1h};

Settings threeHolders() {
  Settings Out;
  Out.Holders = {3, 3, 1, 1};
  return Out;
}

bool nobody(std::size_t) { return false; }

/// Three instances that each hold a third of 900 tokens.
Cluster threeThirds() {
  Cluster All(3, 1, threeHolders());
  All.appendLimit(Tokens, tokenLimit(Rate, Burst, {}));
  All.appendEpoch(nobody);
  All.run(6s);
  return All;
}

std::int64_t unitsAt(Cluster &All, std::size_t Index) {
  return All.agent(Index)->find(Tokens)->units();
}

Share shareOf(std::int64_t Free, std::int64_t Used, std::int64_t PerSecond) {
  Share Out;
  Out.refill(Start, 0);
  Out.add({Free, Used, PerSecond * MicrosPerUnit});
  return Out;
}

} // namespace

TEST(ShareTest, OnlyUsedUnitsAreRefilledAndNoMoreThanThose) {
  Share Part = shareOf(10, 5, 2);
  Part.refill(Start + 1s, 0);
  EXPECT_EQ(Part.free(), 12);
  Part.refill(Start + 100s, 0);
  EXPECT_EQ(Part.free(), 15);
  EXPECT_EQ(Part.used(), 0);
}

TEST(ShareTest, AFullShareAccumulatesNoRefill) {
  Share Part = shareOf(10, 0, 1);
  Part.refill(Start + 900ms, 0);
  Part.spend(Part.grant(10));
  Part.refill(Start + 1800ms, 0);
  EXPECT_EQ(Part.free(), 0);
}

TEST(ShareTest, ARefillIsReducedByTheMaximumClockDrift) {
  Share Part = shareOf(0, 3000, 1000);
  Part.refill(Start + 1s, 0.01);
  EXPECT_EQ(Part.free(), 990);
}

TEST(ShareTest, UnitsThatWereRefilledAreNotRefunded) {
  Share Part = shareOf(10, 0, 1);
  Part.spend(Part.grant(10));
  Part.refill(Start + 10s, 0);
  Part.add({0, 10, 0});
  Part.refund(10);
  EXPECT_EQ(Part.free(), 10);
}

TEST(ShareTest, ALoweredLimitDestroysGrantedUnitsWhenTheyComeBack) {
  Share Part = shareOf(100, 0, 1);
  EXPECT_EQ(Part.grant(80), 80);
  Part.scale(0.1, 1);
  EXPECT_EQ(Part.units(), 10);
  Part.giveBack(80);
  EXPECT_EQ(Part.units(), 10);
}

TEST(SharesTest, TheFirstEpochSplitsTheLimitAmongTheHolders) {
  Cluster All = threeThirds();
  for (std::size_t Index = 0; Index < 3; ++Index)
    EXPECT_EQ(unitsAt(All, Index), Burst / 3);
  EXPECT_EQ(All.held(Tokens).RefillMicros, Rate * MicrosPerUnit);
}

TEST(SharesTest, OneGatewayCanSpendTheWholeLimit) {
  Cluster All = threeThirds();
  bool Done = false;
  All.run(1s, [&] { Done = Done || All.spend(1, Burst); });
  EXPECT_TRUE(Done);
  EXPECT_EQ(All.overshoot(), 0);
}

TEST(SharesTest, AnIsolatedMembersUnitsAreReissuedOnlyAfterItsProofExpired) {
  Cluster All = threeThirds();
  All.isolate(2, true);
  All.cutLog(2, true);
  All.appendEpoch([](std::size_t Index) { return Index == 2; });
  All.run(2600ms);
  EXPECT_LE(unitsAt(All, 0) + unitsAt(All, 1), Burst * 2 / 3);
  EXPECT_TRUE(All.spend(2, 100));
  All.run(1500ms);
  EXPECT_EQ(unitsAt(All, 0) + unitsAt(All, 1), Burst);
  EXPECT_FALSE(All.spend(2, 100));
}

TEST(SharesTest, NothingIsReissuedUntilEveryRemainingMemberHasConfirmed) {
  Cluster All = threeThirds();
  // The instance is a member of the new epoch but does not learn of it.
  All.pause(2, 20s);
  All.pauseGateway(2, 20s);
  All.appendEpoch(nobody);
  All.run(10s);
  EXPECT_LE(unitsAt(All, 0) + unitsAt(All, 1), Burst * 2 / 3);
  All.run(15s);
  EXPECT_EQ(All.held(Tokens).Units, Burst);
}

TEST(SharesTest, ALeftOutMemberConfirmsOnlyAfterItsGatewaysCreditExpired) {
  Cluster All = threeThirds();
  EXPECT_TRUE(All.spend(2, 10));
  Commands Out;
  EXPECT_EQ(All.agent(2)->take(Tokens, 50, All.now(), Out).Amount, 50);
  All.appendEpoch([](std::size_t Index) { return Index == 2; });
  All.run(2900ms);
  EXPECT_LE(unitsAt(All, 0) + unitsAt(All, 1), Burst * 2 / 3);
  All.run(1s);
  EXPECT_EQ(unitsAt(All, 0) + unitsAt(All, 1), Burst);
}

TEST(SharesTest, AMemberThatLeavesGracefullyReleasesItsUnitsAtOnce) {
  Cluster All = threeThirds();
  All.appendEpoch([](std::size_t Index) { return Index == 2; });
  All.run(600ms);
  EXPECT_EQ(unitsAt(All, 0) + unitsAt(All, 1), Burst);
  EXPECT_EQ(All.held(Tokens).Free, Burst);
  EXPECT_TRUE(All.agent(2)->confirmed());
}

TEST(SharesTest, PlannedReplacementsInQuickSuccessionLoseNoUnit) {
  Cluster All = threeThirds();
  for (std::size_t Index = 0; Index < 3; ++Index) {
    All.appendEpoch([Index](std::size_t Each) { return Each == Index; });
    All.run(600ms);
    All.kill(Index);
    All.start(Index);
    All.appendEpoch(nobody);
    All.run(600ms);
    EXPECT_EQ(All.held(Tokens).Units, Burst) << Index;
    EXPECT_EQ(unitsAt(All, Index), Burst / 3) << Index;
  }
  EXPECT_EQ(All.overshoot(), 0);
}

TEST(SharesTest, ASecondEpochDoesNotShortenTheWaitForTheFirst) {
  Cluster All = threeThirds();
  All.isolate(2, true);
  All.cutLog(2, true);
  All.appendEpoch([](std::size_t Index) { return Index == 2; });
  All.run(500ms);
  All.appendEpoch([](std::size_t Index) { return Index == 2; });
  All.run(2s);
  EXPECT_LE(unitsAt(All, 0) + unitsAt(All, 1), Burst * 2 / 3);
}

TEST(SharesTest, ARestartedInstanceHoldsNothingUntilAnEpochNamesIt) {
  Cluster All = threeThirds();
  All.kill(1);
  All.start(1);
  All.run(8s);
  EXPECT_EQ(unitsAt(All, 1), 0);
  EXPECT_FALSE(All.spend(1, 1));
  All.appendEpoch(nobody);
  All.run(8s);
  EXPECT_EQ(All.held(Tokens).Units, Burst);
  EXPECT_TRUE(All.spend(1, 1));
}

TEST(SharesTest, WithoutAFreshProofNothingIsGranted) {
  Cluster All = threeThirds();
  All.isolate(0, true);
  All.cutLog(0, true);
  All.run(4s);
  Commands Out;
  EXPECT_EQ(All.agent(0)->take(Tokens, 1, All.now(), Out).Amount, 0);
  All.isolate(0, false);
  All.run(1s);
  EXPECT_EQ(All.agent(0)->take(Tokens, 1, All.now(), Out).Amount, 1);
}

TEST(SharesTest, ALoweredLimitShrinksEveryShare) {
  Cluster All = threeThirds();
  All.appendLimit(Tokens, tokenLimit(Rate / 10, Burst / 10, {}));
  All.run(1s);
  EXPECT_LE(All.held(Tokens).Units, Burst / 10);
  EXPECT_LE(All.held(Tokens).RefillMicros, Rate / 10 * MicrosPerUnit);
}

TEST(SharesTest, ARaiseWaitsForInstancesThatDoNotKnowAnEarlierLowering) {
  Cluster All = threeThirds();
  All.cutLog(2, true);
  All.isolate(2, true);
  All.appendLimit(Tokens, tokenLimit(Rate, 9, {}));
  All.run(500ms);
  All.appendLimit(Tokens, tokenLimit(Rate, Burst, {}));
  All.run(2s);
  EXPECT_LE(unitsAt(All, 0) + unitsAt(All, 1), 9);
  All.run(2s);
  EXPECT_GT(unitsAt(All, 0) + unitsAt(All, 1), 9);
}

TEST(SharesTest, ANewAccountStartsFull) {
  Cluster All = threeThirds();
  const base::QuantityId New{"account/b/tokens"};
  All.appendLimit(New, tokenLimit(10, 100, {}));
  All.run(1s);
  EXPECT_EQ(All.held(New).Free, 100);
}

TEST(SharesTest, AfterAllMembersDiedUnitsAreReissuedAsUsed) {
  Cluster All = threeThirds();
  for (std::size_t Index = 0; Index < 3; ++Index) {
    All.kill(Index);
    All.start(Index);
  }
  All.appendEpoch(nobody);
  All.run(5s);
  EXPECT_EQ(All.held(Tokens).Units, Burst);
  EXPECT_LT(All.held(Tokens).Free, Burst);
  EXPECT_EQ(All.held(Tokens).RefillMicros, Rate * MicrosPerUnit);
}

TEST(SharesTest, ALostTransferIsResentAndADuplicateAcceptedOnce) {
  Cluster All = threeThirds();
  All.setFaults({0.4, 0.4, 300ms});
  for (int Count = 0; Count < 200; ++Count) {
    All.run(100ms);
    All.spend(static_cast<std::size_t>(Count) % 3, 200);
  }
  EXPECT_EQ(All.overshoot(), 0);
  All.setFaults({});
  All.run(5s);
  EXPECT_EQ(All.held(Tokens).Units, Burst);
}

TEST(SharesTest, NoRetryTimeIsReturnedWhileOtherHoldersAreBeingAsked) {
  Cluster All = threeThirds();
  Commands Asks;
  Grant Part = All.agent(0)->take(Tokens, Burst / 2, All.now(), Asks);
  EXPECT_EQ(Part.Amount, Burst / 3);
  EXPECT_FALSE(Asks.empty());
  EXPECT_EQ(Part.RetryAfter, 0s);
}

TEST(SharesTest, ASmallRequestIsSentAfterALargeOneWasRefused) {
  Cluster All = threeThirds();
  Shares &Asker = *All.agent(0);
  base::TimePoint Now = All.now();
  Commands Asks;
  Asker.take(Tokens, 5 * Burst, Now, Asks);
  // Both other holders refuse twice: the full amount, then partial amounts.
  for (int Answer = 0; Answer < 4; ++Answer) {
    const auto &Asked = std::get<SendToPeer>(Asks.back());
    wire::PeerMessage Refusal;
    wire::ShareTransfer &Body = *Refusal.mutable_share_transfer();
    Body.set_quantity(Tokens.Value);
    Body.set_epoch(Asker.epoch().Number.Value);
    Body.set_request(Asked.Message.share_request().request());
    Body.set_retry_after_ms(9000);
    Refusal.mutable_from()->CopyFrom(membership::toWire(Asked.To));
    Asks = Asker.receive(Refusal, Now);
    ASSERT_EQ(Asks.empty(), Answer == 3);
  }
  EXPECT_GT(Asker.take(Tokens, 5 * Burst, Now, Asks).RetryAfter, 0s);
  EXPECT_TRUE(Asks.empty());
  EXPECT_EQ(Asker.take(Tokens, 4, Now, Asks).RetryAfter, 0s);
  EXPECT_FALSE(Asks.empty());
}
