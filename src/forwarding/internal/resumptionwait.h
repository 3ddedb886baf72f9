#ifndef KINGCUPHUB_FORWARDING_INTERNAL_RESUMPTIONWAIT_H
#define KINGCUPHUB_FORWARDING_INTERNAL_RESUMPTIONWAIT_H

/// \file
/// How long a stream that has begun waits for a target that goes on with it.
///
/// Load pattern: a target ends or falls silent while the others are full, so
/// that the next one refuses the resumption and the budget of retries refuses a
/// further one. Callers wait for the next event for two seconds and more; a
/// stream that is cut before that is lost for nothing. No I/O and no clock.

#include "base/clock.h"

#include <optional>
#include <string_view>

namespace kingcuphub::forwarding {

class ResumptionWait {
public:
  /// Minimum time between two requests to the budget of retries.
  static constexpr std::chrono::milliseconds RetryInterval{200};

  /// Begins to wait, or goes on waiting, until the caller gives the stream up
  /// at \p GivenUpAt. \p Reason is logged if nothing comes of it.
  void wait(base::TimePoint GivenUpAt, std::string_view Reason,
            base::TimePoint Now);
  /// A target has taken the request, or the request has ended.
  void stop() { this->Current.reset(); }
  bool isWaiting() const { return this->Current.has_value(); }
  /// When to try again, or to give up.
  std::optional<base::TimePoint> dueAt() const;
  bool isDue(base::TimePoint Now) const;
  bool isGivenUp(base::TimePoint Now) const;
  /// Of the last failure.
  std::string_view reason() const;

private:
  struct Wait {
    base::TimePoint GivenUpAt;
    base::TimePoint RetryAt;
    std::string_view Reason;
  };

  std::optional<Wait> Current;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_INTERNAL_RESUMPTIONWAIT_H
