#ifndef KINGCUPHUB_RESIDENCY_LAGDETECTOR_H
#define KINGCUPHUB_RESIDENCY_LAGDETECTOR_H

/// \file
/// Detects that this instance falls behind its own schedule.
///
/// Load pattern: the lease holder's machine runs several times slower for some
/// seconds. It still renews the lease, but all its answers and orders are late.
/// A holder that is behind gives the lease back, and other instances that are
/// behind delay their claims. No I/O and no clock.

#include "base/clock.h"

#include <chrono>

namespace kingcuphub::residency {

struct LagDetectorSettings {
  /// A single tick with this delay shows that the instance is behind: callers'
  /// requests wait about as long for an answer from the holder.
  std::chrono::milliseconds SingleTickDelay{300};
  /// So do several consecutive ticks with this delay, which is two tick
  /// intervals.
  std::chrono::milliseconds RepeatedTickDelay{100};
  unsigned RepeatedTicks = 3;
  /// How long the instance counts as behind after that.
  std::chrono::milliseconds BehindFor{2000};
};

class LagDetector {
public:
  explicit LagDetector(LagDetectorSettings Settings = {})
      : Settings(Settings) {}

  /// Handles a tick that came \p Delay after it was due.
  void onTick(base::Duration Delay, base::TimePoint Now) {
    this->ConsecutiveLateTicks = Delay >= this->Settings.RepeatedTickDelay
                                     ? this->ConsecutiveLateTicks + 1
                                     : 0;
    if (Delay >= this->Settings.SingleTickDelay ||
        this->ConsecutiveLateTicks >= this->Settings.RepeatedTicks)
      this->BehindUntil = Now + this->Settings.BehindFor;
  }

  bool isBehind(base::TimePoint Now) const { return Now < this->BehindUntil; }

private:
  LagDetectorSettings Settings;
  unsigned ConsecutiveLateTicks = 0;
  base::TimePoint BehindUntil;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_LAGDETECTOR_H
