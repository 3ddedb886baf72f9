#ifndef KINGCUPHUB_CONTROL_CHANGEBOUNDS_H
#define KINGCUPHUB_CONTROL_CHANGEBOUNDS_H

/// \file
/// The times within which changes that the platform's store has acknowledged
/// have to be in force, and what follows from them for reads of the store.
///
/// Load pattern: instances go by what the lease holder has read, so that calls
/// to the store do not grow with the fleet. The holder may be turned away while
/// the store serves the others: an instance that has no proof for a part of the
/// bound reads for itself, and the rest of the bound is for that read.

#include <algorithm>
#include <chrono>

namespace kingcuphub::control {

struct ChangeBounds {
  /// From the acknowledgement of a configuration until nothing is handled by an
  /// older one.
  std::chrono::milliseconds Catalog{2000};
  /// From the acknowledgement that a target leaves or has left until it gets no
  /// more requests.
  std::chrono::milliseconds Leaving{2000};

  /// Maximum age of the proof that the catalog is the newest, before an
  /// instance reads for itself.
  std::chrono::milliseconds catalogValidFor() const {
    return this->Catalog * 8 / 10;
  }
  /// Maximum age of the holder's list of targets, likewise: short enough that a
  /// store that serves anybody at all is known to (see targetoutage.h).
  std::chrono::milliseconds listValidFor() const {
    return std::min(std::chrono::milliseconds(1700), this->Leaving * 6 / 10);
  }
  /// Interval at which the list of targets is read: the holder's reads reach
  /// the others with its answers to their reports, well before they get too
  /// old.
  std::chrono::milliseconds listInterval() const {
    return std::min(std::chrono::milliseconds(1000), this->Leaving / 3);
  }
  /// How long the store may hold the holder's request for a newer catalog: its
  /// answers confirm to the others that their catalog is the newest.
  std::chrono::milliseconds catalogWaitAsHolder() const {
    return std::min(std::chrono::milliseconds(500), this->Catalog / 6);
  }
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_CHANGEBOUNDS_H
