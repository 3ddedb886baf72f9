#include "delivery/modelcall.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::delivery {

namespace {

constexpr std::size_t MaxRefusalBytes = 64U << 10U;
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusServerError = 500;
constexpr int StatusUnavailable = 503;

/// Statuses by which an engine says that it has not run the request, though
/// another may.
bool isRefusedUnrun(int Status) {
  return Status == StatusNotFound || Status == StatusTooManyRequests ||
         Status == StatusUnavailable;
}

} // namespace

std::string_view failureName(CallFailure Kind) {
  switch (Kind) {
  case CallFailure::NoTarget:
    return "no_target";
  case CallFailure::Refused:
    return "targets_refused";
  case CallFailure::Unreachable:
    return "targets_unreachable";
  case CallFailure::Cut:
    return "answer_cut";
  case CallFailure::DeadlinePassed:
    return "deadline_passed";
  }
  return "unknown";
}

tl::expected<base::TargetId, CallFailure>
pickFirst(const ModelCallRequest &Request, const TargetPicker &Pick,
          const std::set<base::TargetId> &Failed, RetryBudget &Budget,
          base::TimePoint Now) {
  if (Now >= Request.Deadline)
    return tl::unexpected(CallFailure::DeadlinePassed);
  auto First = Pick(Failed);
  if (!First)
    return tl::unexpected(CallFailure::NoTarget);
  Budget.onFirstAttempt(Request.Account, *First);
  return *First;
}

ModelCall::ModelCall(ModelCallRequest Request,
                     const ModelCallSettings &Settings, RetryBudget &Budget,
                     TargetPicker Pick)
    : Request(std::move(Request)), Settings(Settings), Budget(Budget),
      Pick(std::move(Pick)) {}

CallCommands ModelCall::begin(base::TimePoint Now) {
  CallCommands Out;
  auto First =
      pickFirst(this->Request, this->Pick, this->Failed, this->Budget, Now);
  if (!First) {
    this->fail(First.error(), Out);
    return Out;
  }
  this->start(Now, *First, false, Out);
  return Out;
}

void ModelCall::start(base::TimePoint Now, base::TargetId To, bool Fresh,
                      CallCommands &Out) {
  ++this->AttemptCount;
  this->Attempt = {this->Request.Id.Value + "-" +
                   std::to_string(this->AttemptCount)};
  this->Target = std::move(To);
  this->Assembler.beginAttempt(this->Attempt);
  this->Parser = {};
  this->Status = 0;
  this->RefusalBody.clear();
  this->Running = true;
  this->SilentAt = Now + this->Settings.FirstTokenSilence;
  Out.emplace_back(StartAttempt{this->Attempt, this->Target,
                                this->Assembler.nextToken(), Fresh});
}

bool ModelCall::isRunning(const base::RequestId &Of) const {
  return this->Running && !this->Finished && Of == this->Attempt;
}

CallCommands ModelCall::onHead(base::TimePoint Now, const base::RequestId &Of,
                               int NewStatus,
                               const std::vector<http::Header> &Headers) {
  CallCommands Out;
  if (!this->isRunning(Of))
    return Out;
  this->Status = NewStatus;
  std::string_view Echoed = http::findHeader(Headers, "X-Request-Id");
  if (!Echoed.empty() && Echoed != this->Attempt.Value) {
    this->failConnection(Now, Out);
  }
  return Out;
}

CallCommands ModelCall::onData(base::TimePoint Now, const base::RequestId &Of,
                               std::string_view Bytes) {
  CallCommands Out;
  if (!this->isRunning(Of))
    return Out;
  if (this->Status == StatusOk)
    this->takeEvents(Now, Bytes, Out);
  else if (this->RefusalBody.size() + Bytes.size() <= MaxRefusalBytes)
    this->RefusalBody += Bytes;
  return Out;
}

void ModelCall::takeEvents(base::TimePoint Now, std::string_view Bytes,
                           CallCommands &Out) {
  for (const std::string &Data : this->Parser.feed(Bytes)) {
    this->takeEvent(Now, this->Assembler.take(Data), Out);
    if (this->Finished || !this->Running)
      return;
  }
  if (!this->Parser.overflowed())
    return;
  this->failConnection(Now, Out);
}

void ModelCall::takeEvent(base::TimePoint Now, AnswerEvent Event,
                          CallCommands &Out) {
  if (auto *Token = std::get_if<TokenChunk>(&Event)) {
    this->LastToken = Now;
    this->SilentAt = Now + this->Settings.TokenSilence;
    Out.emplace_back(DeliverToken{std::move(Token->Chunk)});
  } else if (auto *Whole = std::get_if<WholeAnswer>(&Event)) {
    this->Finished = true;
    Out.emplace_back(DeliverEnd{std::move(*Whole)});
  } else if (std::holds_alternative<BrokenAnswer>(Event)) {
    this->failConnection(Now, Out);
  }
}

CallCommands ModelCall::onEnd(base::TimePoint Now, const base::RequestId &Of,
                              const AttemptEnd &End) {
  CallCommands Out;
  if (!this->isRunning(Of))
    return Out;
  if (!End.MayHaveBeenSent) {
    this->failAttempt(Now, Evidence::NotSent, Out);
    return Out;
  }
  if (End.Complete && this->Status != StatusOk) {
    this->endRefusal(Now, Out);
    return Out;
  }
  // The engine may go on working though the connection is gone.
  this->failConnection(Now, Out);
  return Out;
}

void ModelCall::endRefusal(base::TimePoint Now, CallCommands &Out) {
  if (isRefusedUnrun(this->Status)) {
    this->failAttempt(Now, Evidence::RefusedUnrun, Out);
    return;
  }
  if (this->Status >= StatusServerError || this->Assembler.nextToken() > 0) {
    this->failAttempt(Now, Evidence::Started, Out);
    return;
  }
  this->Finished = true;
  Out.emplace_back(
      DeliverRejection{this->Status, std::move(this->RefusalBody)});
}

CallCommands ModelCall::onTime(base::TimePoint Now) {
  CallCommands Out;
  if (this->Finished || !this->Running || Now < this->nextTimeout())
    return Out;
  this->abandon(Out);
  this->AnyStarted = true;
  if (!this->LastToken && Now >= this->Request.Deadline) {
    this->fail(CallFailure::DeadlinePassed, Out);
    return Out;
  }
  // The connection may be dead while its target lives.
  ++this->ConnectionFaults[this->Target];
  this->repeat(Now, Preference::SameTarget, Out);
  return Out;
}

CallCommands ModelCall::onCallerGone() {
  CallCommands Out;
  if (this->Finished)
    return Out;
  if (this->Running)
    this->abandon(Out);
  this->Finished = true;
  return Out;
}

base::TimePoint ModelCall::nextTimeout() const {
  if (this->LastToken)
    return this->SilentAt;
  return std::min(this->SilentAt, this->Request.Deadline);
}

void ModelCall::abandon(CallCommands &Out) {
  this->Running = false;
  Out.emplace_back(AbandonAttempt{this->Attempt, this->Target});
}

void ModelCall::failAttempt(base::TimePoint Now, Evidence Seen,
                            CallCommands &Out) {
  this->Running = false;
  this->Failed.insert(this->Target);
  this->AnyStarted = this->AnyStarted || Seen == Evidence::Started;
  this->AnyRefused = this->AnyRefused || Seen == Evidence::RefusedUnrun;
  if (Seen != Evidence::NotSent && !this->Request.Idempotent) {
    this->fail(this->failureKind(), Out);
    return;
  }
  this->repeat(Now, Preference::Elsewhere, Out);
}

/// The answer broke; what is left of the attempt is dropped.
void ModelCall::failConnection(base::TimePoint Now, CallCommands &Out) {
  this->abandon(Out);
  this->AnyStarted = true;
  ++this->ConnectionFaults[this->Target];
  this->repeat(Now, Preference::Elsewhere, Out);
}

void ModelCall::repeat(base::TimePoint Now, Preference Where,
                       CallCommands &Out) {
  bool Allowed = this->Request.Idempotent || !this->AnyStarted;
  if (!Allowed || this->AttemptCount >= this->Settings.MaxAttempts) {
    this->fail(this->failureKind(), Out);
    return;
  }
  if (Now >= this->lastStart()) {
    this->fail(CallFailure::DeadlinePassed, Out);
    return;
  }
  auto Next = this->nextTarget(Where);
  if (!Next || !this->Budget.take(this->Request.Account, *Next)) {
    this->fail(this->failureKind(), Out);
    return;
  }
  this->start(Now, *Next, true, Out);
}

/// A target whose connection broke once may be asked again over a new one;
/// after a second break, or a failure of its own, it is left alone.
std::optional<base::TargetId> ModelCall::nextTarget(Preference Where) {
  bool SameAllowed = this->ConnectionFaults[this->Target] == 1 &&
                     this->Failed.count(this->Target) == 0;
  if (SameAllowed && Where == Preference::SameTarget)
    return this->Target;
  std::set<base::TargetId> Avoid = this->Failed;
  for (const auto &[Id, Count] : this->ConnectionFaults)
    if (Count > 0)
      Avoid.insert(Id);
  if (auto Other = this->Pick(Avoid))
    return Other;
  return SameAllowed ? std::optional(this->Target) : std::nullopt;
}

base::TimePoint ModelCall::lastStart() const {
  if (!this->LastToken)
    return this->Request.Deadline;
  return std::max(this->Request.Deadline,
                  *this->LastToken + this->Settings.ResumeWindow);
}

CallFailure ModelCall::failureKind() const {
  if (this->AnyStarted)
    return CallFailure::Cut;
  return this->AnyRefused ? CallFailure::Refused : CallFailure::Unreachable;
}

void ModelCall::fail(CallFailure Kind, CallCommands &Out) {
  this->Finished = true;
  this->Running = false;
  Out.emplace_back(
      FailCall{Kind, this->AnyStarted ? Outcome::Unknown : Outcome::NotRun});
}

} // namespace kingcuphub::delivery
