#include "forwarderfixture.h"

#include "base/hashing.h"
#include "forwarding/eventframer.h"
#include "forwarding/eventscanner.h"

#include <asio/steady_timer.hpp>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::forwarding;
using std::chrono::milliseconds;

TEST_F(ForwarderTest,
       WithoutCatalogAndTargetsRequestsAreRefusedWithARetryTime) {
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 503);
  EXPECT_NE(http::findHeader(this->Response->Headers, "Retry-After-Ms"), "");
}

TEST_F(ForwarderTest, ARequestIsForwardedUnchanged) {
  this->configure(catalog::Repetition::Never);
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 200);
  EXPECT_EQ(this->Response->Body, "ok");
  const http::Request &Seen = this->Targets[0].Received.empty()
                                  ? this->Targets[1].Received.at(0)
                                  : this->Targets[0].Received.at(0);
  EXPECT_EQ(Seen.Method, "POST");
  EXPECT_EQ(Seen.Target, "/x");
  EXPECT_EQ(Seen.Body, "body");
}

TEST_F(ForwarderTest, ANonIdempotentRequestIsNotRetriedAfterACut) {
  this->configure(catalog::Repetition::Never);
  this->bothAct(hangUp);
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 502);
  EXPECT_EQ(this->arrivals(), 1U);
}

TEST_F(ForwarderTest, ANonIdempotentRequestIsRetriedIfItCertainlyDidNotRun) {
  this->configure(catalog::Repetition::Never);
  this->Targets[0].Behaviour = refuseUnrun(503);
  this->Targets[1].Behaviour = refuseUnrun(503);
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 503);
  EXPECT_GE(this->arrivals(), 2U);
  this->bothAct(respondWith(200));
  this->Loop.run_for(milliseconds(150));
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 200);
}

TEST_F(ForwarderTest,
       AnIdempotentRequestIsRetriedAtAnotherTargetAfterAFailure) {
  this->configure(catalog::Repetition::Idempotent);
  this->Targets[0].Behaviour = respondWith(500, "failed");
  this->Targets[1].Behaviour = hangUp;
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->arrivals(), 2U);
  EXPECT_NE(this->Response->Status, 200);
  this->bothAct(respondWith(200));
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 200);
}

TEST_F(ForwarderTest, AnAnswerToAnotherRequestIsNotDelivered) {
  this->configure(catalog::Repetition::Never);
  this->bothAct([](const http::Request &, const http::ResponseWriterPtr &To) {
    To->respond({200, {{"Id", "other"}, {"Proof", "p"}}, "foreign"});
  });
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 502);
}

TEST_F(ForwarderTest, ASuccessWithoutTheTargetsProofIsNotDelivered) {
  this->configure(catalog::Repetition::Never);
  this->bothAct(
      [](const http::Request &Asked, const http::ResponseWriterPtr &To) {
        To->respond({200, {{"Id", std::string(Asked.header("Id"))}}, "bare"});
      });
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 502);
}

TEST_F(ForwarderTest, AResumableStreamContinuesAfterItsLastCompleteEvent) {
  this->configure(catalog::Repetition::Resumable, true);
  auto Behaviour = [this](const http::Request &Asked,
                          const http::ResponseWriterPtr &Answer) {
    bool First = this->arrivals() == 1;
    events(First ? 1 : 3, First ? 2 : 4, First)(Asked, Answer);
  };
  this->bothAct(Behaviour);
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->End, http::TransferEnd::Complete);
  EXPECT_EQ(this->Response->Body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
                                  "id: 3\ndata: x\n\nid: 4\ndata: x\n\n");
  ASSERT_EQ(this->arrivals(), 2U);
  const FakeTarget &Second =
      this->Targets[0].Received.empty() ||
              this->Targets[0].Received[0].header("After").empty()
          ? this->Targets[1]
          : this->Targets[0];
  EXPECT_EQ(Second.Received[0].header("After"), "2");
}

TEST_F(ForwarderTest, AStreamThatMayNotBeResumedIsVisiblyCut) {
  this->configure(catalog::Repetition::Never, true);
  this->bothAct(events(1, 2, true));
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->End, http::TransferEnd::Cut);
  EXPECT_EQ(this->arrivals(), 1U);
}

TEST_F(ForwarderTest, ATargetThatSaysItLeavesGetsNoFurtherRequest) {
  this->configure(catalog::Repetition::Idempotent);
  this->bothAct(
      [](const http::Request &Asked, const http::ResponseWriterPtr &Answer) {
        Answer->respond({200,
                         {{"Id", std::string(Asked.header("Id"))},
                          {"Proof", "p"},
                          {"Leaving", "1"}},
                         "ok"});
      });
  for (int Each = 0; Each < 2; ++Each) {
    this->sendRequest();
    this->waitForResponse();
    EXPECT_EQ(this->Response->Status, 200);
  }
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 503);
  EXPECT_EQ(this->Targets[0].Received.size(), 1U);
  EXPECT_EQ(this->Targets[1].Received.size(), 1U);
}

/// Both targets refuse and ask for no requests for a time. They get none before
/// that, and callers are told when to retry.
TEST_F(ForwarderTest, ATargetThatWantsNoRequestsGetsNoneAndCallersAreTold) {
  this->configure(catalog::Repetition::Idempotent);
  this->bothAct(
      [](const http::Request &Asked, const http::ResponseWriterPtr &Answer) {
        Answer->respond({503,
                         {{"Id", std::string(Asked.header("Id"))},
                          {"Not-Run", "1"},
                          {"Wait-Ms", "30000"}},
                         ""});
      });
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 503);
  std::size_t Arrived = this->arrivals();
  EXPECT_EQ(Arrived, 2U);
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 503);
  EXPECT_EQ(this->arrivals(), Arrived);
  std::string RetryAfterMs(
      http::findHeader(this->Response->Headers, "Retry-After-Ms"));
  ASSERT_NE(RetryAfterMs, "");
  EXPECT_GT(std::stoi(RetryAfterMs), 20000);
}

namespace {

/// Keeps writing while the connection is open.
void writeOn(const http::ResponseWriterPtr &Answer, const std::string &Bytes) {
  if (!Answer->isOpen())
    return;
  Answer->write(Bytes);
  Answer->onSent([Answer, Bytes] { writeOn(Answer, Bytes); });
}

} // namespace

/// A stream continues with endless bytes that never complete an event.
TEST_F(ForwarderTest, AnEventWithoutEndIsCutAndTheStreamTakenUpElsewhere) {
  this->configure(catalog::Repetition::Resumable, true);
  auto Endless = [](const http::Request &Asked,
                    const http::ResponseWriterPtr &Answer) {
    Answer->beginStream(
        200, {{"Id", std::string(Asked.header("Id"))}, {"Proof", "p"}});
    Answer->write("id: 1\ndata: x\n\n");
    writeOn(Answer, std::string(1U << 14U, 'z'));
  };
  auto Rest = events(2, 3, false);
  this->bothAct([this, Endless, Rest](const http::Request &Asked,
                                      const http::ResponseWriterPtr &Answer) {
    if (this->arrivals() == 1)
      Endless(Asked, Answer);
    else
      Rest(Asked, Answer);
  });
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->End, http::TransferEnd::Complete);
  EXPECT_EQ(this->Response->Body,
            "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
}

/// A refusal with an endless body still counts as a refusal.
TEST_F(ForwarderTest, ARefusalWithoutEndIsCut) {
  this->configure(catalog::Repetition::Never);
  this->bothAct([this](const http::Request &Asked,
                       const http::ResponseWriterPtr &Answer) {
    if (this->arrivals() > 1)
      return respondWith(200)(Asked, Answer);
    Answer->beginStream(
        503, {{"Id", std::string(Asked.header("Id"))}, {"Not-Run", "1"}});
    writeOn(Answer, std::string(1U << 14U, 'z'));
  });
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 200);
  EXPECT_EQ(this->arrivals(), 2U);
}

TEST_F(ForwarderTest, AtTheRoutesTimeoutTheCallerIsToldAndTheRunCancelled) {
  this->RouteTimeout = milliseconds(400);
  this->configure(catalog::Repetition::Never);
  bool Gone = false;
  std::vector<http::ResponseWriterPtr> Kept;
  this->bothAct([&](const http::Request &, const http::ResponseWriterPtr &To) {
    Kept.push_back(To);
    To->onClosed([&Gone] { Gone = true; });
  });
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 504);
  this->Loop.run_for(milliseconds(100));
  EXPECT_TRUE(Gone);
}

/// A stream of a silent target is not cut while no other target can resume it;
/// it continues once the target does.
TEST_F(ForwarderTest, ASilentStreamIsKeptWhileNoOtherTargetIsThere) {
  this->configure(catalog::Repetition::Resumable, true);
  http::ResponseWriterPtr Kept;
  this->Targets[0].Behaviour = [&](const http::Request &Asked,
                                   const http::ResponseWriterPtr &To) {
    Kept = To;
    To->beginStream(200,
                    {{"Id", std::string(Asked.header("Id"))}, {"Proof", "p"}});
    To->write("id: 1\ndata: x\n\n");
  };
  this->Targets[1].Behaviour = this->Targets[0].Behaviour;
  this->onlyOneTarget();
  this->sendRequest();
  this->Loop.run_for(milliseconds(1100));
  ASSERT_TRUE(Kept);
  EXPECT_FALSE(this->Response);
  Kept->write("id: 2\ndata: x\n\n");
  Kept->finish();
  this->waitForResponse();
  EXPECT_EQ(this->End, http::TransferEnd::Complete);
  EXPECT_EQ(this->arrivals(), 1U);
}

namespace {

class UsedUpBudgetTest : public ForwarderTest {
protected:
  UsedUpBudgetTest() { this->ExtraRetries = 0; }
};

} // namespace

// Guards against giving up a stream that pauses, on a slow target that works,
// before it is known whether the retry budget grants another attempt: the
// caller's answer was cut although its target went on.
TEST_F(UsedUpBudgetTest, ASilentStreamIsKeptWhenTheBudgetRefusesARetry) {
  this->configure(catalog::Repetition::Resumable, true);
  http::ResponseWriterPtr Kept;
  this->bothAct([&](const http::Request &Asked,
                    const http::ResponseWriterPtr &To) {
    Kept = To;
    To->beginStream(200,
                    {{"Id", std::string(Asked.header("Id"))}, {"Proof", "p"}});
    To->write("id: 1\ndata: x\n\n");
  });
  this->sendRequest();
  this->Loop.run_for(milliseconds(1500));
  ASSERT_TRUE(Kept);
  EXPECT_FALSE(this->Response);
  Kept->write("id: 2\ndata: x\n\n");
  Kept->finish();
  this->waitForResponse();
  EXPECT_EQ(this->End, http::TransferEnd::Complete);
  EXPECT_EQ(this->Response->Body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
  EXPECT_EQ(this->arrivals(), 1U);
}

TEST_F(ForwarderTest, AStoppingInstanceRefusesNewRequests) {
  this->configure(catalog::Repetition::Never);
  this->Traffic->refuseNew();
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 503);
  EXPECT_EQ(this->arrivals(), 0U);
}

/// The tokens of a completed stream stay spent. A former fault returned them,
/// so that the account could use them twice.
TEST_F(ForwarderTest, TokensOfACompletedRequestAreNotReturned) {
  this->AccountRate = 150;
  this->configure(catalog::Repetition::Never, true);
  this->bothAct(events(1, 2, false));
  this->Traffic->onCredits({});
  this->sendRequest();
  this->grantCredit({150, milliseconds(0)});
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 200);
  this->sendRequest();
  this->grantCredit({0, milliseconds(2000)});
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 429);
  EXPECT_EQ(this->arrivals(), 1U);
}

/// After an outage of the store, an instance that does not yet know the latest
/// changes must not reject requests by an outdated catalog.
TEST_F(ForwarderTest, NobodyIsDeniedByACatalogThatMayBeOutOfDate) {
  this->AccountRate = 1000;
  this->configure(catalog::Repetition::Never);
  this->Traffic->setCatalogProven(this->Clock.now() - milliseconds(5000));
  this->sendRequest();
  this->waitForResponse();
  EXPECT_NE(this->Response->Status, 401);
  this->Traffic->setCatalog(std::make_shared<catalog::Catalog>());
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 503);
  EXPECT_NE(http::findHeader(this->Response->Headers, "Retry-After-Ms"), "");
  this->Traffic->setCatalogProven(this->Clock.now());
  this->sendRequest();
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 404);
}

TEST_F(ForwarderTest, AnInstanceMayEndWithRequestsUnderWay) {
  std::vector<http::ResponseWriterPtr> Kept;
  this->configure(catalog::Repetition::Idempotent);
  this->bothAct(
      [&Kept](const http::Request &, const http::ResponseWriterPtr &To) {
        Kept.push_back(To);
      });
  this->sendRequest();
  auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (this->arrivals() == 0 && std::chrono::steady_clock::now() < Deadline)
    this->Loop.run_one_for(milliseconds(20));
  ASSERT_EQ(this->arrivals(), 1U);
  // As at the end of the process: no handler runs any more.
  this->FrontServer.reset();
  this->Traffic.reset();
}

TEST_F(ForwarderTest, AnUnknownKeyIsRefused) {
  this->AccountRate = 150;
  this->configure(catalog::Repetition::Never);
  http::ClientRequest Request;
  Request.Url =
      "http://127.0.0.1:" + std::to_string(this->FrontServer->port()) + "/";
  Request.Headers = {{"Id", "q"}, {"Key", "wrong"}};
  this->Http->fetch(Request,
                    [this](const http::TransferResult &, http::Response Whole) {
                      this->Response = std::move(Whole);
                    });
  this->waitForResponse();
  EXPECT_EQ(this->Response->Status, 401);
}

/// The events do not depend on how the stream is divided into chunks.
RC_GTEST_PROP(EventFramerTest, CompleteEventsAreIndependentOfChunkBoundaries,
              ()) {
  const std::string Stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\rid:3\rdata: c\r\r"
      "id: 4\nda";
  EventFramer Framer;
  std::string Out;
  for (std::size_t At = 0; At < Stream.size();) {
    auto Size = *rc::gen::inRange<std::size_t>(1, 12);
    Out += Framer.feed(std::string_view(Stream).substr(At, Size));
    At += Size;
  }
  RC_ASSERT(Out + Framer.incomplete() == Stream);
  RC_ASSERT(Framer.incomplete() == "id: 4\nda");
  RC_ASSERT(Framer.lastId() == "3");
  RC_ASSERT(Framer.insideEvent());
}

TEST(EventScannerTest, ACommentOrAnEmptyLineIsNoPartOfAnEvent) {
  for (std::string_view Outside :
       {"", "\n", ": ping", ": ping\n", "data: a\n\n", "data: a\r\r",
        "data: a\r\n\r\n", "data: a\n\r\n", "data: a\n: ping\n\n"}) {
    EventScanner Scanner;
    Scanner.scan(Outside);
    EXPECT_FALSE(Scanner.insideEvent()) << Outside;
  }
  for (std::string_view Inside : {"d", "data: a", "data: a\n", "data: a\r\n",
                                  "data: a\n\nid: 2\n", "data: a\n: ping\n"}) {
    EventScanner Scanner;
    Scanner.scan(Inside);
    EXPECT_TRUE(Scanner.insideEvent()) << Inside;
  }
}
