#include "exchange.h"

#include "base/log.h"
#include "base/visitor.h"
#include "eventstream.h"
#include "requestcost.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::forwarding {

namespace {

using std::chrono::milliseconds;

constexpr int BadRequest = 400;
constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// Number of refusals by targets after which the request itself is refused.
constexpr unsigned MaxRefusals = 6;
/// Short, as the balancer sends a caller that retries to another instance.
constexpr std::chrono::milliseconds RetryAfterWhenStopping{50};
/// How much longer than the longest recent answer of its route a request may
/// take.
constexpr double AnswerTimeMargin = 1.25;
/// A quarantine does not end sooner by repeats.
constexpr std::chrono::milliseconds MinQuarantineRetryAfter{1000};
/// Targets that may end under one request before it is no longer repeated.
constexpr unsigned MaxEndedTargets = 1;
/// With less time left, another attempt is not worth its load.
constexpr std::chrono::milliseconds MinAttemptTime{30};
constexpr double MaxJitter = 0.25;
/// How often a silent attempt that could not be replaced is looked at again.
constexpr std::chrono::milliseconds SilenceRecheck{200};

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

Exchange::Exchange(TrafficContext &Context, http::Request NewAsked,
                   http::ResponseWriterPtr NewAnswer)
    : Context(Context), Asked(std::move(NewAsked)),
      Body(std::make_shared<const std::string>(std::move(this->Asked.Body))),
      Answer(std::move(NewAnswer)), ReceivedAt(Context.Clock.now()),
      Deadline(this->ReceivedAt),
      KeptMemory(Context.AnswerSizes.makeReservation()), Open(Context.Open),
      Timer(Context.Loop) {
  this->LocalId.Value = std::to_string(this->Context.NextLocalId++);
  ++*this->Open;
}

Exchange::~Exchange() { --*this->Open; }

// --- Admission -------------------------------------------------------------

void Exchange::start() {
  this->Answer->onClosed([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->callerGone();
  });
  auto Read = this->Context.Protocol.readRequest(this->Asked);
  if (!Read) {
    this->refuse(BadRequest, Read.error().Message);
    return;
  }
  this->Facts = std::move(*Read);
  this->SharedParts = dispatch::sharedParts(this->Facts.Prompt);
  if (this->Context.RefusesNew) {
    this->refuse(Unavailable, "stopping", RetryAfterWhenStopping);
    return;
  }
  if (!this->Context.Catalog || !this->Context.Targets) {
    this->refuse(Unavailable, "starting",
                 this->Context.Settings.Waits.DefaultRetryAfter);
    return;
  }
  if (!this->resolve() || this->refuseIfStopping() || !this->passQuarantine())
    return;
  this->armTimer();
  this->admit();
}

bool Exchange::endsBeforeStop() const {
  if (!this->Context.CutAt)
    return true;
  base::TimePoint Now = this->now();
  base::Duration Needed = this->Deadline - Now;
  if (auto Longest = this->Context.AnswerTimes.longest(this->route().Id, Now))
    Needed = std::min(Needed, std::chrono::duration_cast<base::Duration>(
                                  *Longest * AnswerTimeMargin));
  return Now + Needed <= *this->Context.CutAt;
}

bool Exchange::refuseIfStopping() {
  bool MayHaveRun = this->Runs > 0 || this->AnswerBegun;
  // Another attempt is all that can still answer such a request.
  if (!this->Ended && !MayHaveRun && !this->endsBeforeStop())
    this->refuse(Unavailable, "stopping", RetryAfterWhenStopping);
  return this->Ended;
}

bool Exchange::passQuarantine() {
  return std::visit(
      base::Visitor{[](const dispatch::NotQuarantined &) { return true; },
                    [this](const dispatch::OnTrial &Trial) {
                      this->IsTrial = true;
                      this->log(base::LogLevel::Info, "quarantine-trial",
                                {{"part", dispatch::partName(Trial.Part)}});
                      return true;
                    },
                    [this](const dispatch::Quarantined &Why) {
                      this->refuseQuarantined(Why);
                      return false;
                    }},
      this->Context.Quarantine.admit(this->SharedParts));
}

bool Exchange::refuseIfQuarantined() {
  dispatch::QuarantineVerdict Verdict =
      this->Context.Quarantine.check(this->SharedParts);
  auto *Why = std::get_if<dispatch::Quarantined>(&Verdict);
  // A trial ends with its first attempt.
  bool Passes = Why == nullptr || (this->IsTrial && this->Runs == 0);
  if (!Passes && !this->Ended)
    this->refuseQuarantined(*Why);
  return this->Ended;
}

void Exchange::refuseQuarantined(const dispatch::Quarantined &Why) {
  this->log(base::LogLevel::Info, "prompt-quarantined",
            {{"part", dispatch::partName(Why.Part)}});
  this->Context.Metrics.counter("quarantine_refused").add();
  if (this->AnswerBegun)
    return this->abort("prompt-quarantined");
  if (this->Runs > 0)
    return this->refuse(BadGateway, "prompt-quarantined");
  auto Wait =
      std::chrono::duration_cast<milliseconds>(Why.NextTrialAt - this->now());
  this->refuse(Unavailable, "prompt-quarantined",
               std::max(Wait, MinQuarantineRetryAfter));
}

/// Looks up route and account in the newest catalog. If that rejects the
/// request, it is refused by the route and account that it had before.
bool Exchange::resolve() {
  return std::visit(
      base::Visitor{[this](ResolvedRequest Found) {
                      this->setResolved(std::move(Found));
                      return true;
                    },
                    [this](CatalogRejection Why) {
                      this->rejectByCatalog(std::move(Why));
                      return false;
                    }},
      resolveRequest(this->Context.Catalog, this->Asked, this->Facts.Secret));
}

void Exchange::setResolved(ResolvedRequest New) {
  // Requests that are drawn again would move between services, and lose their
  // place in the queue, with each unrelated change.
  bool MayKeepService =
      this->Resolved && this->route().Services == New.Route->Services;
  this->Resolved = std::move(New);
  this->Deadline = this->ReceivedAt + this->route().Timeout;
  if (this->Facts.TimeLeft)
    this->Deadline =
        std::min(this->Deadline, this->ReceivedAt + *this->Facts.TimeLeft);
  if (!MayKeepService)
    this->chooseService();
}

/// If the catalog may be out of date, asks the caller to retry instead.
void Exchange::rejectByCatalog(CatalogRejection Why) {
  if (this->Ended)
    return;
  this->Rejection = std::move(Why);
  const ForwarderSettings &Settings = this->Context.Settings;
  bool Proven =
      this->now() < this->Context.CatalogProvenAt + Settings.CatalogProofFor;
  if (Proven)
    this->refuse(this->Rejection->Status, this->Rejection->Reason);
  else
    this->refuse(Unavailable, "catalog-unproven",
                 Settings.Waits.DefaultRetryAfter);
}

void Exchange::chooseService() {
  std::int64_t WeightSum = 0;
  for (const catalog::WeightedService &Each : this->route().Services)
    WeightSum += std::max<std::int64_t>(0, Each.Weight);
  this->Service = this->route().Services.front().Service;
  if (WeightSum <= 0)
    return;
  std::uniform_int_distribution<std::int64_t> Draw(0, WeightSum - 1);
  std::int64_t Left = Draw(this->Context.Random);
  for (const catalog::WeightedService &Each : this->route().Services) {
    Left -= std::max<std::int64_t>(0, Each.Weight);
    if (Left < 0) {
      this->Service = Each.Service;
      return;
    }
  }
}

std::int64_t Exchange::tokenCost() const {
  return forwarding::tokenCost(this->Facts, *this->account());
}

void Exchange::admit() {
  auto Limited = this->Resolved->limitedAccount();
  if (!Limited) {
    this->admitted(std::nullopt);
    return;
  }
  base::TimePoint Now = this->now();
  admission::TokenWait Wait;
  Wait.Request = this->LocalId;
  Wait.Account = *Limited;
  Wait.Cost = base::Tokens{this->tokenCost()};
  Wait.StartBy =
      Now + std::chrono::duration_cast<base::Duration>(
                this->patience() * this->Context.Settings.TokenWaitFraction);
  this->Context.AwaitingTokens[this->LocalId] = this->shared_from_this();
  this->Context.Usage.add(*this->account(), std::move(Wait), Now);
  this->Context.Admit();
}

void Exchange::admitted(std::optional<admission::TokensTaken> Taken) {
  this->Admitted = true;
  this->Tokens = std::move(Taken);
  bool First = !std::exchange(this->UseCounted, true);
  if (First)
    this->countUse();
  if (!First || !this->refuseIfOverloaded())
    this->dispatch();
}

void Exchange::stopAwaitingTokens() {
  if (this->Context.AwaitingTokens.erase(this->LocalId) > 0)
    this->Context.Usage.remove(this->LocalId);
}

void Exchange::returnTokens() {
  if (auto Unused = std::exchange(this->Tokens, std::nullopt))
    this->Context.Usage.putBack(*Unused, this->now());
}

/// Whether arrivals of the request's model are counted: where the holder
/// publishes figures, and only of models of the catalog, as callers may name
/// any.
bool Exchange::countsArrivals() const {
  const catalog::Service *Of = this->Resolved->Catalog->service(this->Service);
  return Of != nullptr && Of->Engine &&
         Of->Engine->Models.count(this->Facts.Model) != 0 &&
         this->Context.Selector.hasFigures(this->Service, this->now());
}

bool Exchange::refuseIfOverloaded() {
  if (!this->countsArrivals())
    return false;
  std::uniform_real_distribution<double> Draw(0, 1);
  overload::AdmissionRequest Request{
      {this->Service, this->Facts.Model}, this->urgency(), this->accountId()};
  auto RetryAfter = this->Context.Admission.refuses(
      Request, Draw(this->Context.Random), this->now());
  if (!RetryAfter)
    return false;
  this->Context.Metrics.counter("overload_refused").add();
  this->refuse(Unavailable, "overloaded", this->addJitter(*RetryAfter));
  return true;
}

void Exchange::tokensRefused(std::chrono::milliseconds RetryAfter) {
  this->Credit = this->Context.Usage.standing(this->accountId(), this->now());
  this->refuse(TooManyRequests, "account-limit", RetryAfter);
}

void Exchange::countUse() {
  this->Context.Retries.onRequest(this->Service, this->ReceivedAt);
  if (this->Facts.Model.empty())
    return;
  residency::Item What{this->Facts.Model, this->Facts.Adapter};
  residency::ItemUse &Use = this->Context.Use[{this->Service, What}];
  Use.Work +=
      std::chrono::duration<double, std::milli>(engineMillis(this->Facts));
  ++Use.Arrived;
}

// --- Placing ---------------------------------------------------------------

Exchange::QueuePlace Exchange::queuePlace() const {
  return {this->accountId(), this->pool(), this->urgency()};
}

std::string Exchange::pool() const {
  return this->Service.Value + "|" + this->Facts.Model.Value + "|" +
         this->Facts.Adapter.Value;
}

dispatch::TargetQuery Exchange::query() const {
  dispatch::TargetQuery Out;
  Out.Service = this->Service;
  Out.Model = this->Facts.Model;
  Out.Adapter = this->Facts.Adapter;
  Out.Prompt = &this->Facts.Prompt;
  Out.Exclude = &this->TriedTargets;
  Out.Waits =
      this->InQueue ||
      (!this->Context.Queue.empty() && !this->AnswerBegun &&
       this->Context.Queue.waitingAhead(this->pool(), this->urgency()).Value >
           0);
  return Out;
}

bool Exchange::reconsider() {
  if (this->Ended || this->Runs > 0 || this->AnswerBegun || this->Target)
    return false;
  auto PaidBy = this->Resolved->limitedAccount();
  QueuePlace Before = this->queuePlace();
  if (!this->resolve())
    return false;
  // The route's timeout may have changed.
  this->armTimer();
  bool SamePayer = this->Resolved->limitedAccount() == PaidBy;
  bool SamePlace = !this->Admitted || this->queuePlace() == Before;
  if (SamePayer && SamePlace)
    return false;
  this->log(base::LogLevel::Info, "resolved-again",
            {{"catalog", this->Resolved->Catalog->Version.Value},
             {"service", this->Service.Value},
             {"account", this->accountId().Value},
             {"account_before", Before.Account.Value}});
  this->leaveQueue();
  if (!SamePayer) {
    this->stopAwaitingTokens();
    this->returnTokens();
    this->Admitted = false;
  }
  return true;
}

void Exchange::proceed() {
  if (this->Ended)
    return;
  if (this->Admitted)
    this->dispatch();
  else
    this->admit();
}

bool Exchange::selectTarget() {
  dispatch::TargetChoice Choice =
      this->Context.Selector.choose(this->query(), this->now());
  if (auto *Found = std::get_if<dispatch::SendTo>(&Choice)) {
    this->SelectedTarget = Found->Target;
    return true;
  }
  this->SelectedTarget.reset();
  using dispatch::WaitFor;
  auto *AllFull = std::get_if<dispatch::AllFull>(&Choice);
  bool Full = AllFull != nullptr;
  this->CapacityAt = Full ? AllFull->Until : std::nullopt;
  bool Missing = std::holds_alternative<dispatch::NotHeld>(Choice);
  if ((Full || Missing) && this->TriedTargets.empty())
    this->Context.Selector.onNoPlace(this->query(), this->now());
  this->WaitsFor = Full      ? WaitFor::Capacity
                   : Missing ? WaitFor::Item
                             : WaitFor::Target;
  return false;
}

void Exchange::dispatch() {
  if (this->Ended || this->refuseIfStopping() || this->refuseIfQuarantined())
    return;
  if (this->selectTarget()) {
    this->sendToSelected();
    return;
  }
  if (!this->Ended)
    this->queueOrRefuse();
}

void Exchange::sendToSelected() {
  this->InQueue = false;
  base::TargetId To = *std::exchange(this->SelectedTarget, std::nullopt);
  this->send(To);
}

/// How much longer the caller waits for a first answer.
milliseconds Exchange::patience() const {
  base::TimePoint Now = this->now();
  return this->Context.Waits.patience(
      this->route(),
      std::chrono::duration_cast<milliseconds>(Now - this->ReceivedAt),
      std::chrono::duration_cast<milliseconds>(this->Deadline - Now));
}

/// Duration of a load of the missing model or adapter that has not begun. An
/// adapter of a model that is held loads almost at once.
milliseconds Exchange::loadTime() const {
  const catalog::Service *Of = this->Resolved->Catalog->service(this->Service);
  bool Held = this->Context.Selector.isModelHeld(this->query(), this->now());
  if (Of == nullptr || !Of->Engine || Held)
    return milliseconds(0);
  auto Model = Of->Engine->Models.find(this->Facts.Model);
  return Model == Of->Engine->Models.end() ? milliseconds(0)
                                           : Model->second.StoreLoad;
}

dispatch::WaitContext Exchange::waitContext() const {
  base::TimePoint Now = this->now();
  dispatch::WaitContext Out;
  Out.For = this->WaitsFor;
  Out.Patience = this->patience();
  Out.Objective = this->route().Objective;
  if (this->CapacityAt)
    Out.CapacityIn = std::max(
        milliseconds(1),
        std::chrono::duration_cast<milliseconds>(*this->CapacityAt - Now));
  Out.Ahead = this->Context.Waiting.size();
  if (auto Rate = this->Context.EndRates.find(this->Service);
      Rate != this->Context.EndRates.end())
    Out.EndsPerSecond = Rate->second.perSecond(Now);
  if (auto At =
          this->Context.Selector.loadedAt(this->Service, this->Facts.Model))
    Out.LoadedIn = std::max(
        milliseconds(0), std::chrono::duration_cast<milliseconds>(*At - Now));
  Out.LoadTime = this->loadTime();
  return Out;
}

void Exchange::queueOrRefuse() {
  // The caller of a stream that has begun waits for a target in any case.
  if (milliseconds Patience = this->resumptionPatience();
      Patience > MinAttemptTime)
    return this->joinQueue(Patience);
  dispatch::WaitDecision Decision =
      this->Context.Waits.decide(this->waitContext());
  std::visit(base::Visitor{[this](const dispatch::WaitUpTo &Wait) {
                             this->joinQueue(Wait.Limit);
                           },
                           [this](const dispatch::RefuseNow &Refused) {
                             this->endWithoutTarget(Refused);
                           }},
             Decision);
}

void Exchange::joinQueue(milliseconds Limit) {
  base::TimePoint Now = this->now();
  admission::QueueEntry Entry;
  Entry.Request = this->LocalId;
  Entry.Account = this->accountId();
  Entry.Priority = this->urgency();
  Entry.Cost = base::Tokens{std::max<std::int64_t>(
      1, this->Facts.PromptTokens.value_or(base::Tokens{1}).Value)};
  Entry.Pool = this->pool();
  Entry.Deadline = Now + Limit;
  this->InQueue = true;
  this->Context.Waiting[this->LocalId] = this->shared_from_this();
  this->Context.Queue.push(std::move(Entry));
  this->Context.QueueGrew();
  this->log(base::LogLevel::Info, "waits",
            {{"for", dispatch::waitForName(this->WaitsFor)},
             {"limit_ms", Limit.count()},
             {"line", this->Context.Waiting.size()}});
  if (this->WaitsFor == dispatch::WaitFor::Item)
    this->Context.Wanted();
}

void Exchange::onWaitExpired() {
  this->InQueue = false;
  this->endWithoutTarget(this->Context.Waits.afterWait(this->waitContext()));
}

/// Ends a request for which there is no target.
void Exchange::endWithoutTarget(const dispatch::RefuseNow &Why) {
  if (this->AnswerBegun)
    this->abort("no-target-to-resume");
  else if (this->Runs > 0)
    this->refuse(BadGateway, "no-target-to-repeat");
  else
    this->refuse(Unavailable, Why.Reason, this->addJitter(Why.RetryAfter));
}

std::optional<std::pair<catalog::ServiceId, residency::Item>>
Exchange::missingItem() const {
  if (!this->InQueue || this->WaitsFor != dispatch::WaitFor::Item)
    return std::nullopt;
  return std::make_pair(
      this->Service, residency::Item{this->Facts.Model, this->Facts.Adapter});
}

void Exchange::leaveQueue() {
  if (!std::exchange(this->InQueue, false))
    return;
  this->Context.Queue.remove(this->LocalId);
  this->Context.Waiting.erase(this->LocalId);
}

// --- Sending ---------------------------------------------------------------

unsigned Exchange::urgency() const {
  return urgencyOf(this->route(), this->account());
}

SendFacts Exchange::sendFacts(base::TimePoint Now) const {
  SendFacts Out;
  if (this->Target)
    Out.Target = *this->Target;
  Out.TimeLeft = std::max(std::chrono::milliseconds(1),
                          std::chrono::duration_cast<std::chrono::milliseconds>(
                              this->Deadline - Now));
  Out.Account = this->accountId();
  Out.Urgency = this->urgency();
  if (this->AnswerBegun)
    Out.LastEventId = this->Events.lastId();
  return Out;
}

void Exchange::send(const base::TargetId &To) {
  const catalog::Target *Listed = this->Context.Selector.find(To);
  base::TimePoint Now = this->now();
  this->Target = To;
  this->SentAt = this->ProgressAt = Now;
  this->State = AnswerState::NoAnswer;
  this->Held.clear();
  this->DiscardedBytes = 0;
  this->SilenceCheckAt = {};
  this->RetryRefused = false;
  this->Events.discardIncomplete();
  unsigned Current = ++this->Attempt;
  http::Peer &Peer = this->TargetPeer;
  this->TargetLifetime = Listed->Entry.Lifetime;
  Peer.Name = To.Value + "/" + std::to_string(Listed->Entry.Lifetime.Value) +
              "@" + Listed->Entry.Address.text();
  Peer.Address = Listed->Entry.Address.Address;
  Peer.Port = Listed->Entry.Address.Port;
  http::ForwardRequest Request{
      this->Asked.Method, this->Asked.Target,
      this->Context.Protocol.requestHeaders(this->Asked, this->sendFacts(Now)),
      this->Body, this->RefusedOn};
  this->log(base::LogLevel::Info, "sent",
            {{"target", To.Value},
             {"attempt", Current},
             {"waited_ms", base::millisOf(Now - this->ReceivedAt)},
             {"catalog", this->Resolved->Catalog->Version.Value},
             {"catalog_proven_ms_ago",
              base::millisOf(Now - this->Context.CatalogProvenAt)},
             {"targets", this->Context.Targets->Revision},
             {"targets_age_ms", base::millisOf(Now - this->Context.TargetsAt)},
             {"targets_proven_ms_ago",
              base::millisOf(Now - this->Context.TargetsProvenAt)},
             {"heard_ms_ago", base::millisOf(Now - Listed->ReadAt)}});
  this->AnswerTimed = false;
  this->SentAs = {
      To, this->TargetLifetime, this->Context.Selector.load(To, Now),
      this->Context.Selector.slots(To),
      this->Context.Selector.expectedMillis(this->query(), To, Now)};
  if (this->countsArrivals())
    this->Context.Admission.onSent({this->Service, this->Facts.Model});
  this->Context.Selector.onSent(this->query(), To, Now);
  auto Guarded = [this, Current, Self = this->shared_from_this()](auto Take) {
    return [this, Current, Self, Take](const auto &What) {
      if (!this->Ended && this->Attempt == Current && this->Target)
        (this->*Take)(What);
    };
  };
  http::ForwardCallbacks Callbacks;
  Callbacks.OnHead = Guarded(&Exchange::onHead);
  Callbacks.OnData = Guarded(&Exchange::onData);
  Callbacks.OnDone = Guarded(&Exchange::onDone);
  this->Call = this->Context.Client->start(Peer, std::move(Request),
                                           std::move(Callbacks));
}

void Exchange::onHead(const http::MessageHead &NewHead) {
  this->Head = NewHead;
  this->HeadFacts = this->Context.Protocol.readAnswer(NewHead);
  this->ProgressAt = this->now();
  const AnswerFacts &Said = this->HeadFacts;
  this->recordTargetState(Said);
  bool Unrun = Said.NotRun || Said.Misdirected;
  bool OwnId = Said.Id == this->Facts.Id;
  // Without an id, an answer on a kept connection may be a surplus one to an
  // earlier request.
  bool OnlyOwn = Said.Id.empty() && !this->Call->reused();
  if (!OwnId && !(Unrun && OnlyOwn)) {
    this->failAttempt("crossed-answer");
    return;
  }
  if (Said.Load) {
    this->Context.Selector.onStatedLoad(*this->Target, *Said.Load, this->now());
    this->Context.Samples.onStatedLoad(*this->Target, this->TargetLifetime,
                                       *Said.Load, this->now());
  }
  if (Unrun) {
    this->State = AnswerState::Refused;
    this->RefusedOn.insert(this->Call->connection());
    return;
  }
  if (this->account() != nullptr && !std::exchange(this->CountedAsBegun, true))
    this->Context.countBegun(this->accountId(), this->now());
  bool Success = isSuccess(NewHead.Status);
  if (Success && !Said.Proven) {
    this->failAttempt("unproven-answer");
    return;
  }
  if (this->AnswerBegun && !this->isEventStream()) {
    this->failAttempt("resumption-failed");
    return;
  }
  bool TooLarge =
      NewHead.length().value_or(0) > this->Context.AnswerSizes.maxHeld();
  if (!Success || (!this->route().Streaming && !TooLarge)) {
    this->State = AnswerState::Held;
    return;
  }
  this->beginForwarding();
}

/// Records what the target states about itself. This is valid even if the
/// answer belongs to another request.
void Exchange::recordTargetState(const AnswerFacts &Said) {
  if (Said.Leaving) {
    this->Context.Selector.onLeaving(*this->Target, this->now());
    this->log(base::LogLevel::Info, "target-says-it-leaves",
              {{"target", this->Target->Value}});
  }
  if (Said.LoadUnreadable) {
    this->Context.Metrics.counter("target_load_unreadable").add();
    // Once for each lifetime, as all answers of such a target say so.
    catalog::Lifetime &Logged = this->Context.UnreadableLoads[*this->Target];
    if (std::exchange(Logged, this->TargetLifetime) != this->TargetLifetime)
      this->log(base::LogLevel::Warn, "target-load-unreadable",
                {{"target", this->Target->Value}});
  }
  if (Said.Wait) {
    this->Context.Selector.onAskedToWait(*this->Target, *Said.Wait,
                                         this->now());
    this->log(
        base::LogLevel::Info, "target-wants-no-requests",
        {{"target", this->Target->Value}, {"for_ms", Said.Wait->count()}});
  }
}

void Exchange::beginForwarding() {
  this->State = AnswerState::Forwarded;
  if (this->AnswerBegun)
    return;
  this->AnswerBegun = true;
  this->FirstByteAt = this->now();
  this->AnswerResumable =
      this->route().Repeats == catalog::Repetition::Resumable &&
      this->isEventStream();
  this->CallerFraming = this->Head.Framing;
  // A resumable stream may continue with another target's bytes, so that its
  // length is not known.
  if (this->AnswerResumable && this->Head.length())
    this->CallerFraming = http::Chunks{};
  this->Answer->beginStream(this->Head.Status,
                            this->Context.Protocol.answerHeaders(this->Head),
                            this->CallerFraming);
  this->Answer->onSent([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock(); Self && Self->Call)
      Self->Call->resume();
  });
}

void Exchange::recordAnswerTime() {
  if (!std::exchange(this->AnswerTimed, true))
    this->Context.Samples.onAnswered(this->SentAs, this->now() - this->SentAt);
}

void Exchange::recordUnansweredWait() {
  base::Duration Waited = this->now() - this->SentAt;
  if (Waited >
      std::chrono::duration<double, std::milli>(this->SentAs.ExpectedMillis))
    this->recordAnswerTime();
}

void Exchange::onData(std::string_view Bytes) {
  this->ProgressAt = this->now();
  if (this->State == AnswerState::Held || this->State == AnswerState::Forwarded)
    this->recordAnswerTime();
  switch (this->State) {
  case AnswerState::NoAnswer:
    return;
  case AnswerState::Refused:
    this->DiscardedBytes += Bytes.size();
    if (this->DiscardedBytes > this->Context.Settings.MaxPieceBytes)
      this->cancelRefusal();
    return;
  case AnswerState::Held:
    this->Held.append(Bytes);
    if (this->Held.size() > this->Context.AnswerSizes.maxHeld()) {
      this->beginForwarding();
      this->forwardPiece(std::exchange(this->Held, {}));
    }
    break;
  case AnswerState::Forwarded:
    this->forwardPiece(Bytes);
    break;
  }
  this->KeptMemory.record(this->Held.capacity() +
                          this->Events.incomplete().size());
}

/// Forwards whole events only, so that a stream that breaks off is not complete
/// in any framing, and can be resumed.
void Exchange::forwardPiece(std::string_view Bytes) {
  if (!this->isEventStream()) {
    this->forward(std::string(Bytes));
    return;
  }
  this->forward(this->Events.feed(Bytes));
  if (this->Events.incomplete().size() <= this->Context.AnswerSizes.maxPiece())
    return;
  if (this->AnswerResumable)
    this->failAttempt("event-too-large");
  else
    this->forward(this->Events.takeIncomplete());
}

bool Exchange::isEventStream() const {
  return forwarding::isEventStream(this->Head, this->route().Streaming);
}

void Exchange::cancelCall() {
  if (this->Call)
    this->Call->cancel();
  this->Call.reset();
}

/// Stops reading an oversized refusal, which remains valid as a refusal.
void Exchange::cancelRefusal() {
  this->cancelCall();
  this->endAttempt(dispatch::AttemptEnd::Refused);
  this->afterRefused();
}

void Exchange::forward(std::string Bytes) {
  if (Bytes.empty())
    return;
  this->ForwardedAt = this->now();
  this->Answer->write(std::move(Bytes));
  if (this->Call &&
      this->Answer->unsentBytes() > this->Context.AnswerSizes.maxUnsent())
    this->Call->pause();
}

void Exchange::onDone(const http::ForwardResult &Result) {
  this->Call.reset();
  this->AnswerEnd = Result.End;
  bool Closed = Result.End == http::ForwardEnd::Cut ||
                Result.End == http::ForwardEnd::ConnectionEnded;
  if (Closed && Result.MayHaveBeenSent)
    this->checkTargetEnd();
  bool Ended = Result.End == http::ForwardEnd::Complete ||
               Result.End == http::ForwardEnd::ConnectionEnded;
  if (!Ended) {
    this->endAttempt(dispatch::AttemptEnd::Broken);
    this->afterFailedAttempt(Result.MayHaveBeenSent, Result.Detail);
    return;
  }
  if (const char *Fault = this->endFault()) {
    this->endAttempt(dispatch::AttemptEnd::Broken);
    this->afterFailedAttempt(true, Fault);
    return;
  }
  switch (this->State) {
  case AnswerState::NoAnswer:
    this->endAttempt(dispatch::AttemptEnd::Broken);
    this->afterFailedAttempt(true, "no answer");
    return;
  case AnswerState::Refused:
    this->endAttempt(dispatch::AttemptEnd::Refused);
    this->afterRefused();
    return;
  case AnswerState::Held:
    this->endAttempt(this->Head.Status >= FirstServerError
                         ? dispatch::AttemptEnd::ServerError
                         : dispatch::AttemptEnd::Served);
    this->afterHeld();
    return;
  case AnswerState::Forwarded:
    this->endAttempt(dispatch::AttemptEnd::Served);
    this->afterForwarded();
    return;
  }
}

/// Why an answer that has ended is not to be passed on as an end; null if it
/// is.
const char *Exchange::endFault() {
  if (this->State == AnswerState::Held && this->isEventStream())
    this->Events.feed(this->Held);
  if (this->Events.insideEvent())
    return "ended-inside-event";
  if (this->State != AnswerState::Forwarded)
    return nullptr;
  // The continuation of a resumed stream may be framed otherwise than its
  // beginning, and the caller's answer can't be.
  bool NotStated = this->AnswerEnd == http::ForwardEnd::ConnectionEnded;
  bool MustState =
      !std::holds_alternative<http::UntilClose>(this->CallerFraming);
  return NotStated && MustState ? "end-not-stated" : nullptr;
}

void Exchange::failAttempt(const char *Why, RetryPayment Payment) {
  this->cancelCall();
  // A retry that was paid for goes before those that wait, which could take the
  // place that was found for it.
  bool Paid = Payment == RetryPayment::Taken;
  this->endAttempt(dispatch::AttemptEnd::Broken, !Paid);
  this->afterFailedAttempt(true, Why, Payment);
  if (Paid)
    this->Context.ServeQueue();
}

void Exchange::endAttempt(dispatch::AttemptEnd How, bool ServesQueue) {
  base::TimePoint Now = this->now();
  this->Context.Selector.onEnded(*this->Target, How, Now);
  bool Failed = How == dispatch::AttemptEnd::Broken ||
                How == dispatch::AttemptEnd::ServerError;
  if (Failed || How == dispatch::AttemptEnd::Served)
    this->Context.Samples.onEnded(*this->Target, this->TargetLifetime, Failed);
  if (How == dispatch::AttemptEnd::Broken)
    this->recordUnansweredWait();
  // An end that is not stated may be the target's own end.
  bool Proven = How == dispatch::AttemptEnd::Served &&
                isSuccess(this->Head.Status) &&
                this->AnswerEnd == http::ForwardEnd::Complete;
  if (Proven)
    this->Context.AnswerTimes.onAnswered(this->route().Id, Now - this->SentAt,
                                         Now);
  if (Proven && this->Context.Quarantine.onServed(this->SharedParts, Now))
    this->Context.TellEvidence();
  this->Context.EndRates[this->Service].count(Now);
  if (ServesQueue)
    this->Context.ServeQueue();
}

void Exchange::checkTargetEnd() {
  this->Context.EndCheck.onBrokenOff({*this->Target, this->TargetLifetime,
                                      this->TargetPeer, this->SharedParts,
                                      [Weak = this->weak_from_this()] {
                                        if (auto Self = Weak.lock())
                                          ++Self->EndedTargets;
                                      }});
}

// --- After an attempt ------------------------------------------------------

bool Exchange::mayRetry(unsigned RunsSoFar) const {
  bool Allowed = this->AnswerBegun
                     ? this->AnswerResumable
                     : this->route().Repeats != catalog::Repetition::Never;
  if (this->EndedTargets >= MaxEndedTargets && RunsSoFar > 1)
    return false;
  return Allowed && RunsSoFar < this->route().MaxAttempts &&
         this->now() + MinAttemptTime < this->Deadline;
}

bool Exchange::takeFromRetryBudget(unsigned RunsSoFar) {
  bool Paid = this->Context.Retries.take(this->Service, this->now());
  if (Paid && RunsSoFar > 0 && this->account() != nullptr)
    this->Context.Usage.charge(*this->account(), this->tokenCost(),
                               this->now());
  // A silent attempt asks again and again.
  if (!Paid && !std::exchange(this->RetryRefused, true))
    this->log(base::LogLevel::Info, "repeat-refused",
              {{"service", this->Service.Value}});
  return Paid;
}

void Exchange::afterRefused() {
  base::TargetId From = *std::exchange(this->Target, std::nullopt);
  ++this->Refusals;
  const auto &Load = this->HeadFacts.Load;
  this->log(base::LogLevel::Info, "refused-by-target",
            {{"target", From.Value},
             {"status", this->Head.Status},
             {"load", Load ? Load->Running + Load->Waiting : -1},
             {"slots", Load ? Load->Slots : -1},
             {"expected_load", this->SentAs.Load},
             {"after_ms", base::millisOf(this->now() - this->SentAt)},
             {"attempt", this->Attempt}});
  if (this->Facts.Model.empty())
    this->TriedTargets.insert(From);
  // An engine that refuses despite free slots has a load or unload order in
  // progress that concerns the model or adapter.
  bool Ordered = !this->Facts.Model.empty() && Load &&
                 Load->Running + Load->Waiting < Load->Slots;
  if (this->HeadFacts.Misdirected || Ordered)
    this->Context.Selector.onNotHeld(From, this->Facts.Model,
                                     this->Facts.Adapter, this->now());
  else {
    this->Context.Selector.onFull(From, this->now());
    this->Context.Samples.onFull(From, this->TargetLifetime);
    if (this->countsArrivals())
      this->Context.Admission.onFull({this->Service, this->Facts.Model});
  }
  bool Again = this->Refusals < MaxRefusals &&
               this->now() + MinAttemptTime < this->Deadline &&
               this->takeFromRetryBudget(this->Runs);
  if (Again) {
    this->dispatch();
    return;
  }
  if (this->Refusals < MaxRefusals && this->waitToResume("resumption-refused"))
    return;
  if (this->AnswerBegun)
    this->abort("resumption-refused");
  else if (this->Runs > 0)
    this->refuse(BadGateway, "refused-by-target");
  else
    this->refuse(
        Unavailable, "refused-by-target",
        this->addJitter(this->Context.Settings.Waits.DefaultRetryAfter));
}

void Exchange::afterHeld() {
  base::TargetId From = *std::exchange(this->Target, std::nullopt);
  ++this->Runs;
  bool Failed = this->Head.Status >= FirstServerError;
  if (Failed && this->mayRetry(this->Runs) &&
      this->takeFromRetryBudget(this->Runs)) {
    this->log(base::LogLevel::Info, "repeats",
              {{"target", From.Value}, {"status", this->Head.Status}});
    this->TriedTargets.insert(From);
    this->dispatch();
    return;
  }
  http::Response Whole{this->Head.Status,
                       this->Context.Protocol.answerHeaders(this->Head),
                       std::move(this->Held)};
  if (this->AnswerEnd == http::ForwardEnd::ConnectionEnded)
    Whole.EndedBy = http::BodyEnd::Connection;
  this->Answer->respond(Whole);
  this->end(Failed ? "failed-by-target" : "answered", this->Head.Status, "");
}

void Exchange::afterForwarded() {
  this->Target.reset();
  ++this->Runs;
  this->Answer->write(this->Events.incomplete());
  this->Answer->finish();
  this->end("answered", this->Head.Status, "");
}

void Exchange::afterFailedAttempt(bool MayHaveRun, const std::string &Why,
                                  RetryPayment Payment) {
  base::TargetId From = *std::exchange(this->Target, std::nullopt);
  this->TriedTargets.insert(From);
  this->Runs += MayHaveRun ? 1 : 0;
  this->log(base::LogLevel::Warn, "attempt-broken",
            {{"target", From.Value},
             {"attempt", this->Attempt},
             {"may_have_run", MayHaveRun},
             {"framing", this->framingForLog()},
             {"within_event", this->Events.insideEvent()},
             {"why", Why},
             {"parts", dispatch::partNames(this->SharedParts)},
             {"after_ms", base::millisOf(this->now() - this->SentAt)}});
  if (!MayHaveRun && !this->AnswerBegun &&
      this->now() + MinAttemptTime < this->Deadline) {
    this->dispatch();
    return;
  }
  if (MayHaveRun && this->mayRetry(this->Runs)) {
    if (Payment == RetryPayment::Taken || this->takeFromRetryBudget(this->Runs))
      return this->dispatch();
    if (this->waitToResume("target-broke-off"))
      return;
  }
  if (this->AnswerBegun)
    this->abort("target-broke-off");
  else if (this->Runs > 0)
    this->refuse(BadGateway, "target-broke-off");
  else
    this->refuse(
        Unavailable, "no-connection",
        this->addJitter(this->Context.Settings.Waits.DefaultRetryAfter));
}

/// How much longer the caller waits for the next event of a stream that has
/// begun and can be resumed; nothing otherwise.
milliseconds Exchange::resumptionPatience() const {
  if (!this->AnswerBegun || !this->AnswerResumable)
    return milliseconds(0);
  base::TimePoint Now = this->now();
  return this->Context.Waits.patience(
      this->route(),
      std::chrono::duration_cast<milliseconds>(Now - this->ForwardedAt),
      std::chrono::duration_cast<milliseconds>(this->Deadline - Now));
}

bool Exchange::waitToResume(std::string_view Reason) {
  milliseconds Patience = this->resumptionPatience();
  if (Patience <= MinAttemptTime)
    return false;
  base::TimePoint Now = this->now();
  this->Resumption.wait(Now + Patience, Reason, Now);
  this->armTimer();
  return true;
}

void Exchange::retryResumption() {
  std::string_view Reason = this->Resumption.reason();
  bool GivenUp = this->Resumption.isGivenUp(this->now());
  this->Resumption.stop();
  if (!GivenUp && this->takeFromRetryBudget(this->Runs))
    this->dispatch();
  else if (GivenUp || !this->waitToResume(Reason))
    this->abort(Reason);
}

// --- Time ------------------------------------------------------------------

/// Returns whether another target can take the request now. Silence alone is no
/// reason to end an attempt.
bool Exchange::hasAlternativeTarget() {
  std::set<base::TargetId> Others = this->TriedTargets;
  Others.insert(*this->Target);
  dispatch::TargetQuery Query = this->query();
  Query.Exclude = &Others;
  return std::holds_alternative<dispatch::SendTo>(
      this->Context.Selector.choose(Query, this->now()));
}

std::chrono::milliseconds Exchange::silenceLimit() const {
  const ForwarderSettings &Settings = this->Context.Settings;
  auto Objective = this->AnswerBegun ? this->route().PauseObjective
                                     : this->route().Objective;
  double Slowness =
      this->Target ? this->Context.Selector.slowness(*this->Target, this->now())
                   : 1;
  auto Usual = std::max(Settings.MinSilence,
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            Objective * Settings.SilenceObjectives));
  // A slow target that works is silent for longer than others.
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Usual * std::clamp(Slowness, 1.0, Settings.MaxSilenceFactor));
}

void Exchange::armTimer() {
  base::TimePoint Now = this->now();
  base::Duration Next = this->Deadline - Now;
  if (this->Target && this->mayRetry(this->Runs + 1))
    Next = std::min<base::Duration>(
        Next, std::max(this->ProgressAt + this->silenceLimit(),
                       this->SilenceCheckAt) -
                  Now);
  else if (this->route().Repeats != catalog::Repetition::Never)
    Next = std::min<base::Duration>(Next, this->silenceLimit());
  if (auto RetryAt = this->Resumption.dueAt())
    Next = std::min(Next, *RetryAt - Now);
  // Nothing else keeps an exchange without a call that is not in the queue.
  auto Kept = this->Resumption.isWaiting() ? this->shared_from_this() : nullptr;
  this->Timer.expires_after(
      std::max<base::Duration>(Next, std::chrono::milliseconds(1)));
  this->Timer.async_wait(
      [Weak = this->weak_from_this(), Kept](asio::error_code Failed) {
        auto Self = Weak.lock();
        if (Self && !Failed && !Self->Ended)
          Self->onTimer();
      });
}

void Exchange::onTimer() {
  base::TimePoint Now = this->now();
  if (Now >= this->Deadline) {
    if (this->AnswerBegun)
      this->abort("timeout");
    else if (this->Target || this->Runs > 0)
      this->refuse(GatewayTimeout, "timeout");
    else
      this->refuse(
          Unavailable, "timeout",
          this->addJitter(this->Context.Settings.Waits.DefaultRetryAfter));
    return;
  }
  if (this->Resumption.isDue(Now))
    this->retryResumption();
  bool Silent = this->Target && Now >= this->ProgressAt + this->silenceLimit();
  if (Silent && this->mayReplaceAttempt())
    this->failAttempt("silence", RetryPayment::Taken);
  else if (Silent)
    this->SilenceCheckAt = Now + SilenceRecheck;
  if (!this->Ended)
    this->armTimer();
}

/// Whether a silent attempt may be given up for another one. What is running is
/// kept unless a target can take the request and the budget has granted the
/// retry, as giving it up first could leave the caller with a cut answer.
bool Exchange::mayReplaceAttempt() {
  return this->mayRetry(this->Runs + 1) && this->hasAlternativeTarget() &&
         this->takeFromRetryBudget(this->Runs + 1);
}

// --- The end ---------------------------------------------------------------

/// Adds jitter to a retry time, so that callers do not all retry at the same
/// moment.
std::chrono::milliseconds
Exchange::addJitter(std::chrono::milliseconds Time) const {
  std::uniform_real_distribution<double> Draw(1, 1 + MaxJitter);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Time * Draw(this->Context.Random));
}

void Exchange::refuse(int Status, std::string_view Reason,
                      std::optional<std::chrono::milliseconds> RetryAfter) {
  if (this->Ended)
    return;
  Refusal Why{Status, Reason, RetryAfter};
  this->Answer->respond(this->Context.Protocol.refusal(this->Facts.Id, Why));
  this->end("refused", Status, Reason);
}

void Exchange::abort(std::string_view Reason) {
  if (this->Ended)
    return;
  this->Answer->abort();
  this->end("broken-off", this->Head.Status, Reason);
}

void Exchange::callerGone() {
  if (!this->Ended)
    this->end("caller-gone", 0, "");
}

void Exchange::end(std::string_view Outcome, int Status,
                   std::string_view Reason) {
  this->Ended = true;
  auto Self = this->shared_from_this();
  bool CertainlyUnrun = this->Runs == 0 && !this->Target;
  if (CertainlyUnrun)
    this->returnTokens();
  this->leaveQueue();
  this->Resumption.stop();
  this->stopAwaitingTokens();
  this->Timer.cancel();
  this->cancelCall();
  base::TimePoint Now = this->now();
  std::string RouteName = this->routeId().Value;
  this->Context.Metrics
      .counter("requests", {{"route", RouteName},
                            {"outcome", std::string(Outcome)},
                            {"status", std::to_string(Status)}})
      .add();
  this->Context.Metrics.histogram("request_ms", {{"route", RouteName}})
      .add(Now - this->ReceivedAt);
  if (this->FirstByteAt)
    this->Context.Metrics.histogram("first_byte_ms", {{"route", RouteName}})
        .add(*this->FirstByteAt - this->ReceivedAt);
  nlohmann::json Fields = {{"outcome", Outcome},
                           {"status", Status},
                           {"after_ms", base::millisOf(Now - this->ReceivedAt)},
                           {"attempts", this->Attempt}};
  if (!Reason.empty())
    Fields["reason"] = Reason;
  if (this->AnswerEnd) {
    Fields["framing"] = this->framingForLog();
    Fields["target_end"] = http::endName(*this->AnswerEnd);
  }
  if (this->FirstByteAt)
    Fields["first_byte_ms"] =
        base::millisOf(*this->FirstByteAt - this->ReceivedAt);
  if (!RouteName.empty())
    Fields["route"] = RouteName;
  if (this->Rejection)
    Fields["catalog"] = this->Rejection->Version.Value;
  else if (this->Resolved)
    Fields["catalog"] = this->Resolved->Catalog->Version.Value;
  if (this->account() != nullptr)
    Fields["account"] = this->accountId().Value;
  if (this->Credit) {
    Fields["credit"] = dispatch::creditShortageName(this->Credit->Why);
    Fields["credit_held"] = this->Credit->Held;
    Fields["holder_ms_ago"] = base::millisOf(this->Credit->SinceContact);
    if (this->Credit->SinceGrant)
      Fields["grant_ms_ago"] = base::millisOf(*this->Credit->SinceGrant);
  }
  if (!this->Facts.Model.empty())
    Fields["model"] = this->Facts.Model.Value;
  if (!this->Facts.Adapter.empty())
    Fields["adapter"] = this->Facts.Adapter.Value;
  this->log(base::LogLevel::Info, "ended", std::move(Fields));
  if (this->Target) {
    base::TargetId From = *std::exchange(this->Target, std::nullopt);
    this->recordUnansweredWait();
    this->Context.Selector.onEnded(From, dispatch::AttemptEnd::Cancelled, Now);
    this->Context.ServeQueue();
  }
}

base::RouteId Exchange::routeId() const {
  if (this->Resolved)
    return this->Resolved->Route->Id;
  return this->Rejection ? this->Rejection->Route : base::RouteId{};
}

base::AccountId Exchange::accountId() const {
  const catalog::Account *Of = this->account();
  return Of == nullptr ? base::AccountId{} : Of->Id;
}

std::string_view Exchange::framingForLog() const {
  return this->State == AnswerState::NoAnswer
             ? ""
             : http::framingName(this->Head.Framing);
}

void Exchange::log(base::LogLevel Level, std::string_view Event,
                   nlohmann::json Fields) const {
  Fields["request"] = this->Facts.Id.Value;
  base::logEvent(Level, Event, Fields);
}

} // namespace kingcuphub::forwarding
