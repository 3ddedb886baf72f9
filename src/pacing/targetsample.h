#ifndef KINGCUPHUB_PACING_TARGETSAMPLE_H
#define KINGCUPHUB_PACING_TARGETSAMPLE_H

/// \file
/// What one instance has seen of one target between two of its reports.

#include "base/clock.h"
#include "base/ids.h"
#include "catalog/target.h"
#include "dispatch/targetselector.h"

#include <array>
#include <optional>

namespace kingcuphub::pacing {

/// Of which targets samples are collected.
enum class SamplingMode {
  Off,
  /// Those that state how long work takes there at present.
  WhereSlownessIsStated,
  All,
};

/// Attempts are told apart by the quarter of the target's slots that was taken
/// when they were sent; beyond the slots they count with the last one.
constexpr std::size_t Quarters = 4;

std::size_t quarterOf(double Load, std::int64_t Slots);

/// Attempts in one quarter; times are sums.
struct AnswerTimes {
  double Count = 0;
  double MeasuredMillis = 0;
  double ExpectedMillis = 0;
};

struct TargetSample {
  base::TargetId Target;
  catalog::Lifetime Lifetime;
  /// The newest stated load and its time, if there was one.
  std::optional<dispatch::StatedLoad> Load;
  base::TimePoint LoadAt;
  std::array<AnswerTimes, Quarters> Times;
  unsigned Answered = 0;
  /// Refused for lack of room.
  unsigned Refused = 0;
  /// Attempts that ended with an answer, and those that failed with a server
  /// error or broke off.
  unsigned Served = 0;
  unsigned Failed = 0;
};

} // namespace kingcuphub::pacing

#endif // KINGCUPHUB_PACING_TARGETSAMPLE_H
