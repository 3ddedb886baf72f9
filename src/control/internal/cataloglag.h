#ifndef KINGCUPHUB_CONTROL_INTERNAL_CATALOGLAG_H
#define KINGCUPHUB_CONTROL_INTERNAL_CATALOGLAG_H

/// \file
/// Detects that this instance's catalog lags behind that of others.
///
/// Load pattern: the operator changes the configuration several times while
/// some instances cannot reach the store, and one of them waits for a call that
/// the store never completes. Instances and the holder tell each other the
/// versions they have; an instance that lags for longer than a change takes to
/// propagate reads the catalog again. No I/O and no clock.

#include "base/clock.h"
#include "catalog/catalog.h"

#include <algorithm>
#include <optional>

namespace kingcuphub::control {

struct CatalogLagSettings {
  /// A longer lag triggers a read. A change normally reaches all instances
  /// within a few round trips to the store.
  std::chrono::milliseconds ToleratedLag{300};
  /// Time that a read may take before another one is started.
  std::chrono::milliseconds RereadInterval{1000};
};

class CatalogLag {
public:
  explicit CatalogLag(CatalogLagSettings Settings = {}) : Settings(Settings) {}

  /// Handles that another instance has \p ReportedVersion while this one has
  /// \p OwnVersion; returns whether to read the catalog again.
  bool onReportedVersion(catalog::Version ReportedVersion,
                         catalog::Version OwnVersion, base::TimePoint Now) {
    if (ReportedVersion <= OwnVersion) {
      // Reports of other instances that lag as well say nothing.
      if (OwnVersion >= this->Newest)
        this->BehindSince.reset();
      return false;
    }
    this->Newest = std::max(this->Newest, ReportedVersion);
    if (!this->BehindSince)
      this->BehindSince = Now;
    bool Due =
        Now >= *this->BehindSince + this->Settings.ToleratedLag &&
        (!this->ReadAt || Now >= *this->ReadAt + this->Settings.RereadInterval);
    if (Due)
      this->ReadAt = Now;
    return Due;
  }

private:
  CatalogLagSettings Settings;
  catalog::Version Newest;
  std::optional<base::TimePoint> BehindSince;
  std::optional<base::TimePoint> ReadAt;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_CATALOGLAG_H
