#include "placement/planner.h"

#include "planninground.h"

#include <algorithm>

namespace kingcuphub::placement {

std::string_view moveReasonName(MoveReason Reason) {
  switch (Reason) {
  case MoveReason::Unreachable:
    return "unreachable";
  case MoveReason::AdapterUnreachable:
    return "adapter_unreachable";
  case MoveReason::TooFewZones:
    return "too_few_zones";
  case MoveReason::Withdrawn:
    return "withdrawn";
  case MoveReason::Rollout:
    return "rollout";
  case MoveReason::Growth:
    return "growth";
  case MoveReason::AdapterGrowth:
    return "adapter_growth";
  }
  return "unknown";
}

Plan Planner::plan(const PlanInput &Input, const Policy &Policy) const {
  Plan Out = PlanningRound(Input, rulesOf(Policy), this->Settings).run();
  std::stable_sort(Out.Moves.begin(), Out.Moves.end(),
                   [](const Move &Left, const Move &Right) {
                     return Left.Reason < Right.Reason;
                   });
  return Out;
}

} // namespace kingcuphub::placement
