#include "targetplace.h"

#include <utility>

namespace kingcuphub::gateway {

std::optional<base::TargetId>
TargetPlace::pick(const std::set<base::TargetId> &Avoid) {
  if (std::exchange(this->FirstPicked, true))
    return this->Admission.chooseAgain(Avoid);
  this->Lease = this->Admission.takeLease();
  return this->Lease ? std::optional(this->Lease->target()) : std::nullopt;
}

bool TargetPlace::take(const base::TargetId &Target) {
  if (this->Lease && this->Lease->target() == Target)
    return true;
  this->Lease.reset();
  this->Lease = this->Dispatch.lease(Target);
  return this->Lease.has_value();
}

void TargetPlace::end(routing::RequestEnd How) {
  if (this->Lease)
    this->Lease->end(How);
  this->Lease.reset();
}

} // namespace kingcuphub::gateway
