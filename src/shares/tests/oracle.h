#ifndef KINGCUPHUB_SHARES_TESTS_ORACLE_H
#define KINGCUPHUB_SHARES_TESTS_ORACLE_H

/// \file
/// Reference model of a limit: a single token bucket, by true time, that all
/// instances spend from. Its level drops below zero exactly if more than
/// rate * time + burst was spent in some time window.

#include "base/clock.h"
#include "base/ids.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace kingcuphub::shares::tests {

/// Checks spending against rate and burst. While a lowered limit is still being
/// distributed, the former one counts.
class BucketOracle {
public:
  /// A limit was appended to the log. A raise counts at once, a lowering only
  /// after agreed().
  void setLimit(double PerSecond, double Burst, base::Offset Version,
                base::TimePoint Now) {
    this->advance(Now);
    this->Limits.push_back({PerSecond, Burst, Version, base::TimePoint::max()});
    if (!this->Started)
      this->Level = Burst;
    this->Started = true;
  }
  /// A majority of the witnesses has every limit before \p Next. Each of these
  /// replaces the limits before it after \p InForceAfter at the latest.
  void agreed(base::Offset Next, base::TimePoint Now,
              base::Duration InForceAfter) {
    for (LimitStep &Each : this->Limits)
      if (Each.Version < Next)
        Each.SoleFrom = std::min(Each.SoleFrom, Now + InForceAfter);
  }
  /// Returns false if the spending exceeds the limit over some time window.
  bool spend(double Amount, base::TimePoint Now) {
    this->advance(Now);
    this->Level -= Amount;
    this->Lowest = std::min(this->Lowest, this->Level);
    return this->Level > -Tolerance;
  }
  void refund(double Amount, base::TimePoint Now) {
    this->advance(Now);
    this->Level = std::min(this->burst(), this->Level + Amount);
  }
  /// How far below zero the level has been.
  double overshoot() const { return std::max(0.0, -this->Lowest); }
  double level(base::TimePoint Now) {
    this->advance(Now);
    return this->Level;
  }

private:
  struct LimitStep {
    double Rate = 0;
    double Burst = 0;
    base::Offset Version;
    /// When the limits before it are out of use.
    base::TimePoint SoleFrom;
  };
  static constexpr double Tolerance = 1e-3;

  double burst() const {
    double Most = 0;
    for (const LimitStep &Each : this->Limits)
      Most = std::max(Most, Each.Burst);
    return Most;
  }
  double rate() const {
    double Most = 0;
    for (const LimitStep &Each : this->Limits)
      Most = std::max(Most, Each.Rate);
    return Most;
  }
  void refillTo(base::TimePoint At) {
    if (At <= this->Last)
      return;
    double Seconds = std::chrono::duration<double>(At - this->Last).count();
    this->Last = At;
    this->Level = std::min(this->burst(), this->Level + Seconds * this->rate());
  }
  void advance(base::TimePoint Now) {
    while (this->Limits.size() > 1) {
      // A limit ends when the next one is in force on every instance.
      base::TimePoint Ends = this->Limits[1].SoleFrom;
      if (Ends > Now)
        break;
      this->refillTo(Ends);
      this->Limits.pop_front();
      this->Level = std::min(this->Level, this->burst());
    }
    this->refillTo(Now);
  }

  std::deque<LimitStep> Limits;
  double Level = 0;
  double Lowest = 0;
  bool Started = false;
  base::TimePoint Last{};
};

} // namespace kingcuphub::shares::tests

#endif // KINGCUPHUB_SHARES_TESTS_ORACLE_H
