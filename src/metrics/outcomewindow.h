#ifndef KINGCUPHUB_METRICS_OUTCOMEWINDOW_H
#define KINGCUPHUB_METRICS_OUTCOMEWINDOW_H

/// \file
/// Good and bad outcomes of the last minutes, in slots of time; safe from any
/// thread.

#include "base/clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>

namespace kingcuphub::metrics {

/// The windows that every service level is reported for.
constexpr std::chrono::seconds ShortWindow(300);
constexpr std::chrono::seconds LongWindow(3600);

struct OutcomeCount {
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
  auto operator<=>(const OutcomeCount &) const = default;
};

class OutcomeWindow {
public:
  void add(base::TimePoint Now, bool Good);
  /// The outcomes of the last \p Length, to a slot's precision.
  OutcomeCount count(base::TimePoint Now, std::chrono::seconds Length) const;

private:
  static constexpr std::chrono::seconds SlotLength{10};
  static constexpr std::size_t SlotCount = LongWindow / SlotLength;

  struct Slot {
    /// Slots since the clock's epoch; tells an old round from this one.
    std::int64_t Number = -1;
    OutcomeCount Outcomes;
  };

  static std::int64_t slotNumber(base::TimePoint Now);

  mutable std::mutex Guard;
  std::array<Slot, SlotCount> Slots;
};

} // namespace kingcuphub::metrics

#endif // KINGCUPHUB_METRICS_OUTCOMEWINDOW_H
