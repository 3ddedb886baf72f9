#ifndef KINGCUPHUB_RESIDENCY_CAPACITY_H
#define KINGCUPHUB_RESIDENCY_CAPACITY_H

/// \file
/// Preference between instances for holding the lease, by their hardware.
///
/// Load pattern: instances differ in hardware, and the holder sends to every
/// one of them. A link or processor that is fast enough to serve callers may be
/// too slow for that. Better equipped instances therefore claim first, and a
/// holder that learns of a much better equipped instance gives the lease back.
/// No I/O and no clock.

#include <chrono>

namespace kingcuphub::residency {

/// The share of its machine that the process may use, as configured.
struct Capacity {
  /// In processor cores.
  double Processor = 1;
  /// In Mbit/s.
  double Link = 1000;
};

/// The delay of an instance's claim relative to the best equipped instances.
std::chrono::milliseconds claimHandicap(const Capacity &Available);

/// Whether a holder with handicap \p Own should give up the lease in favor of
/// an instance with handicap \p Other.
bool shouldYield(std::chrono::milliseconds Own,
                 std::chrono::milliseconds Other);

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_CAPACITY_H
