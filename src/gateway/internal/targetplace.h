#ifndef KINGCUPHUB_GATEWAY_INTERNAL_TARGETPLACE_H
#define KINGCUPHUB_GATEWAY_INTERNAL_TARGETPLACE_H

/// \file
/// The place at a target that one exchange holds: first the one that its
/// admission has kept for it, then one for each further attempt.

#include "dispatcher.h"
#include "requestadmission.h"

#include <optional>
#include <set>

namespace kingcuphub::gateway {

class TargetPlace {
public:
  TargetPlace(Dispatcher &Dispatch, RequestAdmission &Admission)
      : Dispatch(Dispatch), Admission(Admission) {}

  /// The target of the next attempt; nothing if there is none.
  std::optional<base::TargetId> pick(const std::set<base::TargetId> &Avoid);
  /// Takes the place at the target; false if there is none.
  bool take(const base::TargetId &Target);
  /// Gives the place back, if one is held.
  void end(routing::RequestEnd How);
  /// Null while no place is held.
  TargetLease *lease() { return this->Lease ? &*this->Lease : nullptr; }

private:
  Dispatcher &Dispatch;
  RequestAdmission &Admission;
  std::optional<TargetLease> Lease;
  bool FirstPicked = false;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_TARGETPLACE_H
