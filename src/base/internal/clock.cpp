#include "base/clock.h"

#include <ctime>

namespace kingcuphub::base {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallNow() const {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

TimePoint BootClock::now() const {
  timespec Time{};
  if (clock_gettime(CLOCK_BOOTTIME, &Time) != 0)
    return std::chrono::steady_clock::now();
  return TimePoint(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

WallTime BootClock::wallNow() const { return SystemClock().wallNow(); }

void ManualClock::advance(Duration Step) {
  this->Current += Step;
  this->CurrentWall +=
      std::chrono::duration_cast<std::chrono::milliseconds>(Step);
}

} // namespace kingcuphub::base
