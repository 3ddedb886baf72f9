#ifndef KINGCUPHUB_CATALOG_TARGET_H
#define KINGCUPHUB_CATALOG_TARGET_H

/// \file
/// What a target reports about itself in the platform's list, and one process's
/// current view of that list.

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "catalog/catalog.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kingcuphub::catalog {

/// Identifies one run of a target by its start time, as the target reports it;
/// later runs have larger numbers.
using Lifetime = base::NumberId<struct LifetimeTag>;

/// A model that is loaded on a target, with its loaded adapters.
struct HeldModel {
  std::int64_t WeightsVersion = 0;
  std::set<base::AdapterId> Adapters;
  bool operator==(const HeldModel &) const = default;
};

using HeldModels = std::map<base::ModelId, HeldModel>;

/// The models loaded on a target as reported by the lease holder, whose
/// information is newer than the platform's list.
struct HeldState {
  catalog::Lifetime Lifetime;
  HeldModels Models;
  bool operator==(const HeldState &) const = default;
};
using HeldStates = std::map<base::TargetId, HeldState>;
/// States are replaced and never modified, so that the maps of successive
/// revisions share those of the targets that have not changed.
using HeldStatePtr = std::shared_ptr<const HeldState>;
using SharedHeldStates = std::map<base::TargetId, HeldStatePtr>;
using SharedHeldStatesPtr = std::shared_ptr<const SharedHeldStates>;

/// One heartbeat of a target.
struct TargetEntry {
  base::TargetId Id;
  catalog::Lifetime Lifetime;
  /// Sequence number of the heartbeat within the lifetime.
  std::uint64_t Beat = 0;
  ServiceId Service;
  base::Endpoint Address;
  base::ZoneId Zone;
  unsigned Slots = 1;
  bool Leaving = false;
  /// Reported time until the target stops, if it leaves at short notice.
  std::optional<std::chrono::milliseconds> TimeLeft;
  /// Reported time for which the target stays cold.
  std::chrono::milliseconds ColdFor{0};
  HeldModels Models;
};

/// The known state of a target.
struct Target {
  TargetEntry Entry;
  /// When this process read the heartbeat.
  base::TimePoint ReadAt;
  base::TimePoint ColdUntil;
  /// When its lifetime ends, if the target has reported it.
  std::optional<base::TimePoint> EndsAt;
};

/// All known targets, and the availability zones that must not be used.
struct TargetList {
  /// Increases with each change that this process sees.
  std::uint64_t Revision = 0;
  std::map<base::TargetId, Target> Targets;
  std::set<base::ZoneId> ZonesOut;
};

using TargetListPtr = std::shared_ptr<const TargetList>;

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_TARGET_H
