#ifndef KINGCUPHUB_DISPATCH_WAITPOLICY_H
#define KINGCUPHUB_DISPATCH_WAITPOLICY_H

/// \file
/// Decides whether a request that cannot be sent waits, and for how long, or is
/// refused at once with the time after which it could be served. A request that
/// waits beyond its caller's patience occupies the queue in vain and delays
/// others. Covers three situations: all targets of a service are full and the
/// queue grows; no target holds the model, which takes seconds to load; the
/// service has lost its targets. No I/O and no clock.

#include "catalog/catalog.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>

namespace kingcuphub::dispatch {

/// What a request waits for.
enum class WaitFor {
  /// Every target that could serve the request is full or accepts none for now;
  /// see AllFull.
  Capacity,
  /// No target holds the model or adapter.
  Item,
  /// The service has no target.
  Target,
};

std::string_view waitForName(WaitFor What);

struct WaitSettings {
  /// Fraction of the caller's patience that a request may wait.
  double PatienceFraction = 0.45;
  /// Limit for waiting for capacity, in objectives; a later answer would miss
  /// the objective by far.
  double CapacityObjectives = 3;
  /// Lower bound for CapacityObjectives: short objectives do not cut the wait
  /// for capacity below this.
  std::chrono::milliseconds MinCapacityWait{400};
  /// The longest wait while the service has no target.
  std::chrono::milliseconds NoTargetLimit{700};
  /// The longest wait while it is unknown when the model will be loaded.
  std::chrono::milliseconds LoadUnknownLimit{400};
  /// Tolerance added to the expected end of a load.
  std::chrono::milliseconds LoadSlack{250};
  /// Callers abandon a stream that is silent for this long, for this many
  /// objectives or for this many pause objectives, whichever is longest.
  std::chrono::milliseconds StreamSilence{2000};
  double SilenceObjectives = 4;
  double SilencePauses = 8;
  /// Retry time given to callers if no better estimate is known.
  std::chrono::milliseconds DefaultRetryAfter{500};
};

/// What is known about a request that cannot be sent.
struct WaitContext {
  WaitFor For = WaitFor::Capacity;
  /// How much longer the caller waits for a first answer.
  std::chrono::milliseconds Patience{0};
  std::chrono::milliseconds Objective{0};
  /// Time until a target accepts requests, if all targets have stated it.
  std::optional<std::chrono::milliseconds> CapacityIn;
  /// Requests in the queue, and the rate at which the service ends requests.
  std::size_t Ahead = 0;
  double EndsPerSecond = 0;
  /// Time until a load in progress ends, if there is one, and the duration of
  /// a load that has not begun.
  std::optional<std::chrono::milliseconds> LoadedIn;
  std::chrono::milliseconds LoadTime{0};
};

struct WaitUpTo {
  std::chrono::milliseconds Limit{0};
};
struct RefuseNow {
  std::string_view Reason;
  std::chrono::milliseconds RetryAfter{0};
};
using WaitDecision = std::variant<WaitUpTo, RefuseNow>;

class WaitPolicy {
public:
  explicit WaitPolicy(WaitSettings Settings) : Settings(Settings) {}

  /// How much longer a caller waits for the first answer on \p Route, after it
  /// has waited for \p Waited and with \p Left until its deadline.
  std::chrono::milliseconds patience(const catalog::Route &Route,
                                     std::chrono::milliseconds Waited,
                                     std::chrono::milliseconds Left) const;
  WaitDecision decide(const WaitContext &Request) const;
  /// The refusal of a request that has waited in vain.
  RefuseNow afterWait(const WaitContext &Request) const;

private:
  static std::chrono::milliseconds expectedWait(const WaitContext &Request);
  std::chrono::milliseconds limit(const WaitContext &Request) const;

  WaitSettings Settings;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_WAITPOLICY_H
