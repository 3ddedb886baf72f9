#ifndef KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H
#define KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H

/// \file
/// Conversion between the messages of instances and holder and the project's
/// types.

#include "delta.h"
#include "duties/targetscaler.h"
#include "duties/usageledger.h"
#include "forwarding/forwarder.h"

#include <fleet.pb.h>
#include <map>
#include <vector>

namespace kingcuphub::control {

using HeldSource = DeltaSource<base::TargetId, catalog::HeldState>;
using HeldDelta = Delta<base::TargetId, catalog::HeldState>;
/// The receiving side shares what it has received with the traffic side.
using HeldReceiver = DeltaReceiver<base::TargetId, catalog::HeldStatePtr>;
using ReceivedHeldDelta = Delta<base::TargetId, catalog::HeldStatePtr>;

/// A target as the holder publishes it. Two targets are equal unless receivers
/// would act differently: a heartbeat alone is no change, nor is jitter in a
/// reported time or another set of adapters.
struct ListedTarget {
  catalog::Target Target;
  bool operator==(const ListedTarget &Other) const;
};
using ListedSource = DeltaSource<base::TargetId, ListedTarget>;
using ListedReceiver = DeltaReceiver<base::TargetId, ListedTarget>;
using ListedDelta = Delta<base::TargetId, ListedTarget>;

using SuspectsSource =
    DeltaSource<dispatch::PromptPartId, dispatch::SuspectPart>;
using SuspectsReceiver =
    DeltaReceiver<dispatch::PromptPartId, dispatch::SuspectPart>;
using SuspectsDelta = Delta<dispatch::PromptPartId, dispatch::SuspectPart>;

void writeUse(const forwarding::TrafficUse &Use, wire::InstanceReport &To);
std::vector<residency::ItemUse> readItems(const wire::InstanceReport &From);
void writeCredits(const std::vector<admission::CreditCommand> &Commands,
                  wire::InstanceReport &To);

/// The amounts that were admitted under previous holders. \p Whole: they cover
/// the whole window.
void writeHistory(const std::vector<dispatch::UsedAmount> &Used, bool Whole,
                  base::TimePoint Now, wire::InstanceReport &To);
std::vector<dispatch::UsedAmount> readHistory(const wire::InstanceReport &From,
                                              base::TimePoint Now);

void writeHeld(const HeldDelta &Update, wire::HolderReply &To);
ReceivedHeldDelta readHeld(const wire::HolderReply &From);

void writeListed(const ListedDelta &Update, base::TimePoint Now,
                 wire::HolderReply &To);
/// Skips and logs entries with an unreadable address.
ListedDelta readListed(const wire::HolderReply &From, base::TimePoint Now);

void writeSuspects(const SuspectsDelta &Update, base::TimePoint Now,
                   wire::HolderReply &To);
SuspectsDelta readSuspects(const wire::HolderReply &From, base::TimePoint Now);

void writeEvidence(const dispatch::CrashEvidence &Evidence, base::TimePoint Now,
                   wire::InstanceReport &To);
dispatch::CrashEvidence readEvidence(const wire::InstanceReport &From,
                                     base::TimePoint Now);

/// The state that a holder leaves to the next one in the record of the lease.
std::string writeHolderState(const dispatch::SuspectParts &Quarantined,
                             const duties::UsageState &Usage,
                             const duties::OrderedCounts &Ordered,
                             base::TimePoint Now);
/// Logs a state that can't be read, and returns nothing of it.
dispatch::SuspectParts readHolderState(const std::string &Bytes,
                                       base::TimePoint Now);

/// The reports of use in that state; nothing if it can't be read.
std::optional<duties::UsageState> readUsageState(const std::string &Bytes);

/// The numbers of targets in that state; none if it can't be read.
duties::OrderedCounts readOrderedCounts(const std::string &Bytes);

using LoadingModels = std::map<dispatch::ServiceModel, base::TimePoint>;

void writeLoading(const LoadingModels &Loading, base::TimePoint Now,
                  wire::HolderReply &To);
LoadingModels readLoading(const wire::HolderReply &From, base::TimePoint Now);

std::vector<forwarding::CreditAnswer> readGrants(const wire::HolderReply &From);

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_LINKMESSAGES_H
