#include "residency/enginetracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::residency;
using std::chrono::milliseconds;

namespace {

const base::TargetId Engine1{"engine"};
const catalog::ServiceId Pool{"pool"};
const Item ModelA{{"a"}, {}};
const Item ModelB{{"b"}, {}};
const Item AdapterX{{"a"}, {"x"}};

catalog::CatalogPtr makeCatalog() {
  auto Out = std::make_shared<catalog::Catalog>();
  catalog::Service Service;
  Service.Id = Pool;
  Service.Engine.emplace();
  Service.Engine->WeightsMb = 100;
  Service.Engine->AdapterSlots = 2;
  for (const Item &Each : {ModelA, ModelB}) {
    catalog::Model Model;
    Model.Id = Each.Model;
    Model.WeightsMb = 40;
    Model.AdapterMb = 1;
    Model.Adapters = 3;
    Service.Engine->Models[Model.Id] = Model;
  }
  Out->Services[Pool] = Service;
  return Out;
}

class EngineTrackerTest : public testing::Test {
protected:
  void SetUp() override {
    this->Tracker.setCatalog(makeCatalog(), this->Now);
    this->setLifetime(1);
    this->report({{ModelA.Model, {}}}, 0);
  }

  void setLifetime(std::uint64_t Lifetime) {
    auto List = std::make_shared<catalog::TargetList>();
    catalog::Target Target;
    Target.Entry.Id = Engine1;
    Target.Entry.Lifetime = {Lifetime};
    Target.Entry.Service = Pool;
    List->Targets[Engine1] = Target;
    this->Tracker.setTargets(List, this->Now);
  }

  void report(catalog::HeldModels Models, std::uint64_t Revision,
              bool Busy = false) {
    EngineReport Report;
    Report.Models = std::move(Models);
    Report.Revision = Revision;
    Report.Busy = Busy;
    this->Tracker.onReport(Engine1, Report, this->Now);
  }

  EngineView view() { return this->Tracker.views(this->Now).front(); }

  base::TimePoint Now{std::chrono::hours(1)};
  EngineTracker Tracker{EngineTrackerSettings{}};
};

} // namespace

TEST_F(EngineTrackerTest, ALoadReservesItsMemoryBeforeItIsAnswered) {
  ASSERT_TRUE(this->Tracker.beginOrder(Engine1, OrderKind::Load, ModelB, {1},
                                       this->Now));
  EXPECT_EQ(this->view().ReservedMb, 80);
  EXPECT_FALSE(this->view().AcceptsModelOrder);
}

/// After a restart the targets may be read before the catalog, and may not
/// change again. The holder must still know the engines; otherwise it gives no
/// orders.
TEST(EngineTrackerSetupTest, TargetsSetBeforeTheCatalogAreKnown) {
  base::TimePoint Now{std::chrono::hours(1)};
  EngineTracker Tracker{EngineTrackerSettings{}};
  auto List = std::make_shared<catalog::TargetList>();
  catalog::Target Target;
  Target.Entry.Id = Engine1;
  Target.Entry.Lifetime = {1};
  Target.Entry.Service = Pool;
  List->Targets[Engine1] = Target;
  Tracker.setTargets(List, Now);
  Tracker.setCatalog(makeCatalog(), Now);
  EXPECT_EQ(Tracker.views(Now).size(), 1U);
}

TEST_F(EngineTrackerTest, AnUnansweredOrderIsSentAgainUnchanged) {
  auto Sent = this->Tracker.beginOrder(Engine1, OrderKind::Load, ModelB, {1},
                                       this->Now);
  this->Tracker.onAnswer(*Sent, OrderAnswer::Unknown, this->Now);
  EXPECT_TRUE(this->Tracker.takeResends({1}, this->Now).empty());
  this->Now += milliseconds(400);
  ASSERT_EQ(this->Tracker.takeDueReports(this->Now).size(), 1U);
  this->report({{ModelA.Model, {}}}, 0);
  auto Again = this->Tracker.takeResends({1}, this->Now);
  ASSERT_EQ(Again.size(), 1U);
  EXPECT_EQ(Again[0].ExpectedRevision, Sent->ExpectedRevision);
  EXPECT_EQ(this->view().ReservedMb, 80);
}

/// It would read all copies at once when it catches up.
TEST_F(EngineTrackerTest, AnEngineThatReadsNothingGetsNoCopiesOfAnOrder) {
  auto Sent = this->Tracker.beginOrder(Engine1, OrderKind::Load, ModelB, {1},
                                       this->Now);
  ASSERT_EQ(this->Tracker.takeDueReports(this->Now + milliseconds(2000)).size(),
            1U);
  this->Now += milliseconds(2500);
  this->Tracker.onAnswer(*Sent, OrderAnswer::Unknown, this->Now);
  this->Now += milliseconds(5000);
  EXPECT_TRUE(this->Tracker.takeResends({1}, this->Now).empty());
  // The report was asked for before the order was given up.
  this->report({{ModelA.Model, {}}}, 0);
  EXPECT_TRUE(this->Tracker.takeResends({1}, this->Now).empty());
  this->Now += milliseconds(250);
  ASSERT_EQ(this->Tracker.takeDueReports(this->Now).size(), 1U);
  this->report({{ModelA.Model, {}}}, 0);
  EXPECT_EQ(this->Tracker.takeResends({1}, this->Now).size(), 1U);
}

TEST_F(EngineTrackerTest, AnEngineThatIsNotAdmittedAcceptsNoOrders) {
  auto Nobody = [](const base::TargetId &) { return false; };
  EXPECT_TRUE(this->view().AcceptsModelOrder);
  EngineView HeldBack = this->Tracker.views(this->Now, Nobody).front();
  EXPECT_FALSE(HeldBack.AcceptsModelOrder);
  EXPECT_FALSE(HeldBack.AcceptsAdapterOrder);
  EXPECT_TRUE(HeldBack.Usable);
}

/// The first copy of a load may reach the engine in its next lifetime, in which
/// the expected revision occurs again.
TEST_F(EngineTrackerTest, ALateLoadReservesMemoryInTheNextLifetime) {
  auto Sent = this->Tracker.beginOrder(Engine1, OrderKind::Load, ModelB, {1},
                                       this->Now);
  this->Tracker.onAnswer(*Sent, OrderAnswer::Unknown, this->Now);
  this->setLifetime(2);
  this->report({}, 0);
  EXPECT_EQ(this->view().ReservedMb, 40);
  this->Now += std::chrono::seconds(14);
  EXPECT_EQ(this->view().ReservedMb, 0);
}

TEST_F(EngineTrackerTest, AReportFromBeforeAnOrderChangesNothing) {
  auto Sent = this->Tracker.beginOrder(Engine1, OrderKind::Load, ModelB, {1},
                                       this->Now);
  this->Tracker.onAnswer(*Sent, OrderAnswer::Accepted, this->Now);
  this->report({{ModelA.Model, {}}}, 0);
  EXPECT_FALSE(this->view().AcceptsModelOrder);
  this->report({{ModelA.Model, {}}}, 1, true);
  EXPECT_FALSE(this->view().AcceptsModelOrder);
  this->report({{ModelA.Model, {}}, {ModelB.Model, {}}}, 1, false);
  EXPECT_TRUE(this->view().AcceptsModelOrder);
}

/// An order was accepted while a report was pending. If no further report is
/// requested, the engine is given four adapters and then no more orders.
TEST_F(EngineTrackerTest, ReportsContinueAfterAnAcceptedOrder) {
  this->Now += std::chrono::seconds(3);
  ASSERT_EQ(this->Tracker.takeDueReports(this->Now).size(), 1U);
  auto Sent = this->Tracker.beginOrder(Engine1, OrderKind::Load, AdapterX, {1},
                                       this->Now);
  this->Tracker.onAnswer(*Sent, OrderAnswer::Accepted, this->Now);
  this->report({{ModelA.Model, {}}}, 0);
  this->Now += std::chrono::seconds(3);
  EXPECT_EQ(this->Tracker.takeDueReports(this->Now).size(), 1U);
}

TEST_F(EngineTrackerTest, AnAdapterIsHeldAfterItsLoadTime) {
  auto Sent = this->Tracker.beginOrder(Engine1, OrderKind::Load, AdapterX, {1},
                                       this->Now);
  this->Tracker.onAnswer(*Sent, OrderAnswer::Accepted, this->Now);
  auto Holds = [this] {
    return this->Tracker.held(this->Now)[Engine1]
        .Models[ModelA.Model]
        .Adapters.count(AdapterX.Adapter);
  };
  EXPECT_EQ(Holds(), 0U);
  auto Next = this->Tracker.nextAdapterArrival(this->Now);
  ASSERT_TRUE(Next);
  this->Now = *Next;
  EXPECT_EQ(Holds(), 1U);
}

TEST_F(EngineTrackerTest, AnItemThatIsBeingUnloadedIsNotHeld) {
  ASSERT_TRUE(this->Tracker.beginOrder(Engine1, OrderKind::Unload, ModelA, {1},
                                       this->Now));
  EXPECT_TRUE(this->Tracker.held(this->Now)[Engine1].Models.empty());
  EXPECT_EQ(this->view().ReservedMb, 40);
}

/// The unload of an adapter in use waits for its requests, and the engine does
/// not report busy: it must get no other order until then.
TEST_F(EngineTrackerTest, AnAdapterInUseBlocksTheEngineUntilItIsGone) {
  this->report({{ModelA.Model, {0, {AdapterX.Adapter}}}}, 0);
  auto Sent = this->Tracker.beginOrder(Engine1, OrderKind::Unload, AdapterX,
                                       {1}, this->Now);
  this->Tracker.onAnswer(*Sent, OrderAnswer::Accepted, this->Now);
  this->report({{ModelA.Model, {0, {AdapterX.Adapter}}}}, 1);
  EXPECT_FALSE(this->view().AcceptsAdapterOrder);
  this->report({{ModelA.Model, {}}}, 1);
  EXPECT_TRUE(this->view().AcceptsAdapterOrder);
}

/// A report requested immediately after a conflict may be older than it.
TEST_F(EngineTrackerTest, AfterAConflictTheReportIsRequestedWithADelay) {
  auto Sent = this->Tracker.beginOrder(Engine1, OrderKind::Load, ModelB, {1},
                                       this->Now);
  this->Tracker.onAnswer(*Sent, OrderAnswer::Conflict, this->Now);
  EXPECT_FALSE(this->Tracker.beginOrder(Engine1, OrderKind::Load, ModelB, {1},
                                        this->Now));
  EXPECT_TRUE(this->Tracker.takeDueReports(this->Now).empty());
  EXPECT_EQ(this->Tracker.takeDueReports(this->Now + milliseconds(200)).size(),
            1U);
}

// Guards against ordering an unload while instances still send requests for the
// model: the engine refuses them all until its runs have ended.
TEST_F(EngineTrackerTest, AModelIsWithdrawnBeforeItsUnloadIsOrdered) {
  this->Tracker.withdraw(Engine1, ModelA, "demand", this->Now);
  EXPECT_TRUE(this->Tracker.held(this->Now).at(Engine1).Models.empty());
  EXPECT_EQ(this->view().ReservedMb, 40) << "its memory is not free yet";
  EXPECT_TRUE(this->view().FreesMemory);
  EXPECT_FALSE(this->view().AcceptsModelOrder);
  EXPECT_TRUE(this->Tracker.takeDueUnloads(this->Now, {}).empty());
  this->Now += milliseconds(150);
  auto Nobody = [](const base::TargetId &) { return false; };
  EXPECT_TRUE(this->Tracker.takeDueUnloads(this->Now, Nobody).empty());
  auto Due = this->Tracker.takeDueUnloads(this->Now, {});
  ASSERT_EQ(Due.size(), 1U);
  EXPECT_EQ(Due[0].Model, ModelA);
  EXPECT_TRUE(this->Tracker.takeDueUnloads(this->Now, {}).empty());
  EXPECT_TRUE(this->Tracker.beginOrder(Engine1, OrderKind::Unload, ModelA, {1},
                                       this->Now));
}

// Failure: the engine restarts before its unload is due.
TEST_F(EngineTrackerTest, AWithdrawalEndsWithTheEnginesLifetime) {
  this->Tracker.withdraw(Engine1, ModelA, "demand", this->Now);
  this->setLifetime(2);
  this->Now += milliseconds(500);
  this->report({{ModelA.Model, {}}}, 0);
  EXPECT_TRUE(this->Tracker.takeDueUnloads(this->Now, {}).empty());
  EXPECT_EQ(this->Tracker.held(this->Now).at(Engine1).Models.size(), 1U);
}
