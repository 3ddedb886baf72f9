#include "residency/holderlease.h"

#include "residency/capacity.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::residency;
using std::chrono::milliseconds;

namespace {

/// Simulates a store that accepts an append only at its end, instances that
/// read it at random intervals, and lost answers.
class LeaseSimulation {
public:
  explicit LeaseSimulation(std::uint64_t Seed) : Random(Seed) {
    for (std::uint64_t Index = 0; Index < Instances; ++Index) {
      this->Leases.emplace_back(base::InstanceId{std::to_string(Index)},
                                base::Incarnation{1}, "", HolderLeaseSettings{},
                                Seed + Index);
      this->Frozen.push_back(false);
    }
  }

  void step() {
    this->Now += milliseconds(50);
    for (std::size_t Index = 0; Index < Instances; ++Index)
      if (!this->Frozen[Index])
        this->act(Index);
    this->announceLapses();
    std::size_t Holders = 0;
    for (std::size_t Index = 0; Index < Instances; ++Index)
      if (auto Token = this->Leases[Index].held(this->Now)) {
        ++Holders;
        // A later holder has a higher token.
        RC_ASSERT(Token->Value >= this->Highest);
        this->Highest = Token->Value;
      }
    RC_ASSERT(Holders <= 1U);
    this->HeldSteps += Holders;
  }

  void freeze(std::size_t Index, bool Frozen) { this->Frozen[Index] = Frozen; }
  void setReachable(bool Reachable) { this->Reachable = Reachable; }
  /// The store comes back without its newest \p Count records.
  void restoreOlderCopy(std::size_t Count) {
    this->Records.resize(this->Records.size() -
                         std::min(Count, this->Records.size()));
    ++this->Era;
  }

  std::size_t HeldSteps = 0;
  static constexpr std::size_t Instances = 4;

private:
  void act(std::size_t Index) {
    HolderLease &Lease = this->Leases[Index];
    bool Reads = this->Reachable && this->draw(4) == 0;
    if (Reads)
      Lease.onRead(this->Records.empty()
                       ? std::nullopt
                       : std::make_optional(this->Records.back()),
                   this->end(), this->Now);
    auto Append = Lease.tick(Instances, this->Now);
    if (!Append)
      return;
    // The store compares offsets only; the era in its answer tells the sender.
    bool Taken =
        this->Reachable && offsetOf(Append->At) == this->Records.size();
    bool SameEra = eraOf(Append->At.Value) == this->Era;
    if (Taken)
      this->Records.push_back(Append->Record);
    bool AnswerLost = this->draw(5) == 0;
    if (Taken && SameEra && !AnswerLost)
      Lease.onAppended(*Append, this->Now);
    else
      Lease.onNotAppended(*Append);
  }

  /// A holder whose lease has lapsed gives it up; some of the others are
  /// informed.
  void announceLapses() {
    for (std::size_t Index = 0; Index < Instances; ++Index) {
      if (this->Frozen[Index])
        continue;
      auto Token = this->Leases[Index].held(this->Now);
      auto Before = std::exchange(this->Tokens[Index], Token);
      if (!Before || Token == Before)
        continue;
      for (std::size_t Other = 0; Other < Instances; ++Other)
        if (Other == Index || (!this->Frozen[Other] && this->draw(3) != 0))
          this->Leases[Other].onGivenUp(*Before, {}, this->Now);
    }
  }

  LeaseLogEnd end() const {
    return logPosition(this->Era, this->Records.size());
  }

  std::uint64_t draw(std::uint64_t Below) { return this->Random() % Below; }

  std::mt19937_64 Random;
  base::TimePoint Now{std::chrono::hours(1)};
  std::vector<HolderLease> Leases;
  std::vector<bool> Frozen;
  std::vector<std::optional<FencingToken>> Tokens =
      std::vector<std::optional<FencingToken>>(Instances);
  std::vector<LeaseRecord> Records;
  std::uint64_t Era = 0;
  std::uint64_t Highest = 0;
  bool Reachable = true;
};

} // namespace

/// Instances freeze and resume, answers are lost and the store becomes
/// unreachable: at most one instance holds the lease, and tokens never
/// decrease.
RC_GTEST_PROP(HolderLeaseTest, AtMostOneHoldsTheLease, ()) {
  LeaseSimulation Simulation(*rc::gen::arbitrary<std::uint64_t>());
  for (int Round = 0; Round < 12; ++Round) {
    Simulation.freeze(
        *rc::gen::inRange<std::size_t>(0, LeaseSimulation::Instances),
        *rc::gen::arbitrary<bool>());
    Simulation.setReachable(*rc::gen::inRange(0, 4) != 0);
    int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step)
      Simulation.step();
  }
}

/// The same while the store comes back from older copies, twice in a second at
/// times: offsets are given out again, and tokens still rise.
RC_GTEST_PROP(HolderLeaseTest, AtMostOneHoldsALeaseThatTheStoreLoses, ()) {
  LeaseSimulation Simulation(*rc::gen::arbitrary<std::uint64_t>());
  for (int Round = 0; Round < 12; ++Round) {
    Simulation.freeze(
        *rc::gen::inRange<std::size_t>(0, LeaseSimulation::Instances),
        *rc::gen::arbitrary<bool>());
    int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      if (*rc::gen::inRange(0, 60) == 0)
        Simulation.restoreOlderCopy(*rc::gen::inRange<std::size_t>(0, 6));
      Simulation.step();
    }
  }
}

TEST(HolderLeaseTest, TheLeaseIsHeldMostOfTheTimeWithoutFaults) {
  LeaseSimulation Simulation(3);
  for (int Step = 0; Step < 400; ++Step)
    Simulation.step();
  EXPECT_GE(Simulation.HeldSteps, 350U);
}

TEST(HolderLeaseTest, TheDurationCountsFromWhenTheRenewalWasSent) {
  HolderLease Lease({"a"}, {1}, "", {}, 1);
  base::TimePoint Now{std::chrono::hours(1)};
  Lease.onRead(std::nullopt, {0}, Now);
  Now += milliseconds(600);
  auto Sent = Lease.tick(1, Now);
  ASSERT_TRUE(Sent);
  Lease.onAppended(*Sent, Now + milliseconds(900));
  EXPECT_TRUE(Lease.held(Now + milliseconds(2999)));
  EXPECT_FALSE(Lease.held(Now + milliseconds(3000)));
}

TEST(HolderLeaseTest, TheReasonOfALossAndThePredecessorAreKnown) {
  HolderLease Lease({"a"}, {1}, "", {}, 1);
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Before;
  Before.Holder = {"b"};
  Before.Released = true;
  Lease.onRead(Before, {5}, Now);
  Now += milliseconds(600);
  auto Claim = Lease.tick(1, Now);
  ASSERT_TRUE(Claim);
  Lease.onAppended(*Claim, Now);
  ASSERT_TRUE(Lease.predecessor());
  EXPECT_EQ(Lease.predecessor()->Holder.Value, "b");
  EXPECT_EQ(Lease.lossReason(), LeaseLoss::Lapsed);
  LeaseRecord After = Before;
  After.Token = {7};
  Lease.onRead(After, {7}, Now);
  EXPECT_EQ(Lease.lossReason(), LeaseLoss::Superseded);
  Lease.onFenced();
  EXPECT_EQ(Lease.lossReason(), LeaseLoss::Fenced);
}

TEST(HolderLeaseTest, AReleasedLeaseIsClaimedSoon) {
  HolderLease Lease({"b"}, {1}, "", {}, 1);
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Record;
  Record.Holder = {"a"};
  Record.Released = true;
  Lease.onRead(Record, {5}, Now);
  auto Claim = Lease.tick(1, Now + milliseconds(500));
  ASSERT_TRUE(Claim);
  EXPECT_EQ(Claim->At.Value, 5U);
  EXPECT_EQ(Claim->Record.Token.Value, 6U);
}

/// All processes were killed at once: the restarted holder does not wait for
/// the lease of its earlier incarnation to expire.
TEST(HolderLeaseTest, ARestartedHolderClaimsAtOnce) {
  HolderLease Lease({"a"}, {2}, "", {}, 1);
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Record;
  Record.Holder = {"a"};
  Record.Incarnation = {1};
  Lease.onRead(Record, {5}, Now);
  EXPECT_TRUE(Lease.tick(1, Now));
}

TEST(HolderLeaseTest, AFencedHolderHoldsNothing) {
  HolderLease Lease({"a"}, {1}, "", {}, 1);
  base::TimePoint Now{std::chrono::hours(1)};
  Lease.onRead(std::nullopt, {0}, Now);
  Now += milliseconds(600);
  auto Sent = Lease.tick(1, Now);
  ASSERT_TRUE(Sent);
  Lease.onAppended(*Sent, Now);
  Lease.onFenced();
  EXPECT_FALSE(Lease.held(Now));
}

TEST(CapacityTest, BetterEquippedInstancesClaimFirst) {
  EXPECT_EQ(claimHandicap({0.5, 200}), milliseconds(0));
  EXPECT_EQ(claimHandicap({0.12, 10}), milliseconds(800));
  EXPECT_GT(claimHandicap({0.12, 1000}), milliseconds(400));
  EXPECT_TRUE(shouldYield(claimHandicap({0.12, 10}), milliseconds(0)));
  EXPECT_FALSE(shouldYield(milliseconds(0), claimHandicap({0.12, 10})));
  EXPECT_FALSE(
      shouldYield(claimHandicap({0.12, 10}), claimHandicap({0.12, 12})));
}

TEST(HolderLeaseTest, AHandicappedInstanceClaimsLater) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLeaseSettings Slow;
  Slow.ClaimSpread = milliseconds(0);
  Slow.Handicap = milliseconds(800);
  HolderLease Lease({"a"}, {1}, "", Slow, 1);
  Lease.onRead(std::nullopt, {0}, Now);
  EXPECT_FALSE(Lease.tick(1, Now + milliseconds(700)));
  EXPECT_TRUE(Lease.tick(1, Now + milliseconds(900)));
}

TEST(HolderLeaseTest, AHolderThatYieldsMayClaimAgainLater) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease({"a"}, {1}, "", HolderLeaseSettings{}, 1);
  Lease.onRead(std::nullopt, {0}, Now);
  Now += std::chrono::seconds(1);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  ASSERT_TRUE(Lease.held(Now));
  auto Release = Lease.yield(Now);
  ASSERT_TRUE(Release && Release->Record.Released);
  EXPECT_FALSE(Lease.held(Now));
  Lease.onAppended(*Release, Now);
  EXPECT_FALSE(Lease.claimedHere());
  Now += std::chrono::seconds(1);
  EXPECT_TRUE(Lease.tick(1, Now));
}

/// The store is unreachable for the holder alone: a renewal was appended
/// without its knowledge, so that the expiry it reports belongs to an older
/// record.
TEST(HolderLeaseTest, ALeaseThatItsHolderGaveUpIsNotWaitedFor) {
  HolderLease Lease({"b"}, {1}, "", {}, 1);
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Record;
  Record.Holder = {"a"};
  Record.Token.Value = 4;
  Lease.onReportedExpiry({5}, milliseconds(1000), Now);
  Now += milliseconds(1500);
  Lease.onGivenUp({4}, {}, Now);
  Lease.onRead(Record, {6}, Now + milliseconds(20));
  EXPECT_FALSE(Lease.tick(1, Now + milliseconds(200)));
  EXPECT_TRUE(Lease.tick(1, Now + milliseconds(900)));
}

TEST(HolderLeaseTest, AGivenUpLeaseIsHeldAgainOnlyWithALaterToken) {
  HolderLease Lease({"a"}, {1}, "", {}, 1);
  base::TimePoint Now{std::chrono::hours(1)};
  Lease.onRead(std::nullopt, {0}, Now);
  Now += std::chrono::seconds(1);
  auto Sent = Lease.tick(1, Now);
  Lease.onGivenUp(Sent->Record.Token, {}, Now);
  Lease.onAppended(*Sent, Now);
  EXPECT_FALSE(Lease.held(Now));
  Now += std::chrono::seconds(1);
  auto Claim = Lease.tick(1, Now);
  ASSERT_TRUE(Claim);
  EXPECT_GT(Claim->Record.Token, Sent->Record.Token);
}

/// A holder that is behind has given the lease back: another instance can claim
/// it first, and this one claims it again if none does.
TEST(HolderLeaseTest, AnInstanceThatIsBehindLeavesTheLeaseToOthers) {
  HolderLease Lease({"b"}, {1}, "", {}, 1);
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Record;
  Record.Holder = {"b"};
  Record.Incarnation = {1};
  Record.Released = true;
  Lease.setBehind(true);
  Lease.onRead(Record, {5}, Now);
  EXPECT_FALSE(Lease.tick(1, Now + milliseconds(1400)));
  EXPECT_TRUE(Lease.tick(1, Now + milliseconds(2100)));
}

namespace {

/// An instance that has run for a while and holds the lease from \p Now on.
HolderLease makeHolder(const char *Name, base::TimePoint Now) {
  HolderLease Out({Name}, {1}, Name, {}, 1);
  Out.onRead(std::nullopt, {0}, Now - std::chrono::seconds(1));
  Out.onAppended(*Out.tick(1, Now), Now);
  return Out;
}

LeaseRecord releasedBy(const char *Name, FencingToken Token) {
  LeaseRecord Out;
  Out.Holder = {Name};
  Out.Endpoint = Name;
  Out.Token = Token;
  Out.Released = true;
  return Out;
}

const base::TargetId Engine{"e1"};
const base::TargetId OtherEngine{"e2"};
constexpr catalog::Lifetime Life{1};

/// An order that was answered at \p Now.
void order(HolderLease &By, base::TimePoint Now) {
  By.onOrderSent(Engine, Life, Now);
  By.onOrderEnded(Engine);
  By.onOrderSettled(Engine, Now);
}

} // namespace

TEST(HolderLeaseTest, AnInstanceOrdersAgainOnlyAfterItsTurn) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease = makeHolder("a", Now);
  ASSERT_TRUE(Lease.orderToken(Now));
  order(Lease, Now);
  Lease.onRead(releasedBy("b", {7}), {7}, Now + milliseconds(600));
  Now += milliseconds(2600);
  auto Claim = Lease.tick(1, Now);
  ASSERT_TRUE(Claim);
  Lease.onAppended(*Claim, Now);
  EXPECT_TRUE(Lease.held(Now));
  EXPECT_FALSE(Lease.orderToken(Engine, Now + milliseconds(699)));
  EXPECT_TRUE(Lease.orderToken(Engine, Now + milliseconds(700)));
  EXPECT_TRUE(Lease.orderToken(OtherEngine, Now));
}

TEST(HolderLeaseTest, AnInstanceThatMayNotOrderYetLeavesTheClaimToOthers) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease({"a"}, {2}, "a", {}, 1, Now);
  Lease.onRead(releasedBy("b", {7}), {7}, Now);
  EXPECT_FALSE(Lease.tick(1, Now + milliseconds(1400)));
  EXPECT_TRUE(Lease.tick(1, Now + milliseconds(2100)));
}

/// It does not know when the process before it ordered last.
TEST(HolderLeaseTest, ARestartedInstanceOrdersOnlyAfterItsTurn) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease({"a"}, {2}, "a", {}, 1, Now);
  Lease.onRead(releasedBy("b", {7}), {7}, Now);
  Now += milliseconds(2100);
  auto Claim = Lease.tick(1, Now);
  ASSERT_TRUE(Claim);
  Lease.onAppended(*Claim, Now);
  EXPECT_TRUE(Lease.held(Now));
  EXPECT_FALSE(Lease.orderToken(Now));
  EXPECT_EQ(Lease.orderWait(Now), milliseconds(1900));
}

/// Nobody else can have ordered since its own record.
TEST(HolderLeaseTest, ARestartedHolderOrdersWhenItsPredecessorMight) {
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Own = releasedBy("a", {7});
  Own.Incarnation = {1};
  Own.Released = false;
  HolderLease Lease({"a"}, {2}, "a", {}, 1, Now);
  Lease.onRead(Own, {7}, Now);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  EXPECT_FALSE(Lease.orderToken(Now + milliseconds(699)));
  EXPECT_TRUE(Lease.orderToken(Now + milliseconds(700)));
  Own.OrderWait = milliseconds(900);
  HolderLease Next({"a"}, {3}, "a", {}, 1, Now);
  Next.onRead(Own, {8}, Now);
  Next.onAppended(*Next.tick(1, Now), Now);
  EXPECT_FALSE(Next.orderToken(Now + milliseconds(899)));
  EXPECT_TRUE(Next.orderToken(Now + milliseconds(900)));
}

TEST(HolderLeaseTest, AnotherMachineWithTheSameNameIsAnotherHolder) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease({"a"}, {2}, "elsewhere", {}, 1, Now);
  Lease.onRead(releasedBy("a", {7}), {7}, Now);
  Now += milliseconds(2100);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  EXPECT_TRUE(Lease.held(Now));
  EXPECT_FALSE(Lease.orderToken(Now));
}

/// Two processes with one name: the other one may still hold the lease.
TEST(HolderLeaseTest, ALeaseOfAnotherMachineWithTheSameNameIsWaitedFor) {
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Other = releasedBy("a", {7});
  Other.Released = false;
  HolderLease Lease({"a"}, {2}, "elsewhere", {}, 1);
  Lease.onRead(Other, {7}, Now);
  EXPECT_FALSE(Lease.tick(1, Now + milliseconds(3200)));
  EXPECT_TRUE(Lease.tick(1, Now + milliseconds(3900)));
}

TEST(HolderLeaseTest, AReleaseWaitsForOrdersUnderWay) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease = makeHolder("a", Now);
  Lease.onOrderSent(Engine, Life, Now);
  EXPECT_FALSE(Lease.release(Now));
  EXPECT_FALSE(Lease.orderToken(Now));
  EXPECT_FALSE(Lease.tick(1, Now + milliseconds(400)));
  Lease.onOrderEnded(Engine);
  auto Release = Lease.tick(1, Now + milliseconds(500));
  ASSERT_TRUE(Release);
  EXPECT_TRUE(Release->Record.Released);
  EXPECT_FALSE(Lease.held(Now + milliseconds(500)));
}

/// An order that was given up may still be read, however long after.
TEST(HolderLeaseTest, ALateOrderHoldsItsSenderBack) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease = makeHolder("a", Now);
  Lease.onOrderSent(Engine, Life, Now);
  Lease.onOrderEnded(Engine);
  Lease.onRead(releasedBy("b", {7}), {7}, Now + milliseconds(600));
  Now += milliseconds(5000);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  EXPECT_FALSE(Lease.orderToken(Engine, Now));
  EXPECT_TRUE(Lease.orderToken(OtherEngine, Now));
  Lease.onOrderSettled(Engine, Now + milliseconds(100));
  EXPECT_FALSE(Lease.orderToken(Engine, Now + milliseconds(2900)));
  Now += milliseconds(2950);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  EXPECT_FALSE(Lease.orderToken(Engine, Now + milliseconds(449)));
  EXPECT_TRUE(Lease.orderToken(Engine, Now + milliseconds(450)));
}

TEST(HolderLeaseTest, AReleaseListsTheOrdersThatMayStillArrive) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease = makeHolder("a", Now);
  order(Lease, Now);
  Lease.onOrderSent(OtherEngine, Life, Now);
  Lease.onOrderEnded(OtherEngine);
  auto Release = Lease.yield(Now + milliseconds(700));
  ASSERT_TRUE(Release);
  ASSERT_EQ(Release->Record.Unsettled.size(), 1U);
  EXPECT_EQ(Release->Record.Unsettled[0].Engine, OtherEngine);
  EXPECT_EQ(Release->Record.Unsettled[0].Left, milliseconds(12300));
  HolderLease Next({"b"}, {1}, "b", {}, 1);
  Next.onRead(Release->Record, {2}, Now);
  Now += milliseconds(700);
  Next.onAppended(*Next.tick(1, Now), Now);
  EXPECT_TRUE(Next.orderToken(Engine, Now));
  EXPECT_FALSE(Next.orderToken(OtherEngine, Now));
  Next.onUnsettledOrders({{"a"}, {1}}, {}, Now);
  EXPECT_TRUE(Next.orderToken(OtherEngine, Now));
}

TEST(HolderLeaseTest, ALapsedHoldersOrdersAreAskedForFirst) {
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Lapsed = releasedBy("a", {7});
  Lapsed.Released = false;
  HolderLease Lease({"b"}, {1}, "b", {}, 1);
  Lease.onRead(Lapsed, {7}, Now);
  Now += milliseconds(3900);
  auto Claim = Lease.tick(1, Now);
  ASSERT_TRUE(Claim);
  // The others report from when they have read the claim.
  Now += milliseconds(600);
  Lease.onAppended(*Claim, Now);
  EXPECT_FALSE(Lease.orderToken(Now + milliseconds(299)));
  EXPECT_FALSE(Lease.yield(Now + milliseconds(299)));
  EXPECT_TRUE(Lease.tick(1, Now + milliseconds(300)));
}

/// It says so before anyone claims the lease.
TEST(HolderLeaseTest, AHolderThatGivesUpListsTheOrdersThatMayStillArrive) {
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Lapsed = releasedBy("a", {7});
  Lapsed.Released = false;
  // The record lists an earlier order, which is settled by now.
  Lapsed.Unsettled = {{{{"a"}, {1}}, Engine, Life, milliseconds(1000)}};
  HolderLease Lease({"b"}, {1}, "b", {}, 1);
  Lease.onRead(Lapsed, {7}, Now);
  Lease.onGivenUp({7}, {{{{"a"}, {1}}, Engine, Life, milliseconds(9000)}}, Now);
  Now += milliseconds(900);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  Now += milliseconds(500);
  EXPECT_FALSE(Lease.orderToken(Engine, Now));
  EXPECT_TRUE(Lease.orderToken(OtherEngine, Now));
}

/// It learns of them from the record of the process before it.
TEST(HolderLeaseTest, AProcessOwesTheTurnsOfTheOneBeforeIt) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Earlier = makeHolder("a", Now);
  order(Earlier, Now);
  Earlier.onRead(releasedBy("b", {7}), {7}, Now + milliseconds(600));
  Now += milliseconds(1200);
  auto Claim = Earlier.tick(1, Now);
  ASSERT_TRUE(Claim);
  Now += milliseconds(200);
  HolderLease Lease({"a"}, {2}, "a", {}, 1, Now);
  Lease.onRead(Claim->Record, {8}, Now);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  Now += milliseconds(700);
  EXPECT_TRUE(Lease.orderToken(OtherEngine, Now));
  EXPECT_FALSE(Lease.orderToken(Engine, Now));
  EXPECT_FALSE(Lease.orderToken(Engine, Now + milliseconds(1199)));
  // The age in the record counts from when it was read.
  EXPECT_TRUE(Lease.orderToken(Engine, Now + milliseconds(1400)));
}

/// The process before it may have sent orders that nobody can list.
TEST(HolderLeaseTest, AProcessThatHasJustStartedDoesNotReleaseTheLease) {
  base::TimePoint Now{std::chrono::hours(1)};
  LeaseRecord Own = releasedBy("a", {7});
  Own.Incarnation = {1};
  Own.Released = false;
  HolderLease Lease({"a"}, {2}, "a", {}, 1, Now);
  Lease.onRead(Own, {7}, Now);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  EXPECT_FALSE(Lease.release(Now + milliseconds(50)));
  EXPECT_FALSE(Lease.tick(1, Now + milliseconds(699)));
  EXPECT_TRUE(Lease.tick(1, Now + milliseconds(700)));
}

TEST(HolderLeaseTest, NoOrderIsSentThatMayArriveAfterTheLease) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease = makeHolder("a", Now);
  EXPECT_TRUE(Lease.orderToken(Now + milliseconds(2600)));
  EXPECT_FALSE(Lease.orderToken(Now + milliseconds(2601)));
  EXPECT_TRUE(Lease.held(Now + milliseconds(2601)));
}

/// The outcome of the release is unknown and the log still ends with the
/// holder's own record; others may claim as soon as the release is executed.
TEST(HolderLeaseTest, AReleaseThatIsExecutedLateLeavesNoLeaseHeld) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease = makeHolder("a", Now);
  LeaseRecord Own = *Lease.record();
  auto Release = Lease.yield(Now);
  ASSERT_TRUE(Release);
  Lease.onNotAppended(*Release);
  Lease.onRead(Own, Release->At, Now + milliseconds(50));
  EXPECT_FALSE(Lease.held(Now + milliseconds(50)));
}

TEST(HolderLeaseTest, AStateIsAppendedAtOnceAndOutlivesItsHolder) {
  base::TimePoint Now = base::TimePoint{} + milliseconds(100000);
  HolderLease Holder({"a"}, {1}, "", {}, 1);
  Holder.onRead(std::nullopt, {0}, Now);
  Now += milliseconds(1000);
  auto Claim = Holder.tick(2, Now);
  ASSERT_TRUE(Claim);
  Holder.onAppended(*Claim, Now);
  EXPECT_FALSE(Holder.tick(2, Now + milliseconds(50)));
  Holder.setState("state");
  auto Append = Holder.tick(2, Now + milliseconds(100));
  ASSERT_TRUE(Append);
  EXPECT_EQ(Append->Record.State, "state");
  Holder.onAppended(*Append, Now + milliseconds(110));
  Holder.setState("state");
  EXPECT_FALSE(Holder.tick(2, Now + milliseconds(150)));
  HolderLease Next({"b"}, {1}, "", {}, 2);
  Next.onRead(Append->Record, {2}, Now);
  auto Later = Next.tick(2, Now + milliseconds(20000));
  ASSERT_TRUE(Later);
  EXPECT_EQ(Later->Record.Holder.Value, "b");
  EXPECT_EQ(Later->Record.State, "state");
}

/// A process that is killed cannot list the order afterwards.
TEST(HolderLeaseTest, AnOrderWhoseConnectionBrokeIsListedSoon) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease = makeHolder("a", Now);
  Lease.onOrderSent(Engine, Life, Now);
  Lease.onOrderEnded(Engine);
  EXPECT_FALSE(Lease.tick(1, Now + milliseconds(150)));
  Lease.onOrderCut(Engine, Now + milliseconds(150));
  auto Listed = Lease.tick(1, Now + milliseconds(150));
  ASSERT_TRUE(Listed);
  EXPECT_EQ(Listed->Record.Unsettled.size(), 1U);
  // An append that fails is tried again as soon as the store has been read.
  Lease.onNotAppended(*Listed);
  Lease.onRead(Lease.record(), {1}, Now + milliseconds(200));
  EXPECT_FALSE(Lease.tick(1, Now + milliseconds(240)));
  EXPECT_TRUE(Lease.tick(1, Now + milliseconds(250)));
}

// Guards against a lease that nobody holds for seconds after each loss, and
// against losing what its holder had left for the next one.
TEST(HolderLeaseTest, TheHolderClaimsALostLeaseAtOnceAndWritesItsStateAgain) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLease Lease({"a"}, {1}, "a", {}, 1);
  Lease.onRead(std::nullopt, logPosition(0, 0), Now);
  Now += milliseconds(600);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  FencingToken Before = *Lease.held(Now);
  Lease.setState("left");
  Now += milliseconds(300);
  Lease.onAppended(*Lease.tick(1, Now), Now);
  // The copy has neither record.
  Lease.onRead(std::nullopt, logPosition(1, 0), Now);
  EXPECT_FALSE(Lease.held(Now));
  auto Claim = Lease.tick(1, Now);
  ASSERT_TRUE(Claim);
  EXPECT_EQ(Claim->Record.State, "left");
  EXPECT_GT(Claim->Record.Token, Before);
  Lease.onAppended(*Claim, Now);
  EXPECT_TRUE(Lease.orderToken(Now));
  EXPECT_FALSE(Lease.followsLostRecords());
}

// Guards against claiming on the word of an old record while another instance
// holds the lease by a record that the store has lost.
TEST(HolderLeaseTest, OthersWaitAWholeLeaseAfterALoss) {
  base::TimePoint Now{std::chrono::hours(1)};
  HolderLeaseSettings Settings;
  for (bool Released : {true, false}) {
    HolderLease Lease({"a"}, {1}, "a", Settings, 1);
    LeaseRecord Old = releasedBy("b", {7});
    Old.Released = Released;
    Lease.onRead(Old, logPosition(0, 7), Now - std::chrono::seconds(60));
    Lease.onRead(Old, logPosition(1, 7), Now);
    base::TimePoint Safe = Now + Settings.Duration + Settings.Drift;
    EXPECT_FALSE(Lease.tick(1, Safe - milliseconds(1)));
    auto Claim = Lease.tick(1, Safe + milliseconds(2100));
    ASSERT_TRUE(Claim);
    EXPECT_EQ(Claim->Record.Token.Value, logPosition(1, 8).Value);
    EXPECT_TRUE(Lease.followsLostRecords());
    // An answer of the earlier era that arrives late changes nothing.
    Lease.onRead(Old, logPosition(0, 9), Now);
    EXPECT_EQ(Lease.end(), logPosition(1, 7));
  }
}
