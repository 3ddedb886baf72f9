#ifndef KINGCUPHUB_DISPATCH_WAITPOLICY_H
#define KINGCUPHUB_DISPATCH_WAITPOLICY_H

/// \file
/// Load patterns: every target of a service is full and the line grows; a model
/// that nobody holds is asked for and takes seconds to load; a service has lost
/// its targets. Decides whether a request waits, and for how long, or is
/// refused at once with the time at which it would be served: what waits beyond
/// its caller's patience takes a place for nothing and makes others late. No
/// I/O and no clock.

#include "catalog/catalog.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>

namespace kingcuphub::dispatch {

/// What a request waits for.
enum class WaitFor {
  /// Every target that could serve it is full, or cold and capped.
  Place,
  /// No target holds its model or adapter.
  Item,
  /// The service has no target.
  Target,
};

std::string_view waitForName(WaitFor What);

struct WaitSettings {
  /// The part of a caller's patience that a request may wait.
  double Part = 0.45;
  /// For a place, the same in objectives, as a later answer would be late.
  double Objectives = 3;
  /// The least that a request may wait for a place.
  std::chrono::milliseconds Least{400};
  /// The longest wait for a service that has no target.
  std::chrono::milliseconds NoTarget{700};
  /// How long a request waits for word on when its model will be loaded.
  std::chrono::milliseconds News{400};
  /// A load that is expected to end is given this much longer.
  std::chrono::milliseconds LoadSlack{250};
  /// Callers give a stream up that is silent for this long, for this many
  /// objectives or for this many pauses, whichever is longest.
  std::chrono::milliseconds StreamSilence{2000};
  double SilenceObjectives = 4;
  double SilencePauses = 8;
  /// What callers are told where nothing better is known.
  std::chrono::milliseconds DefaultRetryAfter{500};
};

/// What is known when a request cannot be sent.
struct WaitQuestion {
  WaitFor For = WaitFor::Place;
  /// How long the caller goes on waiting for a first answer.
  std::chrono::milliseconds Patience{0};
  std::chrono::milliseconds Objective{0};
  /// When a place is free, where all targets have said when they take requests.
  std::optional<std::chrono::milliseconds> PlaceIn;
  /// Requests in the line, and how fast requests end at the service.
  std::size_t Ahead = 0;
  double EndsPerSecond = 0;
  /// When a load that is under way ends, if one is; and how long one takes that
  /// has not begun.
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

  /// How long a caller waits for the first answer on \p Route, of which it has
  /// waited for \p Waited, with \p Left until its deadline.
  std::chrono::milliseconds patience(const catalog::Route &Route,
                                     std::chrono::milliseconds Waited,
                                     std::chrono::milliseconds Left) const;
  WaitDecision decide(const WaitQuestion &Asked) const;
  /// What a request is told whose wait was in vain.
  RefuseNow afterWait(const WaitQuestion &Asked) const;

private:
  static std::chrono::milliseconds expectedWait(const WaitQuestion &Asked);
  std::chrono::milliseconds limit(const WaitQuestion &Asked) const;

  WaitSettings Settings;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_WAITPOLICY_H
