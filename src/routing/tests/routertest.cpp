#include "routing/router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

state::Target engine(const std::string &Id, const std::string &Zone = "z1") {
  state::Target Out;
  Out.Id = {Id};
  Out.Zone = {Zone};
  Out.WarmSlots = {8};
  return Out;
}

LoadReport report(std::uint64_t Sequence, std::int64_t Running,
                  base::TimePoint At = Start) {
  LoadReport Out;
  Out.Incarnation = {1};
  Out.Sequence = Sequence;
  Out.MeasuredAt = At;
  Out.Running = Running;
  Out.Models = {"m"};
  return Out;
}

/// Three engines that hold the model `m` and are warm.
class RouterTest : public testing::Test {
protected:
  RouterTest() : Routes({{"z1"}}, 7) {
    for (const char *Id : {"a", "b", "c"})
      this->Config.Targets[{Id}] = engine(Id);
    this->Routes.configure(this->Config);
    for (const char *Id : {"a", "b", "c"})
      this->Routes.target({Id})->reported(report(1, 0));
  }

  /// Returns the targets that are chosen over many queries.
  std::set<std::string> chosen(const RouteQuery &Query) {
    std::set<std::string> Out;
    for (int Round = 0; Round < 200; ++Round)
      if (auto Result = this->Routes.choose(Query, Start);
          auto *Found = std::get_if<Chosen>(&Result))
        Out.insert(Found->Target.Value);
    return Out;
  }

  state::Config Config;
  Router Routes;
  RouteQuery Query{"m", {}, 0, {}};
};

} // namespace

TEST_F(RouterTest, LeavingTargetAndExcludedZoneGetNoNewRequests) {
  this->Config.Targets[{"a"}].Leaving = true;
  this->Config.Targets[{"b"}].Zone = {"z2"};
  this->Config.ZonesOut.insert({"z2"});
  this->Routes.configure(this->Config);
  EXPECT_EQ(this->chosen(this->Query), std::set<std::string>{"c"});
}

TEST_F(RouterTest, RequestDoesNotReturnToFailedTarget) {
  this->Query.Exclude = {{"a"}, {"b"}};
  EXPECT_EQ(this->chosen(this->Query), std::set<std::string>{"c"});
  this->Query.Exclude.insert({"c"});
  EXPECT_TRUE(
      std::holds_alternative<AllBusy>(this->Routes.choose(this->Query, Start)));
}

TEST_F(RouterTest, ModelHeldByNoTargetIsNotResident) {
  this->Query.Model = "other";
  EXPECT_TRUE(std::holds_alternative<NotResident>(
      this->Routes.choose(this->Query, Start)));
}

TEST_F(RouterTest, RestartedTargetStaysColdDespiteStaleReport) {
  LoadReport New = report(1, 0);
  New.Incarnation = {2};
  New.Cold = true;
  this->Routes.target({"a"})->reported(New);
  EXPECT_EQ(this->chosen(this->Query), (std::set<std::string>{"b", "c"}));
  this->Query.Exclude = {{"b"}, {"c"}};
  auto Result = this->Routes.choose(this->Query, Start);
  ASSERT_TRUE(std::holds_alternative<ChosenCold>(Result));
  this->Routes.target({"a"})->reported(report(9, 0));
  EXPECT_TRUE(std::holds_alternative<ChosenCold>(
      this->Routes.choose(this->Query, Start)));
}

TEST_F(RouterTest, AHandfulOfSlowFirstTokensMakesASuspect) {
  TargetView &View = *this->Routes.target({"a"});
  for (int Round = 0; Round < 10; ++Round)
    View.firstToken(milliseconds(50));
  EXPECT_EQ(View.warmth(), Warmth::Warm);
  for (int Round = 0; Round < 3; ++Round)
    View.firstToken(milliseconds(2000));
  EXPECT_EQ(View.warmth(), Warmth::Suspect);
  for (int Round = 0; Round < 3; ++Round)
    View.firstToken(milliseconds(60));
  EXPECT_EQ(View.warmth(), Warmth::Warm);
}

TEST_F(RouterTest, FailingTargetBacksOffAndIsTriedAgain) {
  TargetView &View = *this->Routes.target({"a"});
  for (int Round = 0; Round < 3; ++Round) {
    View.started(Start);
    View.ended(RequestEnd::Failed, Start);
  }
  EXPECT_TRUE(View.isBackingOff(Start));
  EXPECT_FALSE(View.isBackingOff(Start + seconds(1)));
  EXPECT_EQ(View.inFlight(), 0);
}

TEST_F(RouterTest, LoadIncludesRequestsStartedSinceReport) {
  TargetView &View = *this->Routes.target({"a"});
  View.started(Start + milliseconds(10));
  View.started(Start + milliseconds(20));
  EXPECT_EQ(View.estimatedLoad(Start), 2);
  base::TimePoint Measured = Start + milliseconds(15);
  View.reported(report(2, 5, Measured));
  EXPECT_EQ(View.estimatedLoad(Measured), 6);
  View.reported(report(1, 50, Start + milliseconds(30)));
  EXPECT_EQ(View.estimatedLoad(Measured), 6);
}

TEST_F(RouterTest, LoadFromOthersDecaysWithReportAge) {
  TargetView &View = *this->Routes.target({"a"});
  View.reported(report(2, 8));
  View.started(Start + milliseconds(10));
  EXPECT_EQ(View.estimatedLoad(Start), 9);
  EXPECT_NEAR(View.estimatedLoad(Start + seconds(10)), 1, 0.01);
}

TEST_F(RouterTest, PrefersIdleOneOfTwoCandidates) {
  this->Routes.target({"a"})->reported(report(2, 8));
  this->Routes.target({"b"})->reported(report(2, 8));
  int IdleOne = 0;
  for (int Round = 0; Round < 300; ++Round) {
    auto Result = this->Routes.choose(this->Query, Start);
    IdleOne += std::get<Chosen>(Result).Target.Value == "c" ? 1 : 0;
  }
  // Two of the three possible pairs contain the idle target.
  EXPECT_GT(IdleOne, 150);
}

TEST_F(RouterTest, PrefersCachedPrefixUntilLoadOutweighsIt) {
  this->Query.Prefix = prefixHash("a long prompt");
  this->Routes.hints().stored({"a"}, this->Query.Prefix);
  EXPECT_EQ(this->chosen(this->Query), std::set<std::string>{"a"});
  this->Routes.target({"a"})->reported(report(2, 8));
  EXPECT_EQ(this->chosen(this->Query), (std::set<std::string>{"b", "c"}));
}

TEST(PrefixHintsTest, MissedEventsDropOlderHalf) {
  PrefixHints Hints(4);
  for (std::uint64_t Prefix = 1; Prefix <= 5; ++Prefix)
    Hints.stored({"a"}, Prefix);
  EXPECT_FALSE(Hints.holds({"a"}, 1));
  Hints.eventsMissed({"a"});
  EXPECT_TRUE(Hints.holds({"a"}, 5));
  EXPECT_FALSE(Hints.holds({"a"}, 2));
  Hints.evicted({"a"}, 5);
  EXPECT_FALSE(Hints.holds({"a"}, 5));
}

// For any sequence of starts, failures, reports and changes of configuration, a
// target that is full, leaving, in an excluded zone or excluded by the query is
// never chosen.
RC_GTEST_PROP(RouterPropertyTest, NeverChoosesExcludedTarget, ()) {
  auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 4)));
  state::Config Config;
  std::vector<base::TargetId> Ids = {{"a"}, {"b"}, {"c"}, {"d"}};
  for (const base::TargetId &Id : Ids)
    Config.Targets[Id] = engine(Id.Value, Id.Value < "c" ? "z1" : "z2");
  Router Routes({{"z1"}}, 1);
  Routes.configure(Config);
  std::uint64_t Sequence = 0;
  base::TimePoint Now = Start;
  std::map<base::TargetId, int> Running;
  for (auto [Kind, Index] : Steps) {
    const base::TargetId &Id = Ids[Index];
    Now += milliseconds(50);
    switch (Kind) {
    case 0:
      Routes.target(Id)->reported(report(++Sequence, Running[Id], Now));
      break;
    case 1:
      Config.Targets[Id].Leaving = !Config.Targets[Id].Leaving;
      Routes.configure(Config);
      break;
    case 2:
      if (!Config.ZonesOut.insert({"z1"}).second)
        Config.ZonesOut.clear();
      Routes.configure(Config);
      break;
    case 3:
      if (Running[Id] > 0) {
        --Running[Id];
        Routes.target(Id)->ended(RequestEnd::Failed, Now);
      }
      break;
    default: {
      RouteQuery Query{"m", {}, 0, {Id}};
      RouteResult Result = Routes.choose(Query, Now);
      base::TargetId Target;
      if (auto *Warm = std::get_if<Chosen>(&Result))
        Target = Warm->Target;
      if (auto *Cold = std::get_if<ChosenCold>(&Result))
        Target = Cold->Target;
      if (Target.empty())
        break;
      RC_ASSERT(Target != Id);
      RC_ASSERT(!Config.Targets[Target].Leaving);
      RC_ASSERT(Config.ZonesOut.count(Config.Targets[Target].Zone) == 0U);
      RC_ASSERT(Running[Target] < Config.Targets[Target].WarmSlots.Value);
      ++Running[Target];
      Routes.target(Target)->started(Now);
    }
    }
  }
}
