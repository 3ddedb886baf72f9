#ifndef KINGCUPHUB_FORWARDING_INTERNAL_TRAFFICCONTEXT_H
#define KINGCUPHUB_FORWARDING_INTERNAL_TRAFFICCONTEXT_H

/// \file
/// State shared by all exchanges of an instance, including the queue of
/// requests that wait for a target.

#include "admission/fairqueue.h"
#include "answerlimits.h"
#include "base/log.h"
#include "dispatch/answertimes.h"
#include "dispatch/flowrate.h"
#include "forwarding/forwarder.h"
#include "targetendcheck.h"

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace kingcuphub::forwarding {

class Exchange;

struct TrafficContext {
  TrafficContext(asio::io_context &Loop, ForwarderSettings NewSettings,
                 const Dialect &Protocol, const base::Clock &Clock,
                 metrics::Registry &Metrics)
      : Loop(Loop), Settings(std::move(NewSettings)), Protocol(Protocol),
        Clock(Clock), Metrics(Metrics), Selector(this->Settings.Selector),
        Retries(this->Settings.Retries), Usage(this->Settings.Usage),
        Waits(this->Settings.Waits), Quarantine(this->Settings.Quarantine),
        Samples(this->Settings.Sampling), Admission(this->Settings.Admission),
        Client(http::makeForwardClient(Loop, this->Settings.Connections)),
        AnswerSizes({this->Settings.MaxHeldBytes, this->Settings.MaxPieceBytes,
                     this->Settings.MaxUnsentBytes},
                    this->Settings.Memory),
        EndCheck(Loop, *this->Client, Clock,
                 [this](dispatch::TargetEnd End) {
                   this->onTargetEnd(std::move(End));
                 }),
        Random(std::random_device{}()),
        WallOffset(Clock.wallNow().time_since_epoch() -
                   Clock.now().time_since_epoch()) {}

  /// Counts a request of \p Account that begins to run at \p Now.
  void countBegun(const base::AccountId &Account, base::TimePoint Now) {
    if (!this->Settings.CountWindow)
      return;
    auto Wall = std::chrono::duration_cast<duties::WallMillis>(
        Now.time_since_epoch() + this->WallOffset);
    ++this->Begun[duties::windowAt(Wall, *this->Settings.CountWindow)][Account];
  }

  void onTargetEnd(dispatch::TargetEnd End) {
    base::logEvent(base::LogLevel::Warn, "target-ended",
                   {{"target", End.Target.Value},
                    {"lifetime", End.Lifetime.Value},
                    {"prompts", End.Prompts.size()}});
    if (End.Prompts.empty())
      return;
    this->Quarantine.onTargetEnd(std::move(End));
    this->TellEvidence();
  }

  asio::io_context &Loop;
  ForwarderSettings Settings;
  const Dialect &Protocol;
  const base::Clock &Clock;
  metrics::Registry &Metrics;
  dispatch::TargetSelector Selector;
  dispatch::RetryBudget Retries;
  dispatch::UsageAdmission Usage;
  dispatch::WaitPolicy Waits;
  dispatch::PromptQuarantine Quarantine;
  pacing::SampleCollector Samples;
  overload::AdmissionFilter Admission;
  std::unique_ptr<http::ForwardClient> Client;
  AnswerLimits AnswerSizes;
  TargetEndCheck EndCheck;
  /// Targets that have stated loads that could not be read, with the lifetime
  /// in which that was logged.
  std::map<base::TargetId, catalog::Lifetime> UnreadableLoads;
  std::mt19937_64 Random;
  /// Time of day less monotonic time.
  base::Duration WallOffset;
  std::map<duties::WindowId, duties::BegunCounts> Begun;
  catalog::CatalogPtr Catalog;
  /// The last time at which the catalog was known to be the newest.
  base::TimePoint CatalogProvenAt;
  catalog::TargetListPtr Targets;
  base::TimePoint TargetsAt;
  /// The last time at which the list of targets was known to be the newest.
  base::TimePoint TargetsProvenAt;

  admission::FairQueue Queue;
  std::map<base::RequestId, std::shared_ptr<Exchange>> Waiting;
  /// Requests that wait for tokens of their client account.
  std::map<base::RequestId, std::shared_ptr<Exchange>> AwaitingTokens;
  /// Rate at which attempts end at each service.
  std::map<catalog::ServiceId, dispatch::FlowRate> EndRates;
  std::map<std::pair<catalog::ServiceId, residency::Item>, residency::ItemUse>
      Use;
  std::uint64_t NextLocalId = 1;
  /// Requests under way. Shared with them, as handlers of the loop may keep
  /// them after the forwarder has gone.
  std::shared_ptr<std::atomic<std::size_t>> Open =
      std::make_shared<std::atomic<std::size_t>>(0);
  dispatch::AnswerTimes AnswerTimes;
  /// When a stopping process cuts what has not been answered.
  std::optional<base::TimePoint> CutAt;
  bool RefusesNew = false;

  /// Set by the forwarder.
  std::function<void()> ServeQueue;
  std::function<void()> QueueGrew;
  std::function<void()> Wanted;
  std::function<void()> TellEvidence;
  /// Decides on requests that wait for tokens, as far as possible now.
  std::function<void()> Admit;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_INTERNAL_TRAFFICCONTEXT_H
