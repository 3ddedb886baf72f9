#ifndef KINGCUPHUB_DISPATCH_CRASHEVIDENCE_H
#define KINGCUPHUB_DISPATCH_CRASHEVIDENCE_H

/// \file
/// What instances and lease holder tell each other about parts of prompts that
/// may crash targets. A part is identified by its own hash, whatever precedes
/// it in a prompt.

#include "base/clock.h"
#include "base/ids.h"
#include "catalog/target.h"
#include "dispatch/requestfacts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuphub::dispatch {

using PromptPartId = base::NumberId<struct PromptPartTag>;
using PromptParts = std::set<PromptPartId>;

/// The parts of a prompt that other requests may have too: all but the last,
/// and no more than a bound that no sound prompt reaches.
PromptParts sharedParts(const std::vector<PromptPart> &Prompt);

/// As in a log line, and as many as one may have.
std::string partName(PromptPartId Part);
std::vector<std::string> partNames(const PromptParts &Parts);

/// The end of a target's lifetime, and the shared parts of each prompt that it
/// was running for the instance that reports it.
struct TargetEnd {
  base::TargetId Target;
  catalog::Lifetime Lifetime;
  base::TimePoint At;
  std::vector<PromptParts> Prompts;
};

/// A target has answered a request with this part completely.
struct ServedPart {
  PromptPartId Part;
  base::TimePoint At;
};

/// What an instance tells the lease holder.
struct CrashEvidence {
  std::vector<TargetEnd> Ends;
  std::vector<ServedPart> Served;
  /// Quarantined parts for which requests were refused.
  PromptParts Refused;
};

/// A request that is let through although its prompt is quarantined, to find
/// out whether it still crashes targets.
struct QuarantineTrial {
  std::uint64_t Number = 0;
  /// The instance that may let it through.
  base::InstanceId By;

  bool operator==(const QuarantineTrial &) const = default;
};

/// A part that was in the prompts of several targets' last requests.
struct SuspectPart {
  /// The parts that each of these prompts had, this one included. Nothing tells
  /// which of them is the cause.
  PromptParts Together;
  /// A later complete answer clears the part.
  base::TimePoint Since;
  /// Requests that have all parts of Together are refused.
  bool Quarantined = false;
  /// Targets that have ended with requests with the part, as far as they delay
  /// its trials.
  unsigned Ends = 0;
  QuarantineTrial Trial;
  base::TimePoint NextTrialAt;

  bool operator==(const SuspectPart &) const = default;
};

using SuspectParts = std::map<PromptPartId, SuspectPart>;

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_CRASHEVIDENCE_H
