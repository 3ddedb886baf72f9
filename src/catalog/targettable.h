#ifndef KINGCUPHUB_CATALOG_TARGETTABLE_H
#define KINGCUPHUB_CATALOG_TARGETTABLE_H

/// \file
/// Maintains the list of targets from the heartbeats and removals that are read
/// from the platform. Heartbeats of earlier lifetimes and heartbeats that
/// arrive out of order are ignored. Does no I/O and reads no clock.

#include "catalog/target.h"

#include <string>
#include <vector>

namespace kingcuphub::catalog {

/// A change to the list of targets, for the log.
struct TargetChange {
  enum class Kind {
    Added,
    Restarted,
    Leaving,
    TurnedCold,
    /// The entry expired around an outage of the platform; the target is kept
    /// until the grace period ends.
    RemovalDeferred,
    Removed,
    ZoneOut,
    ZoneBack,
  };
  Kind What = Kind::Added;
  base::TargetId Target;
  catalog::Lifetime Lifetime;
  base::ZoneId Zone;
};

std::string_view targetChangeName(TargetChange::Kind What);

struct TargetTableSettings {
  /// How long after an outage removals are deferred. Entries that expired in an
  /// outage of the platform's store are rewritten within two seconds of its
  /// return; the remaining time allows for reading them.
  base::Duration RemovalGrace = std::chrono::milliseconds(2600);
};

class TargetTable {
public:
  explicit TargetTable(TargetTableSettings Settings) : Settings(Settings) {}

  /// Records that the platform could not be read at \p Now.
  void onOutage(base::TimePoint Now);
  void onEntry(const TargetEntry &Entry, base::TimePoint Now);
  void onRemoved(const base::TargetId &Id, base::TimePoint Now);
  /// Takes the platform's complete list; targets missing from it are treated
  /// as removed.
  void onCompleteList(const std::vector<TargetEntry> &Entries,
                      base::TimePoint Now);
  void setZonesOut(std::set<base::ZoneId> Zones);
  /// Removes targets whose deferred removal is due or whose lifetime has ended.
  void tick(base::TimePoint Now);

  /// Returns the current list; the same object until something changes.
  TargetListPtr list();
  /// Returns the changes since the last call.
  std::vector<TargetChange> takeChanges();

private:
  struct LatestHeartbeat {
    catalog::Lifetime Lifetime;
    std::uint64_t Beat = 0;
  };

  void recordChange(TargetChange::Kind What, const Target &Changed);
  bool isOutdated(const TargetEntry &Entry) const;
  void remove(const base::TargetId &Id);

  TargetTableSettings Settings;
  TargetList Current;
  TargetListPtr PublishedList;
  std::vector<TargetChange> Changes;
  /// The latest heartbeat of each target, including removed ones.
  std::map<base::TargetId, LatestHeartbeat> LatestHeartbeats;
  /// Targets whose removal is deferred, and the time at which it takes effect.
  std::map<base::TargetId, base::TimePoint> DeferredRemovals;
  std::optional<base::TimePoint> LastOutage;
};

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_TARGETTABLE_H
