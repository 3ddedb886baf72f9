#ifndef KINGCUPHUB_CONTROL_INTERNAL_HOLDERROLE_H
#define KINGCUPHUB_CONTROL_INTERNAL_HOLDERROLE_H

/// \file
/// The part of the control side that acts while the lease is held: takes the
/// instances' reports, gives orders, and tells the instances what engines hold.

#include "control/control.h"
#include "linkmessages.h"
#include "residency/capacity.h"

#include <asio/steady_timer.hpp>
#include <map>

namespace kingcuphub::control {

class HolderSide {
public:
  HolderSide(asio::io_context &Loop, const ControlSettings &Settings,
             EngineClient &Engines, residency::HolderLease &Lease,
             const base::Clock &Clock, metrics::Registry &Metrics);

  /// Opens the socket on which instances report.
  base::Result<void> listen(messaging::Messaging &Messages);
  void setCatalog(const catalog::CatalogPtr &New);
  void setTargets(const catalog::TargetListPtr &New);
  /// \p NewTake hears which version of the configuration a report names.
  void onCatalogWord(std::function<void(catalog::Version)> NewTake) {
    this->TakeCatalogWord = std::move(NewTake);
  }
  /// The catalog was the newest at this time.
  void setCatalogProven(base::TimePoint At) { this->CatalogProvenAt = At; }
  /// The platform's list was read just now, changed or not.
  void onTargetsRead() { this->TargetsReadAt = this->Clock.now(); }
  /// Follows the lease; to be called whenever it may have changed.
  void checkLease();
  /// Takes the lease's record, of which a new holder inherits the number of
  /// instances.
  void onRecord(const residency::LeaseRecord &Record);
  /// Plans now; to be called regularly.
  void tick();
  /// Whether to leave the lease to another instance: this one is \p Behind, or
  /// one that is far better equipped would take it.
  bool shouldYield(bool Behind) const;
  /// Tells every instance that a lease which was lost or given back is not
  /// taken up again.
  void giveUp();
  /// The instances that limits are split over; 0 while it is not known.
  unsigned instances() const;

private:
  struct LostLease {
    residency::FencingToken Token;
    base::TimePoint At;
  };
  struct Peer {
    base::TimePoint HeardAt;
    std::chrono::milliseconds Handicap{0};
  };

  void onReport(const messaging::ClientName &From, std::string_view Bytes);
  void answerCredits(const wire::InstanceReport &Report, wire::HolderReply &To);
  void countSilent(base::TimePoint Now);
  /// Plans once the time between two rounds has passed.
  void planSoon();
  /// What every message to an instance says.
  wire::HolderReply newReply(base::TimePoint Now) const;
  void publish();
  /// The least time between two messages to all instances.
  base::Duration publishEvery() const;
  /// Tells every instance what has changed of the list of targets.
  void publishListed(const catalog::TargetList &All);
  void broadcast(const wire::HolderReply &News);
  /// Arranges for publish() at \p At, unless it is due earlier.
  void publishAt(base::TimePoint At);
  void carryOut(const residency::HolderCommand &Command);
  void ask(const residency::AskReport &Command);
  void send(const residency::SendOrder &Command);

  const ControlSettings &Settings;
  EngineClient &Engines;
  residency::HolderLease &Lease;
  const base::Clock &Clock;
  metrics::Registry &Metrics;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  residency::Holder Holder;
  dispatch::UsagePool Usage;
  catalog::CatalogPtr Catalog;
  catalog::TargetListPtr Targets;
  std::function<void(catalog::Version)> TakeCatalogWord;
  std::unique_ptr<messaging::MessageServer> Server;
  std::optional<residency::FencingToken> Token;
  base::TimePoint HeldSince;
  unsigned InheritedInstances = 0;
  /// A lease that lapsed and may still come back.
  std::optional<LostLease> Lost;
  std::map<base::InstanceId, Peer> Instances;
  std::map<messaging::ClientName, base::TimePoint> Clients;
  HeldBook Held;
  ListedBook Listed;
  std::optional<base::TimePoint> TargetsReadAt;
  base::TimePoint CatalogProvenAt;
  asio::steady_timer PlanTimer;
  base::TimePoint NextPlanAt;
  bool PlanDue = false;
  asio::steady_timer PublishTimer;
  base::TimePoint PublishedAt;
  std::optional<base::TimePoint> PublishDue;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_HOLDERROLE_H
