#include "holderrole.h"

#include "base/log.h"
#include "base/visitor.h"
#include "control/unsettledorders.h"
#include "figuremessages.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::control {

HolderRole::HolderRole(asio::io_context &Loop, const ControlSettings &Settings,
                       EngineClient &Engines, residency::HolderLease &Lease,
                       const base::Clock &Clock, metrics::Registry &Metrics,
                       DutyClient *Duties)
    : Settings(Settings), Engines(Engines), Lease(Lease), Clock(Clock),
      Metrics(Metrics), Holder(Settings.Holder), Usage(Settings.Usage),
      Admission(Settings.Admission), Learner(Settings.Learner),
      Reporter(Settings, Duties, Lease, Clock, Metrics),
      Scaling(Settings, Duties, Lease, Clock, Metrics), PlanTimer(Loop),
      PublishTimer(Loop) {}

base::Result<void> HolderRole::listen(messaging::Messaging &Messages) {
  auto Started = Messages.serve(
      this->Settings.LinkEndpoint,
      [this](const messaging::ClientName &From, std::string_view Bytes) {
        this->onReport(From, Bytes);
      });
  if (!Started)
    return tl::unexpected(Started.error());
  this->Server = std::move(*Started);
  return {};
}

void HolderRole::setCatalog(const catalog::CatalogPtr &New) {
  this->Catalog = New;
  this->Holder.setCatalog(New, this->Clock.now());
}

void HolderRole::setTargets(const catalog::TargetListPtr &New) {
  this->Holder.setTargets(New, this->Clock.now());
  this->Learner.setTargets(New);
  this->Targets = New;
  if (this->Token)
    this->publishListed(*New);
}

void HolderRole::checkLease() {
  base::TimePoint Now = this->Clock.now();
  auto Held = this->Lease.held(Now);
  if (Held == this->Token)
    return;
  if (Held)
    this->logGained(*Held, Now);
  else
    this->logLost(Now);
  this->Lost.reset();
  if (this->Token && !Held)
    this->Lost = LostLease{*this->Token, Now};
  this->Token = Held;
  this->Holder.setLease(Held, Now);
  if (!Held) {
    this->Reporter.stop();
    this->Scaling.stop();
    return this->Engines.abandonOrders();
  }
  this->Metrics.counter("lease_gained").add();
  this->HeldSince = Now;
  this->Work = {};
  this->Work.TrafficBefore = this->Server->traffic();
  this->Instances.clear();
  this->Clients.clear();
  this->Held.clear();
  this->Listed.clear();
  this->Suspects.clear();
  this->SuspectsSent = this->Suspects.revision();
  this->Admission.clear();
  this->Levels.clear();
  this->Learner.clear();
  this->Holder.setSlowness({});
  this->Figures.clear();
  this->Crashes.clear();
  // The record of the lease has what the previous holder left.
  std::string State =
      this->Lease.record() ? this->Lease.record()->State : std::string();
  this->Crashes.restore(readHolderState(State, Now), Now);
  this->Reporter.start(*Held, State);
  this->Scaling.start(*Held, State);
  this->Lease.setState(std::move(State));
  this->LeftQuarantined.clear();
  this->updateSuspects();
  if (this->Targets)
    this->publishListed(*this->Targets);
  // A lapsed lease that is renewed late goes on with what was granted.
  if (std::exchange(this->UsageToken, Held) != Held)
    this->Usage.start(Now);
}

void HolderRole::logLost(base::TimePoint Now) const {
  messaging::TrafficCount Total = this->Server->traffic();
  const HolderWork &Done = this->Work;
  base::logEvent(
      base::LogLevel::Info, "lease-lost",
      {{"token", this->Token->Value},
       {"why", residency::leaseLossName(this->Lease.lossReason())},
       {"held_ms", base::millisOf(Now - this->HeldSince)},
       {"engines", this->Holder.engines().views(Now).size()},
       {"reports", Done.Reports},
       {"reports_ms", base::millisOf(Done.Reporting)},
       {"credit_reports", Done.CreditReports},
       {"credit_reports_ms", base::millisOf(Done.Crediting)},
       {"plans", Done.Plans},
       {"plans_ms", base::millisOf(Done.Planning)},
       {"broadcasts", Done.Broadcasts},
       {"broadcasts_ms", base::millisOf(Done.Broadcasting)},
       {"messages_out", Total.MessagesOut - Done.TrafficBefore.MessagesOut},
       {"bytes_out", Total.BytesOut - Done.TrafficBefore.BytesOut},
       {"catalog", this->Catalog ? this->Catalog->Version.Value : 0}});
}

void HolderRole::logGained(residency::FencingToken New,
                           base::TimePoint Now) const {
  const auto &Before = this->Lease.predecessor();
  nlohmann::json Fields = {
      {"token", New.Value},
      {"previous", Before ? Before->Holder.Value : ""},
      {"previous_token", Before ? Before->Token.Value : 0},
      {"previous_released", Before && Before->Released},
      {"order_wait_ms", this->Lease.orderWait(Now).count()},
      {"unsettled", this->Lease.allUnsettledOrders(Now).size()},
      {"engines", this->Holder.engines().views(Now).size()},
      {"catalog", this->Catalog ? this->Catalog->Version.Value : 0}};
  if (const auto &Last = this->Lease.lastOrder())
    Fields["own_order_ms_ago"] = base::millisOf(Now - *Last);
  base::logEvent(base::LogLevel::Info, "lease-gained", Fields);
}

void HolderRole::onRecord(const residency::LeaseRecord &Record) {
  if (Record.Holder != this->Settings.Self)
    this->InheritedInstances = Record.Instances;
}

unsigned HolderRole::instances() const {
  base::TimePoint Now = this->Clock.now();
  if (!this->Token || Now < this->HeldSince + this->Settings.InstanceCountDelay)
    return this->InheritedInstances;
  auto Counted = static_cast<unsigned>(std::count_if(
      this->Instances.begin(), this->Instances.end(), [&](const auto &Each) {
        return Now < Each.second.HeardAt + this->Settings.InstanceTimeout;
      }));
  // Instances that the previous holder knew may only be partitioned from this
  // one.
  bool MayBePartitioned =
      Now < this->HeldSince + this->Settings.InstanceTimeout;
  return MayBePartitioned ? std::max(Counted, this->InheritedInstances)
                          : Counted;
}

bool HolderRole::shouldYield(bool Behind) const {
  base::TimePoint Now = this->Clock.now();
  if (!this->Token)
    return false;
  if (Behind && Now >= this->HeldSince + this->Settings.MinHoldTimeWhenBehind)
    return true;
  if (Now < this->HeldSince + this->Settings.MinHoldTime)
    return false;
  return std::any_of(
      this->Instances.begin(), this->Instances.end(), [&](const auto &Each) {
        return Now < Each.second.HeardAt + dispatch::SilentAfter +
                         this->Usage.recentStall(Now) &&
               residency::shouldYield(this->Settings.Lease.Handicap,
                                      Each.second.Handicap);
      });
}

void HolderRole::onReport(const messaging::ClientName &From,
                          std::string_view Bytes) {
  wire::InstanceReport Report;
  if (!Report.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    base::logEvent(base::LogLevel::Warn, "instance-report-unreadable",
                   {{"bytes", Bytes.size()}});
    return;
  }
  this->checkLease();
  base::TimePoint Now = this->Clock.now();
  // Also without a lease, which a late renewal may restore.
  if (Report.has_served_ms_ago())
    this->OnReportedServed(Now -
                           std::chrono::milliseconds(Report.served_ms_ago()));
  if (!this->Token)
    return;
  ++this->Work.Reports;
  if (Report.credit_only())
    return this->onCreditReport(From, Report);
  base::InstanceId Instance{Report.instance()};
  Peer &Sender = this->Instances[Instance];
  Sender.HeardAt = Now;
  Sender.Handicap = std::chrono::milliseconds(Report.claim_handicap_ms());
  this->Clients[From] = Now;
  if (this->OnReportedPosition)
    this->OnReportedPosition({Report.operator_position()});
  this->Lease.onUnsettledOrders({Instance, {Report.incarnation()}},
                                readUnsettled(Report.unsettled()), Now);
  this->Holder.onUse(Instance, readItems(Report), Now);
  for (const pacing::TargetSample &Each : readSamples(Report, Now))
    this->Learner.onSample(Each, Now);
  this->Admission.onArrivals(readArrivals(Report));
  this->addEvidence(Report);
  wire::HolderReply Reply = this->newReply(Now);
  Reply.set_number(Report.number());
  this->addFigures(Instance, Reply);
  writeAdmission(this->Levels, Reply);
  this->Reporter.onReport(Report, Reply);
  // Revisions of a previous holder's data mean nothing here.
  bool SameHolder = Report.held_token() == this->Token->Value;
  if (std::uint64_t Known = SameHolder ? Report.held_revision() : 0;
      Known != this->Held.revision())
    writeHeld(this->Held.since(Known), Reply);
  if (std::uint64_t Known = SameHolder ? Report.listed_revision() : 0;
      Known != this->Listed.revision())
    writeListed(this->Listed.since(Known), Now, Reply);
  if (std::uint64_t Known = SameHolder ? Report.suspects_revision() : 0;
      Known != this->Suspects.revision())
    writeSuspects(this->Suspects.since(Known), Now, Reply);
  this->addCreditGrants(Report, Reply);
  this->Server->send(From, Reply.SerializeAsString());
  this->Work.Reporting += this->Clock.now() - Now;
  bool HasWaiting =
      std::any_of(Report.items().begin(), Report.items().end(),
                  [](const wire::ItemUse &Each) { return Each.waiting() > 0; });
  if (HasWaiting)
    this->requestPlan();
}

void HolderRole::onCreditReport(const messaging::ClientName &From,
                                const wire::InstanceReport &Report) {
  base::TimePoint Now = this->Clock.now();
  wire::HolderReply Reply;
  Reply.set_token(this->Token->Value);
  Reply.set_credit_only(true);
  this->addCreditGrants(Report, Reply);
  this->Server->send(From, Reply.SerializeAsString());
  ++this->Work.CreditReports;
  this->Work.Crediting += this->Clock.now() - Now;
}

void HolderRole::addFigures(const base::InstanceId &Receiver,
                            wire::HolderReply &To) {
  base::TimePoint Now = this->Clock.now();
  // Not with each reply: an account at its limit asks many times a second.
  Peer &Of = this->Instances[Receiver];
  if (Now >= Of.LoadingAt + this->Settings.FiguresInterval) {
    Of.LoadingAt = Now;
    writeLoading(this->Holder.engines().loadingModels(Now), Now, To);
  }
  if (Now >= this->FiguresAt + this->Settings.FiguresInterval) {
    dispatch::FigureTable Table = this->Learner.figures(Now);
    this->Figures = Table.empty() ? std::string() : encodeFigures(Table, Now);
    this->FiguresAt = Now;
    this->Holder.setSlowness(pacing::slownessOf(Table));
    this->logSlowTargets(Table);
  }
  std::chrono::duration<double> Least(
      static_cast<double>(this->Figures.size() * this->Instances.size()) /
      this->Settings.FigureBytesPerSecond);
  if (this->Figures.empty() || Of.FiguresAt == this->FiguresAt ||
      Now < Of.FiguresAt + Least)
    return;
  Of.FiguresAt = this->FiguresAt;
  To.set_figures(this->Figures);
  To.set_figures_age_ms(
      static_cast<std::uint32_t>(base::millisOf(Now - this->FiguresAt)));
}

void HolderRole::logSlowTargets(const dispatch::FigureTable &Figures) {
  constexpr double SlowPace = 2;
  constexpr double FailingShare = 0.1;
  std::int64_t Slow = 0;
  std::int64_t Failing = 0;
  for (const auto &[Id, Each] : Figures) {
    bool IsSlow = Each.Pace >= SlowPace || Each.Limit < Each.Slots;
    bool IsFailing = Each.FailureShare >= FailingShare;
    Slow += IsSlow ? 1 : 0;
    Failing += IsFailing ? 1 : 0;
    bool IsUnusual = IsSlow || IsFailing;
    if (std::exchange(this->LoggedSlow[Id], IsUnusual) == IsUnusual)
      continue;
    base::logEvent(base::LogLevel::Info,
                   !IsUnusual ? "target-usual-again"
                   : IsSlow   ? "target-slow"
                              : "target-failing",
                   {{"target", Id.Value},
                    {"failure_share", Each.FailureShare},
                    {"pace", Each.Pace},
                    {"slowness", Each.Slowness},
                    {"limit", Each.Limit},
                    {"slots", Each.Slots},
                    {"load", Each.Load}});
  }
  std::erase_if(this->LoggedSlow, [&](const auto &Each) {
    return Figures.count(Each.first) == 0;
  });
  this->Metrics.counter("slow_targets").set(Slow);
  this->Metrics.counter("failing_targets").set(Failing);
}

void HolderRole::addEvidence(const wire::InstanceReport &Report) {
  base::TimePoint Now = this->Clock.now();
  bool IsEmpty = Report.target_ends().empty() &&
                 Report.served_parts().empty() &&
                 Report.refused_parts().empty();
  // tick() decides regularly.
  if (IsEmpty)
    return;
  dispatch::CrashEvidence Evidence = readEvidence(Report, Now);
  for (const dispatch::TargetEnd &Each : Evidence.Ends)
    this->Crashes.onTargetEnd(Each);
  for (const dispatch::ServedPart &Each : Evidence.Served)
    this->Crashes.onServed(Each);
  for (dispatch::PromptPartId Each : Evidence.Refused)
    this->Crashes.onRefused(Each, {Report.instance()}, Now);
  this->updateSuspects();
}

void HolderRole::updateSuspects() {
  base::TimePoint Now = this->Clock.now();
  for (const dispatch::QuarantineChange &Each : this->Crashes.decide(Now))
    this->logChange(Each);
  if (!this->Suspects.update(this->Crashes.published()))
    return this->publishSuspects();
  dispatch::SuspectParts Quarantined = this->Crashes.quarantined();
  this->Metrics.counter("quarantined_parts")
      .set(static_cast<std::int64_t>(Quarantined.size()));
  if (std::exchange(this->LeftQuarantined, Quarantined) != Quarantined)
    this->setStateForSuccessor();
  this->publishSuspects();
}

void HolderRole::publishSuspects() {
  base::TimePoint Now = this->Clock.now();
  if (this->SuspectsSent == this->Suspects.revision() ||
      Now < this->SuspectsSentAt + this->publishInterval())
    return;
  wire::HolderReply Message = this->newReply(Now);
  writeSuspects(this->Suspects.since(this->SuspectsSent), Now, Message);
  this->SuspectsSent = this->Suspects.revision();
  this->SuspectsSentAt = Now;
  this->broadcast(Message);
}

void HolderRole::setStateForSuccessor() {
  this->Lease.setState(
      writeHolderState(this->LeftQuarantined, this->Reporter.state(),
                       this->Scaling.state(), this->Clock.now()));
}

void HolderRole::updateAdmission(base::TimePoint Now) {
  if (!this->Admission.tick(Now))
    return;
  overload::AdmissionLevels Before =
      std::exchange(this->Levels, this->Admission.levels());
  this->Metrics.counter("overloaded_models")
      .set(static_cast<std::int64_t>(this->Levels.size()));
  for (const auto &[Key, Each] : this->Levels)
    if (Before.count(Key) == 0)
      base::logEvent(base::LogLevel::Warn, "model-overloaded",
                     {{"service", Key.first.Value},
                      {"model", Key.second.Value},
                      {"level", Each.Level}});
  for (const auto &[Key, Each] : Before)
    if (this->Levels.count(Key) == 0)
      base::logEvent(
          base::LogLevel::Info, "model-has-room",
          {{"service", Key.first.Value}, {"model", Key.second.Value}});
}

void HolderRole::tickDuties(base::TimePoint Now) {
  // A new holder waits until most of those that the one before knew have
  // reported; without them their counts would be missing for good, and demand
  // would seem lower than it is.
  bool Settled = Now >= this->HeldSince + this->Settings.SilentForWindows ||
                 this->Instances.size() >= this->InheritedInstances;
  bool Ordered =
      Settled && this->Catalog && this->Targets &&
      this->Scaling.tick(*this->Catalog, *this->Targets, this->Holder);
  if (Ordered)
    this->setStateForSuccessor();
  if (!this->Reporter.enabled())
    return;
  std::optional<std::set<base::InstanceId>> Expected;
  if (Settled && !this->Instances.empty()) {
    Expected.emplace();
    for (const auto &[Id, Each] : this->Instances)
      if (Now < Each.HeardAt + this->Settings.SilentForWindows)
        Expected->insert(Id);
  }
  if (this->Reporter.tick(Expected))
    this->setStateForSuccessor();
}

void HolderRole::logChange(const dispatch::QuarantineChange &Change) const {
  nlohmann::json Ends = nlohmann::json::array();
  for (const auto &[Target, Lifetime] : Change.Ends)
    Ends.push_back(Target.Value + "/" + std::to_string(Lifetime.Value));
  base::logEvent(base::LogLevel::Warn, "quarantine",
                 {{"what", dispatch::quarantineChangeName(Change.Kind)},
                  {"part", dispatch::partName(Change.Part)},
                  {"together", dispatch::partNames(Change.Together)},
                  {"ended", std::move(Ends)},
                  {"trial", Change.Trial.Number},
                  {"trial_by", Change.Trial.By.Value}});
}

void HolderRole::addCreditGrants(const wire::InstanceReport &Report,
                                 wire::HolderReply &To) {
  base::TimePoint Now = this->Clock.now();
  if (Report.history_included())
    this->Usage.onHistory(readHistory(Report, Now), Report.history_whole());
  if (!this->Catalog)
    return;
  auto Find = [this](const std::string &Name) {
    auto Found = this->Catalog->Accounts.find({Name});
    return Found == this->Catalog->Accounts.end() ? nullptr : &Found->second;
  };
  this->Usage.tick(Now);
  // What a previous holder has granted is not counted here.
  bool IsOwnCredit = Report.held_token() == this->Token->Value;
  for (const wire::TokenReturn &Each : Report.token_returns())
    if (const catalog::Account *Account = Find(Each.account());
        Account && IsOwnCredit)
      this->Usage.onReturn(*Account, Each.amount(), Now);
  for (const wire::TokenAsk &Each : Report.token_asks()) {
    const catalog::Account *Account = Find(Each.account());
    if (Account == nullptr)
      continue;
    dispatch::CreditGrant Grant =
        this->Usage.onAsk(*Account, {Each.amount(), Each.needed()}, Now);
    wire::TokenGrant &Out = *To.add_grants();
    Out.set_account(Each.account());
    Out.set_amount(Grant.Amount);
    Out.set_request(Each.request());
    Out.set_retry_after_ms(
        static_cast<std::uint32_t>(Grant.RetryAfter.count()));
    Out.set_keep_for_ms(static_cast<std::uint32_t>(Grant.KeepFor.count()));
  }
}

void HolderRole::updateInstanceCounts(base::TimePoint Now) {
  unsigned Total = this->instances();
  // This instance heard nobody while it stood still.
  base::Duration Silence = dispatch::SilentAfter + this->Usage.recentStall(Now);
  auto Heard = static_cast<unsigned>(std::count_if(
      this->Instances.begin(), this->Instances.end(),
      [&](const auto &Each) { return Now < Each.second.HeardAt + Silence; }));
  this->Usage.setInstances(Total, Total - std::min(Total, Heard));
}

void HolderRole::tick() {
  this->checkLease();
  bool GraceElapsed =
      this->Lost && !this->Lease.hasOrdersUnderWay() &&
      this->Clock.now() >= this->Lost->At + this->Settings.GiveUpAfter;
  if (GraceElapsed)
    this->announceGivenUpLease();
  if (!this->Token)
    return;
  base::TimePoint Begun = this->Clock.now();
  this->Usage.tick(Begun);
  this->updateInstanceCounts(Begun);
  residency::OrderGate Gate{
      this->Lease.orderToken(Begun).has_value(),
      [this, Begun](const base::TargetId &Engine) {
        return this->Lease.orderToken(Engine, Begun).has_value();
      }};
  for (const residency::HolderCommand &Each : this->Holder.tick(Begun, Gate))
    this->carryOut(Each);
  this->updateSuspects();
  this->tickDuties(Begun);
  this->updateAdmission(Begun);
  this->publish();
  base::Duration Took = this->Clock.now() - Begun;
  ++this->Work.Plans;
  this->Work.Planning += Took;
  this->Metrics.histogram("plan_ms").add(Took);
  this->NextPlanAt =
      Begun + std::max(std::chrono::duration_cast<base::Duration>(
                           Took * this->Settings.PlanGapFactor),
                       base::Duration(this->Settings.MinPlanInterval));
}

void HolderRole::requestPlan() {
  base::TimePoint Now = this->Clock.now();
  if (Now >= this->NextPlanAt)
    return this->tick();
  if (std::exchange(this->PlanScheduled, true))
    return;
  this->PlanTimer.expires_after(this->NextPlanAt - Now);
  this->PlanTimer.async_wait([this](asio::error_code Failed) {
    if (Failed)
      return;
    this->PlanScheduled = false;
    this->tick();
  });
}

void HolderRole::publishAt(base::TimePoint At) {
  if (this->PublishDue && *this->PublishDue <= At)
    return;
  this->PublishDue = At;
  this->PublishTimer.expires_after(
      std::max(At - this->Clock.now(), base::Duration::zero()));
  this->PublishTimer.async_wait([this](asio::error_code Failed) {
    if (Failed)
      return;
    this->PublishDue.reset();
    if (this->Token)
      this->publish();
  });
}

wire::HolderReply HolderRole::newReply(base::TimePoint Now) const {
  wire::HolderReply Out;
  Out.set_token(this->Token->Value);
  Out.set_instances(this->instances());
  Out.set_lease_end(this->Lease.end().Value);
  Out.set_lease_left_ms(
      static_cast<std::uint32_t>(this->Lease.timeLeft(Now).count()));
  Out.set_held_revision(this->Held.revision());
  Out.set_listed_revision(this->Listed.revision());
  Out.set_operator_position(this->CatalogThrough.Value);
  if (this->CatalogProvenAt != base::TimePoint{})
    Out.set_operator_age_ms(static_cast<std::uint32_t>(
        base::millisOf(Now - this->CatalogProvenAt)));
  if (this->TargetsAskedAt)
    Out.set_listed_age_ms(static_cast<std::uint32_t>(
        base::millisOf(Now - *this->TargetsAskedAt)));
  if (this->ServedAt && this->ServedSince) {
    Out.set_served_ms_ago(
        static_cast<std::uint32_t>(base::millisOf(Now - *this->ServedAt)));
    Out.set_served_since_ms_ago(
        static_cast<std::uint32_t>(base::millisOf(Now - *this->ServedSince)));
  }
  return Out;
}

void HolderRole::announceGivenUpLease() {
  if (!this->Lost)
    return;
  base::TimePoint Now = this->Clock.now();
  this->Lease.onGivenUp(this->Lost->Token, {}, Now);
  wire::HolderReply Message;
  writeUnsettled(this->Lease.allUnsettledOrders(Now),
                 *Message.mutable_unsettled());
  Message.set_token(this->Lost->Token.Value);
  this->Lost.reset();
  Message.set_leaving(true);
  this->broadcast(Message);
}

base::Duration HolderRole::publishInterval() const {
  return std::max<base::Duration>(this->Settings.MinPublishInterval,
                                  this->Settings.PublishTimePerInstance *
                                      this->Clients.size());
}

/// Sends every instance the changes in what engines hold.
void HolderRole::publish() {
  base::TimePoint Now = this->Clock.now();
  base::TimePoint Earliest = this->PublishedAt + this->publishInterval();
  if (Now < Earliest)
    return this->publishAt(Earliest);
  // Adapters become available some milliseconds after their order.
  if (auto Next = this->Holder.engines().nextAdapterArrival(Now))
    this->publishAt(std::max(*Next, Now + this->publishInterval()));
  std::uint64_t Before = this->Held.revision();
  if (!this->Held.update(this->Holder.engines().held(Now)))
    return;
  this->PublishedAt = Now;
  wire::HolderReply Message = this->newReply(Now);
  writeHeld(this->Held.since(Before), Message);
  this->broadcast(Message);
}

void HolderRole::publishListed(const catalog::TargetList &All) {
  ListedSource::Values Values;
  for (const auto &[Id, Each] : All.Targets)
    Values[Id] = {Each};
  std::uint64_t Before = this->Listed.revision();
  if (!this->Listed.update(Values))
    return;
  base::TimePoint Now = this->Clock.now();
  wire::HolderReply Message = this->newReply(Now);
  writeListed(this->Listed.since(Before), Now, Message);
  this->broadcast(Message);
}

void HolderRole::broadcast(const wire::HolderReply &Message) {
  base::TimePoint Now = this->Clock.now();
  std::string Bytes = Message.SerializeAsString();
  for (auto Each = this->Clients.begin(); Each != this->Clients.end();) {
    if (Now > Each->second + this->Settings.HeldValidFor) {
      Each = this->Clients.erase(Each);
      continue;
    }
    this->Server->send(Each->first, Bytes);
    ++Each;
  }
  ++this->Work.Broadcasts;
  this->Work.Broadcasting += this->Clock.now() - Now;
}

void HolderRole::carryOut(const residency::HolderCommand &Command) {
  std::visit(
      base::Visitor{
          [this](const residency::AskReport &Ask) { this->requestReport(Ask); },
          [this](const residency::SendOrder &Send) { this->sendOrder(Send); }},
      Command);
}

void HolderRole::requestReport(const residency::AskReport &Command) {
  const catalog::Target *Target = this->Holder.engines().target(Command.Target);
  if (Target == nullptr)
    return;
  this->Engines.report(
      *Target, [this, Live = this->Alive, Id = Command.Target](
                   const std::optional<residency::EngineReport> &Report) {
        if (!*Live)
          return;
        base::TimePoint Now = this->Clock.now();
        if (!Report)
          base::logEvent(base::LogLevel::Warn, "engine-silent",
                         {{"target", Id.Value}});
        this->Holder.onReport(Id, Report, Now);
        this->requestPlan();
      });
}

bool HolderRole::mayOrder(const residency::Order &What) const {
  return this->Lease.orderToken(What.Target, this->Clock.now()) == What.Token;
}

void HolderRole::sendOrder(const residency::SendOrder &Command) {
  const residency::Order &What = Command.What;
  const catalog::Target *To = this->Holder.engines().target(What.Target);
  base::TimePoint SentAt = this->Clock.now();
  // The lease may have expired during planning.
  if (To == nullptr || !this->mayOrder(What)) {
    this->Holder.onAnswer(What, residency::OrderAnswer::Conflict, SentAt);
    return;
  }
  this->Metrics
      .counter("orders",
               {{"kind", std::string(residency::orderKindName(What.Kind))},
                {"item", What.What.isAdapter() ? "adapter" : "model"}})
      .add();
  base::logEvent(base::LogLevel::Info, "order-sent",
                 {{"target", What.Target.Value},
                  {"kind", residency::orderKindName(What.Kind)},
                  {"model", What.What.Model.Value},
                  {"adapter", What.What.Adapter.Value},
                  {"revision", What.ExpectedRevision},
                  {"token", What.Token.Value},
                  {"lease_left_ms", this->Lease.timeLeft(SentAt).count()},
                  {"reason", Command.Reason}});
  this->Lease.onOrderSent(What.Target, What.Lifetime, SentAt);
  OrderCallbacks Callbacks;
  Callbacks.MayStillSend = [this, Live = this->Alive, What] {
    return *Live && this->mayOrder(What);
  };
  Callbacks.OnOutcome = [this, Live = this->Alive, What,
                         SentAt](OrderOutcome Outcome) {
    if (*Live)
      this->onOrderOutcome(What, Outcome, SentAt);
  };
  Callbacks.OnSettled = [this, Live = this->Alive, What,
                         SentAt](OrderOutcome Outcome) {
    if (*Live)
      this->onOrderSettled(What, Outcome, SentAt);
  };
  this->Engines.order(*To, What, this->Settings.Self, std::move(Callbacks));
}

void HolderRole::logOrder(const char *Event, const residency::Order &What,
                          OrderOutcome Outcome, base::TimePoint SentAt) const {
  base::logEvent(base::LogLevel::Info, Event,
                 {{"target", What.Target.Value},
                  {"kind", residency::orderKindName(What.Kind)},
                  {"model", What.What.Model.Value},
                  {"adapter", What.What.Adapter.Value},
                  {"revision", What.ExpectedRevision},
                  {"token", What.Token.Value},
                  {"answer", residency::orderAnswerName(Outcome.Answer)},
                  {"end", residency::orderEndName(Outcome.End)},
                  {"after_ms", base::millisOf(this->Clock.now() - SentAt)}});
}

void HolderRole::onOrderOutcome(const residency::Order &What,
                                OrderOutcome Outcome, base::TimePoint SentAt) {
  this->logOrder("order-answered", What, Outcome, SentAt);
  this->Metrics
      .counter("orders_ended",
               {{"end", std::string(residency::orderEndName(Outcome.End))}})
      .add();
  this->Lease.onOrderEnded(What.Target);
  if (Outcome.Answer == residency::OrderAnswer::Fenced &&
      What.Token == this->Token)
    this->Lease.onFenced();
  this->Holder.onAnswer(What, Outcome.Answer, this->Clock.now());
  this->requestPlan();
}

void HolderRole::onOrderSettled(const residency::Order &What,
                                OrderOutcome Outcome, base::TimePoint SentAt) {
  base::TimePoint Now = this->Clock.now();
  if (Outcome.End == residency::OrderEnd::Cut)
    this->Lease.onOrderCut(What.Target, Now);
  else
    this->Lease.onOrderSettled(What.Target, Now);
  if (Now < SentAt + this->Settings.Lease.OrderTransit)
    return;
  this->logOrder("order-settled", What, Outcome, SentAt);
  this->Metrics.histogram("order_late_ms").add(Now - SentAt);
}

} // namespace kingcuphub::control
