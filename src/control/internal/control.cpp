#include "control/control.h"

#include "base/log.h"
#include "base/visitor.h"
#include "cataloglag.h"
#include "catalogproof.h"
#include "control/unsettledorders.h"
#include "duties/beguncounts.h"
#include "figuremessages.h"
#include "holderrole.h"
#include "residency/lagdetector.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <random>
#include <utility>

namespace kingcuphub::control {

namespace {

/// The number of reports whose send times are kept: more than are sent in the
/// time in which an answer is of use.
constexpr std::size_t MaxPendingReports = 256;
/// Windows of use that are kept for a new holder: more than pass until their
/// reports are due.
constexpr std::uint64_t WindowsKept = 6;

class ControlImpl final : public Control {
public:
  ControlImpl(asio::io_context &Loop, ControlSettings NewSettings,
              ControlStore &Store, EngineClient &Engines,
              messaging::Messaging &Messages, TrafficPort &Traffic,
              const base::Clock &Clock, metrics::Registry &Metrics,
              DutyClient *Duties)
      : Settings(std::move(NewSettings)), Store(Store), Messages(Messages),
        Traffic(Traffic), Clock(Clock), Metrics(Metrics),
        Table(this->Settings.Targets), Outages(this->Settings.Outages),
        Lease(this->Settings.Self, this->Settings.Incarnation,
              this->Settings.LinkEndpoint, this->Settings.Lease,
              std::random_device{}(), this->Clock.now()),
        Role(Loop, this->Settings, Engines, this->Lease, Clock, Metrics,
             Duties),
        TickTimer(Loop), ReportTimer(Loop) {}

  ControlImpl(const ControlImpl &) = delete;
  ControlImpl &operator=(const ControlImpl &) = delete;
  ~ControlImpl() override { *this->Alive = false; }

  void start() override {
    this->Role.onReportedPosition(
        [this](StorePosition Reported) { this->onReportedPosition(Reported); });
    this->listen();
    this->Role.onReportedServed(
        [this](base::TimePoint At) { this->onServed(At); });
    StoreEvents Events;
    Events.OnServed = [this] {
      this->ServedAt = this->Clock.now();
      this->onServed(*this->ServedAt);
    };
    Events.OnCatalog = [this](catalog::CatalogPtr New) {
      this->onCatalog(std::move(New));
    };
    Events.OnOperatorRead = [this](const StoreRead &Read) {
      this->Proof.onRead(Read);
      this->OthersKnewAt.reset();
      this->publishProof();
    };
    Events.OnZonesOut = [this](std::set<base::ZoneId> Zones) {
      this->Table.setZonesOut(std::move(Zones));
      this->publishTargets();
    };
    Events.OnTargets = [this](const auto &Updates, const TargetRead &Got) {
      this->onTargetsRead(Updates, Got);
    };
    Events.OnLease = [this](const auto &Record, residency::LeaseLogEnd End) {
      this->onLease(Record, End);
    };
    Events.OnHealth = [this](const StoreHealth &Health) {
      this->onHealth(Health);
    };
    Events.OnRestored = [this] {
      this->Metrics.counter("store_restored").add();
    };
    Events.OnIncompleteTargets = [this] {
      this->IncompleteAt = this->Clock.now();
      this->updateOutage();
    };
    this->Store.start(std::move(Events));
    this->TickedAt = this->Clock.now();
    this->tick();
    this->scheduleReport(this->Settings.ReportInterval);
  }

  void reportSoon() override {
    if (std::exchange(this->Urgent, true))
      return;
    base::TimePoint Next =
        this->ReportedAt +
        std::max<base::Duration>(this->Settings.MinUrgentReportInterval,
                                 this->Settings.UrgentReportTimePerInstance *
                                     this->Instances);
    auto Wait = std::max<base::Duration>(Next - this->Clock.now(),
                                         base::Duration::zero());
    this->scheduleReport(
        std::chrono::duration_cast<std::chrono::milliseconds>(Wait));
  }

  void
  onCredit(const std::vector<admission::CreditCommand> &Commands) override {
    if (!this->Link)
      return;
    wire::InstanceReport Out;
    Out.set_instance(this->Settings.Self.Value);
    Out.set_incarnation(this->Settings.Incarnation.Value);
    Out.set_held_token(this->HeldToken);
    Out.set_credit_only(true);
    writeCredits(Commands, Out);
    this->Link->send(Out.SerializeAsString());
  }

  void onReady(std::function<void()> NewReady) override {
    this->Ready = std::move(NewReady);
    this->checkReady();
  }

  void leave() override {
    this->appendRelease(this->Lease.release(this->Clock.now()));
  }

private:
  void appendRelease(const std::optional<residency::LeaseAppend> &Release) {
    if (Release)
      this->append(*Release);
    this->Role.checkLease();
    if (Release)
      this->Role.announceGivenUpLease();
  }

  /// Opens the link, or tries it again some time after a failure.
  void listen() {
    base::TimePoint Now = this->Clock.now();
    bool Due = !this->ListenFailedAt ||
               Now >= *this->ListenFailedAt + this->Settings.ListenInterval;
    if (this->Role.isListening() || !Due)
      return;
    auto Listening = this->Role.listen(this->Messages);
    if (!Listening && !this->ListenFailedAt)
      base::logEvent(base::LogLevel::Error, "link-not-listening",
                     {{"why", Listening.error().Message}});
    if (Listening && this->ListenFailedAt)
      base::logEvent(base::LogLevel::Info, "link-listening",
                     {{"endpoint", this->Settings.LinkEndpoint}});
    this->ListenFailedAt = Listening ? std::nullopt : std::optional(Now);
  }

  void checkReady() {
    if (this->HasTargets && this->Catalog && this->Ready)
      std::exchange(this->Ready, nullptr)();
  }

  void onCatalog(catalog::CatalogPtr New) {
    // The version never decreases while the process runs.
    if (this->Catalog && New->Version <= this->Catalog->Version)
      return;
    base::TimePoint Now = this->Clock.now();
    base::logEvent(
        base::LogLevel::Info, "catalog",
        {{"version", New->Version.Value},
         {"before", this->Catalog ? this->Catalog->Version.Value : 0},
         {"before_proven_ms_ago", this->ageOf(this->Proof.provenAt(), Now)},
         {"others_knew_ms_ago", this->ageOf(this->OthersKnewAt, Now)},
         {"routes", New->Routes.size()},
         {"accounts", New->Accounts.size()}});
    this->logAccounts(*New);
    this->Metrics.counter("catalog_version")
        .set(static_cast<std::int64_t>(New->Version.Value));
    this->Catalog = New;
    this->Role.setCatalog(New);
    this->Traffic.setCatalog(std::move(New));
    this->checkReady();
  }

  /// Logs each account whose limit differs from the previous catalog.
  void logAccounts(const catalog::Catalog &New) const {
    for (const auto &[Id, Each] : New.Accounts) {
      auto Known =
          this->Catalog ? this->Catalog->Accounts.find(Id) : New.Accounts.end();
      bool Same = this->Catalog && Known != this->Catalog->Accounts.end() &&
                  Known->second.RatePerSecond == Each.RatePerSecond &&
                  Known->second.Burst == Each.Burst;
      if (!Same)
        base::logEvent(base::LogLevel::Info, "account-limit-is",
                       {{"account", Id.Value},
                        {"per_second", Each.RatePerSecond},
                        {"burst", Each.Burst},
                        {"catalog", New.Version.Value}});
    }
  }

  /// In milliseconds, -1 if there is no such time.
  static std::int64_t ageOf(std::optional<base::TimePoint> At,
                            base::TimePoint Now) {
    return At && *At != base::TimePoint{} ? base::millisOf(Now - *At) : -1;
  }

  void publishProof() {
    this->Role.setCatalogProven(this->Proof.own(), this->Proof.provenAt());
    if (std::exchange(this->PublishedProof, this->Proof.provenAt()) !=
        this->Proof.provenAt())
      this->Traffic.setCatalogProven(this->Proof.provenAt());
  }

  /// Applies the age of the holder's catalog. It counts from when the report
  /// was sent that the reply answers.
  void applyCatalogProof(const wire::HolderReply &Reply) {
    auto Sent = this->ReportSendTimes.find(Reply.number());
    bool Fresh = Reply.has_operator_age_ms() &&
                 Sent != this->ReportSendTimes.end() &&
                 !this->Lease.claimedHere();
    if (!Fresh)
      return;
    this->Proof.onReported(
        {Reply.operator_position()},
        Sent->second - std::chrono::milliseconds(Reply.operator_age_ms()));
    this->publishProof();
  }

  void applyFigures(const wire::HolderReply &Reply, base::TimePoint Now) {
    if (Reply.figures().empty() || !this->PublishedTargets)
      return;
    base::TimePoint At =
        Now - std::chrono::milliseconds(Reply.figures_age_ms());
    auto Read = decodeFigures(Reply.figures(), *this->PublishedTargets, At);
    if (!Read) {
      this->Metrics.counter("target_figures_unreadable").add();
      base::logEvent(base::LogLevel::Warn, "target-figures-unreadable",
                     {{"bytes", Reply.figures().size()}});
      return;
    }
    this->Traffic.setFigures(
        std::make_shared<const dispatch::FigureTable>(std::move(*Read)), At);
  }

  /// Handles how far another instance or the holder has read the operator's
  /// log.
  void onReportedPosition(StorePosition Reported) {
    base::TimePoint Now = this->Clock.now();
    if (Reported > this->Proof.own()) {
      if (!this->OthersKnewAt)
        this->OthersKnewAt = Now;
      this->Proof.onNewer();
      this->publishProof();
    }
    if (this->Lag.onReported(Reported, this->Proof.own(), Now))
      this->readCatalogNow(Now);
  }

  void readCatalogNow(base::TimePoint Now) {
    base::logEvent(
        base::LogLevel::Warn, "catalog-behind",
        {{"version", this->Catalog ? this->Catalog->Version.Value : 0},
         {"position", this->Proof.own().Value},
         {"others_knew_ms_ago", this->ageOf(this->OthersKnewAt, Now)}});
    this->Store.readCatalogNow();
  }

  /// Applies what this instance has read of the platform's list of targets.
  void onTargetsRead(const std::vector<TargetUpdate> &Updates,
                     const TargetRead &Got) {
    this->updateOutage();
    this->applyUpdates(Updates, Got.Whole, catalog::ToldBy::Store);
    if (Got.Read.UpToDate && !this->Table.isInDoubt()) {
      this->Role.onTargetsRead(Got.Read.AskedAt);
      this->Traffic.setTargetsProven(Got.Read.AskedAt);
    }
    this->onTargetsApplied();
  }

  void onServed(base::TimePoint At) {
    this->Outages.onServed(At);
    this->Role.setServed(this->Outages.lastServed(),
                         this->Outages.servedSince());
  }

  void updateOutage() {
    this->Table.setOutage(
        std::max(this->Outages.lastOutage(), this->IncompleteAt));
  }

  void applyUpdates(const std::vector<TargetUpdate> &Updates, bool Whole,
                    catalog::ToldBy By) {
    base::TimePoint Now = this->Clock.now();
    if (Whole) {
      std::vector<catalog::TargetEntry> Entries;
      for (const TargetUpdate &Each : Updates)
        if (auto *Entry = std::get_if<catalog::TargetEntry>(&Each))
          Entries.push_back(*Entry);
      this->Table.onCompleteList(Entries, Now);
    } else {
      for (const TargetUpdate &Each : Updates)
        std::visit(base::Visitor{[&](const catalog::TargetEntry &Entry) {
                                   this->Table.onEntry(Entry, Now, By);
                                 },
                                 [&](const TargetRemoved &Removed) {
                                   this->Table.onRemoved(Removed.Id, Now, By);
                                 }},
                   Each);
    }
  }

  void onTargetsApplied() {
    this->HasTargets = true;
    this->publishTargets();
    this->checkReady();
  }

  void publishTargets() {
    for (const catalog::TargetChange &Each : this->Table.takeChanges())
      this->logChange(Each);
    catalog::TargetListPtr Now = this->Table.list();
    if (!this->HasTargets || Now == this->PublishedTargets)
      return;
    this->PublishedTargets = Now;
    this->Role.setTargets(Now);
    this->Traffic.setTargets(std::move(Now));
  }

  void logChange(const catalog::TargetChange &Change) const {
    nlohmann::json Fields = {{"what", catalog::targetChangeName(Change.What)},
                             {"target", Change.Target.Value},
                             {"lifetime", Change.Lifetime.Value},
                             {"zone", Change.Zone.Value},
                             {"by", catalog::toldByName(Change.By)}};
    if (Change.DueAt) {
      base::TimePoint Now = this->Clock.now();
      Fields["due_in_ms"] = base::millisOf(*Change.DueAt - Now);
      Fields["outage_ended_ms_ago"] =
          this->ageOf(this->Outages.lastOutage(), Now);
      Fields["incomplete_ms_ago"] = this->ageOf(this->IncompleteAt, Now);
    }
    base::logEvent(base::LogLevel::Info, "target-change", Fields);
  }

  void onLease(const std::optional<residency::LeaseRecord> &Record,
               residency::LeaseLogEnd End) {
    this->Lease.onRead(Record, End, this->Clock.now());
    if (Record)
      this->onLeaseRecord(*Record);
    this->connectToHolder();
    this->Role.checkLease();
  }

  void onLeaseRecord(const residency::LeaseRecord &Record) {
    this->Role.onRecord(Record);
    // Until a holder is heard, its record is all that is known.
    if (this->HeldToken == 0 && !Record.State.empty())
      this->Traffic.setSuspects(
          readHolderState(Record.State, this->Clock.now()));
  }

  /// Connects to the instance that holds the lease, which may be this one.
  void connectToHolder() {
    const auto &Record = this->Lease.record();
    std::string Endpoint =
        Record && !Record->Released ? Record->Endpoint : std::string();
    if (Endpoint == this->HolderEndpoint)
      return;
    this->HolderEndpoint = Endpoint;
    this->Link.reset();
    base::logEvent(base::LogLevel::Info, "holder",
                   {{"endpoint", Endpoint},
                    {"instance", Record ? Record->Holder.Value : ""},
                    {"token", Record ? Record->Token.Value : 0}});
    if (Endpoint.empty())
      return;
    auto Connected = this->Messages.connect(
        Endpoint, [this](std::string_view Bytes) { this->onReply(Bytes); });
    if (Connected)
      this->Link = std::move(*Connected);
    else
      base::logEvent(
          base::LogLevel::Error, "holder-unreachable",
          {{"endpoint", Endpoint}, {"why", Connected.error().Message}});
  }

  /// Adjusts which parts of the store are followed. The lease record is
  /// followed only while the holder is silent or the record must be read.
  void updateHolderState(base::TimePoint Now) {
    bool Silent = Now > this->HolderHeardAt + this->Settings.HolderTimeout;
    if (Silent && !this->HolderSilent && !this->Lease.claimedHere() &&
        !this->Lease.mayReclaim(Now))
      this->Lease.forgetEnd();
    this->HolderSilent = Silent;
    const ChangeBounds &Bounds = this->Settings.Bounds;
    this->Store.setCatalogWait(this->Lease.claimedHere()
                                   ? Bounds.catalogWaitAsHolder()
                                   : this->Settings.CatalogWait);
    bool Unconfirmed =
        !this->Lease.claimedHere() &&
        Now > this->Proof.lastProvenAt() + Bounds.catalogValidFor();
    if (Unconfirmed)
      this->Store.readCatalogNow();
    if (this->Lag.isDue(this->Proof.own(), Now))
      this->readCatalogNow(Now);
    this->Store.followLease(Silent || this->Lease.needsRead());
    this->followTargets(this->Lease.claimedHere() ||
                            Now > this->ListedAt + Bounds.listValidFor(),
                        Now);
  }

  void followTargets(bool Follow, base::TimePoint Now) {
    if (std::exchange(this->FollowsTargets, Follow) != Follow)
      base::logEvent(
          base::LogLevel::Info, "target-list-source",
          {{"by", catalog::toldByName(Follow ? catalog::ToldBy::Store
                                             : catalog::ToldBy::Holder)},
           {"holder_read_ms_ago", this->ageOf(this->ListedAt, Now)},
           {"holds_lease", this->Lease.claimedHere()}});
    this->Store.followTargets(Follow);
    // All others will go by the list of a new holder: what it has heard of
    // earlier ones must not stay in it.
    if (this->Lease.claimedHere() && !std::exchange(this->ReadAsHolder, true))
      this->Store.readAllTargets();
    if (!this->Lease.claimedHere())
      this->ReadAsHolder = false;
  }

  /// Applies the list of targets as the holder read it.
  void onListed(const wire::HolderReply &Reply, base::TimePoint Now) {
    ListedDelta Update = readListed(Reply, Now);
    if (!this->Listed.apply(Update) || this->Lease.claimedHere())
      return;
    std::vector<TargetUpdate> Updates;
    for (const auto &[Id, Each] : Update.Changes) {
      if (Each)
        Updates.emplace_back(Each->Target.Entry);
      else
        Updates.emplace_back(TargetRemoved{Id});
    }
    // What a whole list lacks is removed when it is known how old the list is.
    this->applyUpdates(Updates, false, catalog::ToldBy::Holder);
    this->onTargetsApplied();
  }

  /// Updates when the holder last read the list of targets. The reply may have
  /// been delayed, so its age counts from when the report was sent that it
  /// answers.
  void updateListedAge(const wire::HolderReply &Reply) {
    if (!Reply.has_listed_age_ms() ||
        Reply.listed_revision() != this->Listed.revision())
      return;
    auto Sent = this->ReportSendTimes.find(Reply.number());
    if (Sent == this->ReportSendTimes.end())
      return;
    base::TimePoint AsOf =
        Sent->second - std::chrono::milliseconds(Reply.listed_age_ms());
    this->ListedAt = std::max(this->ListedAt, AsOf);
    this->ReportSendTimes.erase(this->ReportSendTimes.begin(), std::next(Sent));
    if (!this->Lease.claimedHere())
      this->compareWithListed(AsOf);
  }

  /// Finds targets on which this instance and the holder, who read the list at
  /// \p AsOf, differ after both have read it themselves. Its deltas no longer
  /// tell of them. The list of a new holder may be older than the one before.
  void compareWithListed(base::TimePoint AsOf) {
    base::TimePoint Now = this->Clock.now();
    if (AsOf < this->ComparedAsOf + this->Settings.ReportInterval)
      return;
    this->ComparedAsOf = AsOf;
    this->Traffic.setTargetsProven(AsOf);
    std::vector<const catalog::Target *> All;
    for (const auto &[Id, Each] : this->Listed.values())
      All.push_back(&Each.Target);
    this->Table.compare(All, AsOf, Now);
    this->publishTargets();
  }

  void onHealth(const StoreHealth &Health) {
    auto [Known, New] =
        this->Reachable.try_emplace(std::string(Health.Reading), true);
    if (Known->second == Health.Reachable)
      return;
    Known->second = Health.Reachable;
    base::logEvent(Health.Reachable ? base::LogLevel::Info
                                    : base::LogLevel::Warn,
                   Health.Reachable ? "store-regained" : "store-lost",
                   {{"reading", Health.Reading}, {"detail", Health.Detail}});
    this->Metrics.counter(Health.Reachable ? "store_regained" : "store_lost")
        .add();
  }

  void tick() {
    base::TimePoint Now = this->Clock.now();
    this->checkTickDelay(Now);
    this->listen();
    this->updateOutage();
    this->Table.tick(Now);
    this->publishTargets();
    this->updateHolderState(Now);
    this->renewLease(Now);
    this->Role.tick();
    this->TickTimer.expires_after(this->Settings.Tick);
    this->TickTimer.async_wait([this](asio::error_code Failed) {
      if (!Failed)
        this->tick();
    });
  }

  void checkTickDelay(base::TimePoint Now) {
    base::Duration Late = Now - this->TickedAt - this->Settings.Tick;
    this->TickedAt = Now;
    this->TickLag.onTick(Late, Now);
    this->Metrics.histogram("tick_late_ms")
        .add(std::max(Late, base::Duration::zero()));
    this->Lease.setBehind(this->TickLag.isBehind(Now));
    if (Late < this->Settings.StopThreshold)
      return;
    base::logEvent(base::LogLevel::Warn, "was-stopped",
                   {{"for_ms", base::millisOf(Late)}});
    this->Metrics.counter("was_stopped").add();
  }

  void renewLease(base::TimePoint Now) {
    // Nobody could report to this instance, and as long as it renewed the lease
    // nobody else would claim it.
    if (!this->Role.isListening())
      return;
    if (!this->HolderSilent && !this->Lease.claimedHere() &&
        !this->Lease.mayReclaim(Now))
      return;
    if (bool Behind = this->TickLag.isBehind(Now);
        !this->Lease.isYielding() && this->Role.shouldYield(Behind)) {
      base::logEvent(base::LogLevel::Info, "lease-yielded",
                     {{"handicap_ms", this->Settings.Lease.Handicap.count()},
                      {"behind", Behind}});
      return this->appendRelease(this->Lease.yield(Now));
    }
    auto Append = this->Lease.tick(this->Role.instances(), Now);
    if (Append && Append->Record.Released)
      this->appendRelease(Append);
    else if (Append)
      this->append(*Append);
  }

  void append(const residency::LeaseAppend &What) {
    this->Store.append(What,
                       [this, Live = this->Alive, What](AppendResult Outcome) {
                         if (*Live)
                           this->onAppendResult(What, Outcome);
                       });
  }

  void onAppendResult(const residency::LeaseAppend &Sent,
                      AppendResult Outcome) {
    if (Outcome == AppendResult::Appended) {
      this->Lease.onAppended(Sent, this->Clock.now());
    } else {
      base::logEvent(
          base::LogLevel::Warn, "lease-not-appended",
          {{"at", Sent.At.Value},
           {"token", Sent.Record.Token.Value},
           {"release", Sent.Record.Released},
           {"outcome",
            Outcome == AppendResult::Unknown ? "unknown" : "refused"}});
      this->Lease.onNotAppended(Sent);
      // Stops following, so that it restarts from the newest record.
      this->Store.followLease(false);
    }
    this->connectToHolder();
    this->Role.checkLease();
  }

  void scheduleReport(std::chrono::milliseconds After) {
    this->ReportTimer.expires_after(After);
    this->ReportTimer.async_wait([this](asio::error_code Failed) {
      if (!Failed)
        this->report();
    });
  }

  void report() {
    this->Urgent = false;
    this->ReportedAt = this->Clock.now();
    this->scheduleReport(this->Settings.ReportInterval);
    if (!this->Link)
      return;
    this->Traffic.takeUse(
        [this, Live = this->Alive](const forwarding::TrafficUse &Use) {
          if (*Live)
            this->sendReport(Use);
        });
  }

  void sendReport(const forwarding::TrafficUse &Use) {
    if (!this->Link)
      return;
    wire::InstanceReport Out = this->newReport();
    writeUse(Use, Out);
    writeSamples(Use.Samples, this->Clock.now(), Out);
    writeEvidence(Use.Evidence, this->Clock.now(), Out);
    writeArrivals(Use.Arrivals, Out);
    this->addBegun(Use, Out);
    this->Link->send(Out.SerializeAsString());
  }

  /// Adds the requests that began in windows that have ended.
  void addBegun(const forwarding::TrafficUse &Use, wire::InstanceReport &To) {
    if (!this->Settings.UsageReports)
      return;
    for (const auto &[Window, Counts] : Use.Begun)
      this->Begun.add(Window, Counts);
    To.set_wall_clock_ms(this->Clock.wallNow().time_since_epoch().count());
    duties::WindowId Current = duties::windowAt(
        std::chrono::duration_cast<duties::WallMillis>(
            this->Clock.now().time_since_epoch() + this->WallOffset),
        this->Settings.UsageReports->WindowLength);
    To.set_begun_through(Current.Value - 1);
    for (const auto &[Window, Counts] : this->Begun.unconfirmed(Current))
      for (const auto &[Account, Count] : Counts) {
        wire::BegunCount &Out = *To.add_begun();
        Out.set_window(Window.Value);
        Out.set_account(Account.Value);
        Out.set_count(Count);
      }
  }

  void applyAdmission(const wire::HolderReply &Reply) {
    // Broadcasts of other news say nothing of levels.
    if (!Reply.admission_included())
      return;
    overload::AdmissionLevels New = readAdmission(Reply);
    // Without levels, nothing has to be confirmed.
    if (!New.empty() || this->HasLevels)
      this->Traffic.setAdmission(New);
    this->HasLevels = !New.empty();
  }

  void applyDuties(const wire::HolderReply &Reply, base::TimePoint Now) {
    if (!duties::isPlausible(duties::WallMillis(Reply.wall_clock_ms())))
      return;
    this->WallOffset = std::chrono::milliseconds(Reply.wall_clock_ms()) -
                       Now.time_since_epoch();
    this->Traffic.setWallOffset(this->WallOffset);
    this->Begun.onConfirmed({Reply.begun_through()});
  }

  /// Discards what the previous holder sent, and reports to the new holder what
  /// was admitted under the previous one.
  void onNewHolder() {
    this->Held.forget();
    this->Loading.clear();
    this->Listed.forget();
    this->Suspects.forget();
    this->Begun.onNewHolder();
    this->Traffic.changeHolder(
        [this,
         Live = this->Alive](const std::vector<dispatch::UsedAmount> &Used) {
          if (!*Live || !this->Link)
            return;
          wire::InstanceReport Out = this->newReport();
          base::TimePoint Now = this->Clock.now();
          bool Whole = Now >= this->StartedAt + this->Settings.Usage.Window;
          writeHistory(Used, Whole, Now, Out);
          this->Link->send(Out.SerializeAsString());
        });
  }

  wire::InstanceReport newReport() {
    wire::InstanceReport Out;
    Out.set_instance(this->Settings.Self.Value);
    Out.set_incarnation(this->Settings.Incarnation.Value);
    Out.set_number(++this->ReportNumber);
    Out.set_listed_revision(this->Listed.revision());
    Out.set_suspects_revision(this->Suspects.revision());
    Out.set_operator_position(this->Proof.own().Value);
    if (this->ServedAt)
      Out.set_served_ms_ago(static_cast<std::uint32_t>(
          base::millisOf(this->Clock.now() - *this->ServedAt)));
    this->ReportSendTimes[this->ReportNumber] = this->Clock.now();
    if (this->ReportSendTimes.size() > MaxPendingReports)
      this->ReportSendTimes.erase(this->ReportSendTimes.begin());
    Out.set_claim_handicap_ms(
        static_cast<std::uint32_t>(this->Settings.Lease.Handicap.count()));
    Out.set_held_revision(this->Held.revision());
    Out.set_held_token(this->HeldToken);
    writeUnsettled(this->Lease.unsettledOrders(this->Clock.now()),
                   *Out.mutable_unsettled());
    return Out;
  }

  void onReply(std::string_view Bytes) {
    wire::HolderReply Reply;
    if (!Reply.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
      base::logEvent(base::LogLevel::Warn, "holder-reply-unreadable",
                     {{"bytes", Bytes.size()}});
      return;
    }
    base::TimePoint Now = this->Clock.now();
    // Replies from a previous holder are ignored.
    if (Reply.token() < this->HeldToken)
      return;
    this->HolderHeardAt = Reply.leaving() ? base::TimePoint{} : Now;
    if (Reply.leaving())
      this->Lease.onGivenUp({Reply.token()}, readUnsettled(Reply.unsettled()),
                            Now);
    if (Reply.has_served_ms_ago()) {
      base::TimePoint At =
          Now - std::chrono::milliseconds(Reply.served_ms_ago());
      this->Outages.onServedThroughout(
          Now - std::chrono::milliseconds(Reply.served_since_ms_ago()), At);
      this->onServed(At);
    }
    this->updateHolderState(Now);
    if (Reply.leaving())
      return;
    if (this->HeldToken != Reply.token())
      this->onNewHolder();
    this->HeldToken = Reply.token();
    if (Reply.credit_only())
      return this->Traffic.onCredits(readGrants(Reply));
    this->onReportedPosition({Reply.operator_position()});
    this->Lease.onReportedExpiry(
        {Reply.lease_end()}, std::chrono::milliseconds(Reply.lease_left_ms()),
        Now);
    if (Reply.listed_included())
      this->onListed(Reply, Now);
    this->applyCatalogProof(Reply);
    this->updateListedAge(Reply);
    if (Reply.held_included() && this->Held.apply(readHeld(Reply)))
      this->HeldSnapshot = std::make_shared<const catalog::SharedHeldStates>(
          this->Held.values());
    if (Reply.loading_included())
      this->Loading = readLoading(Reply, Now);
    if (Reply.held_revision() == this->Held.revision())
      this->Traffic.setHeld(this->HeldSnapshot, this->Loading,
                            Now + this->Settings.HeldValidFor);
    if (Reply.suspects_included() &&
        this->Suspects.apply(readSuspects(Reply, Now)))
      this->Traffic.setSuspects(this->Suspects.values());
    this->applyFigures(Reply, Now);
    this->applyAdmission(Reply);
    this->applyDuties(Reply, Now);
    if (Reply.instances() > 0) {
      this->Instances = Reply.instances();
      this->Traffic.setInstances(this->Instances);
    }
    this->Traffic.onCredits(readGrants(Reply));
  }

  ControlSettings Settings;
  ControlStore &Store;
  messaging::Messaging &Messages;
  TrafficPort &Traffic;
  const base::Clock &Clock;
  metrics::Registry &Metrics;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  catalog::CatalogPtr Catalog;
  catalog::TargetTable Table;
  catalog::TargetOutageDetector Outages;
  /// When the store last answered a call of this instance.
  std::optional<base::TimePoint> ServedAt;
  /// When the list of targets was last known to be incomplete.
  std::optional<base::TimePoint> IncompleteAt;
  catalog::TargetListPtr PublishedTargets;
  CatalogLag Lag;
  CatalogProof Proof;
  /// When it was first heard that others have read further of the operator's
  /// log.
  std::optional<base::TimePoint> OthersKnewAt;
  base::TimePoint PublishedProof;
  bool HasTargets = false;
  residency::HolderLease Lease;
  HolderRole Role;
  /// When the link last could not be opened; none once it is open.
  std::optional<base::TimePoint> ListenFailedAt;
  asio::steady_timer TickTimer;
  asio::steady_timer ReportTimer;
  std::function<void()> Ready;
  std::map<std::string, bool> Reachable;
  base::TimePoint StartedAt = this->Clock.now();
  base::TimePoint TickedAt;
  residency::LagDetector TickLag;
  base::TimePoint ReportedAt;
  base::TimePoint HolderHeardAt;
  bool HolderSilent = true;
  bool Urgent = false;
  /// As the holder counts them; 0 before its first answer.
  unsigned Instances = 0;
  std::unique_ptr<messaging::MessageClient> Link;
  std::string HolderEndpoint;
  std::uint64_t ReportNumber = 0;
  std::uint64_t HeldToken = 0;
  HeldReceiver Held;
  /// A copy of the values of Held that the traffic side may keep.
  catalog::SharedHeldStatesPtr HeldSnapshot =
      std::make_shared<const catalog::SharedHeldStates>();
  LoadingModels Loading;
  ListedReceiver Listed;
  SuspectsReceiver Suspects;
  /// The last reply admitted not all requests of some models.
  bool HasLevels = false;
  duties::BegunReport Begun{WindowsKept};
  /// Time of day, less monotonic time, on which most instances agree.
  base::Duration WallOffset = this->Clock.wallNow().time_since_epoch() -
                              this->Clock.now().time_since_epoch();
  base::TimePoint ListedAt;
  base::TimePoint ComparedAsOf;
  bool FollowsTargets = false;
  /// The complete list has been read since the lease was claimed.
  bool ReadAsHolder = false;
  /// When the latest reports were sent, by report number.
  std::map<std::uint64_t, base::TimePoint> ReportSendTimes;
};

} // namespace

std::unique_ptr<Control> makeControl(
    asio::io_context &Loop, ControlSettings Settings, ControlStore &Store,
    EngineClient &Engines, messaging::Messaging &Messages, TrafficPort &Traffic,
    const base::Clock &Clock, metrics::Registry &Metrics, DutyClient *Duties) {
  return std::make_unique<ControlImpl>(Loop, std::move(Settings), Store,
                                       Engines, Messages, Traffic, Clock,
                                       Metrics, Duties);
}

} // namespace kingcuphub::control
