#include "fakes.h"

using namespace kingcuphub;
using namespace kingcuphub::gateway;

namespace {

class AtMostOnceTest : public GatewayTest {
protected:
  /// Has the agent answer claims with \p Outcome.
  void answerClaims(wire::ClaimOutcome Outcome) {
    this->Agent->Verdict->set_outcome(Outcome);
  }

  void expectRefusal(const Got &Refused, int Status, const std::string &Code,
                     const std::string &Known) {
    EXPECT_EQ(Refused.Answer.Status, Status) << Refused.Answer.Body;
    EXPECT_EQ(Refused.errorCode(), Code);
    EXPECT_EQ(Refused.header("X-Kingcuphub-Outcome"), Known);
  }
};

} // namespace

TEST_F(AtMostOnceTest, WithoutAKeyTheRemedyIsNamed) {
  this->startGateway();
  Got Refused = this->call(this->service("/dispatch/1"));
  this->expectRefusal(Refused, 400, "idempotency_key_required", "not-run");
  EXPECT_TRUE(this->Service->Calls.empty());
  EXPECT_TRUE(this->Agent->Claims.empty());
}

TEST_F(AtMostOnceTest, AGrantedClaimIsSentOnceAndItsResultRecorded) {
  this->startGateway();
  Got Whole = this->call(this->service("/dispatch/1", "order-1"));
  EXPECT_EQ(Whole.Answer.Status, 200);
  ASSERT_EQ(this->Service->Calls.size(), 1U);
  EXPECT_EQ(this->Service->Calls[0].header("Idempotency-Key"), "order-1");
  ASSERT_TRUE(this->runUntil([this] { return !this->Agent->Results.empty(); }));
  const wire::ClaimResult &Result = this->Agent->Results[0];
  EXPECT_EQ(Result.account(), "acme");
  EXPECT_EQ(Result.idempotency_key(), "order-1");
  EXPECT_EQ(Result.request(), this->Agent->Claims[0].claim().request());
  EXPECT_EQ(Result.status(), 200U);
  EXPECT_EQ(Result.body(), Whole.Answer.Body);
  EXPECT_EQ(Result.outcome(), "");
}

TEST_F(AtMostOnceTest, NothingIsSentUnlessGranted) {
  this->startGateway();
  struct Case {
    wire::ClaimOutcome Outcome;
    int Status;
    const char *Code;
    const char *Known;
  };
  for (const Case &Each :
       {Case{wire::CLAIM_OUTCOME_RUNNING, 409, "request_in_progress",
             "unknown"},
        Case{wire::CLAIM_OUTCOME_MISMATCH, 409, "idempotency_key_reused",
             "not-run"},
        Case{wire::CLAIM_OUTCOME_UNAVAILABLE, 503, "claim_unavailable",
             "not-run"},
        Case{wire::CLAIM_OUTCOME_UNKNOWN, 504, "claim_unknown", "unknown"},
        Case{wire::CLAIM_OUTCOME_UNSPECIFIED, 504, "claim_unknown",
             "unknown"}}) {
    this->answerClaims(Each.Outcome);
    Got Refused = this->call(this->service("/dispatch/1", "order-1"));
    this->expectRefusal(Refused, Each.Status, Each.Code, Each.Known);
  }
  EXPECT_TRUE(this->Service->Calls.empty());
  EXPECT_TRUE(this->Agent->Results.empty());
}

TEST_F(AtMostOnceTest, AStoredAnswerIsGivenAgain) {
  this->answerClaims(wire::CLAIM_OUTCOME_STORED);
  wire::ClaimResult &Stored = *this->Agent->Verdict->mutable_stored();
  Stored.set_status(502);
  Stored.set_content_type("application/json");
  Stored.set_body(R"({"stored":1})");
  Stored.set_outcome("unknown");
  this->startGateway();
  Got Again = this->call(this->service("/dispatch/1", "order-1"));
  EXPECT_EQ(Again.Answer.Status, 502);
  EXPECT_EQ(Again.Answer.Body, R"({"stored":1})");
  EXPECT_EQ(Again.header("X-Kingcuphub-Outcome"), "unknown");
  EXPECT_TRUE(this->Service->Calls.empty());
}

TEST_F(AtMostOnceTest, ALostAnswerIsUnknownAndNeverRepeated) {
  this->Service->LoseAnswers = 100;
  this->startGateway();
  Got Lost = this->call(this->service("/dispatch/1", "order-1"));
  this->expectRefusal(Lost, 502, "answer_cut", "unknown");
  EXPECT_EQ(this->Service->Calls.size(), 1U);
  ASSERT_TRUE(this->runUntil([this] { return !this->Agent->Results.empty(); }));
  EXPECT_EQ(this->Agent->Results[0].outcome(), "unknown");
}

TEST_F(AtMostOnceTest,
       AnAnswerWithoutStatedEndIsNeitherStatedNorStoredAsWhole) {
  this->Service->Unframed = true;
  this->startGateway();
  Got Whole = this->call(this->service("/dispatch/1", "order-1"));
  EXPECT_EQ(Whole.Answer.Status, 200);
  EXPECT_EQ(Whole.json()["executions"], 1);
  EXPECT_EQ(Whole.Answer.EndedBy, http::BodyEnd::Connection);
  ASSERT_TRUE(this->runUntil([this] { return !this->Agent->Results.empty(); }));
  EXPECT_EQ(this->Agent->Results[0].outcome(), "unknown");
}

TEST_F(AtMostOnceTest, AnAnswerWithANameThatIsNoTokenIsNotPassedOn) {
  this->startGateway();
  int Call = 0;
  for (const char *Name : {"Content-Length ", "X-Case Mark", "X-Case-Mark\t"}) {
    this->Service->MoreHeaders = {{Name, "2"}};
    Got Broken =
        this->call(this->service("/dispatch/1", std::to_string(++Call)));
    this->expectRefusal(Broken, 502, "answer_cut", "unknown");
  }
}

TEST_F(AtMostOnceTest, AKeptConnectionThatClosesDoesNotRepeatTheCall) {
  this->startGateway();
  // The first call leaves a kept connection behind.
  this->call(this->service("/lookups/1"));
  this->call(this->service("/dispatch/1", "order-1"));
  this->Service->Calls.clear();
  this->Service->LoseAnswers = 100;
  Got Lost = this->call(this->service("/dispatch/2", "order-2"));
  this->expectRefusal(Lost, 502, "answer_cut", "unknown");
  EXPECT_EQ(this->Service->Calls.size(), 1U);
}

TEST_F(AtMostOnceTest, ASilentTargetIsUnknownAtTheDeadline) {
  this->Service->Silent = true;
  this->Agent->change([](wire::Record &Record) {
    wire::RoutePut &Route = *Record.mutable_route_put();
    Route.set_route("dispatch");
    Route.set_path_prefix("/dispatch/");
    Route.add_services("s1");
    Route.set_priority(1);
    Route.set_deadline_ms(300);
    Route.set_cost_tokens(1);
  });
  this->startGateway();
  Got Late = this->call(this->service("/dispatch/1", "order-1"));
  this->expectRefusal(Late, 504, "deadline_passed", "unknown");
  EXPECT_EQ(this->Service->Calls.size(), 1U);
}

TEST_F(AtMostOnceTest, AnAgentThatDoesNotAnswerIsUnknownAndNothingIsSentLate) {
  this->Agent->Verdict.reset();
  this->Agent->change([](wire::Record &Record) {
    wire::RoutePut &Route = *Record.mutable_route_put();
    Route.set_route("dispatch");
    Route.set_path_prefix("/dispatch/");
    Route.add_services("s1");
    Route.set_priority(1);
    Route.set_deadline_ms(300);
    Route.set_cost_tokens(1);
  });
  this->startGateway();
  Got Late = this->call(this->service("/dispatch/1", "order-1"));
  this->expectRefusal(Late, 504, "claim_unknown", "unknown");
  EXPECT_TRUE(this->Service->Calls.empty());
}

TEST_F(AtMostOnceTest, ATargetThatIsGoneSaysNotRunAndSpendsTheKey) {
  this->startGateway();
  this->Service->stop();
  Got Refused = this->call(this->service("/dispatch/1", "order-1"));
  this->expectRefusal(Refused, 503, "targets_unreachable", "not-run");
  ASSERT_TRUE(this->runUntil([this] { return !this->Agent->Results.empty(); }));
  EXPECT_EQ(this->Agent->Results[0].outcome(), "not-run");
}

TEST_F(AtMostOnceTest, ACallerThatGoesDoesNotUndoTheCall) {
  this->Agent->Verdict.reset();
  this->startGateway();
  http::TransferId Id =
      this->Client->start(this->service("/dispatch/1", "order-1"), {});
  ASSERT_TRUE(this->runUntil([this] { return !this->Agent->Claims.empty(); }));
  this->Client->cancel(Id);
  this->runFor(std::chrono::milliseconds(50));
  this->Agent->Verdict = wire::ClaimVerdict();
  this->answerClaims(wire::CLAIM_OUTCOME_GRANTED);
  this->Agent->answerLastClaim();
  ASSERT_TRUE(this->runUntil([this] { return !this->Agent->Results.empty(); }));
  EXPECT_EQ(this->Service->Calls.size(), 1U);
  EXPECT_EQ(this->Agent->Results[0].status(), 200U);
}

TEST_F(AtMostOnceTest, IdempotentCallsAreRepeatedElsewhere) {
  auto Second = std::make_unique<FakeService>(this->Loop);
  this->putTarget("s2", Second->address(), wire::TARGET_KIND_SERVICE);
  this->Agent->change([](wire::Record &Record) {
    wire::RoutePut &Route = *Record.mutable_route_put();
    Route.set_route("lookups");
    Route.set_path_prefix("/lookups/");
    Route.add_services("s1");
    Route.add_services("s2");
    Route.set_idempotent(true);
    Route.set_priority(1);
    Route.set_deadline_ms(5000);
    Route.set_cost_tokens(1);
  });
  this->Service->LoseAnswers = 100;
  this->startGateway();
  for (int Index = 0; Index < 3; ++Index)
    EXPECT_EQ(this->call(this->service("/lookups/1")).Answer.Status, 200);
}
