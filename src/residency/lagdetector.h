#ifndef KINGCUPHUB_RESIDENCY_LAGDETECTOR_H
#define KINGCUPHUB_RESIDENCY_LAGDETECTOR_H

/// \file
/// Whether this instance keeps up with its own schedule.
///
/// Load pattern: the machine of the lease's holder runs several times slower
/// for some seconds. It goes on renewing the lease, and every answer and order
/// that the others wait for is late. A holder that is behind gives the lease
/// back, and whoever is behind claims it later than others. No I/O and no
/// clock.

#include "base/clock.h"

#include <chrono>

namespace kingcuphub::residency {

struct HolderLoadSettings {
  /// A tick that is this late by itself shows that the instance is behind:
  /// callers' requests wait about as long for a word from the holder.
  std::chrono::milliseconds FarBehind{300};
  /// So do several in a row that are this late: two ticks' time.
  std::chrono::milliseconds Behind{100};
  unsigned InARow = 3;
  /// How long it counts as behind after that.
  std::chrono::milliseconds Holds{2000};
};

class HolderLoad {
public:
  explicit HolderLoad(HolderLoadSettings Settings = {}) : Settings(Settings) {}

  /// A tick came \p Late after it was due.
  void onTick(base::Duration Late, base::TimePoint Now) {
    this->LateInARow = Late >= this->Settings.Behind ? this->LateInARow + 1 : 0;
    if (Late >= this->Settings.FarBehind ||
        this->LateInARow >= this->Settings.InARow)
      this->BehindUntil = Now + this->Settings.Holds;
  }

  bool isBehind(base::TimePoint Now) const { return Now < this->BehindUntil; }

private:
  HolderLoadSettings Settings;
  unsigned LateInARow = 0;
  base::TimePoint BehindUntil;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_LAGDETECTOR_H
