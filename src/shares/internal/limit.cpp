#include "shares/limit.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::shares {

Limit tokenLimit(double PerSecond, std::int64_t Burst, base::Offset Version) {
  double Micros = std::floor(PerSecond * MicrosPerUnit);
  return {Burst, std::max<std::int64_t>(1, static_cast<std::int64_t>(Micros)),
          0s, Version};
}

Limit slotLimit(std::int64_t Count, base::Duration LostHold,
                base::Offset Version) {
  return {Count, 0, LostHold, Version};
}

std::size_t holderCount(const Limit &Total, const HolderPolicy &Policy,
                        std::size_t Members) {
  double Rate = static_cast<double>(Total.RefillMicros) / MicrosPerUnit;
  auto ByRate = static_cast<std::size_t>(
      std::ceil(Rate / Policy.UnitsPerSecondPerHolder));
  auto ByUnits =
      static_cast<std::size_t>(Total.Units / Policy.MinUnitsPerHolder);
  std::size_t Wanted = std::clamp(std::min(ByRate, ByUnits), Policy.MinHolders,
                                  Policy.MaxHolders);
  return std::clamp<std::size_t>(Wanted, 1, std::max<std::size_t>(1, Members));
}

} // namespace kingcuphub::shares
