#include "duties/fleetclock.h"

#include <algorithm>
#include <vector>

namespace kingcuphub::duties {

namespace {

/// An instance that was silent for this long has no say.
constexpr std::chrono::seconds ValidFor{5};

} // namespace

void FleetClock::onReported(const base::InstanceId &From, WallMillis Wall,
                            base::TimePoint Now) {
  this->Reported[From] = {Wall - Now.time_since_epoch(), Now};
  std::erase_if(this->Reported, [Now](const auto &Each) {
    return Now > Each.second.At + ValidFor;
  });
}

std::optional<WallMillis> FleetClock::wallAt(base::TimePoint Now) const {
  if (this->Reported.empty())
    return std::nullopt;
  std::vector<base::Duration> Offsets;
  for (const auto &[Id, Each] : this->Reported)
    Offsets.push_back(Each.Value);
  auto Middle =
      Offsets.begin() + static_cast<std::ptrdiff_t>(Offsets.size() / 2);
  std::nth_element(Offsets.begin(), Middle, Offsets.end());
  return std::chrono::duration_cast<WallMillis>(Now.time_since_epoch() +
                                                *Middle);
}

} // namespace kingcuphub::duties
