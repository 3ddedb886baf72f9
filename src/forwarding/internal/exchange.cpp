#include "exchange.h"

#include "base/log.h"
#include "base/visitor.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::forwarding {

namespace {

using std::chrono::milliseconds;

constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
constexpr int ServerErrors = 500;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// Targets that may refuse a request unrun before it is refused as a whole.
constexpr unsigned MaxUnrun = 6;
/// A caller that comes back is taken to another instance by the balancer.
constexpr std::chrono::milliseconds ComeBackElsewhere{50};
/// Time below which another attempt is not worth its load.
constexpr std::chrono::milliseconds LeastAttempt{30};
/// Engine time of a prompt token and of a generated one in a usual batch; only
/// the proportions between models matter.
constexpr double PromptTokenMillis = 0.03;
constexpr double OutputTokenMillis = 0.25;
constexpr double PlainRequestMillis = 10;
/// Requests of one rank whose objective is this long come after the others.
constexpr std::chrono::milliseconds RelaxedObjective{1000};
constexpr unsigned RelaxedUrgency = 3;
constexpr unsigned UrgencyPerRank = 2;
constexpr unsigned LeastUrgent = 9;
constexpr double MaxSpread = 0.25;

std::string_view hostName(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

Exchange::Exchange(TrafficContext &Context, http::Request NewAsked,
                   http::ResponseWriterPtr NewAnswer)
    : Context(Context), Asked(std::move(NewAsked)),
      Body(std::make_shared<const std::string>(std::move(this->Asked.Body))),
      Answer(std::move(NewAnswer)), ReceivedAt(Context.Clock.now()),
      AnswerBy(this->ReceivedAt), Timer(Context.Loop) {
  this->Number.Value = std::to_string(this->Context.NextNumber++);
  ++this->Context.Open;
}

Exchange::~Exchange() { --this->Context.Open; }

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
  if (this->Context.RefusesNew) {
    this->refuse(Unavailable, "stopping", ComeBackElsewhere);
    return;
  }
  if (!this->Context.Catalog || !this->Context.Targets) {
    this->refuse(Unavailable, "starting",
                 this->Context.Settings.Waits.DefaultRetryAfter);
    return;
  }
  if (!this->resolve())
    return;
  this->watch();
  this->admit();
}

/// Finds route and account in the newest catalog; refuses if there are none.
bool Exchange::resolve() {
  this->Catalog = this->Context.Catalog;
  this->Route = this->Catalog->route(hostName(this->Asked.header("Host")),
                                     this->Asked.Path);
  if (this->Route == nullptr || this->Route->Services.empty()) {
    this->denyBy(NotFound, "no-route");
    return false;
  }
  if (!this->resolveAccount())
    return false;
  this->AnswerBy = this->ReceivedAt + this->Route->Timeout;
  if (this->Facts.TimeLeft)
    this->AnswerBy =
        std::min(this->AnswerBy, this->ReceivedAt + *this->Facts.TimeLeft);
  this->chooseService();
  return true;
}

bool Exchange::resolveAccount() {
  this->Account = nullptr;
  if (this->Route->Public || this->Catalog->Accounts.empty())
    return true;
  this->Account = this->Catalog->accountOfSecret(this->Facts.Secret);
  if (this->Account != nullptr)
    return true;
  this->denyBy(Unauthorized, "unknown-key");
  return false;
}

void Exchange::denyBy(int Status, std::string_view Reason) {
  const ForwarderSettings &Settings = this->Context.Settings;
  bool Proven =
      this->now() < this->Context.CatalogProvenAt + Settings.CatalogProofFor;
  if (Proven)
    this->refuse(Status, Reason);
  else
    this->refuse(Unavailable, "catalog-unproven",
                 Settings.Waits.DefaultRetryAfter);
}

void Exchange::chooseService() {
  std::int64_t Whole = 0;
  for (const catalog::ServicePart &Each : this->Route->Services)
    Whole += std::max<std::int64_t>(0, Each.Weight);
  this->Service = this->Route->Services.front().Service;
  if (Whole <= 0)
    return;
  std::uniform_int_distribution<std::int64_t> Draw(0, Whole - 1);
  std::int64_t Left = Draw(this->Context.Random);
  for (const catalog::ServicePart &Each : this->Route->Services) {
    Left -= std::max<std::int64_t>(0, Each.Weight);
    if (Left < 0) {
      this->Service = Each.Service;
      return;
    }
  }
}

std::int64_t Exchange::amount() const {
  if (!this->Account->CountsTokens)
    return 1;
  if (!this->Facts.PromptTokens)
    return this->Account->PlainTokens;
  return (*this->Facts.PromptTokens + this->Facts.MaxOutputTokens).Value;
}

void Exchange::admit() {
  if (this->Account == nullptr || this->Account->RatePerSecond <= 0) {
    this->admitted();
    return;
  }
  base::TimePoint Now = this->now();
  admission::TokenWait Wait;
  Wait.Request = this->Number;
  Wait.Account = this->Account->Id;
  Wait.Cost = base::Tokens{this->amount()};
  Wait.StartBy =
      Now + std::chrono::duration_cast<base::Duration>(
                this->patience() * this->Context.Settings.TokenWaitPart);
  this->Context.Unadmitted[this->Number] = this->shared_from_this();
  this->Context.Usage.add(*this->Account, std::move(Wait), Now);
  this->Context.Admit();
}

void Exchange::admitted() {
  this->UsageTaken = this->Account != nullptr;
  this->countUse();
  this->dispatch();
}

void Exchange::overLimit(std::chrono::milliseconds RetryAfter) {
  this->refuse(TooManyRequests, "account-limit", RetryAfter);
}

void Exchange::countUse() {
  this->Context.Repeats.onRequest(this->Service, this->ReceivedAt);
  if (this->Facts.Model.empty())
    return;
  residency::Item What{this->Facts.Model, this->Facts.Adapter};
  residency::ItemUse &Use = this->Context.Use[{this->Service, What}];
  double Millis = PlainRequestMillis;
  if (this->Facts.PromptTokens)
    Millis = static_cast<double>(this->Facts.PromptTokens->Value) *
                 PromptTokenMillis +
             static_cast<double>(this->Facts.MaxOutputTokens.Value) *
                 OutputTokenMillis;
  Use.Work += std::chrono::duration<double, std::milli>(Millis);
  ++Use.Arrived;
}

// --- Placing ---------------------------------------------------------------

dispatch::TargetQuery Exchange::query() const {
  dispatch::TargetQuery Out;
  Out.Service = this->Service;
  Out.Model = this->Facts.Model;
  Out.Adapter = this->Facts.Adapter;
  Out.Prompt = &this->Facts.Prompt;
  Out.Exclude = &this->Tried;
  return Out;
}

void Exchange::reconsider() {
  if (this->Runs == 0 && !this->Begun && !this->Target)
    this->resolve();
}

bool Exchange::canBeSent() {
  dispatch::TargetChoice Choice =
      this->Context.Board.choose(this->query(), this->now());
  if (auto *Found = std::get_if<dispatch::SendTo>(&Choice)) {
    this->Chosen = Found->Target;
    return true;
  }
  this->Chosen.reset();
  using dispatch::WaitFor;
  auto *AllFull = std::get_if<dispatch::AllFull>(&Choice);
  bool Full = AllFull != nullptr;
  this->CapacityAt = Full ? AllFull->Until : std::nullopt;
  bool Lacks = std::holds_alternative<dispatch::NotHeld>(Choice);
  this->WaitsFor = Full    ? WaitFor::Capacity
                   : Lacks ? WaitFor::Item
                           : WaitFor::Target;
  return false;
}

void Exchange::dispatch() {
  if (this->Ended)
    return;
  if (this->canBeSent()) {
    this->sendNow();
    return;
  }
  if (!this->Ended)
    this->enqueue();
}

void Exchange::sendNow() {
  this->InLine = false;
  base::TargetId To = *std::exchange(this->Chosen, std::nullopt);
  this->send(To);
}

/// How long the caller goes on waiting for a first answer.
milliseconds Exchange::patience() const {
  base::TimePoint Now = this->now();
  return this->Context.Waits.patience(
      *this->Route,
      std::chrono::duration_cast<milliseconds>(Now - this->ReceivedAt),
      std::chrono::duration_cast<milliseconds>(this->AnswerBy - Now));
}

/// How long a load of what the request lacks takes, if it has not begun: an
/// adapter of a model that is held comes at once.
milliseconds Exchange::loadTime() const {
  const catalog::Service *Of = this->Catalog->service(this->Service);
  bool Held = this->Context.Board.isModelHeld(this->query(), this->now());
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
  Out.Objective = this->Route->Objective;
  if (this->CapacityAt)
    Out.CapacityIn = std::max(
        milliseconds(1),
        std::chrono::duration_cast<milliseconds>(*this->CapacityAt - Now));
  Out.Ahead = this->Context.Waiting.size();
  if (auto Rate = this->Context.EndRates.find(this->Service);
      Rate != this->Context.EndRates.end())
    Out.EndsPerSecond = Rate->second.perSecond(Now);
  if (auto At = this->Context.Board.loadedAt(this->Service, this->Facts.Model))
    Out.LoadedIn = std::max(
        milliseconds(0), std::chrono::duration_cast<milliseconds>(*At - Now));
  Out.LoadTime = this->loadTime();
  return Out;
}

void Exchange::enqueue() {
  dispatch::WaitDecision Decision =
      this->Context.Waits.decide(this->waitContext());
  std::visit(base::Visitor{[this](const dispatch::WaitUpTo &Wait) {
                             this->standInLine(Wait.Limit);
                           },
                           [this](const dispatch::RefuseNow &Refused) {
                             this->giveUp(Refused);
                           }},
             Decision);
}

void Exchange::standInLine(milliseconds Limit) {
  base::TimePoint Now = this->now();
  admission::QueueEntry Entry;
  Entry.Request = this->Number;
  Entry.Account =
      this->Account == nullptr ? base::AccountId{} : this->Account->Id;
  Entry.Priority = this->sendFacts(Now).Urgency;
  Entry.Cost = base::Tokens{std::max<std::int64_t>(
      1, this->Facts.PromptTokens.value_or(base::Tokens{1}).Value)};
  Entry.Pool = this->Service.Value + "|" + this->Facts.Model.Value + "|" +
               this->Facts.Adapter.Value;
  Entry.Deadline = Now + Limit;
  this->InLine = true;
  this->Context.Waiting[this->Number] = this->shared_from_this();
  this->Context.Queue.push(std::move(Entry));
  this->Context.LineGrew();
  this->log(base::LogLevel::Info, "waits",
            {{"for", dispatch::waitForName(this->WaitsFor)},
             {"limit_ms", Limit.count()},
             {"line", this->Context.Waiting.size()}});
  if (this->WaitsFor == dispatch::WaitFor::Item)
    this->Context.Wanted();
}

void Exchange::waitedTooLong() {
  this->InLine = false;
  this->giveUp(this->Context.Waits.afterWait(this->waitContext()));
}

/// Ends a request that no target takes.
void Exchange::giveUp(const dispatch::RefuseNow &Why) {
  if (this->Begun)
    this->abort("no-target-to-resume");
  else if (this->Runs > 0)
    this->refuse(BadGateway, "no-target-to-repeat");
  else
    this->refuse(Unavailable, Why.Reason, this->spread(Why.RetryAfter));
}

std::optional<std::pair<catalog::ServiceId, residency::Item>>
Exchange::lacking() const {
  if (!this->InLine || this->WaitsFor != dispatch::WaitFor::Item)
    return std::nullopt;
  return std::make_pair(
      this->Service, residency::Item{this->Facts.Model, this->Facts.Adapter});
}

void Exchange::leaveLine() {
  if (!std::exchange(this->InLine, false))
    return;
  this->Context.Queue.remove(this->Number);
  this->Context.Waiting.erase(this->Number);
}

// --- Sending ---------------------------------------------------------------

SendFacts Exchange::sendFacts(base::TimePoint Now) const {
  SendFacts Out;
  if (this->Target)
    Out.Target = *this->Target;
  Out.TimeLeft = std::max(std::chrono::milliseconds(1),
                          std::chrono::duration_cast<std::chrono::milliseconds>(
                              this->AnswerBy - Now));
  unsigned Rank = this->Route->Rank;
  if (this->Account != nullptr) {
    Out.Account = this->Account->Id;
    Rank = this->Account->Rank.value_or(Rank);
  }
  unsigned Relaxed =
      this->Route->Objective >= RelaxedObjective ? RelaxedUrgency : 0;
  Out.Urgency = std::min(LeastUrgent, Rank * UrgencyPerRank + Relaxed);
  if (this->Begun)
    Out.LastEventId = this->Events.lastId();
  return Out;
}

void Exchange::send(const base::TargetId &To) {
  const catalog::Target *Listed = this->Context.Board.find(To);
  base::TimePoint Now = this->now();
  this->Target = To;
  this->SentAt = this->ProgressAt = Now;
  this->Receiving = Mode::Silent;
  this->Held.clear();
  this->Dropped = 0;
  unsigned Current = ++this->Attempt;
  http::Peer Peer;
  Peer.Name = To.Value + "/" + std::to_string(Listed->Entry.Lifetime.Value) +
              "@" + Listed->Entry.Address.text();
  Peer.Address = Listed->Entry.Address.Address;
  Peer.Port = Listed->Entry.Address.Port;
  http::ForwardRequest Request{
      this->Asked.Method, this->Asked.Target,
      this->Context.Protocol.requestHeaders(this->Asked, this->sendFacts(Now)),
      this->Body};
  this->log(base::LogLevel::Info, "sent",
            {{"target", To.Value},
             {"attempt", Current},
             {"waited_ms", base::millisOf(Now - this->ReceivedAt)},
             {"catalog", this->Catalog->Version.Value},
             {"targets", this->Context.Targets->Revision},
             {"targets_age_ms", base::millisOf(Now - this->Context.TargetsAt)},
             {"heard_ms_ago", base::millisOf(Now - Listed->ReadAt)}});
  this->Context.Board.onSent(this->query(), To, Now);
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
  this->noteWordOfTarget(Said);
  bool Unrun = Said.NotRun || Said.Misdirected;
  bool OwnId = Said.Id == this->Facts.Id;
  if (!OwnId && !(Unrun && Said.Id.empty())) {
    this->breakAttempt("crossed-answer");
    return;
  }
  if (Said.Load)
    this->Context.Board.onStatedLoad(*this->Target, *Said.Load, this->now());
  if (Unrun) {
    this->Receiving = Mode::Refused;
    return;
  }
  bool Success = isSuccess(NewHead.Status);
  if (Success && !Said.Proven) {
    this->breakAttempt("unproven-answer");
    return;
  }
  if (this->Begun && !Success) {
    this->breakAttempt("resumption-failed");
    return;
  }
  bool TooLarge =
      NewHead.Length && *NewHead.Length > this->Context.Settings.HoldBytes;
  if (!Success || (!this->Route->Streaming && !TooLarge)) {
    this->Receiving = Mode::Held;
    return;
  }
  this->beginPassing();
}

/// What the target wants from now on, whosever answer says it.
void Exchange::noteWordOfTarget(const AnswerFacts &Said) {
  if (Said.Leaving) {
    this->Context.Board.onLeaving(*this->Target, this->now());
    this->log(base::LogLevel::Info, "target-says-it-leaves",
              {{"target", this->Target->Value}});
  }
  if (Said.Wait) {
    this->Context.Board.onAskedToWait(*this->Target, *Said.Wait, this->now());
    this->log(
        base::LogLevel::Info, "target-wants-no-requests",
        {{"target", this->Target->Value}, {"for_ms", Said.Wait->count()}});
  }
}

void Exchange::beginPassing() {
  this->Receiving = Mode::Passed;
  if (this->Begun)
    return;
  this->Begun = true;
  this->FirstByteAt = this->now();
  // A resumable stream may go on with another target's bytes.
  bool SameLength = this->Route->Repeats != catalog::Repetition::Resumable;
  this->Answer->beginStream(this->Head.Status,
                            this->Context.Protocol.answerHeaders(this->Head),
                            SameLength ? this->Head.Length : std::nullopt);
  this->Answer->onSent([Weak = this->weak_from_this()] {
    if (auto Self = Weak.lock(); Self && Self->Call)
      Self->Call->resume();
  });
}

void Exchange::onData(std::string_view Bytes) {
  this->ProgressAt = this->now();
  switch (this->Receiving) {
  case Mode::Silent:
    return;
  case Mode::Refused:
    this->Dropped += Bytes.size();
    if (this->Dropped > this->Context.Settings.MaxPieceBytes)
      this->cutRefusal();
    return;
  case Mode::Held:
    this->Held.append(Bytes);
    if (this->Held.size() > this->Context.Settings.HoldBytes) {
      this->beginPassing();
      this->pass(std::exchange(this->Held, {}));
    }
    return;
  case Mode::Passed:
    if (this->Route->Repeats == catalog::Repetition::Resumable)
      this->passEvents(Bytes);
    else
      this->pass(std::string(Bytes));
    return;
  }
}

void Exchange::passEvents(std::string_view Bytes) {
  this->pass(this->Events.feed(Bytes));
  if (this->Events.rest().size() > this->Context.Settings.MaxPieceBytes)
    this->breakAttempt("event-too-large");
}

void Exchange::dropCall() {
  if (this->Call)
    this->Call->cancel();
  this->Call.reset();
}

/// The refusal stands, whatever else the target sends.
void Exchange::cutRefusal() {
  this->dropCall();
  this->endAttempt(dispatch::AttemptEnd::Refused);
  this->afterRefused();
}

void Exchange::pass(std::string Bytes) {
  if (Bytes.empty())
    return;
  this->Answer->write(std::move(Bytes));
  if (this->Answer->unsentBytes() > this->Context.Settings.UnsentBytes &&
      this->Call)
    this->Call->pause();
}

void Exchange::onDone(const http::ForwardResult &Result) {
  this->Call.reset();
  if (Result.End != http::ForwardEnd::Complete) {
    this->endAttempt(dispatch::AttemptEnd::Broken);
    this->afterBroken(Result.MayHaveBeenSent, Result.Detail);
    return;
  }
  switch (this->Receiving) {
  case Mode::Silent:
    this->endAttempt(dispatch::AttemptEnd::Broken);
    this->afterBroken(true, "no answer");
    return;
  case Mode::Refused:
    this->endAttempt(dispatch::AttemptEnd::Refused);
    this->afterRefused();
    return;
  case Mode::Held:
    this->endAttempt(this->Head.Status >= ServerErrors
                         ? dispatch::AttemptEnd::ServerError
                         : dispatch::AttemptEnd::Served);
    this->afterHeld();
    return;
  case Mode::Passed:
    this->endAttempt(dispatch::AttemptEnd::Served);
    this->afterPassed();
    return;
  }
}

void Exchange::breakAttempt(const char *Why) {
  this->dropCall();
  this->endAttempt(dispatch::AttemptEnd::Broken);
  this->afterBroken(true, Why);
}

void Exchange::endAttempt(dispatch::AttemptEnd How) {
  base::TimePoint Now = this->now();
  this->Context.Board.onEnded(*this->Target, How, Now);
  this->Context.EndRates[this->Service].count(Now);
  this->Context.Pump();
}

// --- After an attempt ------------------------------------------------------

bool Exchange::mayRepeat(unsigned RunsSoFar) const {
  return this->Route->Repeats != catalog::Repetition::Never &&
         RunsSoFar < this->Route->MaxTargets &&
         this->now() + LeastAttempt < this->AnswerBy;
}

bool Exchange::payForRepeat() {
  bool Paid = this->Context.Repeats.take(this->Service, this->now());
  if (Paid && this->Runs > 0 && this->Account != nullptr)
    this->Context.Usage.charge(*this->Account, this->amount(), this->now());
  if (!Paid)
    this->log(base::LogLevel::Info, "repeat-refused",
              {{"service", this->Service.Value}});
  return Paid;
}

void Exchange::afterRefused() {
  base::TargetId From = *std::exchange(this->Target, std::nullopt);
  ++this->Unrun;
  this->log(base::LogLevel::Info, "refused-by-target",
            {{"target", From.Value},
             {"status", this->Head.Status},
             {"attempt", this->Attempt}});
  if (this->Facts.Model.empty())
    this->Tried.insert(From);
  // An engine with free slots refuses what an order under way concerns.
  const auto &Load = this->HeadFacts.Load;
  bool Ordered = !this->Facts.Model.empty() && Load &&
                 Load->Running + Load->Waiting < Load->Slots;
  if (this->HeadFacts.Misdirected || Ordered)
    this->Context.Board.onNotHeld(From, this->Facts.Model, this->Facts.Adapter,
                                  this->now());
  else
    this->Context.Board.onFull(From, this->now());
  bool Again = this->Unrun < MaxUnrun &&
               this->now() + LeastAttempt < this->AnswerBy &&
               this->payForRepeat();
  if (Again) {
    this->dispatch();
    return;
  }
  if (this->Begun)
    this->abort("resumption-refused");
  else if (this->Runs > 0)
    this->refuse(BadGateway, "refused-by-target");
  else
    this->refuse(Unavailable, "refused-by-target",
                 this->spread(this->Context.Settings.Waits.DefaultRetryAfter));
}

void Exchange::afterHeld() {
  base::TargetId From = *std::exchange(this->Target, std::nullopt);
  ++this->Runs;
  bool Failed = this->Head.Status >= ServerErrors;
  if (Failed && this->mayRepeat(this->Runs) && this->payForRepeat()) {
    this->log(base::LogLevel::Info, "repeats",
              {{"target", From.Value}, {"status", this->Head.Status}});
    this->Tried.insert(From);
    this->dispatch();
    return;
  }
  this->Answer->respond({this->Head.Status,
                         this->Context.Protocol.answerHeaders(this->Head),
                         std::move(this->Held)});
  this->end(Failed ? "failed-by-target" : "answered", this->Head.Status, "");
}

void Exchange::afterPassed() {
  this->Target.reset();
  ++this->Runs;
  this->Answer->write(this->Events.rest());
  this->Answer->finish();
  this->end("answered", this->Head.Status, "");
}

void Exchange::afterBroken(bool MayHaveRun, const std::string &Why) {
  base::TargetId From = *std::exchange(this->Target, std::nullopt);
  this->Tried.insert(From);
  this->Runs += MayHaveRun ? 1 : 0;
  this->log(base::LogLevel::Warn, "attempt-broken",
            {{"target", From.Value},
             {"attempt", this->Attempt},
             {"may_have_run", MayHaveRun},
             {"why", Why},
             {"after_ms", base::millisOf(this->now() - this->SentAt)}});
  this->Events.dropRest();
  if (!MayHaveRun && !this->Begun &&
      this->now() + LeastAttempt < this->AnswerBy) {
    this->dispatch();
    return;
  }
  if (MayHaveRun && this->mayRepeat(this->Runs) && this->payForRepeat()) {
    this->dispatch();
    return;
  }
  if (this->Begun)
    this->abort("target-broke-off");
  else if (this->Runs > 0)
    this->refuse(BadGateway, "target-broke-off");
  else
    this->refuse(Unavailable, "no-connection",
                 this->spread(this->Context.Settings.Waits.DefaultRetryAfter));
}

// --- Time ------------------------------------------------------------------

/// Silence alone is no reason to end an attempt: another target has to be there
/// that takes the request now.
bool Exchange::isReplaceable() {
  std::set<base::TargetId> Others = this->Tried;
  Others.insert(*this->Target);
  dispatch::TargetQuery Query = this->query();
  Query.Exclude = &Others;
  return std::holds_alternative<dispatch::SendTo>(
      this->Context.Board.choose(Query, this->now()));
}

std::chrono::milliseconds Exchange::silenceLimit() const {
  const ForwarderSettings &Settings = this->Context.Settings;
  auto Objective =
      this->Begun ? this->Route->PauseObjective : this->Route->Objective;
  return std::max(Settings.LeastSilence,
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      Objective * Settings.SilenceObjectives));
}

void Exchange::watch() {
  base::TimePoint Now = this->now();
  base::Duration Next = this->AnswerBy - Now;
  if (this->Target && this->mayRepeat(this->Runs + 1))
    Next = std::min<base::Duration>(Next, this->ProgressAt +
                                              this->silenceLimit() - Now);
  else if (this->Route->Repeats != catalog::Repetition::Never)
    Next = std::min<base::Duration>(Next, this->silenceLimit());
  this->Timer.expires_after(
      std::max<base::Duration>(Next, std::chrono::milliseconds(1)));
  this->Timer.async_wait(
      [Weak = this->weak_from_this()](asio::error_code Failed) {
        auto Self = Weak.lock();
        if (Self && !Failed && !Self->Ended)
          Self->onTimer();
      });
}

void Exchange::onTimer() {
  base::TimePoint Now = this->now();
  if (Now >= this->AnswerBy) {
    if (this->Begun)
      this->abort("timeout");
    else if (this->Target || this->Runs > 0)
      this->refuse(GatewayTimeout, "timeout");
    else
      this->refuse(
          Unavailable, "timeout",
          this->spread(this->Context.Settings.Waits.DefaultRetryAfter));
    return;
  }
  bool Silent = this->Target && Now >= this->ProgressAt + this->silenceLimit();
  if (Silent && this->mayRepeat(this->Runs + 1) && this->isReplaceable())
    this->breakAttempt("silence");
  if (!this->Ended)
    this->watch();
}

// --- The end ---------------------------------------------------------------

/// Spreads callers that are told to come back, so that they do not all come at
/// the same moment.
std::chrono::milliseconds
Exchange::spread(std::chrono::milliseconds Time) const {
  std::uniform_real_distribution<double> Draw(1, 1 + MaxSpread);
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
  if (this->UsageTaken && CertainlyUnrun && this->Account != nullptr)
    this->Context.Usage.putBack(*this->Account, this->amount(), this->now());
  this->leaveLine();
  if (this->Context.Unadmitted.erase(this->Number) > 0)
    this->Context.Usage.remove(this->Number);
  this->Timer.cancel();
  this->dropCall();
  base::TimePoint Now = this->now();
  std::string RouteName = this->Route == nullptr ? "" : this->Route->Id.Value;
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
  if (this->FirstByteAt)
    Fields["first_byte_ms"] =
        base::millisOf(*this->FirstByteAt - this->ReceivedAt);
  if (!RouteName.empty()) {
    Fields["route"] = RouteName;
    Fields["catalog"] = this->Catalog->Version.Value;
  }
  if (this->Account != nullptr)
    Fields["account"] = this->Account->Id.Value;
  if (!this->Facts.Model.empty())
    Fields["model"] = this->Facts.Model.Value;
  if (!this->Facts.Adapter.empty())
    Fields["adapter"] = this->Facts.Adapter.Value;
  this->log(base::LogLevel::Info, "ended", std::move(Fields));
  if (this->Target) {
    base::TargetId From = *std::exchange(this->Target, std::nullopt);
    this->Context.Board.onEnded(From, dispatch::AttemptEnd::Cancelled, Now);
    this->Context.Pump();
  }
}

void Exchange::log(base::LogLevel Level, std::string_view Event,
                   nlohmann::json Fields) const {
  Fields["request"] = this->Facts.Id.Value;
  base::logEvent(Level, Event, Fields);
}

} // namespace kingcuphub::forwarding
