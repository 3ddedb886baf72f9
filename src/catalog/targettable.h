#ifndef KINGCUPHUB_CATALOG_TARGETTABLE_H
#define KINGCUPHUB_CATALOG_TARGETTABLE_H

/// \file
/// Keeps the list of targets from heartbeats and removals as they are read
/// from the platform. Heartbeats of earlier lifetimes, and ones that come out
/// of order, are ignored. No I/O and no clock.

#include "catalog/target.h"

#include <string>
#include <vector>

namespace kingcuphub::catalog {

/// A change of what is believed, for the log.
struct TargetChange {
  enum class Kind {
    Added,
    Restarted,
    Leaving,
    TurnedCold,
    /// Its entry lapsed around an outage of the platform; kept for now.
    LapseDoubted,
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
  /// Entries that lapsed in an outage of the platform's store are written
  /// anew within two seconds of its return; the rest is the time to read them.
  base::Duration LapseGrace = std::chrono::milliseconds(2600);
};

class TargetTable {
public:
  explicit TargetTable(TargetTableSettings Settings) : Settings(Settings) {}

  /// The platform could not be read at \p Now.
  void onOutage(base::TimePoint Now);
  void onEntry(const TargetEntry &Entry, base::TimePoint Now);
  void onRemoved(const base::TargetId &Id, base::TimePoint Now);
  /// Everything that the platform lists now; what is absent was removed.
  void onWholeList(const std::vector<TargetEntry> &Entries,
                   base::TimePoint Now);
  void setZonesOut(std::set<base::ZoneId> Zones);
  /// Drops entries whose lapse proved true.
  void tick(base::TimePoint Now);

  /// The current list; the same object until something changes.
  TargetListPtr list();
  /// What changed since the last call.
  std::vector<TargetChange> takeChanges();

private:
  struct Known {
    catalog::Lifetime Lifetime;
    std::uint64_t Beat = 0;
  };

  void note(TargetChange::Kind What, const Target &Of);
  bool isOld(const TargetEntry &Entry) const;
  void remove(const base::TargetId &Id);

  TargetTableSettings Settings;
  TargetList Current;
  TargetListPtr Published;
  std::vector<TargetChange> Changes;
  /// The newest heartbeat of each id, also of removed ones.
  std::map<base::TargetId, Known> Newest;
  /// Removals that are doubted, and until when.
  std::map<base::TargetId, base::TimePoint> Doubted;
  std::optional<base::TimePoint> LastOutage;
};

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_TARGETTABLE_H
