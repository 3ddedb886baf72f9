#ifndef KINGCUPHUB_DISPATCH_ANSWERTIMES_H
#define KINGCUPHUB_DISPATCH_ANSWERTIMES_H

/// \file
/// The longest recent answers of each route, by which an instance that is
/// stopping decides whether a request may still be passed on.
///
/// Load pattern: the balancer goes on to send requests to an instance for some
/// seconds after its stop has begun, among them streams that take longer than
/// the rest of the grace. No I/O and no clock.

#include "base/clock.h"
#include "base/ids.h"

#include <map>
#include <optional>

namespace kingcuphub::dispatch {

class AnswerTimes {
public:
  /// \p Window: answers that are older than twice this are forgotten.
  explicit AnswerTimes(base::Duration Window = std::chrono::seconds(30))
      : Window(Window) {}

  /// A request has been answered \p Took after it was sent to its target.
  void onAnswered(const base::RouteId &Route, base::Duration Took,
                  base::TimePoint Now);
  /// Empty if no answer is known.
  std::optional<base::Duration> longest(const base::RouteId &Route,
                                        base::TimePoint Now) const;

private:
  struct Longest {
    base::TimePoint Since;
    std::optional<base::Duration> Current;
    std::optional<base::Duration> Before;
  };

  base::Duration Window;
  std::map<base::RouteId, Longest> Routes;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_ANSWERTIMES_H
