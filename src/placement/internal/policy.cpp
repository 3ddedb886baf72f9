#include "placement/policy.h"

namespace kingcuphub::placement {

Policy policyOf(state::Preset Preset) {
  switch (Preset) {
  case state::Preset::Ordinary:
    return OrdinaryPolicy{};
  case state::Preset::Peak:
    return PeakPolicy{};
  case state::Preset::Maintenance:
    return MaintenancePolicy{};
  }
  return OrdinaryPolicy{};
}

const PlannerRules &rulesOf(const Policy &Active) {
  return std::visit(
      [](const auto &Each) -> const PlannerRules & { return Each.Rules; },
      Active);
}

} // namespace kingcuphub::placement
