#ifndef KINGCUPHUB_DISPATCH_TARGETSELECTOR_H
#define KINGCUPHUB_DISPATCH_TARGETSELECTOR_H

/// \file
/// Selects the target of a request, or states why the request has to wait.
/// Excluded regardless of load are targets that are leaving, are in an
/// availability zone that is out, lack the model or adapter, are cold and at
/// their limit, are full, have already failed this request, or have asked for
/// no requests for a time. Of the others the one with the lowest expected time
/// to the first answer is selected, based on the requests there, the part of
/// the prompt that is not cached, and the recent failure rate. No I/O and no
/// clock.
///
/// Load pattern: 60 instances with a sixtieth of the traffic each choose among
/// targets of unlike speed. Where the lease holder publishes figures of the
/// targets, each instance compares a few candidates drawn at random by the load
/// and speed that all have seen: all of them choosing the least loaded target
/// of one table would send everything there.
///
/// Load pattern: most copies of a model are busy, and requests for it wait at
/// all instances. Each of them would send several to a copy that has just been
/// loaded or that the last figures showed idle. An instance then sends only its
/// part of what such a target takes, and one for each of its own that has
/// ended.
///
/// Load pattern: a plain service runs a request for some 60 ms, much less than
/// the age of the published loads, on few targets. If all instances chose the
/// one with the lowest published load, that one would be full by the next
/// figures and the others idle. Its targets are drawn, the faster and less
/// loaded ones more often.

#include "base/clock.h"
#include "catalog/target.h"
#include "dispatch/coldlimit.h"
#include "dispatch/requestfacts.h"
#include "dispatch/targetfigures.h"
#include "routing/prefixhints.h"
#include "routing/targetview.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kingcuphub::dispatch {

/// Requirements of a request on its target.
struct TargetQuery {
  catalog::ServiceId Service;
  base::ModelId Model;
  base::AdapterId Adapter;
  const std::vector<PromptPart> *Prompt = nullptr;
  /// Targets to which this request must not be sent again.
  const std::set<base::TargetId> *Exclude = nullptr;
  /// Requests for the same model wait at this instance, so that others probably
  /// have some, too.
  bool Waits = false;
};

struct SendTo {
  base::TargetId Target;
};
/// Every target that could serve the request is full, resting after failures,
/// asks for no requests, or is cold and at its rate limit.
struct AllFull {
  /// When the first of them accepts requests again, if all have stated a time.
  std::optional<base::TimePoint> Until;
};
/// The service has usable targets, but none holds the model or adapter.
struct NotHeld {};
/// The service has no usable target that is not excluded.
struct NoTarget {};
using TargetChoice = std::variant<SendTo, AllFull, NotHeld, NoTarget>;

/// The load that a target reports with an answer.
struct StatedLoad {
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  std::int64_t Slots = 0;
  /// How long work takes there at this moment, relative to usual; empty if the
  /// target does not state it.
  std::optional<double> Slowness;
};

/// How an attempt ended, as far as it indicates the state of the target.
enum class AttemptEnd {
  Served,
  /// The target answered with a server error.
  ServerError,
  /// No connection, a truncated answer, silence, or an invalid answer.
  Broken,
  /// The caller disconnected or the deadline passed before the target had
  /// finished.
  Cancelled,
  /// The target stated that it did not run the request.
  Refused,
};

using ServiceModel = std::pair<catalog::ServiceId, base::ModelId>;

struct TargetSelectorSettings {
  base::ZoneId Zone;
  ColdLimitSettings Cold;
  routing::TargetLimits Limits;
  /// A target is full when its requests reach this multiple of its slots.
  /// Engines batch up to their slots; plain services can queue a few rounds and
  /// still meet the objective.
  double EngineFullFactor = 1.0;
  double ServiceFullFactor = 3.0;
  /// Prompt tokens that an engine processes per millisecond. The order of
  /// magnitude is enough to weigh a cached prompt against a queue.
  double PromptTokensPerMilli = 35;
  /// Delay that each further request in a batch adds to the first event of
  /// another.
  double BatchedRequestMillis = 1.0;
  /// Time to the first event of an engine beside the prompt and the others.
  double FirstEventMillis = 50;
  /// Where figures are published: how many candidates are compared, besides the
  /// one with most of the prompt.
  std::size_t Candidates = 3;
  /// Delay for each request beyond the number that a target takes well, and for
  /// each that has to wait for a place there.
  double BeyondLimitMillis = 60;
  double PlaceWaitMillis = 120;
  /// Time constant by which published loads are discounted: several times the
  /// duration of a stream, as others go on sending.
  std::chrono::milliseconds PublishedLoadDecay{6000};
  /// A model counts as wanted by all instances for this long after one of its
  /// requests found no target here.
  std::chrono::milliseconds ShortageDuration{1000};
  /// Share of the slots from which on places are scarce.
  double ScarceShare = 0.75;
  /// Multiple of its slots up to which a target is filled that all instances
  /// want at once: engines queue about twice as many as they run.
  double ContendedFill = 2;
  /// Instances that have a request for a published free place before the next
  /// figures, as a share of all; engines queue a few requests too many.
  double ContenderShare = 0.7;
  /// Figures that are older than this are not used.
  std::chrono::milliseconds FiguresValidFor{2000};
  /// Difference up to which two times of a stated load may be the same
  /// statement's.
  std::chrono::milliseconds LoadAgeTolerance{20};
  /// A slowness that was stated longer ago does not count, so that the target
  /// is tried again.
  std::chrono::milliseconds SlownessValidFor{10000};
  /// Weight of a newly stated slowness, which changes many times a second.
  double SlownessSmoothing = 0.3;
  std::uint64_t Seed = std::random_device{}();
  /// Cost of another availability zone: the additional round trip and the price
  /// of traffic between zones.
  double OtherZoneMillis = 2;
  /// The same where figures are published, so that targets of all zones are
  /// about equally loaded and most requests find a good one in their zone.
  double OtherZoneMillisWithFigures = 5;
  /// Time constant of the mean load of a plain service's target: several times
  /// the interval of figures.
  std::chrono::milliseconds MeanLoadMemory{1000};
  /// While a model is wanted by all instances, an engine whose load is unknown
  /// counts as idle for this long from its first request: until figures tell
  /// more.
  std::chrono::milliseconds AssumedIdleFor{500};
  /// Cost added to a target that has failed all of its recent requests.
  double FailurePenaltyMillis = 2000;
  /// Weight of a new result in a target's failure rate, and the time constant
  /// with which the rate decays while there are no results.
  double FailureSmoothing = 0.08;
  base::Duration FailureDecayTime = std::chrono::seconds(5);
  /// A target that ends sooner than this gets no requests.
  std::chrono::milliseconds MinTimeLeft{300};
  /// Prompt segments remembered per target.
  std::size_t PrefixCapacity = 4096;
};

class TargetSelector {
public:
  explicit TargetSelector(TargetSelectorSettings Settings);

  void setCatalog(catalog::CatalogPtr New);
  void setTargets(catalog::TargetListPtr New);
  void setInstances(unsigned Count) {
    this->Cold.setInstances(Count);
    this->Instances = Count;
  }
  /// Sets what the targets hold according to the lease holder, valid until
  /// \p Until. Returns whether it has changed.
  bool setHeld(catalog::SharedHeldStatesPtr New, base::TimePoint Until);

  /// Sets what the lease holder has published about targets at \p At.
  void setFigures(const FigureTable &New, base::TimePoint At);

  /// Whether the lease holder publishes figures of the service's targets.
  bool hasFigures(const catalog::ServiceId &Service, base::TimePoint Now) const;

  /// Sets when models will be loaded according to the lease holder.
  void setLoading(std::map<ServiceModel, base::TimePoint> NewLoading);
  /// When the model will be loaded; empty if it is not known to be loading.
  std::optional<base::TimePoint> loadedAt(const catalog::ServiceId &Service,
                                          const base::ModelId &Model) const;
  /// Returns whether a usable target holds the model, regardless of adapters.
  bool isModelHeld(const TargetQuery &Query, base::TimePoint Now) const;

  TargetChoice choose(const TargetQuery &Query, base::TimePoint Now);
  /// A request that was sent to no target before has found none with a place.
  void onNoPlace(const TargetQuery &Query, base::TimePoint Now);
  /// Returns whether the target may still be used; to be checked right before
  /// a request is sent.
  bool maySend(const base::TargetId &Id, base::TimePoint Now) const;
  const catalog::Target *find(const base::TargetId &Id) const;
  /// How long work takes at the target relative to usual, as far as is known;
  /// 1 otherwise.
  double slowness(const base::TargetId &Id, base::TimePoint Now) const;
  /// Estimated requests at the target.
  double load(const base::TargetId &Id, base::TimePoint Now) const;
  std::int64_t slots(const base::TargetId &Id) const;
  /// Expected time to the first answer at the target, by the slowness that it
  /// states itself and without what was learned about it.
  double expectedMillis(const TargetQuery &Query, const base::TargetId &Id,
                        base::TimePoint Now) const;

  void onSent(const TargetQuery &Query, const base::TargetId &Id,
              base::TimePoint Now);
  void onStatedLoad(const base::TargetId &Id, const StatedLoad &Load,
                    base::TimePoint Now);
  void onEnded(const base::TargetId &Id, AttemptEnd How, base::TimePoint Now);
  /// The target refused a request because it lacks the model or adapter.
  void onNotHeld(const base::TargetId &Id, const base::ModelId &Model,
                 const base::AdapterId &Adapter, base::TimePoint Now);
  /// The target refused a request because it is full.
  void onFull(const base::TargetId &Id, base::TimePoint Now);
  /// The target has announced in an answer that it is leaving.
  void onLeaving(const base::TargetId &Id, base::TimePoint Now);
  /// The target has asked this instance to send no requests for \p For.
  void onAskedToWait(const base::TargetId &Id, std::chrono::milliseconds For,
                     base::TimePoint Now);

private:
  struct State {
    explicit State(routing::TargetView View) : View(std::move(View)) {}

    routing::TargetView View;
    catalog::Lifetime Lifetime;
    std::uint64_t Reports = 0;
    std::int64_t Slots = 0;
    double FailureRate = 0;
    base::TimePoint FailureAt;
    base::TimePoint FullUntil;
    /// As the target states it, smoothed.
    double Slowness = 1;
    /// When its load was last stated, to any instance.
    base::TimePoint LoadAt;
    /// As learned by the lease holder; the limit is 0 if it is unknown.
    double Pace = 1;
    double Limit = 0;
    base::TimePoint FiguresAt;
    /// Running and waiting requests as stated last, to any instance.
    std::int64_t StatedLoad = 0;
    /// Most slots were taken then.
    bool Scarce = false;
    /// A place is a slot or room in the target's queue. Requests that this
    /// instance may send since while the model is wanted by all: for its own
    /// that have ended, and its part of the free places.
    unsigned OwnPlaces = 0;
    unsigned FreePlaces = 0;
    /// When it was last assumed to be idle, as its load was unknown.
    base::TimePoint AssumedIdleAt;
    /// Of the stated loads, over MeanLoadMemory.
    double MeanLoad = 0;
    /// As published.
    double FailureShare = 0;
    /// Models and adapters that the target was found to lack, each with the
    /// time until which it counts as lacking.
    std::map<std::pair<base::ModelId, base::AdapterId>, base::TimePoint>
        Lacking;
  };

  /// What a target has reported about itself in its answers. It outlives the
  /// target's list entry, which may expire and come back while the store is
  /// unavailable.
  struct SelfReport {
    catalog::Lifetime Lifetime;
    bool Leaving = false;
    base::TimePoint WaitUntil;
    base::TimePoint ReportedAt;
  };

  /// Segments of a prompt, each with the hash of the prompt up to its end.
  using PromptChain = std::vector<PromptPart>;

  State *stateOf(const base::TargetId &Id);
  /// Works out this instance's part of the free places; a fraction is one place
  /// with that probability.
  void drawPlaces(State &Of);
  bool mayUsePlace(const catalog::Target &Target, State &TargetState,
                   base::TimePoint Now);
  /// Draws one of a plain service's targets, those with a lower cost more
  /// often; null if there is none.
  const catalog::Target *
  drawByCost(const std::vector<const catalog::Target *> &From,
             const TargetQuery &Query, base::TimePoint Now);
  static void usePlace(State &TargetState);
  /// The slowness that the target has stated lately; 1 otherwise.
  double statedSlowness(const State &Of, base::TimePoint Now) const;
  double estimatedLoad(const State &Of, base::TimePoint Now) const;
  /// Whether the target's load was published and stated lately: nothing is
  /// known of the places of one that nobody sends to.
  bool isLoadKnown(const State &Of, base::TimePoint Now) const {
    return this->hasFigures(Of, Now) &&
           Now < Of.LoadAt + this->Settings.FiguresValidFor;
  }
  bool isListedModel(const TargetQuery &Query) const;
  /// Whether a request for the model has found no target lately.
  bool isShort(const TargetQuery &Query, base::TimePoint Now) const;
  void recordLoad(State &To, const StatedLoad &Load, base::TimePoint At) const;
  /// Null if the target has reported nothing in this lifetime.
  const SelfReport *selfReportOf(const catalog::Target &Target) const;
  /// The report of the target's current lifetime, for modification; null if the
  /// target is unknown.
  SelfReport *mutableSelfReport(const base::TargetId &Id, base::TimePoint Now);
  bool isUsable(const catalog::Target &Target, base::TimePoint Now) const;
  bool holds(const catalog::Target &Target, const State &TargetState,
             const TargetQuery &Query, base::TimePoint Now) const;
  /// What the target holds in lifetime \p Lifetime according to the lease
  /// holder; null if the holder has stated nothing about it.
  const catalog::HeldState *heldStateOf(const catalog::SharedHeldStatesPtr &All,
                                        const base::TargetId &Id,
                                        catalog::Lifetime Lifetime) const;
  const catalog::Service *serviceOf(const catalog::Target &Target) const;
  double fullLoad(const catalog::Target &Target,
                  const State &TargetState) const;
  bool isFull(const catalog::Target &Target, const State &TargetState,
              base::TimePoint Now) const;
  double coldRequestRate(const catalog::Target &Target) const;
  double cost(const catalog::Target &Target, const State &TargetState,
              const TargetQuery &Query, const PromptChain &Prompt,
              base::TimePoint Now) const;
  /// Time to the first answer at a target of usual speed.
  double usualMillis(const catalog::Target &Target, const State &TargetState,
                     const TargetQuery &Query, const PromptChain &Prompt,
                     base::TimePoint Now) const;
  bool hasFigures(const State &TargetState, base::TimePoint Now) const {
    return Now < TargetState.FiguresAt + this->Settings.FiguresValidFor;
  }
  /// Reduces the candidates to some drawn at random and the one that has most
  /// of the prompt.
  void drawCandidates(std::vector<const catalog::Target *> &From,
                      const PromptChain &Prompt);
  /// Of this instance's requests.
  double ownFailureRate(const State &TargetState, base::TimePoint Now) const;
  /// The same, or that of all instances if it is higher.
  double failureRate(const State &TargetState, base::TimePoint Now) const;
  static PromptChain promptChain(const TargetQuery &Query);
  double missingTokens(const base::TargetId &Id,
                       const PromptChain &Prompt) const;

  TargetSelectorSettings Settings;
  catalog::CatalogPtr Catalog;
  catalog::TargetListPtr Targets;
  ColdLimit Cold;
  routing::PrefixHints Hints;
  std::map<base::TargetId, State> States;
  /// When figures of a target of the service were published last.
  std::map<catalog::ServiceId, base::TimePoint> FiguresAt;
  catalog::SharedHeldStatesPtr Held;
  base::TimePoint HeldUntil;
  std::map<base::TargetId, SelfReport> SelfReports;
  std::map<ServiceModel, base::TimePoint> Loading;
  /// When a request for the model last found no target with a place.
  std::map<ServiceModel, base::TimePoint> ShortAt;
  unsigned Instances = 1;
  std::mt19937_64 Random;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_TARGETSELECTOR_H
