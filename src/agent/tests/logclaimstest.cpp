#include "agent/internal/logclaims.h"

#include "logservice/tests/fakelog.h"
#include "runloop.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::agent;
using std::chrono::milliseconds;

namespace {

wire::Claim claimOf(const std::string &Key, const std::string &Request,
                    const std::string &Hash = "hash") {
  wire::Claim Out;
  Out.set_account("acme");
  Out.set_idempotency_key(Key);
  Out.set_request(Request);
  Out.set_request_hash(Hash);
  return Out;
}

class LogClaimsTest : public testing::Test {
protected:
  LogClaimsTest() {
    this->Self.Instance = {"tcp://127.0.0.1:1"};
    this->Other.Instance = {"tcp://127.0.0.1:2"};
    this->Here.start();
    this->There.start();
  }

  wire::ClaimVerdict claim(LogClaims &At, const wire::Claim &Claim,
                           milliseconds Wait = milliseconds(3000)) {
    std::optional<wire::ClaimVerdict> Got;
    At.claim(Claim, Wait,
             [&Got](const wire::ClaimVerdict &Verdict) { Got = Verdict; });
    EXPECT_TRUE(runUntil(this->Loop, [&Got] { return Got.has_value(); }));
    return Got.value_or(wire::ClaimVerdict());
  }

  asio::io_context Loop;
  base::SystemClock Clock;
  logservice::FakeLog Log{Loop};
  Identity Self;
  Identity Other;
  LogClaims Here{Loop, Clock, Log, Self};
  LogClaims There{Loop, Clock, Log, Other};
};

} // namespace

TEST_F(LogClaimsTest, TheFirstClaimInLogOrderIsGrantedAndNoOther) {
  std::vector<wire::ClaimVerdict> Got;
  auto Keep = [&Got](const wire::ClaimVerdict &Each) { Got.push_back(Each); };
  this->Here.claim(claimOf("k", "r1"), milliseconds(3000), Keep);
  this->There.claim(claimOf("k", "r2"), milliseconds(200), Keep);
  ASSERT_TRUE(runUntil(this->Loop, [&Got] { return Got.size() == 2; }));
  int Granted = 0;
  for (const wire::ClaimVerdict &Each : Got)
    Granted += Each.outcome() == wire::CLAIM_OUTCOME_GRANTED ? 1 : 0;
  EXPECT_EQ(Granted, 1);
  EXPECT_EQ(
      this->claim(this->There, claimOf("k", "r3"), milliseconds(100)).outcome(),
      wire::CLAIM_OUTCOME_RUNNING);
  EXPECT_EQ(this->claim(this->There, claimOf("k", "r4", "else")).outcome(),
            wire::CLAIM_OUTCOME_MISMATCH);
}

TEST_F(LogClaimsTest, AStoredResultAnswersLaterCallersEverywhere) {
  this->claim(this->Here, claimOf("k", "r1"));
  wire::ClaimResult Result;
  Result.set_account("acme");
  Result.set_idempotency_key("k");
  Result.set_request("r1");
  Result.set_status(201);
  Result.set_body("serial 7");
  this->Here.store(Result);
  wire::ClaimVerdict Verdict = this->claim(this->There, claimOf("k", "again"));
  EXPECT_EQ(Verdict.outcome(), wire::CLAIM_OUTCOME_STORED);
  EXPECT_EQ(Verdict.stored().body(), "serial 7");
  EXPECT_EQ(Verdict.stored().status(), 201U);
}

TEST_F(LogClaimsTest, ADuplicateThatWaitsIsAnsweredOnceTheResultIsRead) {
  std::vector<wire::ClaimVerdict> Got;
  auto Keep = [&Got](const wire::ClaimVerdict &Each) { Got.push_back(Each); };
  for (const char *Request : {"r1", "r2"})
    this->Here.claim(claimOf("k", Request), std::chrono::minutes(10), Keep);
  for (const char *Request : {"r3", "r4"})
    this->There.claim(claimOf("k", Request), std::chrono::minutes(10), Keep);
  ASSERT_TRUE(runUntil(this->Loop, [&Got] { return Got.size() == 1; }));
  ASSERT_EQ(Got[0].outcome(), wire::CLAIM_OUTCOME_GRANTED);
  wire::ClaimResult Result;
  Result.set_account("acme");
  Result.set_idempotency_key("k");
  Result.set_request(Got[0].request());
  Result.set_status(201);
  this->Here.store(Result);
  ASSERT_TRUE(runUntil(this->Loop, [&Got] { return Got.size() == 4; }));
  for (std::size_t Index = 1; Index < Got.size(); ++Index)
    EXPECT_EQ(Got[Index].outcome(), wire::CLAIM_OUTCOME_STORED);
}

TEST_F(LogClaimsTest, ALostAppendAnswerIsResolvedByReading) {
  this->Log.LoseAppendAnswers = 1;
  EXPECT_EQ(this->claim(this->Here, claimOf("k", "r1")).outcome(),
            wire::CLAIM_OUTCOME_GRANTED);
  EXPECT_EQ(this->Log.Streams["claims"].size(), 1U);
}

TEST_F(LogClaimsTest, AnOutageIsUnavailableAndAnUnknownFateUnknown) {
  this->Log.Out = true;
  EXPECT_EQ(this->claim(this->Here, claimOf("k", "r1")).outcome(),
            wire::CLAIM_OUTCOME_UNAVAILABLE);
  this->Log.Out = false;
  this->Log.DropAppends = 1000;
  EXPECT_EQ(
      this->claim(this->Here, claimOf("k", "r2"), milliseconds(200)).outcome(),
      wire::CLAIM_OUTCOME_UNKNOWN);
}

TEST_F(LogClaimsTest, ARequestIsNeverGrantedTwice) {
  EXPECT_EQ(this->claim(this->Here, claimOf("k", "r1")).outcome(),
            wire::CLAIM_OUTCOME_GRANTED);
  EXPECT_EQ(this->claim(this->Here, claimOf("k", "r1")).outcome(),
            wire::CLAIM_OUTCOME_UNKNOWN);
  std::vector<wire::ClaimVerdict> Got;
  auto Keep = [&Got](const wire::ClaimVerdict &Each) { Got.push_back(Each); };
  for (LogClaims *Each : {&this->Here, &this->Here, &this->There})
    Each->claim(claimOf("other", "r2"), milliseconds(3000), Keep);
  ASSERT_TRUE(runUntil(this->Loop, [&Got] { return Got.size() == 3; }));
  int Granted = 0;
  for (const wire::ClaimVerdict &Each : Got)
    Granted += Each.outcome() == wire::CLAIM_OUTCOME_GRANTED ? 1 : 0;
  EXPECT_EQ(Granted, 1);
}

TEST_F(LogClaimsTest, ManyClaimsShareFewAppends) {
  constexpr std::size_t Claims = 500;
  std::size_t Granted = 0;
  for (std::size_t Index = 0; Index < Claims; ++Index) {
    std::string Name = std::to_string(Index);
    this->Here.claim(claimOf(Name, Name), milliseconds(10000),
                     [&Granted](const wire::ClaimVerdict &Each) {
                       Granted += Each.outcome() == wire::CLAIM_OUTCOME_GRANTED;
                     });
  }
  ASSERT_TRUE(runUntil(this->Loop, [&Granted] { return Granted == Claims; }));
  EXPECT_EQ(this->Log.Appends, 1U);
}
