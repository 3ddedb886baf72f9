#ifndef KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H
#define KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H

/// \file
/// The messages between instances and the holder, to and from the product's
/// types.

#include "delta.h"
#include "forwarding/forwarder.h"

#include <fleet.pb.h>
#include <map>
#include <vector>

namespace kingcuphub::control {

using HeldBook = ChangeBook<base::TargetId, catalog::HeldState>;
using HeldReader = ChangeReader<base::TargetId, catalog::HeldState>;
using HeldDifference = Difference<base::TargetId, catalog::HeldState>;

/// A target as the holder tells of it. Two are the same as long as nobody would
/// act otherwise: heartbeats alone are no news, nor is the drift of a stated
/// time.
struct ListedTarget {
  catalog::Target Of;
  bool operator==(const ListedTarget &Other) const;
};
using ListedBook = ChangeBook<base::TargetId, ListedTarget>;
using ListedReader = ChangeReader<base::TargetId, ListedTarget>;
using ListedDifference = Difference<base::TargetId, ListedTarget>;

void writeUse(const forwarding::TrafficUse &Use, wire::InstanceReport &To);
std::vector<residency::ItemUse> readItems(const wire::InstanceReport &From);
void writeCredits(const std::vector<admission::CreditCommand> &Commands,
                  wire::InstanceReport &To);

/// What was admitted before the holder of the report was first heard.
void writeHistory(const std::vector<dispatch::UsedAmount> &Used, bool Whole,
                  base::TimePoint Now, wire::InstanceReport &To);
std::vector<dispatch::UsedAmount> readHistory(const wire::InstanceReport &From,
                                              base::TimePoint Now);

void writeHeld(const HeldDifference &News, wire::HolderReply &To);
HeldDifference readHeld(const wire::HolderReply &From);

void writeListed(const ListedDifference &News, base::TimePoint Now,
                 wire::HolderReply &To);
/// Entries with an address that cannot be read are left out, with a log line.
ListedDifference readListed(const wire::HolderReply &From, base::TimePoint Now);

using LoadingModels = std::map<dispatch::ServiceModel, base::TimePoint>;

void writeLoading(const LoadingModels &Loading, base::TimePoint Now,
                  wire::HolderReply &To);
LoadingModels readLoading(const wire::HolderReply &From, base::TimePoint Now);

std::vector<forwarding::CreditNews> readGrants(const wire::HolderReply &From);

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H
