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

class EngineBookTest : public testing::Test {
protected:
  void SetUp() override {
    this->Book.setCatalog(makeCatalog(), this->Now);
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
    this->Book.setTargets(List, this->Now);
  }

  void report(catalog::HeldModels Models, std::uint64_t Revision,
              bool Busy = false) {
    EngineReport Report;
    Report.Models = std::move(Models);
    Report.Revision = Revision;
    Report.Busy = Busy;
    this->Book.onReport(Engine1, Report, this->Now);
  }

  EngineView view() { return this->Book.views(this->Now).front(); }

  base::TimePoint Now{std::chrono::hours(1)};
  EngineBook Book{EngineBookSettings{}};
};

} // namespace

TEST_F(EngineBookTest, ALoadTakesItsMemoryBeforeItIsAnswered) {
  ASSERT_TRUE(
      this->Book.begin(Engine1, OrderKind::Load, ModelB, {1}, this->Now));
  EXPECT_EQ(this->view().TakenMb, 80);
  EXPECT_FALSE(this->view().TakesModelOrder);
}

/// After a restart the targets may be read before the catalog, and the list may
/// not change again: the holder then knew no engine, and gave no orders.
TEST(EngineBookOrderTest, TargetsThatCameBeforeTheCatalogAreKnown) {
  base::TimePoint Now{std::chrono::hours(1)};
  EngineBook Book{EngineBookSettings{}};
  auto List = std::make_shared<catalog::TargetList>();
  catalog::Target Target;
  Target.Entry.Id = Engine1;
  Target.Entry.Lifetime = {1};
  Target.Entry.Service = Pool;
  List->Targets[Engine1] = Target;
  Book.setTargets(List, Now);
  Book.setCatalog(makeCatalog(), Now);
  EXPECT_EQ(Book.views(Now).size(), 1U);
}

TEST_F(EngineBookTest, AnOrderWithoutAnAnswerIsSentAgainAsItWas) {
  auto Sent =
      this->Book.begin(Engine1, OrderKind::Load, ModelB, {1}, this->Now);
  this->Book.onAnswer(*Sent, OrderAnswer::Unknown, this->Now);
  EXPECT_TRUE(this->Book.takeResends({1}, this->Now).empty());
  this->Now += milliseconds(400);
  auto Again = this->Book.takeResends({1}, this->Now);
  ASSERT_EQ(Again.size(), 1U);
  EXPECT_EQ(Again[0].ExpectedRevision, Sent->ExpectedRevision);
  EXPECT_EQ(this->view().TakenMb, 80);
}

/// The first copy of a load may reach the engine's next lifetime, in which the
/// revision that it expects comes again.
TEST_F(EngineBookTest, ALateLoadTakesMemoryInTheNextLifetime) {
  auto Sent =
      this->Book.begin(Engine1, OrderKind::Load, ModelB, {1}, this->Now);
  this->Book.onAnswer(*Sent, OrderAnswer::Unknown, this->Now);
  this->setLifetime(2);
  this->report({}, 0);
  EXPECT_EQ(this->view().TakenMb, 40);
  this->Now += std::chrono::seconds(14);
  EXPECT_EQ(this->view().TakenMb, 0);
}

TEST_F(EngineBookTest, AReportFromBeforeAnOrderChangesNothing) {
  auto Sent =
      this->Book.begin(Engine1, OrderKind::Load, ModelB, {1}, this->Now);
  this->Book.onAnswer(*Sent, OrderAnswer::Accepted, this->Now);
  this->report({{ModelA.Model, {}}}, 0);
  EXPECT_FALSE(this->view().TakesModelOrder);
  this->report({{ModelA.Model, {}}}, 1, true);
  EXPECT_FALSE(this->view().TakesModelOrder);
  this->report({{ModelA.Model, {}}, {ModelB.Model, {}}}, 1, false);
  EXPECT_TRUE(this->view().TakesModelOrder);
}

/// Reports go on after an order was accepted while one was under way: without
/// that, an engine took four adapters and then none for the rest of the day.
TEST_F(EngineBookTest, ReportsGoOnAfterAnAcceptedOrder) {
  this->Now += std::chrono::seconds(3);
  ASSERT_EQ(this->Book.takeDueReports(this->Now).size(), 1U);
  auto Sent =
      this->Book.begin(Engine1, OrderKind::Load, AdapterX, {1}, this->Now);
  this->Book.onAnswer(*Sent, OrderAnswer::Accepted, this->Now);
  this->report({{ModelA.Model, {}}}, 0);
  this->Now += std::chrono::seconds(3);
  EXPECT_EQ(this->Book.takeDueReports(this->Now).size(), 1U);
}

TEST_F(EngineBookTest, AnAdapterIsHeldOnceItsLoadTimeIsOver) {
  auto Sent =
      this->Book.begin(Engine1, OrderKind::Load, AdapterX, {1}, this->Now);
  this->Book.onAnswer(*Sent, OrderAnswer::Accepted, this->Now);
  auto Holds = [this] {
    return this->Book.held(this->Now)[Engine1]
        .Models[ModelA.Model]
        .Adapters.count(AdapterX.Adapter);
  };
  EXPECT_EQ(Holds(), 0U);
  auto Next = this->Book.nextChange(this->Now);
  ASSERT_TRUE(Next);
  this->Now = *Next;
  EXPECT_EQ(Holds(), 1U);
}

TEST_F(EngineBookTest, AnItemThatIsBeingUnloadedIsNotHeld) {
  ASSERT_TRUE(
      this->Book.begin(Engine1, OrderKind::Unload, ModelA, {1}, this->Now));
  EXPECT_TRUE(this->Book.held(this->Now)[Engine1].Models.empty());
  EXPECT_EQ(this->view().TakenMb, 40);
}

/// The unload of an adapter in use waits for its requests, and does not show as
/// busy: no order is given to the engine meanwhile.
TEST_F(EngineBookTest, AnAdapterInUseBlocksTheEngineUntilItIsGone) {
  this->report({{ModelA.Model, {0, {AdapterX.Adapter}}}}, 0);
  auto Sent =
      this->Book.begin(Engine1, OrderKind::Unload, AdapterX, {1}, this->Now);
  this->Book.onAnswer(*Sent, OrderAnswer::Accepted, this->Now);
  this->report({{ModelA.Model, {0, {AdapterX.Adapter}}}}, 1);
  EXPECT_FALSE(this->view().TakesAdapterOrder);
  this->report({{ModelA.Model, {}}}, 1);
  EXPECT_TRUE(this->view().TakesAdapterOrder);
}

/// A report that is asked for at once after a conflict may be older than it.
TEST_F(EngineBookTest, AfterAConflictTheReportIsAskedForLater) {
  auto Sent =
      this->Book.begin(Engine1, OrderKind::Load, ModelB, {1}, this->Now);
  this->Book.onAnswer(*Sent, OrderAnswer::Conflict, this->Now);
  EXPECT_FALSE(
      this->Book.begin(Engine1, OrderKind::Load, ModelB, {1}, this->Now));
  EXPECT_TRUE(this->Book.takeDueReports(this->Now).empty());
  EXPECT_EQ(this->Book.takeDueReports(this->Now + milliseconds(200)).size(),
            1U);
}
