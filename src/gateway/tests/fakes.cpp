#include "fakes.h"

#include <algorithm>

namespace kingcuphub::gateway {

using Json = nlohmann::json;

FakeAgent::FakeAgent(asio::io_context &Loop)
    : Context(std::move(*messaging::makeMessaging(Loop, std::nullopt))) {
  this->Verdict->set_outcome(wire::CLAIM_OUTCOME_GRANTED);
  this->Server = std::move(*this->Context->serve(
      "tcp://127.0.0.1:0",
      [this](const messaging::ClientName &From, std::string_view Bytes) {
        this->receive(From, Bytes);
      }));
}

void FakeAgent::change(const std::function<void(wire::Record &)> &Fill) {
  wire::Record Record;
  Record.set_id("record-" + std::to_string(++this->Records));
  Record.set_format_version(state::RecordFormatVersion);
  Record.set_base_offset(this->Reducer.config()->Next.Value);
  Fill(Record);
  auto Verdict = this->Reducer.reduce(this->Reducer.config()->Next,
                                      Record.SerializeAsString());
  ASSERT_TRUE(std::holds_alternative<state::Accepted>(Verdict))
      << std::get<state::Rejected>(Verdict).Why.Message;
}

void FakeAgent::report(const std::string &Target, const std::string &Model) {
  wire::TargetReport &New = *this->Reports.add_reports();
  New.set_target(Target);
  New.set_incarnation(1);
  New.set_reachable(true);
  New.add_models(Model);
}

void FakeAgent::setCold(const std::string &Target, bool Cold) {
  for (wire::TargetReport &Each : *this->Reports.mutable_reports())
    if (Each.target() == Target)
      Each.set_cold(Cold);
}

void FakeAgent::answerLastClaim() {
  wire::AgentMessage Out;
  *Out.mutable_claim_verdict() = *this->Verdict;
  Out.mutable_claim_verdict()->set_request(
      this->Claims.back().claim().request());
  this->send(this->Gateway, Out);
}

void FakeAgent::send(const messaging::ClientName &To,
                     const wire::AgentMessage &What) {
  this->Server->send(To, What.SerializeAsString());
}

void FakeAgent::receive(const messaging::ClientName &From,
                        std::string_view Bytes) {
  this->Gateway = From;
  wire::GatewayMessage Message;
  ASSERT_TRUE(
      Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())));
  if (Message.has_poll())
    this->answerPoll(From, Message.poll());
  if (Message.has_credit_request())
    this->answerCredit(From, Message.credit_request());
  if (Message.has_credit_return())
    this->takeBack(Message.credit_return());
  if (Message.has_claim_request())
    this->answerClaim(From, Message.claim_request());
  if (Message.has_claim_result())
    this->Results.push_back(Message.claim_result());
}

void FakeAgent::answerPoll(const messaging::ClientName &From,
                           const wire::Poll &Poll) {
  this->SeesDraining = this->SeesDraining || Poll.draining();
  if (!this->AnswersPolls)
    return;
  wire::AgentMessage Out;
  for (wire::TargetReport &Each : *this->Reports.mutable_reports())
    Each.set_sequence(Each.sequence() + 1);
  *Out.mutable_target_reports() = this->Reports;
  this->send(From, Out);
  wire::PollReply &Reply = *Out.mutable_poll_reply();
  Reply.set_nonce(Poll.nonce());
  Reply.set_proof_age_ms(this->ProofAgeMs);
  Reply.set_credit_generation(this->Generation);
  Reply.set_reason("the log cannot be reached");
  if (!Poll.has_state() ||
      Poll.config_offset() != this->Reducer.config()->Next.Value)
    *Reply.mutable_state() = this->Reducer.save();
  this->send(From, Out);
}

void FakeAgent::answerCredit(const messaging::ClientName &From,
                             const wire::CreditRequest &Request) {
  bool Slots = Request.quantity().rfind("target/", 0) == 0;
  std::int64_t Amount = Request.amount() * this->CreditFactor;
  if (Slots)
    Amount = std::min(Request.amount(), this->SlotsLeft);
  (Slots ? this->SlotsLeft : this->CreditsOut) += Slots ? -Amount : Amount;
  wire::AgentMessage Out;
  wire::Credit &Credit = *Out.mutable_credit();
  Credit.set_quantity(Request.quantity());
  Credit.set_request(Request.request());
  Credit.set_generation(this->Generation);
  Credit.set_amount(Amount);
  if (Amount == 0)
    Credit.set_retry_after_ms(Slots ? 20 : this->RetryAfterMs);
  this->send(From, Out);
}

void FakeAgent::takeBack(const wire::CreditReturn &Return) {
  bool Slots = Return.quantity().rfind("target/", 0) == 0;
  (Slots ? this->SlotsLeft : this->CreditsBack) += Return.amount();
}

void FakeAgent::answerClaim(const messaging::ClientName &From,
                            const wire::ClaimRequest &Request) {
  this->Claims.push_back(Request);
  if (!this->Verdict)
    return;
  wire::AgentMessage Out;
  *Out.mutable_claim_verdict() = *this->Verdict;
  Out.mutable_claim_verdict()->set_request(Request.claim().request());
  this->send(From, Out);
}

FakeEngine::FakeEngine(asio::io_context &Loop) : Loop(Loop) {
  this->Server = std::move(*http::startHttpServer(
      Loop, {},
      [this](const http::Request &Asked, http::ResponseWriterPtr Answer) {
        this->handle(Asked, std::move(Answer));
      }));
}

void FakeEngine::handle(const http::Request &Asked,
                        http::ResponseWriterPtr Answer) {
  if (Asked.Path == "/v1/cancel") {
    this->Cancelled.push_back(Json::parse(Asked.Body)["request_id"]);
    Answer->respond(http::jsonResponse(200, "{}"));
    return;
  }
  EngineScript Script = this->Scripts.front();
  if (this->Scripts.size() > 1)
    this->Scripts.erase(this->Scripts.begin());
  EngineCall Call{std::string(Asked.header("X-Request-Id")), 0,
                  Json::parse(Asked.Body), Asked.Headers};
  if (auto Offset = Asked.header("X-Resume-Token-Offset"); !Offset.empty())
    Call.FirstToken = std::stoul(std::string(Offset));
  this->Calls.push_back(Call);
  if (Script.Status != 200) {
    Answer->respond(http::jsonResponse(
        Script.Status, R"({"error":{"message":"the engine's own words"}})"));
    return;
  }
  Answer->beginStream(200, {{"Content-Type", "text/event-stream"}});
  this->MostRunning = std::max(this->MostRunning, ++this->Running);
  this->play(Script, Call, Answer, Call.FirstToken);
}

void FakeEngine::play(const EngineScript &Script, const EngineCall &Call,
                      const http::ResponseWriterPtr &Answer,
                      std::size_t Token) {
  std::size_t Made = Token - Call.FirstToken;
  std::string Id = Script.Crossed ? "another" : Call.RequestId;
  if (Script.SilentAfter == Made) {
    --this->Running;
    this->Silent.push_back(Answer);
    return;
  }
  if (Script.DropAfter == Made) {
    --this->Running;
    Answer->abort();
    return;
  }
  if (Token >= Script.Tokens) {
    --this->Running;
    this->writeEnd(Script, Id, Answer);
    return;
  }
  if (Script.Skip != Token)
    this->writeToken(Id, Token, Answer);
  if (Script.Repeat == Token)
    this->writeToken(Id, Token, Answer);
  auto Next = std::make_shared<asio::steady_timer>(this->Loop);
  Next->expires_after(Script.TokenGap);
  Next->async_wait(
      [this, Next, Script, Call, Answer, Token](asio::error_code Failed) {
        if (!Failed && Answer->isOpen())
          this->play(Script, Call, Answer, Token + 1);
      });
}

void FakeEngine::writeToken(const std::string &Id, std::size_t Token,
                            const http::ResponseWriterPtr &Answer) {
  Json Chunk = {{"id", "chatcmpl-" + Id},
                {"object", "chat.completion.chunk"},
                {"created", 1},
                {"model", "m1"},
                {"token_index", Token},
                {"choices",
                 {{{"index", 0},
                   {"delta", {{"content", "<" + std::to_string(Token) + ">"}}},
                   {"finish_reason", nullptr}}}}};
  Answer->write("data: " + Chunk.dump() + "\n\n");
}

void FakeEngine::writeEnd(const EngineScript &Script, const std::string &Id,
                          const http::ResponseWriterPtr &Answer) {
  Json Finish = {
      {"id", "chatcmpl-" + Id},
      {"object", "chat.completion.chunk"},
      {"created", 1},
      {"model", "m1"},
      {"choices",
       {{{"index", 0}, {"delta", Json::object()}, {"finish_reason", "stop"}}}}};
  if (!Script.NoFinish)
    Answer->write("data: " + Finish.dump() + "\n\n");
  Json Usage = {{"id", "chatcmpl-" + Id},
                {"choices", Json::array()},
                {"usage",
                 {{"prompt_tokens", 3},
                  {"completion_tokens", Script.Tokens},
                  {"total_tokens", Script.Tokens + 3}}}};
  Answer->write("data: " + Usage.dump() + "\n\n");
  Answer->write("data: [DONE]\n\n");
  Answer->finish();
}

FakeService::FakeService(asio::io_context &Loop) {
  this->Server = std::move(*http::startHttpServer(
      Loop, {}, [this](http::Request Asked, http::ResponseWriterPtr Answer) {
        this->Calls.push_back(std::move(Asked));
        if (this->Silent) {
          this->Kept.push_back(std::move(Answer));
        } else if (this->LoseAnswers > 0) {
          --this->LoseAnswers;
          Answer->abort();
        } else {
          Json Body = {{"executions", this->Calls.size()}};
          http::Response Whole = http::jsonResponse(this->Status, Body.dump());
          for (const http::Header &Each : this->MoreHeaders)
            Whole.Headers.push_back(Each);
          if (this->Unframed)
            Whole.EndedBy = http::BodyEnd::Connection;
          Answer->respond(Whole);
        }
      }));
}

std::string Got::errorCode() const {
  Json Body = this->json();
  if (!Body.is_object() || !Body.contains("error"))
    return "no error shape: " + this->Answer.Body;
  for (const char *Field : {"type", "code", "message"})
    if (!Body["error"].contains(Field) || !Body["error"][Field].is_string())
      return std::string("no ") + Field;
  return Body["error"]["code"];
}

std::string Got::streamText() const {
  std::string Text;
  std::string_view Rest = this->Answer.Body;
  while (!Rest.empty()) {
    std::size_t End = Rest.find("\n\n");
    std::string_view Event = Rest.substr(0, End);
    Rest.remove_prefix(std::min(Rest.size(), Event.size() + 2));
    Json Data =
        Json::parse(Event.substr(std::string("data: ").size()), nullptr, false);
    if (Data.is_object() && Data.contains("choices") &&
        !Data["choices"].empty())
      Text += Data["choices"][0]["delta"].value("content", "");
    else if (Data.is_object() && Data.contains("error"))
      Text += "[error " + Data["error"].value("code", "") + "]";
    else if (Data.is_discarded())
      Text += Event.substr(std::string("data: ").size());
  }
  return Text;
}

void GatewayTest::SetUp() {
  this->Agent = std::make_unique<FakeAgent>(this->Loop);
  this->Engine = std::make_unique<FakeEngine>(this->Loop);
  this->Service = std::make_unique<FakeService>(this->Loop);
  this->Client = http::makeHttpClient(this->Loop);
  this->Options.Deployment = "test";
  this->Options.Zone = {"a"};
  this->Options.AgentLink = this->Agent->endpoint();
  this->Options.Drain.BalancerGrace = std::chrono::milliseconds(0);
  this->Agent->change([](wire::Record &Record) {
    Record.mutable_account_put()->set_account("acme");
    Record.mutable_account_put()->set_tokens_per_second(1000);
    Record.mutable_account_put()->set_burst_tokens(1000);
    Record.mutable_account_put()->set_weight(1);
  });
  this->Agent->change([](wire::Record &Record) {
    Record.mutable_key_put()->set_key("k1");
    Record.mutable_key_put()->set_account("acme");
    Record.mutable_key_put()->set_secret_hash(base::secureHash(ClientKey));
  });
  this->Agent->change([](wire::Record &Record) {
    Record.mutable_model_put()->set_model("m1");
    Record.mutable_model_put()->set_version("1");
    Record.mutable_model_put()->set_weight_bytes(1);
    Record.mutable_model_put()->set_kv_reserve_bytes(1);
  });
  this->putTarget("e1", this->Engine->address(), wire::TARGET_KIND_ENGINE);
  this->putTarget("s1", this->Service->address(), wire::TARGET_KIND_SERVICE);
  for (bool Idempotent : {true, false})
    this->Agent->change([Idempotent](wire::Record &Record) {
      wire::RoutePut &Route = *Record.mutable_route_put();
      Route.set_route(Idempotent ? "lookups" : "dispatch");
      Route.set_path_prefix(Idempotent ? "/lookups/" : "/dispatch/");
      Route.add_services("s1");
      Route.set_idempotent(Idempotent);
      Route.set_priority(1);
      Route.set_deadline_ms(5000);
      Route.set_cost_tokens(1);
    });
  this->Agent->report("e1", "m1");
}

void GatewayTest::TearDown() {
  this->Running.reset();
  this->Client.reset();
}

void GatewayTest::putTarget(const std::string &Id, const std::string &Address,
                            wire::TargetKind Kind, const std::string &Zone) {
  this->Agent->change([&](wire::Record &Record) {
    wire::TargetPut &Target = *Record.mutable_target_put();
    Target.set_target(Id);
    Target.set_address(Address);
    Target.set_zone(Zone);
    Target.set_kind(Kind);
    Target.set_cold_slots(1);
    Target.set_warm_slots(64);
    if (Kind == wire::TARGET_KIND_ENGINE)
      Target.add_accelerator_bytes(1000);
  });
}

void GatewayTest::startGateway() {
  auto Started = gateway::startGateway(this->Loop, this->Options, this->Clock);
  ASSERT_TRUE(Started) << Started.error().Message;
  this->Running = std::move(*Started);
  bool Ready = false;
  for (int Try = 0; Try < 200 && !Ready; ++Try) {
    Ready = this->call({"GET", this->url("/ready")}).Answer.Status == 200;
    this->runFor(std::chrono::milliseconds(Ready ? 0 : 20));
  }
  ASSERT_TRUE(Ready);
}

std::shared_ptr<std::optional<Got>>
GatewayTest::send(http::ClientRequest Request) {
  auto Out = std::make_shared<std::optional<Got>>();
  this->Client->fetch(std::move(Request), [Out](const http::TransferResult &End,
                                                http::Response Whole) {
    *Out = Got{End, std::move(Whole)};
  });
  return Out;
}

Got GatewayTest::call(http::ClientRequest Request) {
  auto Pending = this->send(std::move(Request));
  EXPECT_TRUE(this->runUntil([&Pending] { return Pending->has_value(); }));
  return Pending->value_or(Got{});
}

http::ClientRequest GatewayTest::chat(bool Stream,
                                      const std::string &Model) const {
  Json Body = {{"model", Model},
               {"messages", {{{"role", "user"}, {"content", "hello"}}}},
               {"max_tokens", 5},
               {"stream", Stream}};
  return {"POST",
          this->url("/v1/chat/completions"),
          {{"Authorization", std::string("Bearer ") + ClientKey},
           {"Content-Type", "application/json"}},
          Body.dump()};
}

http::ClientRequest
GatewayTest::service(const std::string &Path,
                     const std::string &IdempotencyKey) const {
  http::ClientRequest Out{
      "POST",
      this->url(Path),
      {{"Authorization", std::string("Bearer ") + ClientKey},
       {"Content-Type", "application/json"}},
      R"({"order":1})"};
  if (!IdempotencyKey.empty())
    Out.Headers.push_back({"Idempotency-Key", IdempotencyKey});
  return Out;
}

} // namespace kingcuphub::gateway
