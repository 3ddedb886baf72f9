#ifndef KINGCUPHUB_DISPATCH_TARGETFIGURES_H
#define KINGCUPHUB_DISPATCH_TARGETFIGURES_H

/// \file
/// What all instances together know about the load and the speed of targets,
/// as the lease holder publishes it.

#include "base/clock.h"
#include "base/ids.h"
#include "catalog/target.h"

#include <cstdint>
#include <map>
#include <memory>

namespace kingcuphub::dispatch {

struct TargetFigures {
  catalog::Lifetime Lifetime;
  /// Running and waiting requests as the target has last stated, and when.
  std::int64_t Load = 0;
  base::TimePoint LoadAt;
  std::int64_t Slots = 0;
  /// How long work takes there at present as the target states it, relative to
  /// usual.
  double Slowness = 1;
  /// Measured time to the first answer, relative to the other targets of the
  /// service and beyond what Slowness explains; above 1 it takes longer.
  double Pace = 1;
  /// The number of requests up to which the target does not slow down much.
  std::int64_t Limit = 0;
  /// Share of the recent requests of all instances that failed there.
  double FailureShare = 0;
};

using FigureTable = std::map<base::TargetId, TargetFigures>;
using FigureTablePtr = std::shared_ptr<const FigureTable>;

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_TARGETFIGURES_H
