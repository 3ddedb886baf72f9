#include "modelexchange.h"

#include "base/log.h"

#include <utility>

namespace kingcuphub::gateway {

namespace {

/// How long the engine may take to confirm a cancellation.
constexpr std::chrono::milliseconds CancelTimeout{2000};
/// How long an engine may take to close an answer that is whole.
constexpr std::chrono::milliseconds CloseTimeout{1000};

const char *pathOf(CompletionKind Kind) {
  return Kind == CompletionKind::Chat ? "/v1/chat/completions"
                                      : "/v1/completions";
}

} // namespace

ModelExchange::ModelExchange(TrafficContext &Context, Caller Who,
                             CompletionRequest Request,
                             std::optional<wire::Claim> Claim,
                             http::ResponseWriterPtr Answer)
    : Context(Context), Who(std::move(Who)), Request(std::move(Request)),
      Answer(std::move(Answer)),
      Composer(this->Request, this->Who.Request, Context.Clock.wallNow()),
      Admission(Context, this->Who,
                this->Request.PromptTokens + this->Request.OutputTokens,
                {this->Request.Model, {}, this->Request.Prefix, {}},
                std::move(Claim)),
      Place(Context.Dispatch, this->Admission),
      Meter(Context.Metrics,
            {{"account", this->Who.account().Value},
             {"route", this->Who.Route.Id.Value},
             {"model", this->Request.Model}},
            Context.Clock.now()),
      Call({this->Who.Request, this->Who.account(), this->Who.Route.Idempotent,
            this->Who.Deadline},
           Context.Options.Calls, Context.Budget,
           [this](const std::set<base::TargetId> &Avoid) {
             return this->Place.pick(Avoid);
           }) {}

void ModelExchange::start() {
  this->Answer->onClosed([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->onCallerGone();
  });
  this->Admission.start({[this] { this->onAdmitted(); },
                         [this](const delivery::StoredAnswer &Stored) {
                           this->deliverStored(Stored);
                         },
                         [this](const Refusal &Why) { this->refuse(Why); }});
}

void ModelExchange::onAdmitted() {
  if (!this->Done)
    this->run(this->Call.begin(this->Context.Clock.now()));
}

void ModelExchange::onTime(base::TimePoint Now) {
  if (this->Done) {
    if (this->Transfer && Now > this->DoneAt + CloseTimeout) {
      this->Context.Client->cancel(*this->Transfer);
      this->endAttempt(routing::RequestEnd::Done);
    }
    return;
  }
  this->Admission.onTime(Now);
  if (this->Done)
    return;
  if (this->Answer->unsentBytes() > this->Context.Options.Limits.UnsentBytes) {
    // The caller does not read; its connection is closed.
    this->Answer->abort();
    this->onCallerGone();
    return;
  }
  this->run(this->Call.onTime(Now));
}

void ModelExchange::onCallerGone() {
  if (this->Done || this->Admission.outlivesCaller())
    return;
  this->CallerGone = true;
  this->run(this->Call.onCallerGone());
  this->finish({this->Request.PromptTokens.Value + this->Delivered},
               RequestResult::CallerGone, "caller_gone");
}

void ModelExchange::stop() {
  if (this->Done)
    return;
  bool Started = this->Call.attempts() > 0;
  this->CallerGone = true;
  this->run(this->Call.onCallerGone());
  this->carryOut(delivery::FailCall{delivery::CallFailure::Cut,
                                    Started ? delivery::Outcome::Unknown
                                            : delivery::Outcome::NotRun});
}

void ModelExchange::run(delivery::CallCommands Commands) {
  auto Self = this->shared_from_this();
  for (delivery::CallCommand &Each : Commands)
    std::visit([this](auto &One) { this->carryOut(One); }, Each);
}

void ModelExchange::carryOut(const delivery::StartAttempt &Start) {
  const state::Config &Config = *this->Context.View.Config;
  auto Found = Config.Targets.find(Start.Target);
  bool MaySend = Found != Config.Targets.end() &&
                 this->Place.take(Start.Target) && this->Admission.takeSend();
  if (!MaySend) {
    this->run(this->Call.onEnd(this->Context.Clock.now(), Start.Attempt,
                               {false, false}));
    return;
  }
  this->AttemptAt = this->Context.Clock.now();
  this->SeenToken = false;
  this->Transfer =
      this->Context.Client->start(this->engineRequest(Start, Found->second),
                                  this->callbacksOf(Start.Attempt));
}

http::ClientRequest
ModelExchange::engineRequest(const delivery::StartAttempt &Start,
                             const state::Target &Target) const {
  http::ClientRequest Out;
  Out.Method = "POST";
  Out.Url = "http://" + Target.Address + pathOf(this->Request.Kind);
  Out.Headers = {{"Content-Type", "application/json"},
                 {"X-Request-Id", Start.Attempt.Value},
                 {"X-Priority", std::to_string(this->Who.Route.Priority)}};
  if (Start.FirstToken > 0)
    Out.Headers.push_back(
        {"X-Resume-Token-Offset", std::to_string(Start.FirstToken)});
  Out.Body = this->Request.EngineBody;
  Out.ConnectTimeout = this->Context.Options.Limits.ConnectTimeout;
  // libcurl repeats a request by itself on a kept connection that turns out
  // closed, so a call that may run once only takes a new one.
  Out.FreshConnection = Start.FreshConnection || !this->Who.Route.Idempotent;
  return Out;
}

http::TransferCallbacks
ModelExchange::callbacksOf(const base::RequestId &Attempt) {
  auto Weak = this->weak_from_this();
  http::TransferCallbacks Out;
  Out.OnHead = [Weak, Attempt](int Status,
                               const std::vector<http::Header> &Headers) {
    if (auto Self = Weak.lock())
      Self->run(Self->Call.onHead(Self->Context.Clock.now(), Attempt, Status,
                                  Headers));
  };
  Out.OnData = [Weak, Attempt](std::string_view Bytes) {
    if (auto Self = Weak.lock())
      Self->run(Self->Call.onData(Self->Context.Clock.now(), Attempt, Bytes));
  };
  Out.OnDone = [Weak, Attempt](const http::TransferResult &Result) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->endAttempt(Self->endOf(Result));
    if (!Result.MayHaveBeenSent)
      Self->Admission.onNotSent();
    Self->run(Self->Call.onEnd(
        Self->Context.Clock.now(), Attempt,
        {Result.End == http::TransferEnd::Complete, Result.MayHaveBeenSent}));
  };
  return Out;
}

routing::RequestEnd
ModelExchange::endOf(const http::TransferResult &Result) const {
  bool Complete = Result.End == http::TransferEnd::Complete;
  bool Truncated = Result.Status == 200 && !this->Call.finished();
  return Complete && !Truncated && !isTargetFailure(Result.Status)
             ? routing::RequestEnd::Done
             : routing::RequestEnd::Failed;
}

void ModelExchange::endAttempt(routing::RequestEnd How) {
  this->Transfer.reset();
  this->Place.end(How);
}

void ModelExchange::carryOut(const delivery::AbandonAttempt &Abandon) {
  if (this->Transfer)
    this->Context.Client->cancel(*this->Transfer);
  this->endAttempt(this->CallerGone ? routing::RequestEnd::Cancelled
                                    : routing::RequestEnd::Failed);
  const auto &Targets = this->Context.View.Config->Targets;
  auto Found = Targets.find(Abandon.Target);
  if (Found == Targets.end())
    return;
  nlohmann::json Body = {{"request_id", Abandon.Attempt.Value}};
  http::ClientRequest Cancel;
  Cancel.Method = "POST";
  Cancel.Url = "http://" + Found->second.Address + "/v1/cancel";
  Cancel.Headers = {{"Content-Type", "application/json"}};
  Cancel.Body = Body.dump();
  Cancel.ConnectTimeout = this->Context.Options.Limits.ConnectTimeout;
  Cancel.TotalTimeout = CancelTimeout;
  Cancel.FreshConnection = true;
  this->Context.Client->start(std::move(Cancel), {});
}

void ModelExchange::beginStream() {
  if (std::exchange(this->Streaming, true))
    return;
  this->Answer->beginStream(200, {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-cache"},
                                  {"X-Request-Id", this->Who.Request.Value}});
}

void ModelExchange::carryOut(delivery::DeliverToken &Token) {
  ++this->Delivered;
  this->Meter.onToken(this->Context.Clock.now());
  TargetLease *Lease = this->Place.lease();
  if (!std::exchange(this->SeenToken, true) && Lease != nullptr)
    Lease->firstToken(std::chrono::duration_cast<std::chrono::milliseconds>(
        this->Context.Clock.now() - this->AttemptAt));
  // A claim's result is kept whole, for callers that come later.
  if (!this->Request.Stream || this->Admission.outlivesCaller())
    this->Composer.add(Token.Chunk);
  if (!this->Request.Stream)
    return;
  this->beginStream();
  this->Answer->write(this->Composer.event(std::move(Token.Chunk)));
}

void ModelExchange::carryOut(delivery::DeliverEnd &End) {
  std::string Whole;
  if (!this->Request.Stream || this->Admission.outlivesCaller())
    Whole = this->Composer.whole(End.Answer);
  this->Admission.record({200, "application/json", Whole, std::nullopt});
  if (this->Request.Stream) {
    this->beginStream();
    this->Answer->write(this->Composer.endEvents(End.Answer));
    this->Answer->finish();
  } else {
    http::Response Out = http::jsonResponse(200, std::move(Whole));
    Out.Headers.push_back({"X-Request-Id", this->Who.Request.Value});
    this->Answer->respond(Out);
  }
  this->finish({End.Answer.PromptTokens + End.Answer.CompletionTokens},
               RequestResult::Answered, "answered");
}

void ModelExchange::carryOut(delivery::DeliverRejection &Rejection) {
  delivery::StoredAnswer Result{Rejection.Status, "application/json",
                                std::move(Rejection.Body),
                                delivery::Outcome::NotRun};
  this->Admission.record(Result);
  http::Response Out = http::jsonResponse(Result.Status, Result.Body);
  Out.Headers.push_back({"X-Request-Id", this->Who.Request.Value});
  Out.Headers.push_back({"X-Kingcuphub-Outcome", "not-run"});
  this->Answer->respond(Out);
  this->finish({}, RequestResult::Rejected, "rejected_by_engine");
}

void ModelExchange::deliverStored(const delivery::StoredAnswer &Stored) {
  this->Answer->respond(storedResponse(Stored, this->Who.Request));
  this->finish({}, RequestResult::Answered, "answered_from_store");
}

void ModelExchange::carryOut(const delivery::FailCall &Failure) {
  Refusal Why = failureRefusal(Failure);
  this->Admission.record(
      {Why.Status, "application/json", errorBody(Why), Why.Known});
  this->refuse(Why);
}

void ModelExchange::refuse(const Refusal &Why) {
  if (this->Done)
    return;
  if (this->Streaming) {
    this->Answer->write(sseEvent(errorBody(Why)));
    this->Answer->finish();
  } else {
    this->Answer->respond(refusalResponse(Why, this->Who.Request));
  }
  bool NotRun = Why.Known == delivery::Outcome::NotRun;
  countRefusal(this->Context.Metrics, this->Who.account().Value, Why);
  this->finish(NotRun ? base::Tokens{} : this->Admission.cost(), resultOf(Why),
               Why.Code);
}

void ModelExchange::finish(base::Tokens Used, RequestResult Result,
                           std::string_view How) {
  if (std::exchange(this->Done, true))
    return;
  this->DoneAt = this->Context.Clock.now();
  this->Admission.settle(Used);
  this->Meter.onEnd(this->DoneAt, Result);
  base::logEvent(base::LogLevel::Info, "request_ended",
                 {{"request", this->Who.Request.Value},
                  {"account", this->Who.account().Value},
                  {"model", this->Request.Model},
                  {"target", this->Call.target().Value},
                  {"attempts", this->Call.attempts()},
                  {"tokens", this->Delivered},
                  {"result", How}});
}

} // namespace kingcuphub::gateway
