#ifndef KINGCUPHUB_CONTROL_CONTROL_H
#define KINGCUPHUB_CONTROL_CONTROL_H

/// \file
/// The control side of an instance: follows the store, updates the traffic
/// side, reports the instance's demand to the lease holder, and acts as that
/// holder while this instance has the lease. All calls and callbacks happen on
/// the thread that runs the loop.

#include "base/clock.h"
#include "catalog/targetoutage.h"
#include "catalog/targettable.h"
#include "control/changebounds.h"
#include "control/controlstore.h"
#include "control/trafficport.h"
#include "dispatch/usagepool.h"
#include "messaging/messaging.h"
#include "metrics/registry.h"
#include "overload/admissioncontroller.h"
#include "pacing/targetlearner.h"
#include "residency/holder.h"
#include "residency/holderlease.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace kingcuphub::control {

struct ControlSettings {
  base::InstanceId Self;
  base::Incarnation Incarnation;
  /// The endpoint at which other instances reach this one, as
  /// `tcp://ADDRESS:PORT`.
  std::string LinkEndpoint;
  residency::HolderLeaseSettings Lease;
  residency::HolderSettings Holder;
  dispatch::UsagePoolSettings Usage;
  catalog::TargetTableSettings Targets;
  catalog::TargetOutageSettings Outages;
  ChangeBounds Bounds;
  pacing::TargetLearnerSettings Learner;
  overload::AdmissionControllerSettings Admission;
  /// Set if the use of each window is reported to the platform.
  std::optional<duties::UsageLedgerSettings> UsageReports;
  /// Set if the platform is told how many targets services run, and how often
  /// that is worked out.
  std::optional<duties::TargetScalerSettings> Scaling;
  std::chrono::milliseconds ScalingInterval{500};
  /// An instance that was silent for this long is not expected to report the
  /// requests of a window.
  std::chrono::milliseconds SilentForWindows{3000};
  /// How often the figures of targets are worked out and sent: several times
  /// within the duration of a request.
  std::chrono::milliseconds FiguresInterval{100};
  /// Bytes of figures that the holder sends in a second at most, to all
  /// instances together: they grow with the instances and with the targets. Far
  /// beyond it figures come too late to be used, and instances decide by what
  /// they see themselves.
  double FigureBytesPerSecond = 1e6;
  /// Interval of demand reports to the holder: short enough to follow a shift
  /// in demand within a second.
  std::chrono::milliseconds ReportInterval{250};
  /// Minimum time between two reports that do not wait for the interval.
  std::chrono::milliseconds MinUrgentReportInterval{5};
  /// The same per instance of the fleet, so that urgent reports of all of them
  /// leave most of the holder's machine free. At 5 ms each, 63 instances sent
  /// 9,500 reports a second after targets had crashed.
  std::chrono::microseconds UrgentReportTimePerInstance{1000};
  std::chrono::milliseconds Tick{50};
  /// Minimum time from the start of a planning round to the next: the larger of
  /// MinPlanInterval and PlanGapFactor times the duration of the round. Leaves
  /// most of the machine to the instance's other duties.
  std::chrono::milliseconds MinPlanInterval{10};
  double PlanGapFactor = 8;
  /// Minimum time between two broadcasts of what engines hold: about the time
  /// that fetching an adapter takes.
  std::chrono::milliseconds MinPublishInterval{10};
  /// The same minimum per receiving instance: several times the time of a send
  /// on a small machine, so that sends leave most of the machine free. At 200
  /// us and 61 instances broadcasts were 61% of 4,300 messages a second, and
  /// the holder fell behind.
  std::chrono::microseconds PublishTimePerInstance{500};
  /// A lapsed lease is given up unless a late renewal restores it within this
  /// time.
  std::chrono::milliseconds GiveUpAfter{200};
  /// Minimum time for which a holder keeps the lease before it yields to a
  /// better equipped instance, so that such changes of holder stay rare.
  std::chrono::milliseconds MinHoldTime{5000};
  /// The same if the holder is behind schedule: a new holder takes some time to
  /// catch up.
  std::chrono::milliseconds MinHoldTimeWhenBehind{2000};
  /// How long the holder's report of what engines hold stays valid.
  std::chrono::milliseconds HeldValidFor{2000};
  /// An instance that was silent for this long no longer counts when limits are
  /// split.
  std::chrono::milliseconds InstanceTimeout{60000};
  /// How long the store may hold a request for a newer catalog of an instance
  /// without the lease. While nobody confirms its catalog, the instance gives
  /// the request up for one that is answered at once.
  std::chrono::milliseconds CatalogWait{12000};
  /// Time in which a new holder receives reports from all instances; until then
  /// it uses the count of the previous holder.
  std::chrono::milliseconds InstanceCountDelay{2000};
  /// The lease record in the store is not followed until the holder was silent
  /// for this long.
  std::chrono::milliseconds HolderTimeout{1000};
  /// How often an instance whose link could not be opened tries again.
  std::chrono::milliseconds ListenInterval{1000};
  /// A tick delay from which on the process is considered to have been stopped.
  std::chrono::milliseconds StopThreshold{800};
};

class Control {
public:
  virtual ~Control() = default;
  virtual void start() = 0;
  /// Reports to the lease holder without waiting for the interval: a request
  /// waits for a model or adapter, or targets have crashed.
  virtual void reportSoon() = 0;
  /// Handles the traffic side's requests for credit and returns of credit.
  virtual void
  onCredit(const std::vector<admission::CreditCommand> &Commands) = 0;
  /// \p Ready is called once catalog and targets have been read.
  virtual void onReady(std::function<void()> Ready) = 0;
  /// Gives the lease back before the process exits.
  virtual void leave() = 0;
};

/// \p Duties may be null if the platform asks for no calls.
std::unique_ptr<Control>
makeControl(asio::io_context &Loop, ControlSettings Settings,
            ControlStore &Store, EngineClient &Engines,
            messaging::Messaging &Messages, TrafficPort &Traffic,
            const base::Clock &Clock, metrics::Registry &Metrics,
            DutyClient *Duties = nullptr);

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_CONTROL_H
