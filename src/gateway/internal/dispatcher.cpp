#include "dispatcher.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace kingcuphub::gateway {

namespace {

/// An engine whose last report is older is silent and gets nothing new.
constexpr std::chrono::seconds MaxReportAge{5};
constexpr std::chrono::milliseconds PlacementCheckInterval{250};
constexpr std::chrono::seconds RateWindow{2};
constexpr std::chrono::seconds ShortestRetry{1};
constexpr std::chrono::seconds LongestRetry{30};

std::string poolOf(const routing::RouteQuery &Query) {
  std::string Out = Query.Model;
  for (const base::TargetId &Each : Query.Services)
    Out += "/" + Each.Value;
  return Out;
}

} // namespace

TargetLease::TargetLease(Dispatcher &Owner, base::TargetId Target,
                         std::optional<CreditTaken> ColdSlot)
    : Owner(&Owner), Target(std::move(Target)), ColdSlot(std::move(ColdSlot)) {}

TargetLease::TargetLease(TargetLease &&Other) noexcept
    : Owner(std::exchange(Other.Owner, nullptr)),
      Target(std::move(Other.Target)), ColdSlot(std::move(Other.ColdSlot)) {}

TargetLease &TargetLease::operator=(TargetLease &&Other) noexcept {
  std::swap(this->Owner, Other.Owner);
  std::swap(this->Target, Other.Target);
  std::swap(this->ColdSlot, Other.ColdSlot);
  return *this;
}

TargetLease::~TargetLease() { this->end(routing::RequestEnd::Cancelled); }

void TargetLease::firstToken(std::chrono::milliseconds After) {
  if (this->Owner == nullptr)
    return;
  if (routing::TargetView *View = this->Owner->Router.target(this->Target))
    View->firstToken(After);
}

void TargetLease::end(routing::RequestEnd How) {
  if (Dispatcher *From = std::exchange(this->Owner, nullptr))
    From->onEnded(this->Target, How, this->ColdSlot);
}

Dispatcher::Dispatcher(DispatchSettings Settings, const base::Clock &Clock,
                       CreditLink::Sender Send)
    : Settings(std::move(Settings)), Clock(Clock), Credits(std::move(Send)),
      Rates(this->Credits.book()),
      Router({this->Settings.Zone}, std::random_device()()) {}

void Dispatcher::configure(const state::Config &Config) {
  this->Router.configure(Config);
  std::erase_if(this->Reports, [&Config](const auto &Each) {
    return Config.Targets.count(Each.first) == 0;
  });
  // A target's first report may have come before its configuration.
  for (const auto &[Id, Each] : this->Reports)
    this->takeReport(Each);
  this->run();
}

void Dispatcher::onReports(const wire::TargetReports &New) {
  base::TimePoint Now = this->Clock.now();
  for (const wire::TargetReport &Each : New.reports()) {
    base::TimePoint At = Now - std::chrono::milliseconds(Each.age_ms());
    Report &Last = this->Reports[{Each.target()}];
    Last = {Each, At};
    this->takeReport(Last);
  }
  this->run();
}

void Dispatcher::takeReport(const Report &New) {
  const wire::TargetReport &From = New.Content;
  base::TargetId Id{From.target()};
  routing::TargetView *View = this->Router.target(Id);
  if (View == nullptr || !From.reachable())
    return;
  View->reported({{From.incarnation()},
                  From.sequence(),
                  New.At,
                  From.running(),
                  From.waiting(),
                  From.cold(),
                  {From.models().begin(), From.models().end()},
                  {From.adapters().begin(), From.adapters().end()}});
  for (std::uint64_t Prefix : From.cached_prefixes())
    this->Router.hints().stored(Id, Prefix);
}

void Dispatcher::onCredit(const wire::Credit &Credit) {
  this->Credits.onCredit(this->Clock.now(), Credit);
  this->run();
}

void Dispatcher::onGeneration(std::uint64_t Generation) {
  this->Credits.onGeneration(this->Clock.now(), Generation);
}

void Dispatcher::onTime() {
  this->expire();
  this->giveUpUnplaced();
  this->run();
}

void Dispatcher::submit(DispatchRequest Request, DispatchCallbacks Callbacks) {
  base::TimePoint Now = this->Clock.now();
  base::RequestId Id = Request.Id;
  Entry &New = this->Pending[Id];
  New = {std::move(Request), std::move(Callbacks), Now, std::nullopt};
  if (!New.Request.Account) {
    this->enqueue(New);
  } else {
    base::TimePoint StartBy = std::min<base::TimePoint>(
        New.Request.Deadline, Now + this->Settings.QueueWait);
    const state::Account &Account = *New.Request.Account;
    this->Rates.add(Account, {Id, Account.Id, New.Request.Cost, StartBy}, Now);
  }
  this->run();
}

void Dispatcher::remove(const base::RequestId &Id) {
  auto Node = this->Pending.extract(Id);
  if (Node.empty())
    return;
  this->Rates.remove(Id);
  this->Queue.remove(Id);
  if (const auto &Tokens = Node.mapped().Tokens)
    this->Credits.unspend(*Tokens, Tokens->Amount);
}

void Dispatcher::enqueue(Entry &Waiting) {
  const DispatchRequest &From = Waiting.Request;
  state::Account Account = From.Account.value_or(state::Account{});
  this->Queue.push({From.Id, Account.Id, Account.Weight, From.Priority,
                    From.Cost, poolOf(From.Query), From.Deadline});
}

/// Decides what can be decided. A callback may end or submit other requests;
/// these are then looked at in the same run.
void Dispatcher::run() {
  if (this->Stopped)
    return;
  this->RunAgain = true;
  if (std::exchange(this->Running, true))
    return;
  while (std::exchange(this->RunAgain, false)) {
    this->takeTokenOutcomes();
    for (auto &[Quantity, Count] : this->WantedSlots)
      Count = 0;
    while (this->dispatchOne()) {
    }
    for (const auto &[Quantity, Count] : this->WantedSlots)
      this->Credits.book().setWanted(Quantity, Count);
  }
  this->Running = false;
  this->Credits.onTime(this->Clock.now());
}

void Dispatcher::takeTokenOutcomes() {
  for (const admission::TokenOutcome &Each :
       this->Rates.tick(this->Clock.now())) {
    if (const auto *Refused = std::get_if<admission::TokensRefused>(&Each)) {
      this->refuse(Refused->Request, OverRate{Refused->RetryAfter});
      continue;
    }
    auto Found =
        this->Pending.find(std::get<admission::TokensTaken>(Each).Request);
    if (Found == this->Pending.end())
      continue;
    const DispatchRequest &Request = Found->second.Request;
    Found->second.Tokens = this->Credits.spent(
        admission::accountTokens(Request.Account->Id), Request.Cost.Value);
    this->enqueue(Found->second);
  }
}

routing::RouteResult Dispatcher::choose(routing::RouteQuery Query) {
  base::TimePoint Now = this->Clock.now();
  if (Query.Services.empty())
    for (const auto &[Id, Each] : this->Reports)
      if (!Each.Content.reachable() || Each.At + MaxReportAge < Now)
        Query.Exclude.insert(Id);
  return this->Router.choose(Query, Now);
}

bool Dispatcher::canRun(const admission::QueueEntry &Each) {
  auto Found = this->Pending.find(Each.Request);
  if (Found == this->Pending.end())
    return false;
  routing::RouteResult Result = this->choose(Found->second.Request.Query);
  if (const auto *Warm = std::get_if<routing::Chosen>(&Result)) {
    this->ChosenTarget = Warm->Target;
    return true;
  }
  const auto *Cold = std::get_if<routing::ChosenCold>(&Result);
  if (Cold == nullptr)
    return false;
  base::QuantityId Slots = admission::coldSlots(Cold->Target);
  this->ChosenTarget = Cold->Target;
  if (this->Credits.book().held(Slots) > 0)
    return true;
  ++this->WantedSlots[Slots];
  return false;
}

bool Dispatcher::dispatchOne() {
  auto Next = this->Queue.pop(
      [this](const admission::QueueEntry &Each) { return this->canRun(Each); });
  if (!Next)
    return false;
  auto Node = this->Pending.extract(Next->Request);
  Entry &Taken = Node.mapped();
  auto Lease = this->lease(*this->ChosenTarget);
  if (!Lease) {
    // Only a cold slot that was void at the last moment.
    this->enqueue(Taken);
    this->Pending.insert(std::move(Node));
    return false;
  }
  this->noteStart(Next->Pool, Next->Cost);
  if (Taken.Request.Query.Prefix != 0)
    this->Router.hints().stored(Lease->target(), Taken.Request.Query.Prefix);
  Taken.Callbacks.OnReady(Taken.Tokens, std::move(*Lease));
  return true;
}

std::optional<base::TargetId>
Dispatcher::chooseAgain(routing::RouteQuery Query) {
  routing::RouteResult Result = this->choose(std::move(Query));
  if (const auto *Warm = std::get_if<routing::Chosen>(&Result))
    return Warm->Target;
  if (const auto *Cold = std::get_if<routing::ChosenCold>(&Result))
    if (this->Credits.book().held(admission::coldSlots(Cold->Target)) > 0)
      return Cold->Target;
  return std::nullopt;
}

std::optional<TargetLease> Dispatcher::lease(const base::TargetId &Target) {
  routing::TargetView *View = this->Router.target(Target);
  if (View == nullptr)
    return std::nullopt;
  base::TimePoint Now = this->Clock.now();
  std::optional<CreditTaken> Slot;
  bool Engine = View->settings().Kind == state::TargetKind::Engine;
  if (Engine && View->warmth() != routing::Warmth::Warm) {
    CreditTaken Taken;
    if (!this->Credits.takeSlot(Now, admission::coldSlots(Target), Taken))
      return std::nullopt;
    Slot = Taken;
  }
  View->started(Now);
  return TargetLease(*this, Target, std::move(Slot));
}

void Dispatcher::onEnded(const base::TargetId &Target, routing::RequestEnd How,
                         const std::optional<CreditTaken> &ColdSlot) {
  if (routing::TargetView *View = this->Router.target(Target))
    View->ended(How, this->Clock.now());
  if (ColdSlot)
    this->Credits.freeSlot(*ColdSlot);
  this->run();
}

void Dispatcher::expire() {
  for (const admission::QueueEntry &Each :
       this->Queue.expire(this->Clock.now()))
    this->refuse(Each.Request,
                 Overloaded{this->drainTime(Each.Pool, Each.Priority)});
}

/// Refuses requests for which no target has held the model for too long: the
/// wait is for placement then, not for a free place.
void Dispatcher::giveUpUnplaced() {
  base::TimePoint Now = this->Clock.now();
  if (Now < this->PlacementCheckedAt + PlacementCheckInterval)
    return;
  this->PlacementCheckedAt = Now;
  std::vector<base::RequestId> Given;
  for (const auto &[Id, Each] : this->Pending) {
    if (Now < Each.SubmittedAt + this->Settings.QueueWait)
      continue;
    routing::RouteResult Result = this->choose(Each.Request.Query);
    if (std::holds_alternative<routing::NotResident>(Result))
      Given.push_back(Id);
  }
  for (const base::RequestId &Id : Given)
    this->refuse(Id, NoTarget{ShortestRetry});
}

void Dispatcher::refuse(const base::RequestId &Id, const DispatchRefusal &Why) {
  auto Found = this->Pending.find(Id);
  if (Found == this->Pending.end())
    return;
  auto OnRefused = std::move(Found->second.Callbacks.OnRefused);
  this->remove(Id);
  OnRefused(Why);
}

void Dispatcher::noteStart(const std::string &Pool, base::Tokens Cost) {
  base::TimePoint Now = this->Clock.now();
  PoolRate &Rate = this->PoolRates[Pool];
  std::chrono::duration<double> Window = RateWindow;
  std::chrono::duration<double> Age = Now - Rate.At;
  Rate.Tokens =
      Rate.Tokens * std::exp(-Age / Window) + static_cast<double>(Cost.Value);
  Rate.At = Now;
}

base::Duration Dispatcher::drainTime(const std::string &Pool,
                                     unsigned Priority) {
  auto Found = this->PoolRates.find(Pool);
  if (Found == this->PoolRates.end())
    return ShortestRetry;
  std::chrono::duration<double> Window = RateWindow;
  std::chrono::duration<double> Age = this->Clock.now() - Found->second.At;
  double PerSecond =
      Found->second.Tokens * std::exp(-Age / Window) / Window.count();
  auto Ahead =
      static_cast<double>(this->Queue.waitingAhead(Pool, Priority).Value);
  std::chrono::duration<double> Drain(Ahead / std::max(PerSecond, 1e-3));
  std::chrono::duration<double> Most = LongestRetry;
  return std::max<base::Duration>(
      std::chrono::duration_cast<base::Duration>(std::min(Drain, Most)),
      ShortestRetry);
}

} // namespace kingcuphub::gateway
