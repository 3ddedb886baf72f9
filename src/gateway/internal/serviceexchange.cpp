#include "serviceexchange.h"

#include "base/log.h"

#include <array>
#include <strings.h>
#include <utility>

namespace kingcuphub::gateway {

namespace {

constexpr std::size_t MaxAnswerBytes = 16U << 20U;

/// What of a caller's request a service sees; everything else, its key first
/// of all, ends here.
constexpr std::array<const char *, 5> ForwardedHeaders = {
    "Content-Type", "Accept", "Accept-Language", "Idempotency-Key",
    "Traceparent"};

/// What of a service's answer belongs to its connection, not to its caller.
constexpr std::array<const char *, 8> ConnectionHeaders = {
    "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive",
    "Upgrade",    "Trailer",        "X-Request-Id",      "Server"};

bool isConnectionHeader(const std::string &Name) {
  for (const char *Each : ConnectionHeaders)
    if (strcasecmp(Name.c_str(), Each) == 0)
      return true;
  return false;
}

} // namespace

ServiceExchange::ServiceExchange(TrafficContext &Context, Caller Who,
                                 http::Request Request,
                                 std::optional<wire::Claim> Claim,
                                 http::ResponseWriterPtr Answer)
    : Context(Context), Who(std::move(Who)), Request(std::move(Request)),
      Answer(std::move(Answer)),
      Admission(Context, this->Who, this->Who.Route.Cost,
                {{}, this->Who.Route.Services, 0, {}}, std::move(Claim)),
      Place(Context.Dispatch, this->Admission),
      Meter(Context.Metrics,
            {{"account", this->Who.account().Value},
             {"route", this->Who.Route.Id.Value},
             {"model", ""}},
            Context.Clock.now()),
      Call({this->Who.Request, this->Who.account(), this->Who.Route.Idempotent,
            this->Who.Deadline},
           {}, Context.Budget, [this](const std::set<base::TargetId> &Avoid) {
             return this->Place.pick(Avoid);
           }) {}

void ServiceExchange::start() {
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

void ServiceExchange::onAdmitted() {
  if (!this->Done)
    this->run(this->Call.begin(this->Context.Clock.now()));
}

void ServiceExchange::onTime(base::TimePoint Now) {
  if (this->Done)
    return;
  this->Admission.onTime(Now);
  if (!this->Done)
    this->run(this->Call.onTime(Now));
}

void ServiceExchange::onCallerGone() {
  if (this->Done || this->Admission.outlivesCaller())
    return;
  this->run(this->Call.onCallerGone());
  this->Admission.settle(this->Call.mayHaveRun() ? this->Admission.cost()
                                                 : base::Tokens{});
  this->finish(RequestResult::CallerGone, "caller_gone");
}

void ServiceExchange::stop() {
  if (this->Done)
    return;
  bool Started = this->Call.attempts() > 0;
  this->run(this->Call.onCallerGone());
  this->carryOut(delivery::FailCall{delivery::CallFailure::DeadlinePassed,
                                    Started ? delivery::Outcome::Unknown
                                            : delivery::Outcome::NotRun});
}

void ServiceExchange::run(delivery::ServiceCommands Commands) {
  auto Self = this->shared_from_this();
  for (delivery::ServiceCommand &Each : Commands)
    std::visit([this](auto &One) { this->carryOut(One); }, Each);
}

void ServiceExchange::carryOut(const delivery::StartServiceAttempt &Start) {
  const auto &Targets = this->Context.View.Config->Targets;
  auto Found = Targets.find(Start.Target);
  bool MaySend = Found != Targets.end() && this->Place.take(Start.Target) &&
                 this->Admission.takeSend();
  if (!MaySend) {
    this->run(this->Call.onEnd(this->Context.Clock.now(), Start.Attempt,
                               {false, false}, {}));
    return;
  }
  this->Collected = {};
  this->Transfer =
      this->Context.Client->start(this->serviceRequest(Start, Found->second),
                                  this->callbacksOf(Start.Attempt));
}

http::ClientRequest
ServiceExchange::serviceRequest(const delivery::StartServiceAttempt &Start,
                                const state::Target &Target) const {
  http::ClientRequest Out;
  Out.Method = this->Request.Method;
  Out.Url = "http://" + Target.Address + this->Request.Path;
  if (!this->Request.Query.empty())
    Out.Url += "?" + this->Request.Query;
  for (const char *Name : ForwardedHeaders)
    if (std::string_view Value = this->Request.header(Name); !Value.empty())
      Out.Headers.push_back({Name, std::string(Value)});
  Out.Headers.push_back({"X-Request-Id", Start.Attempt.Value});
  Out.Body = this->Request.Body;
  Out.ConnectTimeout = this->Context.Options.Limits.ConnectTimeout;
  Out.FreshConnection = Start.FreshConnection;
  return Out;
}

http::TransferCallbacks
ServiceExchange::callbacksOf(const base::RequestId &Attempt) {
  auto Weak = this->weak_from_this();
  http::TransferCallbacks Out;
  Out.OnHead = [Weak](int Status, const std::vector<http::Header> &Headers) {
    if (auto Self = Weak.lock()) {
      Self->Collected.Status = Status;
      Self->Collected.Headers = Headers;
    }
  };
  Out.OnData = [Weak, Attempt](std::string_view Bytes) {
    if (auto Self = Weak.lock())
      Self->onData(Attempt, Bytes);
  };
  Out.OnDone = [Weak, Attempt](const http::TransferResult &Result) {
    if (auto Self = Weak.lock()) {
      Self->Collected.EndedBy = Result.EndedBy;
      Self->onDone(Attempt, {Result.End == http::TransferEnd::Complete,
                             Result.MayHaveBeenSent});
    }
  };
  return Out;
}

void ServiceExchange::onData(const base::RequestId &Attempt,
                             std::string_view Bytes) {
  if (this->Collected.Body.size() + Bytes.size() <= MaxAnswerBytes) {
    this->Collected.Body += Bytes;
    return;
  }
  this->Context.Client->cancel(*this->Transfer);
  this->onDone(Attempt, {false, true});
}

void ServiceExchange::onDone(const base::RequestId &Attempt,
                             const delivery::AttemptEnd &End) {
  bool Answered = End.Complete && !isTargetFailure(this->Collected.Status);
  this->endAttempt(Answered ? routing::RequestEnd::Done
                            : routing::RequestEnd::Failed);
  if (!End.MayHaveBeenSent)
    this->Admission.onNotSent();
  this->run(this->Call.onEnd(this->Context.Clock.now(), Attempt, End,
                             std::move(this->Collected)));
}

void ServiceExchange::endAttempt(routing::RequestEnd How) {
  this->Transfer.reset();
  this->Place.end(How);
}

void ServiceExchange::carryOut(const delivery::DropServiceAttempt &) {
  if (this->Transfer)
    this->Context.Client->cancel(*this->Transfer);
  this->endAttempt(routing::RequestEnd::Cancelled);
}

void ServiceExchange::carryOut(delivery::DeliverResponse &Deliver) {
  http::Response &Whole = Deliver.Whole;
  std::string Type(http::findHeader(Whole.Headers, "Content-Type"));
  if (Whole.EndedBy == http::BodyEnd::Stated)
    this->Admission.record({Whole.Status, Type, Whole.Body, std::nullopt});
  else
    // It may be cut, and a stored answer is given again as a whole one.
    this->recordFailure(failureRefusal(
        {delivery::CallFailure::Cut, delivery::Outcome::Unknown}));
  std::erase_if(Whole.Headers, [](const http::Header &Each) {
    return isConnectionHeader(Each.Name);
  });
  Whole.Headers.push_back({"X-Request-Id", this->Who.Request.Value});
  bool Failed = Whole.Status >= 500;
  this->Answer->respond(Whole);
  this->Admission.settle(this->Admission.cost());
  this->finish(Failed ? RequestResult::Broken : RequestResult::Answered,
               "answered");
}

void ServiceExchange::deliverStored(const delivery::StoredAnswer &Stored) {
  this->Answer->respond(storedResponse(Stored, this->Who.Request));
  this->Admission.settle({});
  this->finish(RequestResult::Answered, "answered_from_store");
}

void ServiceExchange::carryOut(const delivery::FailCall &Failure) {
  Refusal Why = failureRefusal(Failure);
  this->recordFailure(Why);
  this->refuse(Why);
}

void ServiceExchange::recordFailure(const Refusal &Why) {
  this->Admission.record(
      {Why.Status, "application/json", errorBody(Why), Why.Known});
}

void ServiceExchange::refuse(const Refusal &Why) {
  if (this->Done)
    return;
  this->Answer->respond(refusalResponse(Why, this->Who.Request));
  bool NotRun = Why.Known == delivery::Outcome::NotRun;
  this->Admission.settle(NotRun ? base::Tokens{} : this->Admission.cost());
  countRefusal(this->Context.Metrics, this->Who.account().Value, Why);
  this->finish(resultOf(Why), Why.Code);
}

void ServiceExchange::finish(RequestResult Result, std::string_view How) {
  this->Done = true;
  this->Meter.onEnd(this->Context.Clock.now(), Result);
  base::logEvent(base::LogLevel::Info, "request_ended",
                 {{"request", this->Who.Request.Value},
                  {"account", this->Who.account().Value},
                  {"route", this->Who.Route.Id.Value},
                  {"target", this->Call.target().Value},
                  {"attempts", this->Call.attempts()},
                  {"result", How}});
}

} // namespace kingcuphub::gateway
