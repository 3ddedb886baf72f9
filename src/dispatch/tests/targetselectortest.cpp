#include "dispatch/targetselector.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::dispatch;
using std::chrono::milliseconds;

namespace {

const catalog::ServiceId Pool{"pool"};
const base::ModelId Model{"m"};
constexpr base::TimePoint Start{std::chrono::hours(1)};

class TargetSelectorTest : public testing::Test {
protected:
  void SetUp() override {
    auto New = std::make_shared<catalog::Catalog>();
    catalog::Service Service;
    Service.Id = Pool;
    Service.ColdRequestsPerSecond = 16;
    Service.Engine.emplace();
    New->Services[Pool] = Service;
    this->Selector.setCatalog(New);
    for (const char *Id : {"a", "b", "c"}) {
      catalog::Target Target;
      Target.Entry.Id = {Id};
      Target.Entry.Service = Pool;
      Target.Entry.Zone = {Id};
      Target.Entry.Slots = 4;
      Target.Entry.Models[Model];
      this->List.Targets[Target.Entry.Id] = Target;
    }
    this->Query.Service = Pool;
    this->Query.Model = Model;
  }

  void publish() {
    this->Selector.setTargets(
        std::make_shared<const catalog::TargetList>(this->List));
  }

  catalog::TargetEntry &entry(const char *Id) {
    return this->List.Targets[{Id}].Entry;
  }

  std::string choose(base::TimePoint Now = Start) {
    auto Choice = this->Selector.choose(this->Query, Now);
    auto *Found = std::get_if<SendTo>(&Choice);
    return Found == nullptr ? "" : Found->Target.Value;
  }

  /// Updates what the lease holder states about one target.
  void setHeldState(const char *Id, const catalog::HeldState &Held,
                    base::TimePoint Until) {
    this->States[{Id}] = std::make_shared<const catalog::HeldState>(Held);
    this->Selector.setHeld(
        std::make_shared<const catalog::SharedHeldStates>(this->States), Until);
  }

  static TargetSelectorSettings settings() {
    TargetSelectorSettings Out;
    Out.Zone = {"a"};
    Out.Cold.Self = {"i"};
    return Out;
  }

  TargetSelector Selector{settings()};
  catalog::TargetList List;
  catalog::SharedHeldStates States;
  TargetQuery Query;
};

} // namespace

TEST_F(TargetSelectorTest, ATargetThatLeavesOrWhoseZoneIsOutGetsNothing) {
  this->entry("a").Leaving = true;
  this->List.ZonesOut = {{"b"}};
  this->publish();
  EXPECT_EQ(this->choose(), "c");
  EXPECT_FALSE(this->Selector.maySend({"a"}, Start));
  EXPECT_FALSE(this->Selector.maySend({"b"}, Start));
}

TEST_F(TargetSelectorTest, TheLeaseHoldersStateOverridesTheTargetList) {
  this->publish();
  for (const char *Id : {"a", "b"})
    this->setHeldState(Id, {}, Start + milliseconds(1000));
  EXPECT_EQ(this->choose(), "c");
  EXPECT_NE(this->choose(Start + milliseconds(1000)), "c");
}

TEST_F(TargetSelectorTest, StateOfAnEarlierLifetimeIsIgnored) {
  this->entry("a").Lifetime = {2};
  this->publish();
  catalog::HeldState Old;
  Old.Lifetime = {1};
  this->setHeldState("a", Old, Start + milliseconds(1000));
  EXPECT_EQ(this->choose(), "a");
}

TEST_F(TargetSelectorTest, AMissingModelIsDistinguishedFromAMissingTarget) {
  this->Query.Model = {"other"};
  this->publish();
  auto Choice = this->Selector.choose(this->Query, Start);
  EXPECT_TRUE(std::holds_alternative<NotHeld>(Choice));
  this->Query.Service = {"none"};
  Choice = this->Selector.choose(this->Query, Start);
  EXPECT_TRUE(std::holds_alternative<NoTarget>(Choice));
}

TEST_F(TargetSelectorTest, FullTargetsMakeTheRequestWait) {
  this->publish();
  for (const char *Id : {"a", "b", "c"})
    this->Selector.onStatedLoad({Id}, {4, 0, 4}, Start);
  auto Choice = this->Selector.choose(this->Query, Start);
  EXPECT_TRUE(std::holds_alternative<AllFull>(Choice));
}

/// An engine may fail some of its requests while it appears healthy. It is
/// avoided, and tried again once its failure rate has decayed.
TEST_F(TargetSelectorTest, AFailingTargetIsAvoidedUntilItsFailureRateDecays) {
  this->publish();
  for (int Round = 0; Round < 4; ++Round) {
    this->Selector.onSent(this->Query, {"a"}, Start);
    this->Selector.onEnded({"a"}, AttemptEnd::ServerError, Start);
  }
  EXPECT_NE(this->choose(), "a");
  EXPECT_EQ(this->choose(Start + std::chrono::seconds(60)), "a");
}

/// Requests with the same prompt prefix go to the target that has it cached,
/// until the queue there costs more than processing the prefix again.
TEST_F(TargetSelectorTest, ACachedPromptIsWeighedAgainstTheQueue) {
  std::vector<PromptPart> Prompt = {{7, base::Tokens{70}}};
  this->Query.Prompt = &Prompt;
  this->publish();
  this->Selector.onSent(this->Query, {"c"}, Start);
  this->Selector.onEnded({"c"}, AttemptEnd::Served, Start);
  this->entry("c").Slots = this->entry("a").Slots = 64;
  this->publish();
  Prompt[0].Size = base::Tokens{700};
  EXPECT_EQ(this->choose(), "c");
  this->Selector.onStatedLoad({"c"}, {40, 0, 64}, Start);
  EXPECT_EQ(this->choose(), "a");
}

/// A target is cold while between one and 300 instances have requests for it:
/// together they stay below the configured bound in any second.
TEST(ColdLimitTest, AllInstancesTogetherStayWithinTheBound) {
  constexpr double PerSecond = 31;
  for (unsigned Instances : {1U, 8U, 31U, 73U, 300U}) {
    std::vector<ColdLimit> Limits;
    for (unsigned Index = 0; Index < Instances; ++Index) {
      Limits.emplace_back(
          ColdLimitSettings{{"instance-" + std::to_string(Index)}});
      Limits.back().setInstances(Instances);
    }
    catalog::Target Cold;
    Cold.Entry.Id = {"t"};
    std::vector<base::TimePoint> Sent;
    for (auto Now = Start; Now < Start + milliseconds(3000);
         Now += milliseconds(10))
      for (ColdLimit &Each : Limits)
        if (Each.allows(Cold, PerSecond, Now)) {
          Each.onSent(Cold, PerSecond, Now);
          Sent.push_back(Now);
        }
    std::size_t Most = 0;
    for (std::size_t First = 0; First < Sent.size(); ++First) {
      std::size_t Last = First;
      while (Last < Sent.size() &&
             Sent[Last] < Sent[First] + milliseconds(1000))
        ++Last;
      Most = std::max(Most, Last - First);
    }
    // The deployment's bound: 1.5 times the rate, plus five.
    EXPECT_LE(Most, PerSecond * 1.5 + 5) << Instances;
    EXPECT_GE(Sent.size(), 20U) << Instances;
  }
}

/// Targets are replaced while the store is unavailable, so that only their
/// answers state that they are leaving.
TEST_F(TargetSelectorTest, ATargetThatSaysItLeavesGetsNothingInThisLifetime) {
  this->publish();
  this->Selector.onLeaving({"a"}, Start);
  EXPECT_NE(this->choose(), "a");
  // The list entry expires and comes back.
  catalog::Target Listed = this->List.Targets[{"a"}];
  this->List.Targets.erase({"a"});
  this->publish();
  this->List.Targets[{"a"}] = Listed;
  this->publish();
  for (int Each = 0; Each < 20; ++Each)
    EXPECT_NE(this->choose(Start + milliseconds(500 * Each)), "a");
  EXPECT_FALSE(this->Selector.maySend({"a"}, Start));
  // A new lifetime of the target has announced nothing.
  this->entry("a").Lifetime.Value = 7;
  this->publish();
  EXPECT_TRUE(this->Selector.maySend({"a"}, Start));
}

/// All targets are full and state when they accept requests again.
TEST_F(TargetSelectorTest, ATargetThatWantsNoRequestsGetsNoneUntilThen) {
  this->publish();
  this->Selector.onAskedToWait({"a"}, milliseconds(800), Start);
  EXPECT_EQ(this->choose(), "b");
  this->Selector.onAskedToWait({"b"}, milliseconds(600), Start);
  this->Selector.onAskedToWait({"c"}, milliseconds(900), Start);
  auto Choice = this->Selector.choose(this->Query, Start + milliseconds(100));
  auto *Full = std::get_if<AllFull>(&Choice);
  ASSERT_NE(Full, nullptr);
  EXPECT_EQ(Full->Until, Start + milliseconds(600));
  EXPECT_EQ(this->choose(Start + milliseconds(599)), "");
  EXPECT_EQ(this->choose(Start + milliseconds(600)), "b");
  // A later, shorter time does not end a longer one.
  this->Selector.onAskedToWait({"c"}, milliseconds(10),
                               Start + milliseconds(700));
  this->Selector.onLeaving({"a"}, Start);
  this->Selector.onLeaving({"b"}, Start);
  EXPECT_EQ(this->choose(Start + milliseconds(800)), "");
  EXPECT_EQ(this->choose(Start + milliseconds(900)), "c");
}
