#include "delivery/servicecall.h"

#include <utility>

namespace kingcuphub::delivery {

namespace {

/// Answers of a target that say that another may do better.
bool isWorthRepeating(int Status) {
  return Status == 502 || Status == 503 || Status == 504;
}

} // namespace

ServiceCall::ServiceCall(ModelCallRequest Request, ServiceCallSettings Settings,
                         RetryBudget &Budget, TargetPicker Pick)
    : Request(std::move(Request)), Settings(Settings), Budget(Budget),
      Pick(std::move(Pick)) {}

ServiceCommands ServiceCall::begin(base::TimePoint Now) {
  ServiceCommands Out;
  auto First =
      pickFirst(this->Request, this->Pick, this->Failed, this->Budget, Now);
  if (!First) {
    this->fail(First.error(), Out);
    return Out;
  }
  this->start(*First, Out);
  return Out;
}

void ServiceCall::start(base::TargetId To, ServiceCommands &Out) {
  ++this->AttemptCount;
  this->Attempt = {this->Request.Id.Value + "-" +
                   std::to_string(this->AttemptCount)};
  this->Target = std::move(To);
  // The HTTP client repeats a request by itself on a kept connection that
  // turns out closed, so one that may run once only takes a new connection.
  bool Fresh = this->AttemptCount > 1 || !this->Request.Idempotent;
  Out.emplace_back(StartServiceAttempt{this->Attempt, this->Target, Fresh});
}

ServiceCommands ServiceCall::onEnd(base::TimePoint Now,
                                   const base::RequestId &Of,
                                   const AttemptEnd &End,
                                   http::Response Whole) {
  ServiceCommands Out;
  if (this->Finished || Of != this->Attempt)
    return Out;
  this->AnySent = this->AnySent || End.MayHaveBeenSent;
  this->Failed.insert(this->Target);
  std::string_view Echoed = http::findHeader(Whole.Headers, "X-Request-Id");
  bool Own = Echoed.empty() || Echoed == this->Attempt.Value;
  if (End.Complete && Own) {
    bool Repeat = this->Request.Idempotent && isWorthRepeating(Whole.Status);
    this->LastAnswer = std::move(Whole);
    if (!Repeat) {
      this->Finished = true;
      Out.emplace_back(DeliverResponse{std::move(*this->LastAnswer)});
      return Out;
    }
  }
  this->repeat(Now, Out);
  return Out;
}

void ServiceCall::repeat(base::TimePoint Now, ServiceCommands &Out) {
  bool Allowed = this->Request.Idempotent || !this->AnySent;
  if (Allowed && Now < this->Request.Deadline &&
      this->AttemptCount < this->Settings.MaxAttempts)
    if (auto Next = this->Pick(this->Failed);
        Next && this->Budget.take(this->Request.Account, *Next)) {
      this->start(*Next, Out);
      return;
    }
  if (this->LastAnswer) {
    this->Finished = true;
    Out.emplace_back(DeliverResponse{std::move(*this->LastAnswer)});
    return;
  }
  this->fail(this->AnySent ? CallFailure::Cut : CallFailure::Unreachable, Out);
}

ServiceCommands ServiceCall::onTime(base::TimePoint Now) {
  ServiceCommands Out;
  if (this->Finished || this->AttemptCount == 0 || Now < this->Request.Deadline)
    return Out;
  this->AnySent = true;
  Out.emplace_back(DropServiceAttempt{this->Attempt});
  this->fail(CallFailure::DeadlinePassed, Out);
  return Out;
}

ServiceCommands ServiceCall::onCallerGone() {
  ServiceCommands Out;
  if (this->Finished)
    return Out;
  this->Finished = true;
  if (this->AttemptCount > 0)
    Out.emplace_back(DropServiceAttempt{this->Attempt});
  return Out;
}

void ServiceCall::fail(CallFailure Kind, ServiceCommands &Out) {
  this->Finished = true;
  Out.emplace_back(
      FailCall{Kind, this->AnySent ? Outcome::Unknown : Outcome::NotRun});
}

} // namespace kingcuphub::delivery
