#ifndef KINGCUPHUB_DUTIES_FLEETCLOCK_H
#define KINGCUPHUB_DUTIES_FLEETCLOCK_H

/// \file
/// The time of day on which most instances agree.
///
/// Load pattern: the time of day jumps by seconds on some machines, perhaps on
/// the lease holder's, while windows are counted by it. The holder takes the
/// median of what the instances report. No I/O; times are passed in.

#include "base/clock.h"
#include "base/ids.h"
#include "duties/window.h"

#include <map>
#include <optional>

namespace kingcuphub::duties {

class FleetClock {
public:
  /// Handles the time of day that \p From has sent in a report.
  void onReported(const base::InstanceId &From, WallMillis Wall,
                  base::TimePoint Now);
  /// Nothing until an instance has reported.
  std::optional<WallMillis> wallAt(base::TimePoint Now) const;
  void clear() { this->Reported.clear(); }

private:
  struct Offset {
    /// Time of day less monotonic time.
    base::Duration Value{};
    base::TimePoint At;
  };

  std::map<base::InstanceId, Offset> Reported;
};

} // namespace kingcuphub::duties

#endif // KINGCUPHUB_DUTIES_FLEETCLOCK_H
