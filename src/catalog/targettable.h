#ifndef KINGCUPHUB_CATALOG_TARGETTABLE_H
#define KINGCUPHUB_CATALOG_TARGETTABLE_H

/// \file
/// Maintains the list of targets from the heartbeats and removals that are read
/// from the platform, by this instance or by the lease holder. Heartbeats of
/// earlier lifetimes and heartbeats that arrive out of order are ignored. Does
/// no I/O and reads no clock.

#include "catalog/target.h"

#include <string>
#include <vector>

namespace kingcuphub::catalog {

/// Who has read what is applied to the list.
enum class ToldBy {
  /// This instance has read it from the platform's store. Entries may have
  /// lapsed around an outage.
  Store,
  /// The lease holder has, and has decided which entries are gone.
  Holder,
};

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
  /// None if it was due by time.
  std::optional<ToldBy> By;
  /// When a deferred removal takes effect.
  std::optional<base::TimePoint> DueAt{};
};

std::string_view targetChangeName(TargetChange::Kind What);
/// "time" where nobody told.
std::string_view toldByName(std::optional<ToldBy> By);

struct TargetTableSettings {
  /// How long after an outage removals are deferred. Entries that expired in an
  /// outage of the platform's store are rewritten within two seconds of its
  /// return; the remaining time allows for reading them.
  base::Duration RemovalGrace = std::chrono::milliseconds(2200);
};

class TargetTable {
public:
  explicit TargetTable(TargetTableSettings Settings) : Settings(Settings) {}

  /// Sets when the last outage ended in which entries may have lapsed, if there
  /// was one. Removals that were deferred for one that was none take effect at
  /// the next tick.
  void setOutage(std::optional<base::TimePoint> End) { this->LastOutage = End; }
  /// Whether removals are deferred.
  bool isInDoubt() const { return !this->DeferredRemovals.empty(); }
  void onEntry(const TargetEntry &Entry, base::TimePoint Now,
               ToldBy By = ToldBy::Store);
  void onRemoved(const base::TargetId &Id, base::TimePoint Now,
                 ToldBy By = ToldBy::Store);
  /// Takes the platform's complete list; targets missing from it are treated
  /// as removed.
  void onCompleteList(const std::vector<TargetEntry> &Entries,
                      base::TimePoint Now);
  /// Compares with all targets that the holder lists, sorted by id, as it read
  /// them at \p AsOf. What this instance has read later stays.
  void compare(const std::vector<const Target *> &Listed, base::TimePoint AsOf,
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
    /// When it was removed from the list, if it was.
    std::optional<base::TimePoint> RemovedAt;
  };

  void recordChange(TargetChange::Kind What, const Target &Changed,
                    std::optional<ToldBy> By);
  bool isOutdated(const TargetEntry &Entry) const;
  void remove(const base::TargetId &Id, base::TimePoint Now,
              std::optional<ToldBy> By);
  void restore(const Target &Listed);
  /// When the time in which lapsed entries are rewritten ends, if it has not
  /// ended at \p Now.
  std::optional<base::TimePoint> graceEnd(base::TimePoint Now) const;

  TargetTableSettings Settings;
  TargetList Current;
  TargetListPtr PublishedList;
  std::vector<TargetChange> Changes;
  /// The latest heartbeat of each target, including removed ones.
  std::map<base::TargetId, LatestHeartbeat> LatestHeartbeats;
  /// Targets whose removal is deferred, and since when.
  std::map<base::TargetId, base::TimePoint> DeferredRemovals;
  std::optional<base::TimePoint> LastOutage;
};

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_TARGETTABLE_H
