#include "placement/ledger.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t Gib = 1LL << 30;
const base::TargetId Worker{"worker-1"};
const AcceleratorId First{Worker, 0};

Item model(const std::string &Name, const std::string &Version = "1") {
  return {base::ModelId{Name}, Version, {}};
}

Order order(const std::string &Id, OrderKind Kind, const Item &What,
            std::int64_t Size, std::uint64_t Fencing = 1) {
  return {OrderId{Id},
          First,
          base::Incarnation{1},
          Kind,
          What,
          base::Bytes{Size * Gib},
          base::Offset{Fencing},
          milliseconds(3000)};
}

class LedgerTest : public testing::Test {
protected:
  LedgerTest() { this->use(true); }

  void use(bool HonoursFencing) {
    this->Memory = Ledger({seconds(5), seconds(2)});
    this->Memory.setTarget(Worker, HonoursFencing, {base::Bytes{80 * Gib}});
    this->Memory.setHolder(base::Offset{1}, this->Now);
  }

  void report(std::vector<ReportedItem> Items, std::uint64_t Incarnation = 1) {
    this->Memory.report({Worker,
                         base::Incarnation{Incarnation},
                         ++this->Sequence,
                         this->Now,
                         std::move(Items),
                         {}});
  }

  std::error_code check(const Order &New) {
    auto Out = this->Memory.check(New, this->Now);
    return Out ? std::error_code() : Out.error().Code;
  }

  base::TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Sequence = 0;
  Ledger Memory;
};

} // namespace

TEST_F(LedgerTest, NothingIsOrderedBeforeTheFirstReport) {
  Order Load = order("a", OrderKind::LoadModel, model("m"), 30);
  EXPECT_EQ(this->check(Load), PlacementErrc::NoReport);
  this->report({});
  EXPECT_EQ(this->check(Load), std::error_code());
  Load.TargetIncarnation = base::Incarnation{2};
  EXPECT_EQ(this->check(Load), PlacementErrc::WrongIncarnation);
}

TEST_F(LedgerTest, AnUnansweredLoadIsChargedButNotResident) {
  this->report({});
  this->Memory.begin(order("a", OrderKind::LoadModel, model("m"), 50),
                     this->Now);
  EXPECT_EQ(this->Memory.charged(First).Value, 50 * Gib);
  EXPECT_TRUE(this->Memory.residents(First).empty());
  EXPECT_EQ(this->check(order("b", OrderKind::LoadModel, model("n"), 40)),
            PlacementErrc::NoMemory);
}

TEST_F(LedgerTest, AnUnansweredUnloadFreesNoMemoryAndItsItemIsUnconfirmed) {
  this->report({{model("m"), 0, base::Bytes{50 * Gib}}});
  this->Memory.begin(order("a", OrderKind::UnloadModel, model("m"), 50),
                     this->Now);
  EXPECT_EQ(this->Memory.charged(First).Value, 50 * Gib);
  EXPECT_FALSE(this->Memory.residents(First).at(model("m")).Confirmed);
  EXPECT_EQ(this->check(order("b", OrderKind::LoadModel, model("n"), 40)),
            PlacementErrc::NoMemory);
  this->Memory.answer(OrderId{"a"}, OrderAnswer::Done, base::Offset{1},
                      this->Now);
  EXPECT_EQ(this->Memory.charged(First).Value, 0);
  EXPECT_EQ(this->check(order("b", OrderKind::LoadModel, model("n"), 40)),
            std::error_code());
}

TEST_F(LedgerTest,
       AReportSettlesAnOrderOnlyWhenItsContentIsNewerThanTheExpiry) {
  this->report({});
  this->Memory.begin(order("a", OrderKind::LoadModel, model("m"), 50),
                     this->Now);
  this->Now += seconds(9);
  this->report({});
  EXPECT_EQ(this->Memory.charged(First).Value, 50 * Gib);
  this->Now += seconds(2);
  this->report({});
  EXPECT_EQ(this->Memory.charged(First).Value, 0);
}

TEST_F(LedgerTest, ALaggingReportDoesNotUndoAnAnswer) {
  this->report({});
  this->Memory.begin(order("a", OrderKind::LoadModel, model("m"), 50),
                     this->Now);
  this->Memory.answer(OrderId{"a"}, OrderAnswer::Done, base::Offset{1},
                      this->Now);
  this->Now += seconds(3);
  this->report({});
  EXPECT_EQ(this->Memory.charged(First).Value, 50 * Gib);
  this->Now += seconds(3);
  this->report({});
  EXPECT_EQ(this->Memory.charged(First).Value, 0);
}

TEST_F(LedgerTest, ALoadThatMayArriveAfterARestartIsStillCharged) {
  this->report({});
  this->Memory.begin(order("a", OrderKind::LoadModel, model("m"), 50),
                     this->Now);
  this->Memory.answer(OrderId{"a"}, OrderAnswer::Done, base::Offset{1},
                      this->Now);
  this->report({}, 2);
  EXPECT_EQ(this->Memory.charged(First).Value, 50 * Gib);
  EXPECT_TRUE(this->Memory.residents(First).empty());
  this->Now += seconds(10);
  this->report({}, 2);
  EXPECT_EQ(this->Memory.charged(First).Value, 0);
}

TEST_F(LedgerTest, AnEngineThatIgnoresFencingWaitsForTheEarlierHoldersOrders) {
  this->use(false);
  this->report({});
  this->Memory.begin(order("a", OrderKind::LoadModel, model("m"), 10),
                     this->Now);
  this->Memory.setHolder(base::Offset{9}, this->Now);
  Order Later = order("b", OrderKind::LoadModel, model("n"), 10, 9);
  EXPECT_EQ(this->check(Later), PlacementErrc::Blocked);
  this->Now += seconds(5);
  EXPECT_EQ(this->check(Later), std::error_code());
}

TEST_F(LedgerTest,
       APausedHoldersOrderIsChargedUntilTheEngineKnowsALaterHolder) {
  this->report({});
  this->Memory.begin(order("a", OrderKind::LoadModel, model("m"), 50),
                     this->Now);
  this->Memory.setHolder(base::Offset{9}, this->Now);
  this->Now += std::chrono::hours(1);
  this->report({});
  EXPECT_EQ(this->Memory.charged(First).Value, 50 * Gib);
  this->Memory.begin(order("b", OrderKind::LoadModel, model("n"), 10, 9),
                     this->Now);
  this->Memory.answer(OrderId{"b"}, OrderAnswer::Done, base::Offset{9},
                      this->Now);
  this->Now += seconds(6);
  this->report({{model("n"), 0, base::Bytes{10 * Gib}}});
  EXPECT_EQ(this->Memory.charged(First).Value, 10 * Gib);
}

TEST_F(LedgerTest, BothVersionsAndTheRoleAreChargedDuringAChange) {
  this->report({{model("m", "1"), 0, base::Bytes{30 * Gib}}});
  Order Next = order("a", OrderKind::LoadModel, model("m", "2"), 30);
  EXPECT_EQ(this->check(Next), std::error_code());
  this->Memory.begin(Next, this->Now);
  EXPECT_EQ(this->Memory.charged(First).Value, 60 * Gib);
  Order Role = order("r", OrderKind::ChangeRole, {{}, "prefill", {}}, 15);
  EXPECT_EQ(this->check(Role), std::error_code());
  this->Memory.begin(Role, this->Now);
  EXPECT_EQ(this->Memory.charged(First).Value, 75 * Gib);
  EXPECT_EQ(
      this->check(order("s", OrderKind::ChangeRole, {{}, "decode", {}}, 10)),
      PlacementErrc::NoMemory);
}

TEST_F(LedgerTest, UsedMemoryBeyondTheListedItemsIsCharged) {
  this->Memory.report({Worker,
                       base::Incarnation{1},
                       1,
                       this->Now,
                       {{model("m"), 0, base::Bytes{30 * Gib}}},
                       {base::Bytes{40 * Gib}}});
  EXPECT_EQ(this->Memory.charged(First).Value, 40 * Gib);
}

TEST_F(LedgerTest, ASecondOrderOnAnUnsettledItemIsBlocked) {
  this->report({{model("m"), 0, base::Bytes{30 * Gib}}});
  this->Memory.begin(order("a", OrderKind::UnloadModel, model("m"), 30),
                     this->Now);
  EXPECT_EQ(this->check(order("b", OrderKind::LoadModel, model("m"), 30)),
            PlacementErrc::Blocked);
  EXPECT_EQ(this->check(order("a", OrderKind::LoadModel, model("n"), 30)),
            PlacementErrc::DuplicateOrder);
}

TEST_F(LedgerTest, AnAbandonedOrderCountsForNothing) {
  this->report({});
  this->Memory.begin(order("a", OrderKind::LoadModel, model("m"), 50),
                     this->Now);
  this->Memory.abandon(OrderId{"a"});
  EXPECT_EQ(this->Memory.charged(First).Value, 0);
}

TEST_F(LedgerTest, AnItemThatIsBeingUnloadedStaysChargedWhileReportsOmitIt) {
  this->report({{model("m"), 0, base::Bytes{30 * Gib}}});
  this->Memory.begin(order("a", OrderKind::UnloadModel, model("m"), 30),
                     this->Now);
  for (int Second = 0; Second < 60; ++Second) {
    this->Now += seconds(1);
    this->Memory.extend(OrderId{"a"}, this->Now);
    this->report({});
  }
  EXPECT_EQ(this->Memory.charged(First).Value, 30 * Gib);
}

TEST_F(LedgerTest, MemoryOfALoadThatIsNotListedYetIsChargedOnce) {
  this->report({});
  this->Memory.begin(order("a", OrderKind::LoadModel, model("m"), 30),
                     this->Now);
  this->Memory.report({Worker,
                       base::Incarnation{1},
                       ++this->Sequence,
                       this->Now,
                       {},
                       {base::Bytes{30 * Gib}}});
  EXPECT_EQ(this->Memory.charged(First).Value, 30 * Gib);
}

TEST_F(LedgerTest, AnUnloadKnownBeforeTheFirstReportLeavesItsItemCharged) {
  this->Memory.begin(order("a", OrderKind::UnloadModel, model("m"), 30),
                     this->Now);
  this->report({{model("m"), 0, base::Bytes{30 * Gib}}});
  EXPECT_EQ(this->Memory.charged(First).Value, 30 * Gib);
  EXPECT_FALSE(this->Memory.residents(First).at(model("m")).Confirmed);
}
