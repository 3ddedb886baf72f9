#ifndef KINGCUPHUB_CONTROL_INTERNAL_HOLDERROLE_H
#define KINGCUPHUB_CONTROL_INTERNAL_HOLDERROLE_H

/// \file
/// The part of the control side that acts while this instance holds the lease:
/// receives the instances' reports, sends orders to engines, and sends the
/// instances what engines hold.

#include "control/control.h"
#include "dispatch/crashcorrelator.h"
#include "linkmessages.h"
#include "pacing/targetlearner.h"
#include "residency/capacity.h"
#include "scalingduty.h"
#include "usagereporter.h"

#include <asio/steady_timer.hpp>
#include <map>

namespace kingcuphub::control {

class HolderRole {
public:
  HolderRole(asio::io_context &Loop, const ControlSettings &Settings,
             EngineClient &Engines, residency::HolderLease &Lease,
             const base::Clock &Clock, metrics::Registry &Metrics,
             DutyClient *Duties);

  /// Opens the socket on which instances report.
  base::Result<void> listen(messaging::Messaging &Messages);
  /// Instances can report to this one, so that it may hold the lease.
  bool isListening() const { return this->Server != nullptr; }
  void setCatalog(const catalog::CatalogPtr &New);
  void setTargets(const catalog::TargetListPtr &New);
  /// Sets the handler for how far instances have read the operator's log.
  void onReportedPosition(std::function<void(StorePosition)> Handler) {
    this->OnReportedPosition = std::move(Handler);
  }
  /// Sets how far the operator's log has been read, and the latest time at
  /// which that is known to have been its end.
  void setCatalogProven(StorePosition Through, base::TimePoint At) {
    this->CatalogThrough = Through;
    this->CatalogProvenAt = At;
  }
  /// Sets the handler for when instances say that the store served them.
  void onReportedServed(std::function<void(base::TimePoint)> Handler) {
    this->OnReportedServed = std::move(Handler);
  }
  /// Sets when the store last served anybody, and since when no outage of it is
  /// known.
  void setServed(std::optional<base::TimePoint> At,
                 std::optional<base::TimePoint> Since) {
    this->ServedAt = At;
    this->ServedSince = Since;
  }
  /// Handles that the platform's list of targets was read, changed or not, and
  /// asked for at \p AskedAt. Not called while removals are in doubt here: the
  /// others then judge by their own reads.
  void onTargetsRead(base::TimePoint AskedAt) {
    this->TargetsAskedAt = AskedAt;
  }
  /// Applies the state of the lease; must be called whenever it may have
  /// changed.
  void checkLease();
  /// Handles a new lease record. A new holder takes over the number of
  /// instances from it.
  void onRecord(const residency::LeaseRecord &Record);
  /// Runs a planning round; must be called regularly.
  void tick();
  /// Whether to give up the lease to another instance, because this one is
  /// \p Behind schedule or a much better equipped one is available.
  bool shouldYield(bool Behind) const;
  /// Tells every instance that this one will not resume its lost or released
  /// lease.
  void announceGivenUpLease();
  /// The number of instances over which limits are split; 0 if unknown.
  unsigned instances() const;

private:
  /// What the holder has done since it gained the lease.
  struct HolderWork {
    messaging::TrafficCount TrafficBefore;
    unsigned Reports = 0;
    /// Of these, those that only asked for credit.
    unsigned CreditReports = 0;
    unsigned Plans = 0;
    unsigned Broadcasts = 0;
    base::Duration Reporting{};
    base::Duration Crediting{};
    base::Duration Planning{};
    base::Duration Broadcasting{};
  };
  struct LostLease {
    residency::FencingToken Token;
    base::TimePoint At;
  };
  struct Peer {
    base::TimePoint HeardAt;
    std::chrono::milliseconds Handicap{0};
    /// When the figures were encoded that it was sent last.
    base::TimePoint FiguresAt{};
    /// When it was sent the models that are being loaded last.
    base::TimePoint LoadingAt{};
  };

  void logLost(base::TimePoint Now) const;
  void logGained(residency::FencingToken New, base::TimePoint Now) const;
  void onReport(const messaging::ClientName &From, std::string_view Bytes);
  /// Answers a report that only asks for credit or returns some. Load pattern:
  /// an account at its limit asks through each instance some 20 times a second.
  void onCreditReport(const messaging::ClientName &From,
                      const wire::InstanceReport &Report);
  void addEvidence(const wire::InstanceReport &Report);
  /// Decides on suspected parts of prompts and tells every instance what has
  /// changed.
  void updateSuspects();
  /// Sends every instance the changes in the suspected parts, as often as those
  /// in what engines hold. Load pattern: after a crash of many targets each
  /// answer is evidence on parts that most requests share.
  void publishSuspects();
  void logChange(const dispatch::QuarantineChange &Change) const;
  void addCreditGrants(const wire::InstanceReport &Report,
                       wire::HolderReply &To);
  /// Sets what the next holder takes over.
  void setStateForSuccessor();
  /// Decides how much of the demand for overloaded models is admitted.
  void updateAdmission(base::TimePoint Now);
  void tickDuties(base::TimePoint Now);
  void updateInstanceCounts(base::TimePoint Now);
  /// Runs a planning round as soon as the minimum interval allows.
  void requestPlan();
  /// A message with the fields that every message to an instance has.
  wire::HolderReply newReply(base::TimePoint Now) const;
  void publish();
  /// The minimum time between two broadcasts of what engines hold.
  base::Duration publishInterval() const;
  /// Adds the models that are being loaded and the figures of targets, unless
  /// the receiver has got them lately.
  void addFigures(const base::InstanceId &Receiver, wire::HolderReply &To);
  void logSlowTargets(const dispatch::FigureTable &Figures);
  /// Sends every instance the changes in the list of targets.
  void publishListed(const catalog::TargetList &All);
  void broadcast(const wire::HolderReply &Message);
  /// Schedules publish() for \p At, unless it is due earlier.
  void publishAt(base::TimePoint At);
  void carryOut(const residency::HolderCommand &Command);
  void requestReport(const residency::AskReport &Command);
  void sendOrder(const residency::SendOrder &Command);
  /// Whether the order may be sent now.
  bool mayOrder(const residency::Order &What) const;
  void onOrderOutcome(const residency::Order &What, OrderOutcome Outcome,
                      base::TimePoint SentAt);
  void onOrderSettled(const residency::Order &What, OrderOutcome Outcome,
                      base::TimePoint SentAt);
  void logOrder(const char *Event, const residency::Order &What,
                OrderOutcome Outcome, base::TimePoint SentAt) const;

  const ControlSettings &Settings;
  EngineClient &Engines;
  residency::HolderLease &Lease;
  const base::Clock &Clock;
  metrics::Registry &Metrics;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  residency::Holder Holder;
  dispatch::UsagePool Usage;
  /// The token under which the pools were started.
  std::optional<residency::FencingToken> UsageToken;
  catalog::CatalogPtr Catalog;
  catalog::TargetListPtr Targets;
  std::function<void(StorePosition)> OnReportedPosition;
  std::unique_ptr<messaging::MessageServer> Server;
  std::optional<residency::FencingToken> Token;
  base::TimePoint HeldSince;
  unsigned InheritedInstances = 0;
  /// A lapsed lease that a late renewal may still restore.
  std::optional<LostLease> Lost;
  HolderWork Work;
  std::map<base::InstanceId, Peer> Instances;
  std::map<messaging::ClientName, base::TimePoint> Clients;
  HeldSource Held;
  ListedSource Listed;
  overload::AdmissionController Admission;
  /// As they are published now.
  overload::AdmissionLevels Levels;
  pacing::TargetLearner Learner;
  std::string Figures;
  base::TimePoint FiguresAt;
  /// Targets that were logged as slow or as taking fewer requests than slots.
  std::map<base::TargetId, bool> LoggedSlow;
  dispatch::CrashCorrelator Crashes;
  SuspectsSource Suspects;
  /// The revision that was broadcast last, and when.
  std::uint64_t SuspectsSent = 0;
  base::TimePoint SuspectsSentAt;
  /// As in the state that was last set for the next holder.
  dispatch::SuspectParts LeftQuarantined;
  UsageReporter Reporter;
  ScalingDuty Scaling;
  std::function<void(base::TimePoint)> OnReportedServed;
  std::optional<base::TimePoint> ServedAt;
  std::optional<base::TimePoint> ServedSince;
  std::optional<base::TimePoint> TargetsAskedAt;
  StorePosition CatalogThrough;
  base::TimePoint CatalogProvenAt;
  asio::steady_timer PlanTimer;
  base::TimePoint NextPlanAt;
  bool PlanScheduled = false;
  asio::steady_timer PublishTimer;
  base::TimePoint PublishedAt;
  std::optional<base::TimePoint> PublishDue;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_HOLDERROLE_H
