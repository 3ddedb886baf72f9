#include "forwarding/forwarder.h"
#include "base/hashing.h"
#include "forwarding/eventframer.h"
#include "http/httpclient.h"

#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::forwarding;
using std::chrono::milliseconds;

namespace {

/// A minimal protocol with only the headers that the tests need.
class TestDialect final : public Dialect {
public:
  base::Result<dispatch::RequestFacts>
  readRequest(const http::Request &Asked) const override {
    dispatch::RequestFacts Out;
    Out.Id.Value = Asked.header("Id");
    Out.Secret = Asked.header("Key");
    Out.Model.Value = Asked.header("Model");
    Out.PromptTokens = base::Tokens{100};
    Out.TimeLeft = milliseconds(20000);
    return Out;
  }

  std::vector<http::Header>
  requestHeaders(const http::Request &Asked,
                 const SendFacts &Facts) const override {
    return {{"Host", "h"},
            {"Id", std::string(Asked.header("Id"))},
            {"Account", Facts.Account.Value},
            {"After", Facts.LastEventId}};
  }

  AnswerFacts readAnswer(const http::MessageHead &Head) const override {
    AnswerFacts Out;
    Out.Id.Value = Head.header("Id");
    Out.NotRun = !Head.header("Not-Run").empty();
    Out.Misdirected = Head.Status == 421;
    Out.Proven = !Head.header("Proof").empty();
    Out.Leaving = !Head.header("Leaving").empty();
    if (std::string_view Wait = Head.header("Wait-Ms"); !Wait.empty())
      Out.Wait = milliseconds(std::stoi(std::string(Wait)));
    return Out;
  }

  std::vector<http::Header>
  answerHeaders(const http::MessageHead &Head) const override {
    return {{"Proof", std::string(Head.header("Proof"))}};
  }

  http::Response refusal(const base::RequestId &,
                         const Refusal &Why) const override {
    http::Response Out{Why.Status, {}, std::string(Why.Reason)};
    if (Why.RetryAfter)
      Out.Headers.push_back(
          {"Retry-After-Ms", std::to_string(Why.RetryAfter->count())});
    return Out;
  }
};

/// A target with scripted behaviour.
struct FakeTarget {
  std::unique_ptr<http::HttpServer> Server;
  std::function<void(const http::Request &, const http::ResponseWriterPtr &)>
      Behaviour;
  std::vector<http::Request> Received;
};

/// Caller, forwarder and two targets on one event loop.
class ForwarderTest : public testing::Test {
protected:
  void SetUp() override {
    for (FakeTarget &Each : this->Targets) {
      Each.Behaviour = respondWith(200);
      Each.Server = this->listen(
          [&Each](http::Request Asked, const http::ResponseWriterPtr &Answer) {
            Each.Received.push_back(Asked);
            Each.Behaviour(Asked, Answer);
          });
    }
    this->Traffic = makeForwarder(this->Loop, {}, this->Protocol, this->Clock,
                                  this->Metrics);
    this->Traffic->setEvents(
        {[] {},
         [this](std::vector<admission::CreditCommand> Commands) {
           for (auto &Each : Commands)
             this->Credits.push_back(Each);
         }});
    this->FrontServer = this->listen(
        [this](http::Request Asked, http::ResponseWriterPtr Answer) {
          this->Traffic->handle(std::move(Asked), std::move(Answer));
        });
    this->Http = http::makeHttpClient(this->Loop);
  }

  std::unique_ptr<http::HttpServer> listen(http::RequestHandler Handler) {
    auto Started = http::startHttpServer(this->Loop, {}, std::move(Handler));
    EXPECT_TRUE(Started);
    return std::move(*Started);
  }

  /// Sets the catalog and both targets.
  void configure(catalog::Repetition Repeats, bool Streaming = false) {
    auto New = std::make_shared<catalog::Catalog>();
    catalog::Route Route;
    Route.Id = {"r"};
    Route.Host = "127.0.0.1";
    Route.PathPrefix = "/";
    Route.Repeats = Repeats;
    Route.Streaming = Streaming;
    Route.MaxAttempts = 2;
    Route.Timeout = this->RouteTimeout;
    Route.Objective = milliseconds(100);
    Route.PauseObjective = milliseconds(100);
    Route.Services = {{{"s"}, 1}};
    New->Routes = {Route};
    New->Services[{"s"}].Id = {"s"};
    if (this->AccountRate > 0) {
      catalog::Account Account;
      Account.Id = {"acme"};
      Account.RatePerSecond = Account.Burst = this->AccountRate;
      Account.CountsTokens = true;
      New->Accounts[Account.Id] = Account;
      New->AccountByKeyHash[catalog::keyHash("k")] = Account.Id;
    }
    this->Traffic->setCatalog(New);
    this->Traffic->setCatalogProven(this->Clock.now());
    this->listTargets(2);
  }

  void onlyOneTarget() { this->listTargets(1); }

  void listTargets(std::size_t Count) {
    catalog::TargetList List;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      catalog::Target Target;
      Target.Entry.Id = {"t" + std::to_string(Index)};
      Target.Entry.Service = {"s"};
      Target.Entry.Slots = 4;
      Target.Entry.Address = {"127.0.0.1", this->Targets[Index].Server->port()};
      List.Targets[Target.Entry.Id] = Target;
    }
    this->Traffic->setTargets(
        std::make_shared<const catalog::TargetList>(List));
  }

  static std::function<void(const http::Request &,
                            const http::ResponseWriterPtr &)>
  respondWith(int Status, std::string Body = "ok") {
    return [Status, Body](const http::Request &Asked,
                          const http::ResponseWriterPtr &Answer) {
      Answer->respond(
          {Status,
           {{"Id", std::string(Asked.header("Id"))}, {"Proof", "p"}},
           Body});
    };
  }

  static std::function<void(const http::Request &,
                            const http::ResponseWriterPtr &)>
  refuseUnrun(int Status) {
    return [Status](const http::Request &, const http::ResponseWriterPtr &To) {
      To->respond({Status, {{"Not-Run", "1"}}, ""});
    };
  }

  static void hangUp(const http::Request &, const http::ResponseWriterPtr &To) {
    To->abort();
  }

  /// Sends the events with ids \p First to \p Last, and then ends the stream,
  /// or cuts it within the next event.
  static std::function<void(const http::Request &,
                            const http::ResponseWriterPtr &)>
  events(int First, int Last, bool Cut) {
    return [First, Last, Cut](const http::Request &Asked,
                              const http::ResponseWriterPtr &Answer) {
      Answer->beginStream(
          200, {{"Id", std::string(Asked.header("Id"))}, {"Proof", "p"}});
      for (int Id = First; Id <= Last; ++Id)
        Answer->write("id: " + std::to_string(Id) + "\ndata: x\n\n");
      if (!Cut) {
        Answer->finish();
        return;
      }
      Answer->write("id: " + std::to_string(Last + 1) + "\nda");
      Answer->abort();
    };
  }

  void sendRequest() {
    http::ClientRequest Request;
    Request.Method = "POST";
    Request.Url =
        "http://127.0.0.1:" + std::to_string(this->FrontServer->port()) + "/x";
    Request.Headers = {{"Id", "q" + std::to_string(++this->SentRequests)},
                       {"Key", "k"}};
    Request.Body = "body";
    this->Response.reset();
    this->Http->fetch(Request, [this](const http::TransferResult &Result,
                                      http::Response Whole) {
      this->End = Result.End;
      this->Response = std::move(Whole);
    });
  }

  void waitForResponse() {
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!this->Response && std::chrono::steady_clock::now() < Deadline)
      this->Loop.run_one_for(milliseconds(20));
    ASSERT_TRUE(this->Response);
  }

  /// Answers the next request for credit.
  void grantCredit(dispatch::CreditGrant Grant) {
    this->Credits.clear();
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (this->Credits.empty() && std::chrono::steady_clock::now() < Deadline)
      this->Loop.run_one_for(milliseconds(20));
    ASSERT_FALSE(this->Credits.empty());
    auto *Ask = std::get_if<admission::AskCredit>(&this->Credits.back());
    ASSERT_NE(Ask, nullptr);
    this->Traffic->onCredits({{{"acme"}, Grant, Ask->Request}});
  }

  std::size_t arrivals() const {
    return this->Targets[0].Received.size() + this->Targets[1].Received.size();
  }

  void bothAct(std::function<void(const http::Request &,
                                  const http::ResponseWriterPtr &)>
                   Behaviour) {
    for (FakeTarget &Each : this->Targets)
      Each.Behaviour = Behaviour;
  }

  asio::io_context Loop;
  base::SystemClock Clock;
  metrics::Registry Metrics;
  TestDialect Protocol;
  std::array<FakeTarget, 2> Targets;
  std::unique_ptr<Forwarder> Traffic;
  std::unique_ptr<http::HttpServer> FrontServer;
  std::unique_ptr<http::HttpClient> Http;
  std::vector<admission::CreditCommand> Credits;
  double AccountRate = 0;
  milliseconds RouteTimeout{10000};
  int SentRequests = 0;
  std::optional<http::Response> Response;
  http::TransferEnd End = http::TransferEnd::Complete;
};

} // namespace

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
        200, {{"Id", std::string(Asked.header("Id"))}, {"Proof", "p"}}, {});
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
        503, {{"Id", std::string(Asked.header("Id"))}, {"Not-Run", "1"}}, {});
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
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\nid: 4\nda";
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
}
