#ifndef KINGCUPHUB_FORWARDING_FORWARDER_H
#define KINGCUPHUB_FORWARDING_FORWARDER_H

/// \file
/// Forwards callers' requests to targets and returns the answers: the traffic
/// side of an instance. The control side supplies the state of the deployment
/// and receives the observed demand. Runs on the event loop's thread, except
/// where stated otherwise.

#include "base/clock.h"
#include "base/memorybudget.h"
#include "dispatch/promptquarantine.h"
#include "dispatch/retrybudget.h"
#include "dispatch/targetselector.h"
#include "dispatch/usageadmission.h"
#include "dispatch/waitpolicy.h"
#include "duties/window.h"
#include "forwarding/dialect.h"
#include "http/forwardclient.h"
#include "http/httpserver.h"
#include "metrics/registry.h"
#include "overload/admissionfilter.h"
#include "pacing/samplecollector.h"
#include "residency/types.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace kingcuphub::forwarding {

struct ForwarderSettings {
  dispatch::TargetSelectorSettings Selector;
  dispatch::RetryBudgetSettings Retries;
  dispatch::UsageAdmissionSettings Usage;
  dispatch::PromptQuarantineSettings Quarantine;
  overload::AdmissionFilterSettings Admission;
  pacing::SamplingMode Sampling = pacing::SamplingMode::WhereSlownessIsStated;
  /// Length of the windows in which requests that begin to run are counted;
  /// none are counted without it.
  std::optional<std::chrono::milliseconds> CountWindow;
  /// Fraction of the caller's patience that a request may wait for its
  /// account's tokens; a request that starts later would miss its objective.
  double TokenWaitFraction = 0.15;
  http::ForwardSettings Connections;
  dispatch::WaitSettings Waits;
  /// Shared by requests and answers; not bounded if there is none.
  base::MemoryBudgetPtr Memory;
  /// The following limits of one answer fall as the memory for all of them is
  /// used up. A non-streaming or unsuccessful answer up to this size is
  /// buffered until it is complete, so that the request can be retried if the
  /// answer is truncated. Larger ones are forwarded as they arrive.
  std::size_t MaxHeldBytes = 128U << 10U;
  /// Largest body of a refusal that is read, and largest single event that is
  /// kept until it is complete. The call is cancelled if a refusal or an event
  /// of a resumable stream is larger, which also fails the attempt; a larger
  /// event of another stream is forwarded in pieces.
  std::size_t MaxPieceBytes = 256U << 10U;
  /// Bytes that may be buffered for a slow caller before reading from its
  /// target is paused.
  std::size_t MaxUnsentBytes = 256U << 10U;
  /// A request that may be retried, or a resumable stream, is sent to another
  /// target if it is silent for this many objectives (pause objectives once the
  /// answer has begun).
  double SilenceObjectives = 4;
  std::chrono::milliseconds MinSilence{800};
  /// How many times longer a slow target may be silent: callers abandon a
  /// stream after two seconds.
  double MaxSilenceFactor = 2;
  /// Requests are rejected for an unknown route or key only if the catalog is
  /// known to have been the newest within this time.
  std::chrono::milliseconds CatalogProofFor{1800};
};

/// What the traffic side has observed since the last query.
struct TrafficUse {
  std::vector<residency::ItemUse> Items;
  std::vector<pacing::TargetSample> Samples;
  overload::ArrivalTable Arrivals;
  /// Requests that have begun to run.
  std::map<duties::WindowId, duties::BegunCounts> Begun;
  dispatch::CrashEvidence Evidence;
};

/// The lease holder's answer to a request for credit.
struct CreditAnswer {
  base::AccountId Account;
  dispatch::CreditGrant Grant;
  std::uint64_t Request = 0;
};

/// Callbacks from the traffic side.
struct ForwarderEvents {
  /// A request waits for a model or adapter that no target holds.
  std::function<void()> OnWanted;
  /// There is evidence for or against a part of prompts that the lease holder
  /// should know at once.
  std::function<void()> OnCrashEvidence;
  /// Credit has to be requested from or returned to the lease holder.
  std::function<void(std::vector<admission::CreditCommand>)> OnCredit;
};

class Forwarder {
public:
  virtual ~Forwarder() = default;
  virtual void handle(http::Request Asked, http::ResponseWriterPtr Answer) = 0;

  /// The answer to a request that there is no memory for.
  virtual http::Response refuseForMemory(const http::Request &Head,
                                         http::MemoryRefusal Why) = 0;

  virtual void setCatalog(catalog::CatalogPtr New) = 0;
  /// The catalog was the newest one at this time.
  virtual void setCatalogProven(base::TimePoint At) = 0;
  virtual void setTargets(catalog::TargetListPtr New) = 0;
  /// The list of targets was the newest one at this time.
  virtual void setTargetsProven(base::TimePoint At) = 0;
  virtual void setInstances(unsigned Count) = 0;
  virtual void setHeld(catalog::SharedHeldStatesPtr Held,
                       base::TimePoint Until) = 0;
  /// Sets of which models not all requests are admitted.
  virtual void setAdmission(overload::AdmissionLevels New) = 0;
  /// Sets the time of day, less monotonic time, on which most instances agree.
  virtual void setWallOffset(base::Duration New) = 0;
  /// Sets what the lease holder has published about targets at \p At.
  virtual void setFigures(const dispatch::FigureTable &New,
                          base::TimePoint At) = 0;
  virtual void
  setLoading(std::map<dispatch::ServiceModel, base::TimePoint> Loading) = 0;
  /// Sets which parts of prompts may crash targets according to the lease
  /// holder.
  virtual void setSuspects(dispatch::SuspectParts New) = 0;
  /// The lease has a new holder, which grants credit from now on. Returns what
  /// was admitted within the window of the accounts' limits.
  virtual std::vector<dispatch::UsedAmount> changeHolder() = 0;
  /// The lease holder has answered, with these grants if any.
  virtual void onCredits(const std::vector<CreditAnswer> &Answers) = 0;
  virtual TrafficUse takeUse() = 0;
  virtual void setEvents(ForwarderEvents Events) = 0;
  /// The process will cut at \p CutAt what has not been answered. A request
  /// that may not end before that is no longer passed on, but refused without
  /// running it, also if it waits.
  virtual void stopBy(base::TimePoint CutAt) = 0;
  /// Refuses all further requests without running them, as they could not be
  /// finished before the process ends.
  virtual void refuseNew() = 0;
  /// Number of requests that have not been answered completely. Thread-safe.
  virtual std::size_t open() const = 0;
};

std::unique_ptr<Forwarder> makeForwarder(asio::io_context &Loop,
                                         ForwarderSettings Settings,
                                         const Dialect &Protocol,
                                         const base::Clock &Clock,
                                         metrics::Registry &Metrics);

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_FORWARDER_H
