#ifndef KINGCUPHUB_CONTROL_INTERNAL_DUTYCALLS_H
#define KINGCUPHUB_CONTROL_INTERNAL_DUTYCALLS_H

/// \file
/// Enters the lease holder's calls to the platform in the ledger of orders, as
/// if what they are about were an engine: the same turns between holders, and
/// the same wait for calls that may be carried out late, hold for them.

#include "base/clock.h"
#include "control/controlstore.h"
#include "metrics/registry.h"
#include "residency/holderlease.h"

#include <optional>
#include <string>
#include <string_view>

namespace kingcuphub::control {

/// As in a log line.
std::string_view dutyAnswerName(DutyAnswer Answer);

struct DutyCall {
  /// As in a log line and in metrics.
  std::string_view Duty;
  /// What holders take turns for.
  base::TargetId Subject;
  residency::FencingToken Token;
};

class DutyCalls {
public:
  DutyCalls(residency::HolderLease &Lease, const base::Clock &Clock,
            metrics::Registry &Metrics)
      : Lease(Lease), Clock(Clock), Metrics(Metrics) {}

  /// Whether the call may be made now; must be checked right before.
  bool maySend(const DutyCall &What) const;
  void onSent(const DutyCall &What);
  /// \p Current is the token under which this instance is the holder, if it is.
  void onAnswer(const DutyCall &What, DutyAnswer Answer,
                std::optional<residency::FencingToken> Current);

private:
  residency::HolderLease &Lease;
  const base::Clock &Clock;
  metrics::Registry &Metrics;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_DUTYCALLS_H
