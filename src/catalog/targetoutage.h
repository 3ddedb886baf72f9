#ifndef KINGCUPHUB_CATALOG_TARGETOUTAGE_H
#define KINGCUPHUB_CATALOG_TARGETOUTAGE_H

/// \file
/// Decides whether entries that are missing from the list of targets may have
/// lapsed in an outage of the platform's store.
///
/// Load pattern: the store turns some instances away, the lease holder among
/// them, and goes on to serve the others and the targets. What is removed
/// meanwhile is gone. Entries of targets that run lapse only where the store
/// serves nobody for longer than they may miss: instances tell each other when
/// they were served. No I/O and no clock.

#include "base/clock.h"

#include <chrono>
#include <optional>
#include <set>

namespace kingcuphub::catalog {

struct TargetOutageSettings {
  /// How often a target writes its entry; the entry lapses after three of these
  /// intervals without one.
  std::chrono::milliseconds Heartbeat{1200};
};

class TargetOutageDetector {
public:
  explicit TargetOutageDetector(TargetOutageSettings Settings = {})
      : Settings(Settings) {}

  /// Handles that the store served this instance or another one at \p At. Times
  /// may come in any order.
  void onServed(base::TimePoint At);
  /// Handles that another instance knows of no outage between the two times.
  void onServedThroughout(base::TimePoint From, base::TimePoint To);
  /// Returns when the store began to serve again after the last outage in which
  /// entries may have lapsed, if it is known of one.
  std::optional<base::TimePoint> lastOutage() const;
  /// Returns since when it is known of no outage, if anybody was ever served.
  std::optional<base::TimePoint> servedSince() const;
  /// Returns when the store last served anybody, if ever.
  std::optional<base::TimePoint> lastServed() const;

private:
  /// The shortest time without an answer in which entries may lapse.
  std::chrono::milliseconds shortestOutage() const;

  TargetOutageSettings Settings;
  std::set<base::TimePoint> Served;
};

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_TARGETOUTAGE_H
