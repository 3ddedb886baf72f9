#include "dispatch/targetselector.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace kingcuphub::dispatch {

namespace {

/// How long a target counts as full after refusing a request for that reason.
constexpr std::chrono::milliseconds FullDuration{100};
/// How long a target counts as lacking a model or adapter that it reported
/// missing, unless the lease holder's view of its models changes before.
constexpr std::chrono::milliseconds LackingDuration{1500};
/// How long the report of a target that is no longer listed is kept: longer
/// than an outage of the store, during which list entries expire.
constexpr std::chrono::minutes SelfReportRetention{10};

} // namespace

TargetSelector::TargetSelector(TargetSelectorSettings NewSettings)
    : Settings(std::move(NewSettings)), Cold(this->Settings.Cold),
      Hints(this->Settings.PrefixCapacity), Random(this->Settings.Seed) {}

void TargetSelector::setCatalog(catalog::CatalogPtr New) {
  this->Catalog = std::move(New);
}

void TargetSelector::setTargets(catalog::TargetListPtr New) {
  this->Targets = std::move(New);
  for (auto Each = this->States.begin(); Each != this->States.end();) {
    bool Known = this->Targets->Targets.count(Each->first) != 0;
    bool Idle = Each->second.View.inFlight() == 0;
    if (!Known)
      this->Hints.forget(Each->first);
    Each = !Known && Idle ? this->States.erase(Each) : std::next(Each);
  }
  for (const auto &[Id, Target] : this->Targets->Targets) {
    state::Target Seen;
    Seen.Id = Id;
    Seen.Zone = Target.Entry.Zone;
    Seen.WarmSlots = base::Slots{Target.Entry.Slots};
    auto [At, Added] = this->States.try_emplace(
        Id, routing::TargetView(Seen, this->Settings.Limits));
    State &TargetState = At->second;
    if (!Added && TargetState.Lifetime != Target.Entry.Lifetime) {
      this->Hints.forget(Id);
      TargetState.FailureRate = 0;
      TargetState.Lacking.clear();
      TargetState.Slowness = TargetState.Pace = 1;
      TargetState.Limit = 0;
      TargetState.LoadAt = TargetState.FiguresAt = {};
      TargetState.Scarce = false;
      TargetState.OwnPlaces = TargetState.FreePlaces = 0;
      TargetState.AssumedIdleAt = {};
      TargetState.MeanLoad = TargetState.FailureShare = 0;
    }
    TargetState.Lifetime = Target.Entry.Lifetime;
    TargetState.View.configure(Seen);
  }
}

void TargetSelector::onLeaving(const base::TargetId &Id, base::TimePoint Now) {
  if (SelfReport *Reported = this->mutableSelfReport(Id, Now))
    Reported->Leaving = true;
}

void TargetSelector::onAskedToWait(const base::TargetId &Id,
                                   std::chrono::milliseconds For,
                                   base::TimePoint Now) {
  if (SelfReport *Reported = this->mutableSelfReport(Id, Now))
    Reported->WaitUntil = std::max(Reported->WaitUntil, Now + For);
}

TargetSelector::SelfReport *
TargetSelector::mutableSelfReport(const base::TargetId &Id,
                                  base::TimePoint Now) {
  State *TargetState = this->stateOf(Id);
  if (TargetState == nullptr)
    return nullptr;
  std::erase_if(this->SelfReports, [&](const auto &Each) {
    return this->find(Each.first) == nullptr &&
           Now > Each.second.ReportedAt + SelfReportRetention;
  });
  SelfReport &Out = this->SelfReports[Id];
  if (Out.Lifetime != TargetState->Lifetime)
    Out = {};
  Out.Lifetime = TargetState->Lifetime;
  Out.ReportedAt = Now;
  return &Out;
}

const TargetSelector::SelfReport *
TargetSelector::selfReportOf(const catalog::Target &Target) const {
  auto Found = this->SelfReports.find(Target.Entry.Id);
  bool Same = Found != this->SelfReports.end() &&
              Found->second.Lifetime == Target.Entry.Lifetime;
  return Same ? &Found->second : nullptr;
}

bool TargetSelector::setHeld(catalog::SharedHeldStatesPtr New,
                             base::TimePoint Until) {
  this->HeldUntil = Until;
  // Most updates only extend the validity of what is known.
  if (New == this->Held)
    return false;
  for (auto &[Id, TargetState] : this->States) {
    if (TargetState.Lacking.empty())
      continue;
    const catalog::HeldState *Before =
        this->heldStateOf(this->Held, Id, TargetState.Lifetime);
    const catalog::HeldState *Now =
        this->heldStateOf(New, Id, TargetState.Lifetime);
    bool Changed = Now != Before && Now != nullptr &&
                   (Before == nullptr || Before->Models != Now->Models);
    if (Changed)
      TargetState.Lacking.clear();
  }
  this->Held = std::move(New);
  return true;
}

const catalog::HeldState *
TargetSelector::heldStateOf(const catalog::SharedHeldStatesPtr &All,
                            const base::TargetId &Id,
                            catalog::Lifetime Lifetime) const {
  if (!All)
    return nullptr;
  auto Found = All->find(Id);
  bool Same = Found != All->end() && Found->second->Lifetime == Lifetime;
  return Same ? Found->second.get() : nullptr;
}

void TargetSelector::setFigures(const FigureTable &New, base::TimePoint At) {
  for (const auto &[Id, Figures] : New) {
    State *TargetState = this->stateOf(Id);
    if (TargetState == nullptr || TargetState->Lifetime != Figures.Lifetime)
      continue;
    TargetState->Pace = Figures.Pace;
    TargetState->Limit = static_cast<double>(Figures.Limit);
    TargetState->FailureShare = Figures.FailureShare;
    TargetState->FiguresAt = At;
    if (const catalog::Target *Target = this->find(Id))
      this->FiguresAt[Target->Entry.Service] = At;
    // Ages are rebuilt from each message, so that the same statement may seem a
    // little newer the next time.
    if (Figures.LoadAt <= TargetState->LoadAt + this->Settings.LoadAgeTolerance)
      continue;
    TargetState->Slowness = Figures.Slowness;
    this->recordLoad(*TargetState, {Figures.Load, 0, Figures.Slots, {}},
                     Figures.LoadAt);
    this->drawPlaces(*TargetState);
  }
}

void TargetSelector::drawPlaces(State &Of) {
  double Free = this->Settings.ContendedFill * static_cast<double>(Of.Slots) -
                static_cast<double>(Of.StatedLoad);
  if (Free <= 0)
    return;
  double Contenders = std::max(1.0, this->Settings.ContenderShare *
                                        static_cast<double>(this->Instances));
  double Part = Free / Contenders;
  std::bernoulli_distribution Draw(Part - std::floor(Part));
  Of.FreePlaces = static_cast<unsigned>(Part) + (Draw(this->Random) ? 1U : 0U);
}

bool TargetSelector::mayUsePlace(const catalog::Target &Target,
                                 State &TargetState, base::TimePoint Now) {
  bool AssumeIdle =
      !this->isLoadKnown(TargetState, Now) &&
      Now >= TargetState.AssumedIdleAt + this->Settings.AssumedIdleFor;
  if (AssumeIdle) {
    TargetState.AssumedIdleAt = Now;
    TargetState.StatedLoad = 0;
    if (TargetState.Slots <= 0)
      TargetState.Slots = Target.Entry.Slots;
    this->drawPlaces(TargetState);
  }
  return TargetState.OwnPlaces + TargetState.FreePlaces > 0;
}

void TargetSelector::usePlace(State &TargetState) {
  if (TargetState.OwnPlaces > 0)
    --TargetState.OwnPlaces;
  else if (TargetState.FreePlaces > 0)
    --TargetState.FreePlaces;
}

bool TargetSelector::hasFigures(const catalog::ServiceId &Service,
                                base::TimePoint Now) const {
  auto Found = this->FiguresAt.find(Service);
  return Found != this->FiguresAt.end() &&
         Now < Found->second + this->Settings.FiguresValidFor;
}

double TargetSelector::slowness(const base::TargetId &Id,
                                base::TimePoint Now) const {
  auto Found = this->States.find(Id);
  if (Found == this->States.end())
    return 1;
  double Pace = this->hasFigures(Found->second, Now) ? Found->second.Pace : 1;
  return this->statedSlowness(Found->second, Now) * Pace;
}

double TargetSelector::statedSlowness(const State &Of,
                                      base::TimePoint Now) const {
  return Now < Of.LoadAt + this->Settings.SlownessValidFor ? Of.Slowness : 1;
}

double TargetSelector::estimatedLoad(const State &Of,
                                     base::TimePoint Now) const {
  return this->hasFigures(Of, Now)
             ? Of.View.estimatedLoad(Now, this->Settings.PublishedLoadDecay)
             : Of.View.estimatedLoad(Now);
}

double TargetSelector::load(const base::TargetId &Id,
                            base::TimePoint Now) const {
  auto Found = this->States.find(Id);
  return Found == this->States.end() ? 0
                                     : this->estimatedLoad(Found->second, Now);
}

std::int64_t TargetSelector::slots(const base::TargetId &Id) const {
  auto Found = this->States.find(Id);
  if (Found != this->States.end() && Found->second.Slots > 0)
    return Found->second.Slots;
  const catalog::Target *Target = this->find(Id);
  return Target == nullptr ? 1 : Target->Entry.Slots;
}

double TargetSelector::expectedMillis(const TargetQuery &Query,
                                      const base::TargetId &Id,
                                      base::TimePoint Now) const {
  const catalog::Target *Target = this->find(Id);
  auto Found = this->States.find(Id);
  if (Target == nullptr || Found == this->States.end())
    return 0;
  return this->statedSlowness(Found->second, Now) *
         this->usualMillis(*Target, Found->second, Query, promptChain(Query),
                           Now);
}

void TargetSelector::setLoading(
    std::map<ServiceModel, base::TimePoint> NewLoading) {
  this->Loading = std::move(NewLoading);
}

std::optional<base::TimePoint>
TargetSelector::loadedAt(const catalog::ServiceId &Service,
                         const base::ModelId &Model) const {
  auto Found = this->Loading.find({Service, Model});
  if (Found == this->Loading.end())
    return std::nullopt;
  return Found->second;
}

bool TargetSelector::isModelHeld(const TargetQuery &Query,
                                 base::TimePoint Now) const {
  TargetQuery AnyAdapter = Query;
  AnyAdapter.Adapter = {};
  for (const auto &[Id, Target] : this->Targets->Targets)
    if (Target.Entry.Service == Query.Service && this->isUsable(Target, Now) &&
        this->holds(Target, this->States.at(Id), AnyAdapter, Now))
      return true;
  return false;
}

const catalog::Target *TargetSelector::find(const base::TargetId &Id) const {
  if (!this->Targets)
    return nullptr;
  auto Found = this->Targets->Targets.find(Id);
  return Found == this->Targets->Targets.end() ? nullptr : &Found->second;
}

TargetSelector::State *TargetSelector::stateOf(const base::TargetId &Id) {
  auto Found = this->States.find(Id);
  return Found == this->States.end() ? nullptr : &Found->second;
}

bool TargetSelector::isUsable(const catalog::Target &Target,
                              base::TimePoint Now) const {
  if (Target.Entry.Leaving ||
      this->Targets->ZonesOut.count(Target.Entry.Zone) != 0)
    return false;
  if (const SelfReport *Reported = this->selfReportOf(Target);
      Reported && Reported->Leaving)
    return false;
  return !Target.EndsAt || Now + this->Settings.MinTimeLeft < *Target.EndsAt;
}

bool TargetSelector::maySend(const base::TargetId &Id,
                             base::TimePoint Now) const {
  const catalog::Target *Target = this->find(Id);
  return Target != nullptr && this->isUsable(*Target, Now);
}

bool TargetSelector::holds(const catalog::Target &Target,
                           const State &TargetState, const TargetQuery &Query,
                           base::TimePoint Now) const {
  if (Query.Model.empty())
    return true;
  const catalog::HeldState *FromHolder =
      Now < this->HeldUntil ? this->heldStateOf(this->Held, Target.Entry.Id,
                                                Target.Entry.Lifetime)
                            : nullptr;
  const catalog::HeldModels &Models =
      FromHolder != nullptr ? FromHolder->Models : Target.Entry.Models;
  auto Found = Models.find(Query.Model);
  if (Found == Models.end())
    return false;
  if (!Query.Adapter.empty() &&
      Found->second.Adapters.count(Query.Adapter) == 0)
    return false;
  auto Lacks = TargetState.Lacking.find({Query.Model, Query.Adapter});
  return Lacks == TargetState.Lacking.end() || Lacks->second <= Now;
}

const catalog::Service *
TargetSelector::serviceOf(const catalog::Target &Target) const {
  return this->Catalog ? this->Catalog->service(Target.Entry.Service) : nullptr;
}

double TargetSelector::fullLoad(const catalog::Target &Target,
                                const State &TargetState) const {
  const catalog::Service *Service = this->serviceOf(Target);
  bool IsEngine = Service != nullptr && Service->Engine.has_value();
  auto Slots = static_cast<double>(TargetState.Slots > 0 ? TargetState.Slots
                                                         : Target.Entry.Slots);
  return Slots * (IsEngine ? this->Settings.EngineFullFactor
                           : this->Settings.ServiceFullFactor);
}

bool TargetSelector::isFull(const catalog::Target &Target,
                            const State &TargetState,
                            base::TimePoint Now) const {
  return Now < TargetState.FullUntil || this->estimatedLoad(TargetState, Now) >=
                                            this->fullLoad(Target, TargetState);
}

double TargetSelector::coldRequestRate(const catalog::Target &Target) const {
  const catalog::Service *Service = this->serviceOf(Target);
  return Service == nullptr ? 0 : Service->ColdRequestsPerSecond;
}

TargetSelector::PromptChain
TargetSelector::promptChain(const TargetQuery &Query) {
  PromptChain Out;
  if (Query.Prompt == nullptr)
    return Out;
  // A cached prompt is valid only for the model and adapter that processed it.
  std::uint64_t Chain =
      base::stableHash(Query.Model.Value + "/" + Query.Adapter.Value);
  for (const PromptPart &Each : *Query.Prompt) {
    Chain = base::stableHash(
        {reinterpret_cast<const char *>(&Each.Hash), sizeof(Each.Hash)}, Chain);
    Out.push_back({Chain, Each.Size});
  }
  return Out;
}

double TargetSelector::missingTokens(const base::TargetId &Id,
                                     const PromptChain &Prompt) const {
  double Missing = 0;
  for (const PromptPart &Each : Prompt)
    // A segment counts as cached only if all segments before it are cached.
    if (Missing > 0 || !this->Hints.holds(Id, Each.Hash))
      Missing += static_cast<double>(Each.Size.Value);
  return Missing;
}

double TargetSelector::usualMillis(const catalog::Target &Target,
                                   const State &TargetState,
                                   const TargetQuery &Query,
                                   const PromptChain &Prompt,
                                   base::TimePoint Now) const {
  double Load = this->estimatedLoad(TargetState, Now);
  if (Query.Model.empty()) {
    // A plain service runs as many requests as it has slots and queues the
    // rest.
    double Slots = std::max(1.0, static_cast<double>(Target.Entry.Slots));
    if (this->hasFigures(TargetState, Now))
      Load = TargetState.MeanLoad + TargetState.View.inFlight();
    constexpr double WorkMillis = 50;
    return (1 + Load / Slots) * WorkMillis;
  }
  return this->Settings.FirstEventMillis +
         Load * this->Settings.BatchedRequestMillis +
         this->missingTokens(Target.Entry.Id, Prompt) /
             this->Settings.PromptTokensPerMilli;
}

double TargetSelector::cost(const catalog::Target &Target,
                            const State &TargetState, const TargetQuery &Query,
                            const PromptChain &Prompt,
                            base::TimePoint Now) const {
  double Millis = this->usualMillis(Target, TargetState, Query, Prompt, Now);
  if (this->hasFigures(TargetState, Now)) {
    double Load = this->estimatedLoad(TargetState, Now);
    auto Slots = static_cast<double>(this->slots(Target.Entry.Id));
    double Limit = TargetState.Limit > 0 ? TargetState.Limit : Slots;
    Millis +=
        std::max(0.0, Load + 1 - Limit) * this->Settings.BeyondLimitMillis +
        std::max(0.0, Load + 1 - Slots) * this->Settings.PlaceWaitMillis;
    Millis *= this->statedSlowness(TargetState, Now) * TargetState.Pace;
  }
  if (Target.Entry.Zone != this->Settings.Zone)
    Millis += this->hasFigures(TargetState, Now)
                  ? this->Settings.OtherZoneMillisWithFigures
                  : this->Settings.OtherZoneMillis;
  return Millis + this->failureRate(TargetState, Now) *
                      this->Settings.FailurePenaltyMillis;
}

void TargetSelector::drawCandidates(std::vector<const catalog::Target *> &From,
                                    const PromptChain &Prompt) {
  if (From.size() <= this->Settings.Candidates)
    return;
  double Least = 0;
  for (const PromptPart &Each : Prompt)
    Least += static_cast<double>(Each.Size.Value);
  const catalog::Target *Kept = nullptr;
  for (const catalog::Target *Each : From) {
    double Missing = this->missingTokens(Each->Entry.Id, Prompt);
    if (Missing >= Least)
      continue;
    Kept = Each;
    Least = Missing;
  }
  for (std::size_t Index = 0; Index < this->Settings.Candidates; ++Index) {
    std::uniform_int_distribution<std::size_t> Draw(Index, From.size() - 1);
    std::swap(From[Index], From[Draw(this->Random)]);
  }
  From.resize(this->Settings.Candidates);
  bool Drawn = std::find(From.begin(), From.end(), Kept) != From.end();
  if (Kept != nullptr && !Drawn)
    From.push_back(Kept);
}

const catalog::Target *
TargetSelector::drawByCost(const std::vector<const catalog::Target *> &From,
                           const TargetQuery &Query, base::TimePoint Now) {
  if (From.empty())
    return nullptr;
  std::vector<double> Weights;
  for (const catalog::Target *Each : From) {
    double Cost =
        this->cost(*Each, *this->stateOf(Each->Entry.Id), Query, {}, Now);
    Weights.push_back(1 / (Cost * Cost));
  }
  std::discrete_distribution<std::size_t> Draw(Weights.begin(), Weights.end());
  return From[Draw(this->Random)];
}

bool TargetSelector::isListedModel(const TargetQuery &Query) const {
  const catalog::Service *Service =
      this->Catalog ? this->Catalog->service(Query.Service) : nullptr;
  return Service != nullptr && Service->Engine &&
         Service->Engine->Models.count(Query.Model) != 0;
}

void TargetSelector::onNoPlace(const TargetQuery &Query, base::TimePoint Now) {
  // Callers may name any model; only those of the catalog are remembered.
  if (this->hasFigures(Query.Service, Now) && this->isListedModel(Query))
    this->ShortAt[{Query.Service, Query.Model}] = Now;
}

bool TargetSelector::isShort(const TargetQuery &Query,
                             base::TimePoint Now) const {
  auto Found = this->ShortAt.find({Query.Service, Query.Model});
  return Found != this->ShortAt.end() &&
         Now < Found->second + this->Settings.ShortageDuration;
}

TargetChoice TargetSelector::choose(const TargetQuery &Query,
                                    base::TimePoint Now) {
  if (!this->Targets)
    return NoTarget{};
  bool Any = false;
  bool AnyHolds = false;
  bool AllWait = true;
  std::optional<base::TimePoint> FirstWait;
  bool HaveFigures = false;
  unsigned Holders = 0;
  unsigned ScarceHolders = 0;
  std::vector<const catalog::Target *> Eligible;
  PromptChain Prompt = promptChain(Query);
  for (const auto &[Id, Target] : this->Targets->Targets) {
    if (Target.Entry.Service != Query.Service || !this->isUsable(Target, Now))
      continue;
    if (Query.Exclude != nullptr && Query.Exclude->count(Id) != 0)
      continue;
    State &TargetState = *this->stateOf(Id);
    Any = true;
    if (!this->holds(Target, TargetState, Query, Now))
      continue;
    AnyHolds = true;
    if (const SelfReport *Reported = this->selfReportOf(Target);
        Reported && Now < Reported->WaitUntil) {
      FirstWait = std::min(FirstWait.value_or(Reported->WaitUntil),
                           Reported->WaitUntil);
      continue;
    }
    AllWait = false;
    Holders += 1;
    ScarceHolders +=
        TargetState.Scarce && this->isLoadKnown(TargetState, Now) ? 1 : 0;
    if (TargetState.View.isBackingOff(Now) ||
        this->isFull(Target, TargetState, Now))
      continue;
    if (Now < Target.ColdUntil &&
        !this->Cold.allows(Target, this->coldRequestRate(Target), Now))
      continue;
    HaveFigures = HaveFigures || this->hasFigures(TargetState, Now);
    Eligible.push_back(&Target);
  }
  // Where most copies are busy, what looks free is wanted by all instances.
  bool Contended = Query.Waits || this->isShort(Query, Now) ||
                   2 * ScarceHolders >= std::max(1U, Holders);
  // Plain services queue rounds of requests and still meet the objective.
  if (HaveFigures && Contended && !Query.Model.empty())
    std::erase_if(Eligible, [&](const catalog::Target *Each) {
      return !this->mayUsePlace(*Each, *this->stateOf(Each->Entry.Id), Now);
    });
  if (HaveFigures && Query.Model.empty()) {
    if (const catalog::Target *Drawn = this->drawByCost(Eligible, Query, Now))
      return SendTo{Drawn->Entry.Id};
    Eligible.clear();
  }
  if (HaveFigures)
    this->drawCandidates(Eligible, Prompt);
  const catalog::Target *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (const catalog::Target *Each : Eligible) {
    double Cost =
        this->cost(*Each, *this->stateOf(Each->Entry.Id), Query, Prompt, Now);
    if (Cost < BestCost) {
      Best = Each;
      BestCost = Cost;
    }
  }
  if (Best != nullptr)
    return SendTo{Best->Entry.Id};
  if (AnyHolds)
    return AllFull{AllWait ? FirstWait : std::nullopt};
  if (Any)
    return NotHeld{};
  return NoTarget{};
}

void TargetSelector::onSent(const TargetQuery &Query, const base::TargetId &Id,
                            base::TimePoint Now) {
  if (State *TargetState = this->stateOf(Id)) {
    TargetState->View.started(Now);
    usePlace(*TargetState);
  }
  const catalog::Target *Target = this->find(Id);
  if (Target != nullptr && Now < Target->ColdUntil)
    this->Cold.onSent(*Target, this->coldRequestRate(*Target), Now);
  // Recorded already now, as the next request with the same prefix may arrive
  // before this prompt has been processed.
  for (const PromptPart &Each : promptChain(Query))
    this->Hints.stored(Id, Each.Hash);
}

void TargetSelector::onStatedLoad(const base::TargetId &Id,
                                  const StatedLoad &Load, base::TimePoint Now) {
  State *TargetState = this->stateOf(Id);
  if (TargetState == nullptr)
    return;
  if (Load.Slowness)
    TargetState->Slowness += this->Settings.SlownessSmoothing *
                             (*Load.Slowness - TargetState->Slowness);
  this->recordLoad(*TargetState, Load, Now);
}

void TargetSelector::recordLoad(State &To, const StatedLoad &Load,
                                base::TimePoint At) const {
  std::chrono::duration<double> Age = At - To.LoadAt;
  double Kept = std::exp(-std::max(Age / this->Settings.MeanLoadMemory, 0.0));
  To.MeanLoad = To.MeanLoad * Kept +
                static_cast<double>(Load.Running + Load.Waiting) * (1 - Kept);
  To.Slots = Load.Slots;
  To.LoadAt = At;
  To.StatedLoad = Load.Running + Load.Waiting;
  To.Scarce = static_cast<double>(To.StatedLoad) >=
              this->Settings.ScarceShare * static_cast<double>(Load.Slots);
  // The stated load already leaves out the requests that have ended.
  To.FreePlaces = To.OwnPlaces = 0;
  routing::LoadReport Report;
  Report.Sequence = ++To.Reports;
  Report.MeasuredAt = At;
  Report.Running = Load.Running;
  Report.Waiting = Load.Waiting;
  To.View.reported(Report);
}

double TargetSelector::ownFailureRate(const State &TargetState,
                                      base::TimePoint Now) const {
  std::chrono::duration<double> Age = Now - TargetState.FailureAt;
  std::chrono::duration<double> DecayTime = this->Settings.FailureDecayTime;
  return TargetState.FailureRate * std::exp(-std::max(Age / DecayTime, 0.0));
}

double TargetSelector::failureRate(const State &TargetState,
                                   base::TimePoint Now) const {
  double Own = this->ownFailureRate(TargetState, Now);
  return this->hasFigures(TargetState, Now)
             ? std::max(Own, TargetState.FailureShare)
             : Own;
}

void TargetSelector::onEnded(const base::TargetId &Id, AttemptEnd How,
                             base::TimePoint Now) {
  State *TargetState = this->stateOf(Id);
  if (TargetState == nullptr)
    return;
  constexpr unsigned MaxOwnPlaces = 4;
  if (How != AttemptEnd::Refused)
    TargetState->OwnPlaces = std::min(TargetState->OwnPlaces + 1, MaxOwnPlaces);
  bool Broken = How == AttemptEnd::Broken;
  bool Served = How == AttemptEnd::Served;
  TargetState->View.ended(Broken   ? routing::RequestEnd::Failed
                          : Served ? routing::RequestEnd::Done
                                   : routing::RequestEnd::Cancelled,
                          Now);
  if (How == AttemptEnd::Cancelled || How == AttemptEnd::Refused)
    return;
  double Rate = this->ownFailureRate(*TargetState, Now);
  TargetState->FailureRate =
      Rate + this->Settings.FailureSmoothing * ((Served ? 0.0 : 1.0) - Rate);
  TargetState->FailureAt = Now;
}

void TargetSelector::onNotHeld(const base::TargetId &Id,
                               const base::ModelId &Model,
                               const base::AdapterId &Adapter,
                               base::TimePoint Now) {
  if (State *TargetState = this->stateOf(Id))
    TargetState->Lacking[{Model, Adapter}] = Now + LackingDuration;
}

void TargetSelector::onFull(const base::TargetId &Id, base::TimePoint Now) {
  if (State *TargetState = this->stateOf(Id))
    TargetState->FullUntil = Now + FullDuration;
}

} // namespace kingcuphub::dispatch
