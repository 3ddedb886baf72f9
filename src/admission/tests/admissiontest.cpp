#include "admission/authorizer.h"
#include "admission/creditbook.h"
#include "admission/fairqueue.h"
#include "admission/ratelimitqueue.h"
#include "base/hashing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};

state::Config configWithKey(const std::string &Secret) {
  state::Config Out;
  Out.Accounts[{"acme"}] = {{"acme"}, {100}, {1000}, 2};
  Out.Keys[{"k1"}] = {{"k1"}, {"acme"}, base::secureHash(Secret)};
  return Out;
}

QueueEntry entry(int Number, const std::string &Account, std::int64_t Cost,
                 const std::string &Pool = "m", unsigned Priority = 1) {
  return {{std::to_string(Number)}, {Account}, 1, Priority, {Cost}, Pool,
          Start + seconds(100)};
}

bool always(const QueueEntry &) { return true; }

const state::Account Acme{{"acme"}, {100}, {1000}, 1};

} // namespace

TEST(AuthorizerTest, KeyDeterminesAccount) {
  auto Caller = authorize(configWithKey("s3cret"), nullptr, "Bearer s3cret");
  ASSERT_TRUE(Caller);
  EXPECT_EQ(Caller->Account->Value, "acme");
  EXPECT_EQ(Caller->Weight, 2);
}

TEST(AuthorizerTest, RefusesRequestWithoutKnownKey) {
  state::Config Config = configWithKey("s3cret");
  EXPECT_EQ(authorize(Config, nullptr, "").error().Code,
            AdmissionErrc::KeyMissing);
  EXPECT_EQ(authorize(Config, nullptr, "Basic s3cret").error().Code,
            AdmissionErrc::KeyMissing);
  EXPECT_EQ(authorize(Config, nullptr, "Bearer other").error().Code,
            AdmissionErrc::KeyUnknown);
  Config.Keys.clear();
  EXPECT_EQ(authorize(Config, nullptr, "Bearer s3cret").error().Code,
            AdmissionErrc::KeyUnknown);
}

TEST(AuthorizerTest, PublicRouteNeedsNoKey) {
  state::Route Open;
  Open.OpenToAll = true;
  EXPECT_TRUE(authorize({}, &Open, ""));
}

TEST(FairQueueTest, HeavyAccountDoesNotDelayLightOne) {
  FairQueue Queue;
  for (int Number = 0; Number < 100; ++Number)
    Queue.push(entry(Number, "heavy", 10));
  Queue.push(entry(1000, "light", 10));
  Queue.pop(always);
  EXPECT_EQ(Queue.pop(always)->Account.Value, "light");
}

TEST(FairQueueTest, HigherPriorityClassIsServedFirst) {
  FairQueue Queue;
  Queue.push(entry(1, "a", 1, "m", 5));
  Queue.push(entry(2, "b", 1, "m", 0));
  EXPECT_EQ(Queue.pop(always)->Request.Value, "2");
}

TEST(FairQueueTest, FullPoolDoesNotBlockAnother) {
  FairQueue Queue;
  Queue.push(entry(1, "a", 1, "full"));
  Queue.push(entry(2, "a", 1, "free"));
  auto Free = [](const QueueEntry &Each) { return Each.Pool == "free"; };
  EXPECT_EQ(Queue.pop(Free)->Request.Value, "2");
  EXPECT_FALSE(Queue.pop(Free));
  EXPECT_EQ(Queue.size(), 1U);
}

TEST(FairQueueTest, ExpiredOrRemovedEntryIsNeverPopped) {
  FairQueue Queue;
  Queue.push(entry(1, "a", 1));
  Queue.push(entry(2, "a", 1));
  EXPECT_TRUE(Queue.remove({"1"}));
  EXPECT_FALSE(Queue.remove({"1"}));
  auto Late = Queue.expire(Start + seconds(100));
  ASSERT_EQ(Late.size(), 1U);
  EXPECT_EQ(Late[0].Request.Value, "2");
  EXPECT_FALSE(Queue.pop(always));
  EXPECT_TRUE(Queue.empty());
}

// Two accounts that always have waiting requests are served in proportion to
// their weights, whatever the costs are.
RC_GTEST_PROP(FairQueueTest, BackloggedAccountsShareByWeight, ()) {
  auto Costs =
      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 50));
  double HeavyWeight = *rc::gen::inRange(1, 5);
  FairQueue Queue;
  int Number = 0;
  for (int Cost : Costs)
    for (const char *Account : {"a", "b"}) {
      QueueEntry New = entry(Number++, Account, Cost);
      New.Weight = Account[0] == 'a' ? HeavyWeight : 1;
      Queue.push(New);
    }
  std::map<std::string, double> Served;
  for (int Round = 0; Round < 100; ++Round) {
    QueueEntry Next = *Queue.pop(always);
    Served[Next.Account.Value] +=
        static_cast<double>(Next.Cost.Value) / Next.Weight;
  }
  RC_ASSERT(std::abs(Served["a"] - Served["b"]) <= 100);
}

// No sequence of pushes, pops and removals loses or repeats an entry, and the
// entries of one account and pool leave in order of arrival.
RC_GTEST_PROP(FairQueueTest, EveryEntryLeavesOnceAndInOrder, ()) {
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  FairQueue Queue;
  std::map<std::string, int> LastOfFlow;
  std::set<std::string> Left;
  int Number = 0;
  auto Leave = [&](const QueueEntry &Entry) {
    RC_ASSERT(Left.insert(Entry.Request.Value).second);
  };
  for (int Step : Steps) {
    if (Step < 4) {
      Queue.push(entry(Number++, Step % 2 == 0 ? "a" : "b", 1 + Step,
                       Step < 2 ? "x" : "y"));
      continue;
    }
    if (Step == 5 && Number > 0) {
      std::string Id = std::to_string(Number - 1);
      bool Waited = Left.count(Id) == 0;
      RC_ASSERT(Queue.remove({Id}) == Waited);
      Left.insert(Id);
      continue;
    }
    auto Next = Queue.pop(always);
    if (!Next)
      continue;
    Leave(*Next);
    int &Last = LastOfFlow[Next->Account.Value + Next->Pool];
    int Current = std::stoi(Next->Request.Value) + 1;
    RC_ASSERT(Current > Last);
    Last = Current;
  }
  while (auto Next = Queue.pop(always))
    Leave(*Next);
  RC_ASSERT(static_cast<int>(Left.size()) == Number);
}

TEST(CreditBookTest, RefusesToSpendMoreThanCredited) {
  CreditBook Book({});
  base::QuantityId Tokens = accountTokens({"acme"});
  EXPECT_FALSE(Book.take(Tokens, 1, Start));
  Book.credited(Tokens, 10, 0, milliseconds(0), Start);
  EXPECT_TRUE(Book.take(Tokens, 10, Start));
  EXPECT_FALSE(Book.take(Tokens, 1, Start));
}

TEST(CreditBookTest, RepeatsUnansweredRequestForCredit) {
  CreditBook Book({});
  base::QuantityId Tokens = accountTokens({"acme"});
  Book.setWanted(Tokens, 50);
  ASSERT_EQ(Book.tick(Start).size(), 1U);
  EXPECT_TRUE(Book.tick(Start + milliseconds(50)).empty());
  EXPECT_EQ(Book.tick(Start + milliseconds(150)).size(), 1U);
}

TEST(CreditBookTest, ReturnsUnusedCreditOnce) {
  CreditBook Book({});
  base::QuantityId Tokens = accountTokens({"acme"});
  Book.credited(Tokens, 10, 0, milliseconds(0), Start);
  Book.take(Tokens, 4, Start);
  auto Later = Book.tick(Start + seconds(5));
  ASSERT_EQ(Later.size(), 1U);
  EXPECT_EQ(std::get<ReturnCredit>(Later[0]).Amount, 6);
  EXPECT_TRUE(Book.tick(Start + seconds(10)).empty());
}

TEST(RateLimitQueueTest, AdmitsRequestOnceItsTokensArrive) {
  CreditBook Book({});
  RateLimitQueue Queue(Book);
  Queue.add(Acme, {{"r"}, {"acme"}, {50}, Start + seconds(1)}, Start);
  EXPECT_TRUE(Queue.tick(Start).empty());
  Book.credited(accountTokens({"acme"}), 50, 0, milliseconds(0), Start);
  auto Out = Queue.tick(Start);
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<TokensTaken>(Out[0]));
}

TEST(RateLimitQueueTest, RefusesRequestThatCannotStartInTime) {
  CreditBook Book({});
  RateLimitQueue Queue(Book);
  Queue.add(Acme, {{"r"}, {"acme"}, {500}, Start + seconds(1)}, Start);
  EXPECT_TRUE(Queue.tick(Start).empty());
  auto Asked = std::get<AskCredit>(Book.tick(Start).at(0));
  EXPECT_EQ(Asked.Amount, 500);
  Book.credited(Asked.Quantity, 0, Asked.Request, milliseconds(3000), Start);
  auto Out = Queue.tick(Start);
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_EQ(std::get<TokensRefused>(Out[0]).RetryAfter, milliseconds(5000));
}

TEST(RateLimitQueueTest, RequestsCreditForSmallCallAfterLargeStreamWasRefused) {
  CreditBook Book({});
  RateLimitQueue Queue(Book);
  Queue.add(Acme, {{"stream"}, {"acme"}, {900}, Start + seconds(1)}, Start);
  EXPECT_TRUE(Queue.tick(Start).empty());
  auto Asked = std::get<AskCredit>(Book.tick(Start).at(0));
  Book.credited(Asked.Quantity, 0, Asked.Request, milliseconds(9000), Start);
  ASSERT_EQ(Queue.tick(Start).size(), 1U);
  Queue.add(Acme, {{"call"}, {"acme"}, {4}, Start + seconds(1)}, Start);
  EXPECT_TRUE(Queue.tick(Start).empty());
  auto Again = std::get<AskCredit>(Book.tick(Start).at(0));
  EXPECT_EQ(Again.Amount, 4);
  Book.credited(Again.Quantity, 0, Again.Request, milliseconds(3000), Start);
  EXPECT_EQ(Queue.tick(Start).size(), 1U);
  Queue.add(Acme, {{"next"}, {"acme"}, {4}, Start + seconds(1)}, Start);
  EXPECT_EQ(Queue.tick(Start).size(), 1U);
}

TEST(RateLimitQueueTest, HoldsReserveWhileAccountIsInUse) {
  CreditBook Book({});
  RateLimitQueue Queue(Book);
  const state::Account Large{{"acme"}, {100}, {100000}, 1};
  Queue.add(Large, {{"r"}, {"acme"}, {50}, Start + seconds(1)}, Start);
  Queue.tick(Start);
  auto Asked = std::get<AskCredit>(Book.tick(Start).at(0));
  EXPECT_EQ(Asked.Amount, 150);
  Book.credited(Asked.Quantity, 150, Asked.Request, milliseconds(0), Start);
  EXPECT_EQ(Queue.tick(Start).size(), 1U);
  Book.tick(Start + seconds(1));
  EXPECT_EQ(Book.held(Asked.Quantity), 100);
  auto Later = Book.tick(Start + seconds(5));
  EXPECT_EQ(std::get<ReturnCredit>(Later.at(0)).Amount, 100);
}

TEST(RateLimitQueueTest, RefusesRequestAboveBurst) {
  CreditBook Book({});
  RateLimitQueue Queue(Book);
  Queue.add(Acme, {{"r"}, {"acme"}, {1001}, Start + seconds(100)}, Start);
  EXPECT_TRUE(std::holds_alternative<TokensRefused>(Queue.tick(Start).at(0)));
}
