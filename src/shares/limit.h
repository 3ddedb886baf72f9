#ifndef KINGCUPHUB_SHARES_LIMIT_H
#define KINGCUPHUB_SHARES_LIMIT_H

/// \file
/// The limit on a quantity over all instances together, and over how many
/// instances it is spread.

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>

namespace kingcuphub::shares {

using namespace std::chrono_literals;

constexpr std::int64_t MicrosPerUnit = 1'000'000;

/// A limit on the units of a quantity. With a refill rate, used units become
/// free again at that rate (token bucket: Units is the burst). Without one,
/// they become free when their user returns them (slots).
struct Limit {
  std::int64_t Units = 0;
  /// Refill rate in millionths of a unit per second; 0 for slots.
  std::int64_t RefillMicros = 0;
  /// For slots: how long a lost unit may still be in use.
  base::Duration LostHold = 30s;
  /// The offset of the configuration record that set the limit.
  base::Offset Version;

  bool refills() const { return this->RefillMicros > 0; }
  bool operator==(const Limit &) const = default;
};

/// A token bucket that refills at \p PerSecond and holds \p Burst units.
Limit tokenLimit(double PerSecond, std::int64_t Burst, base::Offset Version);
/// \p Count slots, which are borrowed and returned.
Limit slotLimit(std::int64_t Count, base::Duration LostHold,
                base::Offset Version);

/// How many instances hold shares of a quantity. With more holders, less is
/// lost when one dies and the load is spread; with fewer, each share is larger.
struct HolderPolicy {
  std::size_t MinHolders = 1;
  std::size_t MaxHolders = 16;
  /// Refill rate, in units per second, that justifies one more holder.
  double UnitsPerSecondPerHolder = 500;
  /// Minimum units per holder. MinHolders takes precedence.
  std::int64_t MinUnitsPerHolder = 5000;
};

/// The number of holders for a limit, at least 1 and at most \p Members.
std::size_t holderCount(const Limit &Total, const HolderPolicy &Policy,
                        std::size_t Members);

} // namespace kingcuphub::shares

#endif // KINGCUPHUB_SHARES_LIMIT_H
