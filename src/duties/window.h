#ifndef KINGCUPHUB_DUTIES_WINDOW_H
#define KINGCUPHUB_DUTIES_WINDOW_H

/// \file
/// Windows of calendar time in which the use of a deployment is counted.

#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace kingcuphub::duties {

/// Window k begins k times the window's length after the start of 1970.
using WindowId = base::NumberId<struct WindowTag>;

using WallMillis = std::chrono::milliseconds;

/// Times of day that may be true: the years 2001 to 2100. Others would overflow
/// or name windows that never end.
constexpr bool isPlausible(WallMillis Wall) {
  return Wall > std::chrono::hours(24 * 365 * 31) &&
         Wall < std::chrono::hours(24 * 365 * 130);
}

/// Requests of each account that began to run.
using BegunCounts = std::map<base::AccountId, std::uint64_t>;

/// \p Wall: since the start of 1970, not before it.
inline WindowId windowAt(WallMillis Wall, std::chrono::milliseconds Length) {
  return {static_cast<std::uint64_t>(Wall / Length)};
}

inline WallMillis endOf(WindowId Window, std::chrono::milliseconds Length) {
  return Length * static_cast<std::int64_t>(Window.Value + 1);
}

} // namespace kingcuphub::duties

#endif // KINGCUPHUB_DUTIES_WINDOW_H
