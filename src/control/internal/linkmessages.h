#ifndef KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H
#define KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H

/// \file
/// The messages between instances and the holder, to and from the product's
/// types.

#include "forwarding/forwarder.h"

#include <fleet.pb.h>
#include <map>
#include <vector>

namespace kingcuphub::control {

using HeldTargets =
    std::map<base::TargetId, std::pair<catalog::Lifetime, catalog::HeldModels>>;

void writeUse(const forwarding::TrafficUse &Use, wire::InstanceReport &To);
std::vector<residency::ItemUse> readItems(const wire::InstanceReport &From);
void writeCredits(const std::vector<admission::CreditCommand> &Commands,
                  wire::InstanceReport &To);

void writeHeld(const HeldTargets &Held, wire::HolderReply &To);
std::map<base::TargetId, dispatch::HeldState>
readHeld(const wire::HolderReply &From);

using LoadingModels = std::map<dispatch::ServiceModel, base::TimePoint>;

void writeLoading(const LoadingModels &Loading, base::TimePoint Now,
                  wire::HolderReply &To);
LoadingModels readLoading(const wire::HolderReply &From, base::TimePoint Now);

std::vector<forwarding::CreditNews> readGrants(const wire::HolderReply &From);

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H
