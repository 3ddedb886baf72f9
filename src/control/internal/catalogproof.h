#ifndef KINGCUPHUB_CONTROL_INTERNAL_CATALOGPROOF_H
#define KINGCUPHUB_CONTROL_INTERNAL_CATALOGPROOF_H

/// \file
/// Tracks the latest time at which this instance's catalog is known to have
/// been the newest: by its own read, as of when the read was sent, or by the
/// holder's report.
///
/// Load pattern: the store is unreachable in such a way that open connections
/// get no answer, the operator changes the configuration meanwhile, and
/// instances learn of it seconds apart. No I/O and no clock.

#include "base/clock.h"
#include "catalog/catalog.h"

#include <algorithm>

namespace kingcuphub::control {

class CatalogProof {
public:
  /// Handles that the store is asked for a newer catalog.
  void onAsked(base::TimePoint Now) { this->AskedAt = Now; }
  /// Handles that the store has answered and the answer has been applied.
  void onAnswered() {
    this->ProvenAt = std::max(this->ProvenAt, this->AskedAt);
  }
  /// Handles that another instance had \p ReportedVersion and knew it to be the
  /// newest at \p At.
  void onReportedVersion(catalog::Version ReportedVersion,
                         catalog::Version OwnVersion, base::TimePoint At) {
    if (ReportedVersion == OwnVersion)
      this->ProvenAt = std::max(this->ProvenAt, At);
  }
  /// Handles that another instance has a newer catalog.
  void onNewerVersion() { this->ProvenAt = {}; }

  /// The epoch of the clock if nothing is proven.
  base::TimePoint provenAt() const { return this->ProvenAt; }

private:
  base::TimePoint AskedAt;
  base::TimePoint ProvenAt;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_CATALOGPROOF_H
