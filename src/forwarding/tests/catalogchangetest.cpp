#include "forwarderfixture.h"

using namespace kingcuphub;
using namespace kingcuphub::forwarding;

namespace {

/// An answer that may still be on its way.
struct Pending {
  std::optional<http::Response> Answer;
  int status() const { return this->Answer ? this->Answer->Status : 0; }
};

/// Changes of the catalog while requests wait. The forwarder holds the only
/// references to its catalogs, as in an instance.
class CatalogChangeTest : public ForwarderTest {
protected:
  using Change = std::function<void(catalog::Catalog &)>;

  void SetUp() override {
    ForwarderTest::SetUp();
    this->Traffic->onCredits({});
    this->applyCatalog();
    this->serve({});
  }

  static catalog::Route makeRoute(const std::string &Name,
                                  const std::string &Service) {
    catalog::Route Out;
    Out.Id = {Name};
    Out.Host = "127.0.0.1";
    Out.PathPrefix = "/" + Name + "/";
    Out.Timeout = milliseconds(5000);
    Out.Objective = milliseconds(100);
    Out.Services = {{{Service}, 1}};
    return Out;
  }

  /// Two routes to service `s` and, per key, the accounts `acme` and `other`.
  static catalog::Catalog original() {
    catalog::Catalog Out;
    Out.Routes = {makeRoute("a", "s"), makeRoute("b", "s")};
    for (const char *Name : {"s", "s2"})
      Out.Services[{Name}].Id = {Name};
    for (const char *Name : {"acme", "other"}) {
      catalog::Account Account;
      Account.Id = {Name};
      Account.RatePerSecond = Account.Burst = 100;
      Account.CountsTokens = true;
      Out.Accounts[Account.Id] = Account;
    }
    Out.AccountByKeyHash[catalog::keyHash("k")] = {"acme"};
    return Out;
  }

  void applyCatalog(const Change &Edit = nullptr) {
    auto New = std::make_shared<catalog::Catalog>(original());
    New->Version = {++this->Version};
    if (Edit)
      Edit(*New);
    this->Traffic->setCatalog(std::move(New));
    this->Traffic->setCatalogProven(this->Clock.now());
  }

  /// Lists a target for each of \p Services.
  void serve(const std::vector<std::string> &Services) {
    catalog::TargetList List;
    for (const std::string &Each : Services) {
      catalog::Target Target;
      Target.Entry.Id = {"target-of-" + Each};
      Target.Entry.Service = {Each};
      Target.Entry.Slots = 100;
      Target.Entry.Address = {"127.0.0.1", this->targetPort(0)};
      List.Targets[Target.Entry.Id] = Target;
    }
    this->Traffic->setTargets(
        std::make_shared<const catalog::TargetList>(List));
  }

  std::shared_ptr<Pending> ask(const std::string &Route) {
    auto Out = std::make_shared<Pending>();
    http::ClientRequest Request;
    Request.Method = "POST";
    Request.Url =
        "http://127.0.0.1:" + std::to_string(this->FrontServer->port()) + "/" +
        Route + "/x";
    Request.Headers = {{"Id", "q" + std::to_string(++this->SentRequests)},
                       {"Key", "k"}};
    Request.Body = "body";
    this->Http->fetch(
        Request, [Out](const http::TransferResult &, http::Response Whole) {
          Out->Answer = std::move(Whole);
        });
    return Out;
  }

  template <typename Condition> bool runUntil(Condition Done) {
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Done() && std::chrono::steady_clock::now() < Deadline)
      this->Loop.run_one_for(milliseconds(5));
    return Done();
  }

  int statusOf(const std::shared_ptr<Pending> &Of) {
    this->runUntil([&] { return Of->Answer.has_value(); });
    return Of->status();
  }

  bool isAskedForCredit(const std::string &Account) const {
    return std::any_of(
        this->Credits.begin(), this->Credits.end(), [&](const auto &Each) {
          auto *Ask = std::get_if<admission::AskCredit>(&Each);
          return Ask != nullptr &&
                 Ask->Quantity == admission::accountTokens({Account});
        });
  }

  void waitUntilAskedForCredit(const std::string &Account) {
    ASSERT_TRUE(
        this->runUntil([&] { return this->isAskedForCredit(Account); }));
  }

  /// Has a request on \p Route wait for a target, paid for by `acme`.
  std::shared_ptr<Pending> askAndPay(const std::string &Route) {
    auto Out = this->ask(Route);
    this->grantCredit({100, milliseconds(0)});
    this->Loop.run_for(milliseconds(30));
    EXPECT_FALSE(Out->Answer);
    this->Credits.clear();
    return Out;
  }

  /// Whether `acme` has the 100 tokens of one request, without new credit.
  bool isPaidBack() {
    this->applyCatalog();
    this->serve({"s"});
    return this->statusOf(this->ask("a")) == 200;
  }

  std::uint64_t Version = 0;
};

} // namespace

/// Review case 11: the account pointed into the catalog that had been dropped.
TEST_F(CatalogChangeTest,
       AWaitingRequestWhoseRouteIsRemovedIsRefusedAndUnpaid) {
  auto Waiting = this->askAndPay("b");
  this->applyCatalog([](catalog::Catalog &New) { New.Routes.pop_back(); });
  EXPECT_EQ(this->statusOf(Waiting), 404);
  EXPECT_TRUE(this->isPaidBack());
}

/// Tokens were lost when the key, and with it the account, was looked up in
/// vain.
TEST_F(CatalogChangeTest,
       AWaitingRequestWhoseKeyIsWithdrawnIsRefusedAndUnpaid) {
  auto Waiting = this->askAndPay("b");
  this->applyCatalog(
      [](catalog::Catalog &New) { New.AccountByKeyHash.clear(); });
  EXPECT_EQ(this->statusOf(Waiting), 401);
  EXPECT_TRUE(this->isPaidBack());
}

/// The account paid for a request that was no longer its own.
TEST_F(CatalogChangeTest, ARequestOnARouteThatBecomesPublicIsPaidByNobody) {
  auto Waiting = this->askAndPay("b");
  this->applyCatalog(
      [](catalog::Catalog &New) { New.Routes.back().Public = true; });
  this->serve({"s"});
  EXPECT_EQ(this->statusOf(Waiting), 200);
  ASSERT_EQ(this->arrivals(), 1U);
  EXPECT_EQ(this->Targets[0].Received[0].header("Account"), "");
  EXPECT_TRUE(this->isPaidBack());
}

/// The request ran for another account than the one that paid.
TEST_F(CatalogChangeTest, ARequestIsPaidByTheAccountForWhichItRuns) {
  auto Waiting = this->askAndPay("b");
  this->applyCatalog([](catalog::Catalog &New) {
    New.AccountByKeyHash[catalog::keyHash("k")] = {"other"};
  });
  this->serve({"s"});
  this->waitUntilAskedForCredit("other");
  EXPECT_EQ(this->arrivals(), 0U);
  auto Ask = std::get<admission::AskCredit>(this->Credits.back());
  this->Traffic->onCredits({{{"other"}, {100, milliseconds(0)}, Ask.Request}});
  EXPECT_EQ(this->statusOf(Waiting), 200);
  ASSERT_EQ(this->arrivals(), 1U);
  EXPECT_EQ(this->Targets[0].Received[0].header("Account"), "other");
  EXPECT_TRUE(this->isPaidBack());
}

/// Requests that waited for tokens were not looked at.
TEST_F(CatalogChangeTest, ARequestThatWaitsForTokensIsRefusedWithItsRoute) {
  auto Waiting = this->ask("b");
  this->waitUntilAskedForCredit("acme");
  this->applyCatalog([](catalog::Catalog &New) { New.Routes.pop_back(); });
  EXPECT_EQ(this->statusOf(Waiting), 404);
}

/// A limit that is lifted ends the wait for its tokens.
TEST_F(CatalogChangeTest, ARequestWaitsForNoTokensOnceTheLimitIsLifted) {
  this->serve({"s"});
  auto Waiting = this->ask("a");
  this->waitUntilAskedForCredit("acme");
  EXPECT_EQ(this->arrivals(), 0U);
  this->applyCatalog([](catalog::Catalog &New) {
    New.Accounts.at({"acme"}).RatePerSecond = 0;
  });
  EXPECT_EQ(this->statusOf(Waiting), 200);
}

/// A request kept its place among those of the service before, and waited for
/// their targets.
TEST_F(CatalogChangeTest, AMovedRequestWaitsInTheLineOfItsNewService) {
  this->applyCatalog([](catalog::Catalog &New) { New.Accounts.clear(); });
  this->serve({"s2"});
  auto Ahead = this->ask("a");
  this->Loop.run_for(milliseconds(30));
  auto Moved = this->ask("b");
  this->Loop.run_for(milliseconds(30));
  this->applyCatalog([](catalog::Catalog &New) {
    New.Accounts.clear();
    New.Routes.back().Services = {{{"s2"}, 1}};
  });
  EXPECT_EQ(this->statusOf(Moved), 200);
  EXPECT_FALSE(Ahead->Answer);
}

/// Each change drew the service of all waiting requests anew, so that all of
/// them left the service that had no target.
TEST_F(CatalogChangeTest, AnUnrelatedChangeDoesNotMoveRequestsOfASplitRoute) {
  auto Split = [](catalog::Catalog &New) {
    New.Accounts.clear();
    New.Routes.back().Services = {{{"s"}, 1}, {{"s2"}, 1}};
  };
  this->applyCatalog(Split);
  this->serve({"s2"});
  std::vector<std::shared_ptr<Pending>> All;
  constexpr int Requests = 40;
  All.reserve(Requests);
  for (int Each = 0; Each < Requests; ++Each)
    All.push_back(this->ask("b"));
  auto Answered = [&] {
    return std::count_if(All.begin(), All.end(),
                         [](const auto &Each) { return Each->Answer; });
  };
  this->Loop.run_for(milliseconds(150));
  auto Before = Answered();
  ASSERT_LT(Before, Requests);
  for (int Each = 0; Each < 10; ++Each) {
    this->applyCatalog(Split);
    this->Loop.run_for(milliseconds(10));
  }
  EXPECT_EQ(Answered(), Before);
}

/// The timer went by the timeout that the route had before.
TEST_F(CatalogChangeTest, AShorterTimeoutHoldsForRequestsThatWait) {
  auto Waiting = this->askAndPay("b");
  auto ChangedAt = std::chrono::steady_clock::now();
  this->applyCatalog([](catalog::Catalog &New) {
    New.Routes.back().Timeout = milliseconds(150);
  });
  EXPECT_EQ(this->statusOf(Waiting), 503);
  EXPECT_EQ(Waiting->Answer->Body, "timeout");
  EXPECT_LT(std::chrono::steady_clock::now() - ChangedAt, milliseconds(500));
}
