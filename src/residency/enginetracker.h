#ifndef KINGCUPHUB_RESIDENCY_ENGINETRACKER_H
#define KINGCUPHUB_RESIDENCY_ENGINETRACKER_H

/// \file
/// What the holder of the lease believes of every engine: what it holds, what
/// an order may still change, and the memory that this takes. An order whose
/// outcome is unknown counts as carried out and as not carried out; it is sent
/// again with the same expected revision, so that at most one copy of it takes
/// effect and its answer settles it. No I/O and no clock.

#include "residency/types.h"

#include <map>
#include <vector>

namespace kingcuphub::residency {

struct EngineBookSettings {
  /// How old an engine's report may get while nothing happens there.
  base::Duration ReportEvery = std::chrono::milliseconds(2000);
  /// The same while an order is being carried out or an outcome is unknown.
  base::Duration ReportWhileBusy = std::chrono::milliseconds(250);
  /// How long an adapter takes to be there once its load is accepted.
  base::Duration AdapterLoad = std::chrono::milliseconds(14);
  /// A report that is asked for this long after an event shows it.
  base::Duration ReportLag = std::chrono::milliseconds(200);
  /// An order without an answer may be carried out this much later.
  base::Duration LateOrders = std::chrono::seconds(13);
  /// An item that an engine refused as invalid is not ordered again for this
  /// long.
  base::Duration RefusedFor = std::chrono::seconds(10);
  /// An order without an answer is sent again after this.
  base::Duration ResendAfter = std::chrono::milliseconds(300);
};

/// One engine as the planner sees it.
struct EngineView {
  base::TargetId Target;
  catalog::ServiceId Service;
  base::ZoneId Zone;
  /// May be given work: not leaving, its zone not out.
  bool Usable = false;
  /// May be given an order for a model, or for an adapter, now.
  bool TakesModelOrder = false;
  bool TakesAdapterOrder = false;
  catalog::HeldModels Models;
  /// Held or on its way, adapters without the models they belong to included.
  std::set<Item> Claimed;
  /// Loads on their way; not in Models yet.
  std::set<Item> Loading;
  std::set<base::ModelId> CachedWeights;
  /// A model is being unloaded; its memory is free soon.
  bool FreesMemory = false;
  /// Memory and adapter places that are taken or may come to be.
  double TakenMb = 0;
  unsigned TakenAdapters = 0;
  std::int64_t Load = 0;
};

class EngineBook {
public:
  explicit EngineBook(EngineBookSettings Settings) : Settings(Settings) {}

  /// Catalog and targets come in any order, and either may not change again.
  void setCatalog(catalog::CatalogPtr New, base::TimePoint Now);
  void setTargets(const catalog::TargetListPtr &New, base::TimePoint Now);
  /// Forgets what is known of orders' effects and asks every engine anew.
  void start();

  /// Engines whose report is due; each counts as asked from now on.
  std::vector<base::TargetId> takeDueReports(base::TimePoint Now);
  /// The answer to a report that was asked for; none if the engine did not
  /// answer.
  void onReport(const base::TargetId &Id,
                const std::optional<EngineReport> &Report, base::TimePoint Now);

  /// Counts an order as sent and fills in its lifetime and revision; nothing
  /// if the engine takes none now.
  std::optional<Order> begin(const base::TargetId &Id, OrderKind Kind,
                             const Item &What, FencingToken Token,
                             base::TimePoint Now);
  void onAnswer(const Order &Sent, OrderAnswer Answer, base::TimePoint Now);
  /// Orders without an answer that are to be sent again now.
  std::vector<Order> takeResends(FencingToken Token, base::TimePoint Now);

  std::vector<EngineView> views(base::TimePoint Now) const;
  /// What may be routed to, by target.
  catalog::HeldStates held(base::TimePoint Now) const;
  /// When each model that is being loaded will be there, by estimate.
  std::map<std::pair<catalog::ServiceId, base::ModelId>, base::TimePoint>
  loading(base::TimePoint Now) const;
  /// When the next adapter comes to be held; nothing if none is on its way.
  std::optional<base::TimePoint> nextChange(base::TimePoint Now) const;
  const catalog::Target *target(const base::TargetId &Id) const;

private:
  struct OpenOrder {
    Order What;
    base::TimePoint SentAt;
    bool InFlight = true;
  };
  /// A load whose outcome was unknown: a copy of it may still be carried out.
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
    /// A model order that was accepted and whose end no report has shown.
    std::optional<Order> Running;
    base::TimePoint RunningSince;
    std::optional<OpenOrder> Open;
    /// Adapters whose loads were accepted, and when they are there.
    std::map<Item, base::TimePoint> Arriving;
    std::vector<LateLoad> Late;
    /// Items that the engine refused as invalid, until when.
    std::map<Item, base::TimePoint> Refused;
  };

  const catalog::Engine *engineOf(const catalog::ServiceId &Id) const;
  double sizeOf(const catalog::Engine &Of, const Item &What) const;
  bool isUsable(const catalog::Target &Of) const;
  void accept(Engine &Of, const Order &Sent, base::TimePoint Now);
  void forgetState(Engine &Of, base::TimePoint Now);
  void adopt(Engine &Of, const EngineReport &Report, base::TimePoint Now);
  static void settleArrivals(Engine &Of, base::TimePoint Now);
  EngineView view(const base::TargetId &Id, const Engine &Of,
                  const catalog::Target &Listed, base::TimePoint Now) const;

  EngineBookSettings Settings;
  catalog::CatalogPtr Catalog;
  catalog::TargetListPtr Targets;
  std::map<base::TargetId, Engine> Engines;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_ENGINETRACKER_H
