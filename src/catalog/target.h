#ifndef KINGCUPHUB_CATALOG_TARGET_H
#define KINGCUPHUB_CATALOG_TARGET_H

/// \file
/// What a target says of itself in the platform's list, and the list as one
/// process believes it at a moment.

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

/// The time of a target's start, as it states it; later lives have larger
/// numbers.
using Lifetime = base::NumberId<struct LifetimeTag>;

/// A model that a target holds, with the adapters beside it.
struct HeldModel {
  std::int64_t WeightsVersion = 0;
  std::set<base::AdapterId> Adapters;
  bool operator==(const HeldModel &) const = default;
};

using HeldModels = std::map<base::ModelId, HeldModel>;

/// What a target holds by the word of the lease holder, which is newer than
/// the platform's list.
struct HeldState {
  catalog::Lifetime Lifetime;
  HeldModels Models;
  bool operator==(const HeldState &) const = default;
};
using HeldStates = std::map<base::TargetId, HeldState>;
using HeldStatesPtr = std::shared_ptr<const HeldStates>;

/// One heartbeat of a target.
struct TargetEntry {
  base::TargetId Id;
  catalog::Lifetime Lifetime;
  /// Counts the heartbeats of one lifetime.
  std::uint64_t Beat = 0;
  ServiceId Service;
  base::Endpoint Address;
  base::ZoneId Zone;
  unsigned Slots = 1;
  bool Leaving = false;
  /// How long a target that leaves at short notice has left, as it stated.
  std::optional<std::chrono::milliseconds> TimeLeft;
  /// How much longer it is cold, as it stated.
  std::chrono::milliseconds ColdFor{0};
  HeldModels Models;
};

/// A target as it is believed to be.
struct Target {
  TargetEntry Entry;
  /// When this process read the heartbeat.
  base::TimePoint ReadAt;
  base::TimePoint ColdUntil;
  /// When its lifetime ends, if it said so.
  std::optional<base::TimePoint> EndsAt;
};

/// Every target that may be used, and the zones that may not.
struct TargetList {
  /// Rises with each change in this process.
  std::uint64_t Revision = 0;
  std::map<base::TargetId, Target> Targets;
  std::set<base::ZoneId> ZonesOut;
};

using TargetListPtr = std::shared_ptr<const TargetList>;

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_TARGET_H
