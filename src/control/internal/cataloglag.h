#ifndef KINGCUPHUB_CONTROL_INTERNAL_CATALOGLAG_H
#define KINGCUPHUB_CONTROL_INTERNAL_CATALOGLAG_H

/// \file
/// Load pattern: the operator changes the configuration several times while the
/// store is away from some instances, and one of them waits on a call that the
/// store never ends. Instances and the holder tell each other which version
/// they know; whoever is behind for longer than a change takes to spread reads
/// anew. No I/O and no clock.

#include "base/clock.h"
#include "catalog/catalog.h"

#include <algorithm>
#include <optional>

namespace kingcuphub::control {

struct CatalogLagSettings {
  /// A change reaches all instances within some round trips to the store.
  std::chrono::milliseconds Tolerated{300};
  /// The time that a reading may take before another is begun.
  std::chrono::milliseconds ReadAgainAfter{1000};
};

class CatalogLag {
public:
  explicit CatalogLag(CatalogLagSettings Settings = {}) : Settings(Settings) {}

  /// Another instance knows \p Theirs, this one \p Own; says whether to read
  /// anew.
  bool onWord(catalog::Version Theirs, catalog::Version Own,
              base::TimePoint Now) {
    if (Theirs <= Own) {
      // Words of others that are behind as well say nothing.
      if (Own >= this->Newest)
        this->BehindSince.reset();
      return false;
    }
    this->Newest = std::max(this->Newest, Theirs);
    if (!this->BehindSince)
      this->BehindSince = Now;
    bool Due =
        Now >= *this->BehindSince + this->Settings.Tolerated &&
        (!this->ReadAt || Now >= *this->ReadAt + this->Settings.ReadAgainAfter);
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
