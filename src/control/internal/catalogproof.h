#ifndef KINGCUPHUB_CONTROL_INTERNAL_CATALOGPROOF_H
#define KINGCUPHUB_CONTROL_INTERNAL_CATALOGPROOF_H

/// \file
/// Tracks the latest time at which this instance's catalog and zones are known
/// to have been the newest: by its own read, as of when the read was sent, or
/// by the holder's report.
///
/// Load pattern: the store is unreachable in such a way that open connections
/// get no answer, the operator changes the configuration meanwhile, and
/// instances learn of it seconds apart. No I/O and no clock.

#include "base/clock.h"
#include "control/controlstore.h"

#include <algorithm>

namespace kingcuphub::control {

class CatalogProof {
public:
  /// Handles that the store has answered a read and the answer has been
  /// applied.
  void onRead(const StoreRead &Read) {
    this->Own = std::max(this->Own, Read.Through);
    if (Read.UpToDate)
      this->prove(Read.AskedAt);
  }
  /// Handles that another instance had read through \p Reported and knew it to
  /// be the end of the operator's log at \p At.
  void onReported(StorePosition Reported, base::TimePoint At) {
    if (Reported == this->Own)
      this->prove(At);
  }
  /// Handles that another instance has read further.
  void onNewer() { this->ProvenAt = {}; }

  /// The position through which the operator's log has been read.
  StorePosition own() const { return this->Own; }

  /// The epoch of the clock if nothing is proven, or something newer is known
  /// to exist.
  base::TimePoint provenAt() const { return this->ProvenAt; }
  /// The latest time that was ever proven.
  base::TimePoint lastProvenAt() const { return this->LastProvenAt; }

private:
  void prove(base::TimePoint At) {
    this->ProvenAt = std::max(this->ProvenAt, At);
    this->LastProvenAt = std::max(this->LastProvenAt, At);
  }

  StorePosition Own;
  base::TimePoint ProvenAt;
  base::TimePoint LastProvenAt;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_CATALOGPROOF_H
