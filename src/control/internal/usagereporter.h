#ifndef KINGCUPHUB_CONTROL_INTERNAL_USAGEREPORTER_H
#define KINGCUPHUB_CONTROL_INTERNAL_USAGEREPORTER_H

/// \file
/// The lease holder's reports of use to the platform: collects the instances'
/// counts, and sends what the record of the lease has.

#include "control/control.h"
#include "duties/fleetclock.h"
#include "duties/usageledger.h"
#include "dutycalls.h"

#include <fleet.pb.h>
#include <set>

namespace kingcuphub::control {

class UsageReporter {
public:
  /// Without settings or a client, nothing is reported.
  UsageReporter(const ControlSettings &Settings, DutyClient *Client,
                residency::HolderLease &Lease, const base::Clock &Clock,
                metrics::Registry &Metrics);
  UsageReporter(const UsageReporter &) = delete;
  UsageReporter &operator=(const UsageReporter &) = delete;
  ~UsageReporter() { *this->Alive = false; }

  bool enabled() const {
    return this->Client != nullptr && this->Settings.UsageReports.has_value();
  }
  /// Starts as the holder with \p Token, with what the record of the lease has.
  void start(residency::FencingToken Token, const std::string &State);
  void stop() { this->Token.reset(); }
  void onReport(const wire::InstanceReport &Report, wire::HolderReply &Reply);
  /// Settles and sends what is due. \p Instances: those that are expected to
  /// report, or none while a new holder does not know them. Returns whether
  /// state() has changed.
  bool tick(const std::optional<std::set<base::InstanceId>> &Instances);
  /// What the next holder takes over.
  duties::UsageState state() const {
    return this->Started ? this->Ledger.state() : this->Inherited;
  }

private:
  void send(const duties::UsageReport &Report);
  void onAnswer(const duties::UsageReport &Report, const DutyCall &Call,
                DutyAnswer Answer);

  const ControlSettings &Settings;
  DutyClient *Client;
  residency::HolderLease &Lease;
  const base::Clock &Clock;
  DutyCalls Calls;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  duties::FleetClock FleetTime;
  duties::UsageLedger Ledger;
  std::optional<residency::FencingToken> Token;
  std::optional<residency::FencingToken> StartedUnder;
  /// Most instances have reported to this holder.
  bool MostHeard = false;
  bool Started = false;
  /// What the record had that this holder started from.
  duties::UsageState Inherited;
  /// What the record had could not be read, so that it may have had any report.
  bool MayBeIncomplete = false;
  std::string StoredState;
  bool Changed = false;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_USAGEREPORTER_H
