#include "residency/capacity.h"

#include <algorithm>

namespace kingcuphub::residency {

namespace {

using std::chrono::milliseconds;

/// What a holder needs for some hundred instances with their reports four
/// times a second and the news to each: half a megabyte a second, with room
/// for its own callers.
constexpr double EnoughLink = 50;
constexpr double EnoughProcessor = 0.25;
/// The longest that a fit instance may take to read that the lease is free.
constexpr milliseconds LargestHandicap{1000};
/// Below this a change of holder costs more than it gains.
constexpr milliseconds WorthYielding{300};

} // namespace

milliseconds claimHandicap(const Capacity &Of) {
  double Fit = std::clamp(
      std::min(Of.Link / EnoughLink, Of.Processor / EnoughProcessor), 0.0, 1.0);
  return std::chrono::duration_cast<milliseconds>(LargestHandicap * (1 - Fit));
}

bool shouldYield(milliseconds Own, milliseconds Other) {
  return Own >= Other + WorthYielding;
}

} // namespace kingcuphub::residency
