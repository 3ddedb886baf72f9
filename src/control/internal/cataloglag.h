#ifndef KINGCUPHUB_CONTROL_INTERNAL_CATALOGLAG_H
#define KINGCUPHUB_CONTROL_INTERNAL_CATALOGLAG_H

/// \file
/// Detects that this instance's catalog and zones lag behind those of others.
///
/// Load pattern: the operator changes the configuration several times while
/// some instances cannot reach the store, and one of them waits for a call that
/// the store never completes. Instances and the holder tell each other how far
/// they have read the operator's log; an instance that lags for longer than a
/// change takes to propagate reads at once. No I/O and no clock.

#include "base/clock.h"
#include "control/controlstore.h"

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

  /// Handles that another instance has read through \p Reported and this one
  /// through \p Own; returns whether to read at once.
  bool onReported(StorePosition Reported, StorePosition Own,
                  base::TimePoint Now) {
    if (Reported <= Own) {
      // Reports of other instances that lag as well say nothing.
      if (Own >= this->Newest)
        this->BehindSince.reset();
      return false;
    }
    this->Newest = std::max(this->Newest, Reported);
    if (!this->BehindSince)
      this->BehindSince = Now;
    bool Due =
        Now >= *this->BehindSince + this->Settings.ToleratedLag &&
        (!this->ReadAt || Now >= *this->ReadAt + this->Settings.RereadInterval);
    if (Due)
      this->ReadAt = Now;
    return Due;
  }

  /// Returns whether to read at once by what was reported before.
  bool isDue(StorePosition Own, base::TimePoint Now) {
    return this->onReported(this->Newest, Own, Now);
  }

private:
  CatalogLagSettings Settings;
  StorePosition Newest;
  std::optional<base::TimePoint> BehindSince;
  std::optional<base::TimePoint> ReadAt;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_CATALOGLAG_H
