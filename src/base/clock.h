#ifndef KINGCUPHUB_BASE_CLOCK_H
#define KINGCUPHUB_BASE_CLOCK_H

/// \file
/// Time is passed in: decision modules take a TimePoint with each call, and
/// the loops that drive them take a Clock.

#include <chrono>
#include <cstdint>

namespace kingcuphub::base {

using Duration = std::chrono::steady_clock::duration;
/// Monotonic time of one process; never sent to another.
using TimePoint = std::chrono::steady_clock::time_point;
/// Calendar time, for records and reports only.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Whole milliseconds, for log lines.
inline std::int64_t millisOf(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

/// Where a loop reads the time.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
  virtual WallTime wallNow() const = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// The machine's clocks, of which now() also counts the time for which the
/// machine was suspended: what was known before is as old as it really is.
class BootClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// A clock that a test or a simulation moves by hand.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return this->Current; }
  WallTime wallNow() const override { return this->CurrentWall; }
  void advance(Duration Step);

private:
  TimePoint Current{std::chrono::hours(1)};
  WallTime CurrentWall{std::chrono::hours(24 * 365 * 50)};
};

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_CLOCK_H
