#ifndef KINGCUPHUB_DISPATCH_FLOWRATE_H
#define KINGCUPHUB_DISPATCH_FLOWRATE_H

/// \file
/// Exponentially smoothed rate of events. No I/O and no clock.

#include "base/clock.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::dispatch {

class FlowRate {
public:
  void count(base::TimePoint Now) {
    this->Level = this->perSecond(Now) + 1 / this->seconds(Smoothing);
    this->At = Now;
  }

  double perSecond(base::TimePoint Now) const {
    double Age = std::max(0.0, this->seconds(Now - this->At));
    return this->Level * std::exp(-Age / this->seconds(Smoothing));
  }

private:
  /// Long compared with the time between two requests, short compared with a
  /// burst.
  static constexpr base::Duration Smoothing = std::chrono::seconds(2);

  static double seconds(base::Duration Time) {
    return std::chrono::duration<double>(Time).count();
  }

  double Level = 0;
  base::TimePoint At;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_FLOWRATE_H
