#ifndef KINGCUPHUB_RESIDENCY_ENGINETRACKER_H
#define KINGCUPHUB_RESIDENCY_ENGINETRACKER_H

/// \file
/// The lease holder's view of every engine: what it holds, what pending orders
/// may still change, and the memory reserved for both. For an order with an
/// unknown outcome, both outcomes are accounted for. It is sent again with the
/// same expected revision, so that at most one copy takes effect and its answer
/// shows the outcome. No I/O and no clock.

#include "residency/types.h"

#include <functional>
#include <map>
#include <vector>

namespace kingcuphub::residency {

struct EngineTrackerSettings {
  /// Interval between reports of an idle engine.
  base::Duration ReportInterval = std::chrono::milliseconds(2000);
  /// The same while an order is executing or its outcome is unknown.
  base::Duration BusyReportInterval = std::chrono::milliseconds(250);
  /// Time from accepting an adapter load until the adapter is available.
  base::Duration AdapterLoadTime = std::chrono::milliseconds(14);
  /// A report requested at least this long after an event reflects it.
  base::Duration ReportLag = std::chrono::milliseconds(200);
  /// An unanswered order may still be executed up to this much later.
  base::Duration MaxOrderDelay = DefaultMaxOrderDelay;
  /// An item that an engine rejected as invalid is not ordered there again for
  /// this long.
  base::Duration RefusalBackoff = std::chrono::seconds(10);
  /// An unanswered order is sent again after this time.
  base::Duration ResendInterval = std::chrono::milliseconds(300);
  /// Time from when a model is withdrawn until its unload is ordered: instances
  /// have been told by then, and what they had sent has arrived.
  base::Duration WithdrawTime = std::chrono::milliseconds(150);
  /// A model whose unload may not be ordered by then counts as held again.
  base::Duration MaxWithdrawTime = std::chrono::milliseconds(1000);
};

/// One engine as the planner sees it.
struct EngineView {
  base::TargetId Target;
  catalog::ServiceId Service;
  base::ZoneId Zone;
  /// Reported, not leaving or ending, and its availability zone not out.
  bool Usable = false;
  /// Whether an order for a model, or for an adapter, can be sent now.
  bool AcceptsModelOrder = false;
  bool AcceptsAdapterOrder = false;
  catalog::HeldModels Models;
  /// Items that are held, may come to be held, are being unloaded or were
  /// recently rejected. An adapter may be included without its model.
  std::set<Item> Reserved;
  /// Loads in progress; not in Models yet.
  std::set<Item> Loading;
  std::set<base::ModelId> CachedWeights;
  /// A model is being unloaded and its memory will be free soon.
  bool FreesMemory = false;
  /// Memory and adapter slots of the reserved items.
  double ReservedMb = 0;
  unsigned ReservedAdapters = 0;
  std::int64_t Load = 0;
};

class EngineTracker {
public:
  explicit EngineTracker(EngineTrackerSettings Settings) : Settings(Settings) {}

  /// Catalog and targets may be set in any order, and each possibly only once.
  void setCatalog(catalog::CatalogPtr New, base::TimePoint Now);
  void setTargets(const catalog::TargetListPtr &New, base::TimePoint Now);
  /// Discards all engine state, so that every engine is asked for a report.
  void reset();

  /// Engines whose report is due; marks a report as pending for each.
  std::vector<base::TargetId> takeDueReports(base::TimePoint Now);
  /// Handles the answer to a report request; none if the engine did not
  /// answer.
  void onReport(const base::TargetId &Id,
                const std::optional<EngineReport> &Report, base::TimePoint Now);

  /// Creates an order with the engine's lifetime and revision and records it as
  /// sent; none if the engine accepts no order now.
  std::optional<Order> beginOrder(const base::TargetId &Id, OrderKind Kind,
                                  const Item &What, FencingToken Token,
                                  base::TimePoint Now);
  /// Withdraws a model: it no longer counts as held, and its unload is due
  /// after WithdrawTime.
  ///
  /// Load pattern: busy models lose copies on engines that run requests. An
  /// engine with an order to unload refuses further requests for the model, and
  /// each refusal costs one of the budget of retries.
  void withdraw(const base::TargetId &Id, const Item &Model,
                std::string_view Reason, base::TimePoint Now);
  /// An unload that is due, and why it was planned.
  struct DueUnload {
    base::TargetId Target;
    Item Model;
    std::string_view Reason;
  };
  std::vector<DueUnload>
  takeDueUnloads(base::TimePoint Now,
                 const std::function<bool(const base::TargetId &)> &Admits);
  void onAnswer(const Order &Sent, OrderAnswer Answer, base::TimePoint Now);
  /// Whether an engine may be given orders; any may if empty.
  using Admission = std::function<bool(const base::TargetId &)>;

  /// Unanswered orders that are due to be sent again, with the given token. An
  /// engine that has answered nothing since has not read the first one either.
  std::vector<Order> takeResends(FencingToken Token, base::TimePoint Now,
                                 const Admission &Admits = {});

  std::vector<EngineView> views(base::TimePoint Now,
                                const Admission &Admits = {}) const;
  /// The models and adapters that requests may be routed to, by target.
  catalog::HeldStates held(base::TimePoint Now) const;
  /// Estimated time at which each model that is being loaded becomes available.
  std::map<std::pair<catalog::ServiceId, base::ModelId>, base::TimePoint>
  loadingModels(base::TimePoint Now) const;
  /// When the next adapter becomes available; none if none is being loaded.
  std::optional<base::TimePoint> nextAdapterArrival(base::TimePoint Now) const;
  const catalog::Target *target(const base::TargetId &Id) const;

private:
  struct OpenOrder {
    Order What;
    base::TimePoint SentAt;
    bool InFlight = true;
    /// The engine has answered a request for a report made since the order was
    /// given up.
    bool EngineHeard = false;
  };
  struct WithdrawnModel {
    Item Model;
    std::string_view Reason;
    base::TimePoint At;
  };
  /// A load with an unknown outcome: a copy of it may still be executed.
  struct LateLoad {
    Item What;
    catalog::Lifetime Lifetime;
    std::uint64_t ExpectedRevision = 0;
    base::TimePoint Until;
  };
  struct Engine {
    catalog::Lifetime Lifetime;
    bool Reported = false;
    EngineReport State;
    base::TimePoint ReportDueAt;
    bool ReportPending = false;
    base::TimePoint ReportAskedAt;
    /// An accepted model order, or unload of an adapter, whose completion no
    /// report has shown yet.
    std::optional<Order> Running;
    base::TimePoint RunningSince;
    std::optional<OpenOrder> Open;
    std::optional<WithdrawnModel> Withdrawn;
    /// Adapters whose loads were accepted, with the expected completion times.
    std::map<Item, base::TimePoint> Arriving;
    std::vector<LateLoad> LateLoads;
    /// Items that the engine rejected as invalid, until when to skip them.
    std::map<Item, base::TimePoint> Refused;
  };

  const catalog::Engine *engineKind(const catalog::ServiceId &Id) const;
  double sizeOf(const catalog::Engine &Kind, const Item &What) const;
  bool isUsable(const catalog::Target &Target) const;
  void applyAccepted(Engine &Entry, const Order &Sent, base::TimePoint Now);
  void requireReport(Engine &Entry, base::TimePoint Now);
  void applyReport(Engine &Entry, const EngineReport &Report,
                   base::TimePoint Now);
  static void completeArrivals(Engine &Entry, base::TimePoint Now);
  EngineView view(const base::TargetId &Id, const Engine &Entry,
                  const catalog::Target &Listed, base::TimePoint Now) const;

  EngineTrackerSettings Settings;
  catalog::CatalogPtr Catalog;
  catalog::TargetListPtr Targets;
  std::map<base::TargetId, Engine> Engines;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_ENGINETRACKER_H
