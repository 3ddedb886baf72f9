#ifndef KINGCUPHUB_CONTROL_INTERNAL_SCALINGDUTY_H
#define KINGCUPHUB_CONTROL_INTERNAL_SCALINGDUTY_H

/// \file
/// The lease holder's orders to the platform of how many targets each service
/// runs in each availability zone.

#include "control/control.h"
#include "duties/targetscaler.h"
#include "dutycalls.h"

namespace kingcuphub::control {

class ScalingDuty {
public:
  /// Without settings or a client, nothing is ordered.
  ScalingDuty(const ControlSettings &Settings, DutyClient *Client,
              residency::HolderLease &Lease, const base::Clock &Clock,
              metrics::Registry &Metrics);
  ScalingDuty(const ScalingDuty &) = delete;
  ScalingDuty &operator=(const ScalingDuty &) = delete;
  ~ScalingDuty() { *this->Alive = false; }

  bool enabled() const {
    return this->Client != nullptr && this->Settings.Scaling.has_value();
  }
  /// Starts as the holder with \p Token, with what the record of the lease has.
  void start(residency::FencingToken Token, const std::string &State);
  void stop() { this->Token.reset(); }
  /// Orders what is due by the demand that \p Demand knows. Returns whether
  /// state() has changed.
  bool tick(const catalog::Catalog &Catalog, const catalog::TargetList &Targets,
            const residency::Holder &Demand);
  /// What the next holder takes over.
  duties::OrderedCounts state() const { return this->Scaler.ordered(); }

private:
  void send(const duties::ScalingOrder &Order, const DutyCall &Call);
  void onAnswer(const duties::ScalingOrder &Order, const DutyCall &Call,
                DutyAnswer Answer);

  const ControlSettings &Settings;
  DutyClient *Client;
  const base::Clock &Clock;
  metrics::Registry &Metrics;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  DutyCalls Calls;
  duties::TargetScaler Scaler;
  std::optional<residency::FencingToken> Token;
  std::optional<residency::FencingToken> StartedUnder;
  base::TimePoint UpdatedAt;
  bool Changed = false;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_SCALINGDUTY_H
