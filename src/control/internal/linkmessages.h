#ifndef KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H
#define KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H

/// \file
/// The messages between instances and the holder, to and from the product's
/// types.

#include "changebook.h"
#include "forwarding/forwarder.h"

#include <fleet.pb.h>
#include <map>
#include <vector>

namespace kingcuphub::control {

using HeldBook = ChangeBook<base::TargetId, dispatch::HeldState>;
using HeldReader = ChangeReader<base::TargetId, dispatch::HeldState>;
using HeldDifference = Difference<base::TargetId, dispatch::HeldState>;

void writeUse(const forwarding::TrafficUse &Use, wire::InstanceReport &To);
std::vector<residency::ItemUse> readItems(const wire::InstanceReport &From);
void writeCredits(const std::vector<admission::CreditCommand> &Commands,
                  wire::InstanceReport &To);

void writeHeld(const HeldDifference &News, wire::HolderReply &To);
HeldDifference readHeld(const wire::HolderReply &From);

using LoadingModels = std::map<dispatch::ServiceModel, base::TimePoint>;

void writeLoading(const LoadingModels &Loading, base::TimePoint Now,
                  wire::HolderReply &To);
LoadingModels readLoading(const wire::HolderReply &From, base::TimePoint Now);

std::vector<forwarding::CreditNews> readGrants(const wire::HolderReply &From);

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H
