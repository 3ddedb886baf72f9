#ifndef KINGCUPHUB_CATALOG_TARGETOUTAGE_H
#define KINGCUPHUB_CATALOG_TARGETOUTAGE_H

/// \file
/// Decides whether entries that are missing from the list of targets may have
/// lapsed because targets could not write.
///
/// Load pattern: the platform's store turns some instances away, the lease
/// holder among them, and goes on to serve the targets. What is removed
/// meanwhile is gone. In an outage for all, targets cannot write either: the
/// log that they write to is shorter than their heartbeats make it. No I/O and
/// no clock.

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace kingcuphub::catalog {

struct TargetOutageSettings {
  /// How often a target writes its entry.
  std::chrono::milliseconds Heartbeat{1200};
  /// Targets that come and go make the count of records inexact over a longer
  /// time between two reads.
  std::chrono::milliseconds LongestGap{10000};
};

/// How far the targets' log was read, by this instance or another one.
struct TargetLogRead {
  base::TimePoint AskedAt;
  /// Counts records; has the store's era in its upper bits.
  std::uint64_t Position = 0;
};

/// Why removals may be no more than lapsed entries.
struct TargetOutage {
  base::TimePoint At;
  /// For how long targets wrote nothing; none if that is not known and only
  /// calls of this instance have failed.
  std::optional<base::Duration> Silence;
};

class TargetOutageDetector {
public:
  explicit TargetOutageDetector(TargetOutageSettings Settings = {})
      : Settings(Settings) {}

  /// Handles that the store did not serve this instance at \p At.
  void onCallFailed(base::TimePoint At);
  /// Handles how far another instance has read.
  void onReported(const TargetLogRead &Read);
  /// Handles a read by this instance that was answered at \p Now, when
  /// \p Targets were listed. Returns the last outage if removals that it
  /// brought may be due to that.
  std::optional<TargetOutage> onRead(const TargetLogRead &Read,
                                     std::size_t Targets, base::TimePoint Now);

private:
  std::optional<base::Duration> silence(const TargetLogRead &Read,
                                        std::size_t Targets,
                                        base::TimePoint Now) const;

  TargetOutageSettings Settings;
  std::optional<TargetLogRead> Last;
  std::optional<base::TimePoint> FailedAt;
};

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_TARGETOUTAGE_H
