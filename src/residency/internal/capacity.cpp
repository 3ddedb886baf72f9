#include "residency/capacity.h"

#include <algorithm>

namespace kingcuphub::residency {

namespace {

using std::chrono::milliseconds;

/// What a holder needs for about a hundred instances, receiving four reports a
/// second from each and sending updates to all: half a megabyte a second, plus
/// a reserve for its own callers.
constexpr double SufficientLinkMbps = 50;
constexpr double SufficientCores = 0.25;
/// The longest a well-equipped instance may take to read that the lease is
/// free.
constexpr milliseconds MaxHandicap{1000};
/// With a smaller difference, a change of holder costs more than it gains.
constexpr milliseconds MinHandicapDifference{300};

} // namespace

milliseconds claimHandicap(const Capacity &Available) {
  double Fitness = std::clamp(std::min(Available.Link / SufficientLinkMbps,
                                       Available.Processor / SufficientCores),
                              0.0, 1.0);
  return std::chrono::duration_cast<milliseconds>(MaxHandicap * (1 - Fitness));
}

bool shouldYield(milliseconds Own, milliseconds Other) {
  return Own >= Other + MinHandicapDifference;
}

} // namespace kingcuphub::residency
