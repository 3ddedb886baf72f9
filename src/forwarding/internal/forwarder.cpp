#include "forwarding/forwarder.h"

#include "base/visitor.h"
#include "exchange.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

namespace kingcuphub::forwarding {

namespace {

/// How often the queue is checked without another cause: targets stop being
/// full or cold as time passes.
constexpr std::chrono::milliseconds QueueInterval{20};

/// How often a stopping instance looks at requests that wait.
constexpr std::chrono::milliseconds StopInterval{50};

/// How often requests that wait for tokens are checked, and how often credit is
/// managed while no request waits.
constexpr std::chrono::milliseconds UsageInterval{20};
constexpr std::chrono::milliseconds IdleUsageInterval{100};

constexpr int ContentTooLarge = 413;
constexpr int Unavailable = 503;
constexpr double MaxRetryJitter = 0.25;

Refusal refusalOf(http::MemoryRefusal Why) {
  switch (Why) {
  case http::MemoryRefusal::NeverFits:
    return {ContentTooLarge, "larger-than-memory", std::nullopt};
  case http::MemoryRefusal::NoRoom:
    break;
  }
  return {Unavailable, "no-memory", std::nullopt};
}

class ForwarderImpl final : public Forwarder {
public:
  ForwarderImpl(asio::io_context &Loop, ForwarderSettings Settings,
                const Dialect &Protocol, const base::Clock &Clock,
                metrics::Registry &Metrics)
      : Context(Loop, std::move(Settings), Protocol, Clock, Metrics),
        QueueTimer(Loop), UsageTimer(Loop), StopTimer(Loop) {
    this->Context.ServeQueue = [this] { this->serveQueue(); };
    this->Context.QueueGrew = [this] { this->scheduleQueueCheck(); };
    this->Context.Wanted = [this] {
      if (this->Events.OnWanted)
        this->Events.OnWanted();
    };
    this->Context.TellEvidence = [this] {
      if (this->Events.OnCrashEvidence)
        this->Events.OnCrashEvidence();
    };
    this->Context.Admit = [this] { this->admit(); };
    this->tickUsage();
  }

  void handle(http::Request Asked, http::ResponseWriterPtr Answer) override {
    auto New = std::make_shared<Exchange>(this->Context, std::move(Asked),
                                          std::move(Answer));
    New->start();
  }

  http::Response refuseForMemory(const http::Request &Head,
                                 http::MemoryRefusal Why) override {
    Refusal Out = refusalOf(Why);
    if (Out.Status == Unavailable)
      Out.RetryAfter = this->retryAfter();
    base::RequestId Id;
    if (auto Read = this->Context.Protocol.readRequest(Head))
      Id = Read->Id;
    this->Context.Metrics
        .counter("requests", {{"route", ""},
                              {"outcome", "refused"},
                              {"status", std::to_string(Out.Status)}})
        .add();
    base::logEvent(
        base::LogLevel::Info, "ended",
        {{"request", Id.Value},
         {"outcome", "refused"},
         {"status", Out.Status},
         {"reason", Out.Reason},
         {"content_length", std::string(Head.header("Content-Length"))},
         {"attempts", 0},
         {"after_ms", 0}});
    return this->Context.Protocol.refusal(Id, Out);
  }

  void setCatalog(catalog::CatalogPtr New) override {
    this->Context.Catalog = New;
    this->Context.Selector.setCatalog(std::move(New));
    this->reconsiderWaiting();
    this->serveQueue();
  }

  void setCatalogProven(base::TimePoint At) override {
    this->Context.CatalogProvenAt = At;
  }

  void setTargetsProven(base::TimePoint At) override {
    this->Context.TargetsProvenAt = At;
  }

  void setTargets(catalog::TargetListPtr New) override {
    this->Context.Targets = New;
    std::erase_if(this->Context.UnreadableLoads, [&New](const auto &Each) {
      return New->Targets.count(Each.first) == 0;
    });
    this->Context.TargetsAt = this->Context.Clock.now();
    this->Context.Selector.setTargets(std::move(New));
    this->serveQueue();
  }

  void setInstances(unsigned Count) override {
    this->Context.Selector.setInstances(Count);
    this->Context.Retries.setInstances(Count);
    this->Context.Usage.setInstances(Count);
  }

  void setHeld(catalog::SharedHeldStatesPtr Held,
               base::TimePoint Until) override {
    if (this->Context.Selector.setHeld(std::move(Held), Until))
      this->serveQueue();
  }

  void setAdmission(overload::AdmissionLevels New) override {
    this->Context.Admission.setLevels(std::move(New),
                                      this->Context.Clock.now());
  }

  void setWallOffset(base::Duration New) override {
    this->Context.WallOffset = New;
  }

  void setFigures(const dispatch::FigureTable &New,
                  base::TimePoint At) override {
    this->Context.Selector.setFigures(New, At);
    this->serveQueue();
  }

  void setLoading(
      std::map<dispatch::ServiceModel, base::TimePoint> Loading) override {
    this->Context.Selector.setLoading(std::move(Loading));
  }

  void setSuspects(dispatch::SuspectParts New) override {
    if (this->Context.Quarantine.setSuspects(std::move(New)))
      this->Context.TellEvidence();
    // Copies, as requests that end are removed from the originals.
    for (const auto &Waiting :
         {this->Context.Waiting, this->Context.AwaitingTokens})
      for (const auto &[LocalId, Each] : Waiting)
        Each->refuseIfQuarantined();
  }

  std::vector<dispatch::UsedAmount> changeHolder() override {
    this->Context.Quarantine.onNewHolder();
    return this->Context.Usage.onNewHolder(this->Context.Clock.now());
  }

  void onCredits(const std::vector<CreditAnswer> &Answers) override {
    base::TimePoint Now = this->Context.Clock.now();
    this->Context.Usage.onContact(Now);
    for (const CreditAnswer &Each : Answers)
      if (auto Took = this->Context.Usage.onCredit(Each.Account, Each.Grant,
                                                   Each.Request, Now))
        this->Context.Metrics.histogram("credit_ms").add(*Took);
    this->admit();
  }

  TrafficUse takeUse() override {
    for (const auto &[LocalId, Each] : this->Context.Waiting)
      if (auto Missing = Each->missingItem())
        ++this->Context.Use[*Missing].Waiting;
    TrafficUse Out;
    for (auto &[Key, Use] : std::exchange(this->Context.Use, {})) {
      Use.Service = Key.first;
      Use.What = Key.second;
      Out.Items.push_back(Use);
    }
    Out.Samples = this->Context.Samples.take();
    Out.Arrivals = this->Context.Admission.take();
    Out.Begun = std::exchange(this->Context.Begun, {});
    Out.Evidence =
        this->Context.Quarantine.takeEvidence(this->Context.Clock.now());
    return Out;
  }

  void setEvents(ForwarderEvents NewEvents) override {
    this->Events = std::move(NewEvents);
  }

  void stopBy(base::TimePoint CutAt) override {
    this->Context.CutAt = CutAt;
    this->checkStop();
  }

  void refuseNew() override { this->Context.RefusesNew = true; }

  std::size_t open() const override { return *this->Context.Open; }

private:
  /// With jitter, as those who are refused together return together.
  std::chrono::milliseconds retryAfter() {
    std::uniform_real_distribution<double> Draw(1, 1 + MaxRetryJitter);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        this->Context.Settings.Waits.DefaultRetryAfter *
        Draw(this->Context.Random));
  }

  /// Applies a new catalog to requests that wait, in order of arrival. The
  /// first proceeds after the last has been looked at, so that no tokens and no
  /// place are taken by the catalog before.
  void reconsiderWaiting() {
    std::vector<std::shared_ptr<Exchange>> All;
    for (const auto *Waiting :
         {&this->Context.Waiting, &this->Context.AwaitingTokens})
      for (const auto &[LocalId, Each] : *Waiting)
        All.push_back(Each);
    std::stable_sort(All.begin(), All.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left->receivedAt() < Right->receivedAt();
                     });
    std::erase_if(All, [](const auto &Each) { return !Each->reconsider(); });
    for (const std::shared_ptr<Exchange> &Each : All)
      Each->proceed();
  }

  /// Decides on requests that wait for tokens, and requests or returns credit.
  void admit() {
    base::TimePoint Now = this->Context.Clock.now();
    for (const admission::TokenOutcome &Each : this->Context.Usage.tick(Now))
      std::visit(base::Visitor{
                     [this, Now](const admission::TokensTaken &Taken) {
                       if (auto Of = this->takeAwaitingTokens(Taken.Request))
                         Of->admitted(Taken);
                       else
                         this->Context.Usage.putBack(Taken, Now);
                     },
                     [this](const admission::TokensRefused &Refused) {
                       if (auto Of = this->takeAwaitingTokens(Refused.Request))
                         Of->tokensRefused(Refused.RetryAfter);
                     }},
                 Each);
    auto Commands = this->Context.Usage.takeCommands(Now);
    if (!Commands.empty() && this->Events.OnCredit)
      this->Events.OnCredit(std::move(Commands));
  }

  /// Refuses requests that have waited until they can no longer end in time.
  void checkStop() {
    // Copies, as requests that end are removed from the originals.
    for (const auto &Waiting :
         {this->Context.Waiting, this->Context.AwaitingTokens})
      for (const auto &[LocalId, Each] : Waiting)
        Each->refuseIfStopping();
    this->StopTimer.expires_after(StopInterval);
    this->StopTimer.async_wait([this](asio::error_code Failed) {
      if (!Failed)
        this->checkStop();
    });
  }

  std::shared_ptr<Exchange> takeAwaitingTokens(const base::RequestId &LocalId) {
    auto Found = this->Context.AwaitingTokens.find(LocalId);
    if (Found == this->Context.AwaitingTokens.end())
      return nullptr;
    std::shared_ptr<Exchange> Out = std::move(Found->second);
    this->Context.AwaitingTokens.erase(Found);
    return Out;
  }

  void tickUsage() {
    bool Waits = this->Context.Usage.hasWaiting();
    this->UsageTimer.expires_after(Waits ? UsageInterval : IdleUsageInterval);
    this->UsageTimer.async_wait([this](asio::error_code Failed) {
      if (Failed)
        return;
      this->admit();
      this->tickUsage();
    });
  }

  void serveQueue() {
    if (std::exchange(this->ServingQueue, true)) {
      this->ServeQueueAgain = true;
      return;
    }
    do {
      this->ServeQueueAgain = false;
      this->serveQueueOnce();
    } while (this->ServeQueueAgain);
    this->ServingQueue = false;
  }

  void serveQueueOnce() {
    auto CanRun = [this](const admission::QueueEntry &Each) {
      auto Found = this->Context.Waiting.find(Each.Request);
      // A request that has ended meanwhile is removed from the queue.
      return Found == this->Context.Waiting.end() ||
             Found->second->selectTarget();
    };
    while (auto Next = this->Context.Queue.pop(CanRun)) {
      auto Found = this->Context.Waiting.find(Next->Request);
      if (Found == this->Context.Waiting.end())
        continue;
      std::shared_ptr<Exchange> Each = std::move(Found->second);
      this->Context.Waiting.erase(Found);
      Each->sendToSelected();
    }
  }

  void scheduleQueueCheck() {
    if (this->Context.Waiting.empty() ||
        std::exchange(this->QueueCheckScheduled, true))
      return;
    this->QueueTimer.expires_after(QueueInterval);
    this->QueueTimer.async_wait([this](asio::error_code Failed) {
      if (Failed)
        return;
      this->QueueCheckScheduled = false;
      this->expireQueue();
      this->serveQueue();
      this->scheduleQueueCheck();
    });
  }

  void expireQueue() {
    for (const admission::QueueEntry &Each :
         this->Context.Queue.expire(this->Context.Clock.now())) {
      auto Found = this->Context.Waiting.find(Each.Request);
      if (Found == this->Context.Waiting.end())
        continue;
      std::shared_ptr<Exchange> Late = std::move(Found->second);
      this->Context.Waiting.erase(Found);
      Late->onWaitExpired();
    }
  }

  TrafficContext Context;
  asio::steady_timer QueueTimer;
  asio::steady_timer UsageTimer;
  asio::steady_timer StopTimer;
  ForwarderEvents Events;
  bool ServingQueue = false;
  bool ServeQueueAgain = false;
  bool QueueCheckScheduled = false;
};

} // namespace

std::unique_ptr<Forwarder> makeForwarder(asio::io_context &Loop,
                                         ForwarderSettings Settings,
                                         const Dialect &Protocol,
                                         const base::Clock &Clock,
                                         metrics::Registry &Metrics) {
  return std::make_unique<ForwarderImpl>(Loop, std::move(Settings), Protocol,
                                         Clock, Metrics);
}

} // namespace kingcuphub::forwarding
