#ifndef KINGCUPHUB_DISPATCH_TARGETBOARD_H
#define KINGCUPHUB_DISPATCH_TARGETBOARD_H

/// \file
/// Which target a request goes to, or why it has to wait. Ruled out first,
/// whatever the load: targets that leave, in a zone that is out, without the
/// model or adapter, cold beyond their limit, full, or that have failed this
/// request, or want no requests for a time by their own answers. Among the rest
/// the least expected time to the first answer counts: what is queued there,
/// what of the prompt is not cached, and how often the target has failed
/// lately. No I/O and no clock.

#include "base/clock.h"
#include "catalog/target.h"
#include "dispatch/coldlimit.h"
#include "dispatch/requestfacts.h"
#include "routing/prefixhints.h"
#include "routing/targetview.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kingcuphub::dispatch {

/// What a request needs of its target.
struct TargetQuery {
  catalog::ServiceId Service;
  base::ModelId Model;
  base::AdapterId Adapter;
  const std::vector<PromptPart> *Prompt = nullptr;
  /// Targets that have had this request already.
  const std::set<base::TargetId> *Exclude = nullptr;
};

struct SendTo {
  base::TargetId Target;
};
/// Every target that could serve it is full, or cold and capped.
struct AllFull {
  /// When the first of them takes requests again, where all have said so.
  std::optional<base::TimePoint> Until;
};
/// Targets of the service are there, none has the model or adapter.
struct NotHeld {};
/// No target of the service may be used.
struct NoTarget {};
using TargetChoice = std::variant<SendTo, AllFull, NotHeld, NoTarget>;

/// The load that a target states with an answer.
struct StatedLoad {
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  std::int64_t Slots = 0;
};

/// How an attempt at a target ended, as far as it tells of the target.
enum class AttemptEnd {
  Served,
  /// The target answered that it failed.
  ServerError,
  /// No connection, a cut answer, silence, or bytes that are no answer.
  Broken,
  /// The caller went, or the time was up while the target worked.
  Cancelled,
  /// The target said that it did not run the request.
  Refused,
};

using ServiceModel = std::pair<catalog::ServiceId, base::ModelId>;

struct TargetBoardSettings {
  base::ZoneId Zone;
  ColdLimitSettings Cold;
  routing::TargetLimits Limits;
  /// Requests at a target, in parts of its slots, above which it is full:
  /// engines batch, plain services queue a few rounds within the objective.
  double EngineFull = 1.0;
  double ServiceFull = 3.0;
  /// Prompt tokens that an engine reads in a millisecond; the order of
  /// magnitude is enough to weigh a cached prompt against a queue.
  double PromptTokensPerMilli = 35;
  /// What one more request in a batch adds to another's first event.
  double BatchedRequestMillis = 1.0;
  /// The round trip that another zone adds, and the price of its bytes.
  double OtherZoneMillis = 2;
  /// What a target costs that failed all of its latest requests.
  double FailingMillis = 2000;
  /// The part that one more result has in a target's failure rate, and the
  /// time constant by which the rate fades without results.
  double FailureSmoothing = 0.08;
  base::Duration FailureFades = std::chrono::seconds(5);
  /// No request goes to a target that ends sooner.
  std::chrono::milliseconds LeastTimeLeft{300};
  /// Prompt parts remembered for one target.
  std::size_t PrefixCapacity = 4096;
};

class TargetBoard {
public:
  explicit TargetBoard(TargetBoardSettings Settings);

  void setCatalog(catalog::CatalogPtr New);
  void setTargets(catalog::TargetListPtr New);
  void setInstances(unsigned Count) { this->Cold.setInstances(Count); }
  /// Takes the lease holder's word on all targets; it holds until \p Until.
  /// Says whether it is other than before.
  bool setHeld(catalog::HeldStatesPtr New, base::TimePoint Until);

  /// Takes the lease holder's word on when models will be loaded.
  void setLoading(std::map<ServiceModel, base::TimePoint> NewLoading);
  /// Nothing if no load is known to be under way.
  std::optional<base::TimePoint> loadedAt(const catalog::ServiceId &Service,
                                          const base::ModelId &Model) const;
  /// Whether a target that may be used holds the model, whatever adapters.
  bool isModelHeld(const TargetQuery &Query, base::TimePoint Now) const;

  TargetChoice choose(const TargetQuery &Query, base::TimePoint Now);
  /// Whether the target may still be sent to, as asked right before it is.
  bool maySend(const base::TargetId &Id, base::TimePoint Now) const;
  const catalog::Target *find(const base::TargetId &Id) const;

  void onSent(const TargetQuery &Query, const base::TargetId &Id,
              base::TimePoint Now);
  void onStatedLoad(const base::TargetId &Id, const StatedLoad &Load,
                    base::TimePoint Now);
  void onEnded(const base::TargetId &Id, AttemptEnd How, base::TimePoint Now);
  /// The target refused a request as it lacks the model or adapter.
  void onNotHeld(const base::TargetId &Id, const base::ModelId &Model,
                 const base::AdapterId &Adapter, base::TimePoint Now);
  /// The target refused a request as it is full.
  void onFull(const base::TargetId &Id, base::TimePoint Now);
  /// The target has said with an answer that it leaves.
  void onLeaving(const base::TargetId &Id, base::TimePoint Now);
  /// The target has said that it wants no request from here for \p For.
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
    /// Models and adapters that it was found to lack, until when.
    std::map<std::pair<base::ModelId, base::AdapterId>, base::TimePoint>
        Lacking;
  };

  /// What a target has said of itself with its answers. It outlives the
  /// target's entry, which may lapse and come back while the store is away.
  struct OwnWord {
    catalog::Lifetime Lifetime;
    bool Leaving = false;
    base::TimePoint WaitUntil;
    base::TimePoint SaidAt;
  };

  /// The parts of a prompt, each by the hash of all up to it.
  using PromptChain = std::vector<PromptPart>;

  State *stateOf(const base::TargetId &Id);
  /// None if the target has said nothing in this lifetime.
  const OwnWord *wordOf(const catalog::Target &Target) const;
  /// The word of the target's present lifetime, to be changed.
  OwnWord *wordToChange(const base::TargetId &Id, base::TimePoint Now);
  bool mayUse(const catalog::Target &Target, base::TimePoint Now) const;
  bool holds(const catalog::Target &Target, const State &Of,
             const TargetQuery &Query, base::TimePoint Now) const;
  /// The holder's word on the target's present lifetime; none without one.
  const catalog::HeldState *heldBy(const catalog::HeldStatesPtr &All,
                                   const base::TargetId &Id,
                                   catalog::Lifetime Of) const;
  const catalog::Service *serviceOf(const catalog::Target &Target) const;
  double fullAt(const catalog::Target &Target, const State &Of) const;
  bool isFull(const catalog::Target &Target, const State &Of,
              base::TimePoint Now) const;
  double coldRate(const catalog::Target &Target) const;
  double cost(const catalog::Target &Target, const State &Of,
              const TargetQuery &Query, const PromptChain &Prompt,
              base::TimePoint Now) const;
  double failureRate(const State &Of, base::TimePoint Now) const;
  static PromptChain chainOf(const TargetQuery &Query);
  double missingTokens(const base::TargetId &Id,
                       const PromptChain &Prompt) const;

  TargetBoardSettings Settings;
  catalog::CatalogPtr Catalog;
  catalog::TargetListPtr Targets;
  ColdLimit Cold;
  routing::PrefixHints Hints;
  std::map<base::TargetId, State> States;
  catalog::HeldStatesPtr Held;
  base::TimePoint HeldUntil;
  std::map<base::TargetId, OwnWord> Words;
  std::map<ServiceModel, base::TimePoint> Loading;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_TARGETBOARD_H
