#ifndef KINGCUPHUB_RESIDENCY_CAPACITY_H
#define KINGCUPHUB_RESIDENCY_CAPACITY_H

/// \file
/// Which instance is fit to hold the lease.
///
/// Load pattern: instances are uneven, and the holder sends to every one of
/// them. A link or processor that serves callers well may be too small for
/// that, so the better equipped claim first, and a holder that hears of a much
/// better one gives the lease back. No I/O and no clock.

#include <chrono>

namespace kingcuphub::residency {

/// What the process may use of its machine, as the deployment states it.
struct Capacity {
  /// In processor cores.
  double Processor = 1;
  /// In Mbit/s.
  double Link = 1000;
};

/// How much later than the best equipped an instance claims the lease.
std::chrono::milliseconds claimHandicap(const Capacity &Of);

/// Whether a holder should leave the lease to an instance with a handicap of
/// \p Other.
bool shouldYield(std::chrono::milliseconds Own,
                 std::chrono::milliseconds Other);

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_CAPACITY_H
