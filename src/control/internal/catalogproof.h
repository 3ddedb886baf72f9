#ifndef KINGCUPHUB_CONTROL_INTERNAL_CATALOGPROOF_H
#define KINGCUPHUB_CONTROL_INTERNAL_CATALOGPROOF_H

/// \file
/// Load pattern: the store is away in such a way that open connections go
/// silent, the operator changes the configuration meanwhile, and instances hear
/// of it seconds apart. Knows at which time the configuration that is known
/// here was certainly the newest: by an own read, counted from when it was
/// asked for, or by the holder's word. No I/O and no clock.

#include "base/clock.h"
#include "catalog/catalog.h"

#include <algorithm>

namespace kingcuphub::control {

class CatalogProof {
public:
  /// The store is asked whether there is a newer one.
  void onAsked(base::TimePoint Now) { this->AskedAt = Now; }
  /// It has answered, and what it told has been taken in.
  void onAnswered() {
    this->ProvenAt = std::max(this->ProvenAt, this->AskedAt);
  }
  /// Another instance knew \p Theirs for the newest at \p At.
  void onWord(catalog::Version Theirs, catalog::Version Own,
              base::TimePoint At) {
    if (Theirs == Own)
      this->ProvenAt = std::max(this->ProvenAt, At);
  }
  /// Another instance knows a newer one.
  void onNewer() { this->ProvenAt = {}; }

  /// The epoch of the clock if nothing is proven.
  base::TimePoint provenAt() const { return this->ProvenAt; }

private:
  base::TimePoint AskedAt;
  base::TimePoint ProvenAt;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_CATALOGPROOF_H
