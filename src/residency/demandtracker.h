#ifndef KINGCUPHUB_RESIDENCY_DEMANDTRACKER_H
#define KINGCUPHUB_RESIDENCY_DEMANDTRACKER_H

/// \file
/// Demand for each model and adapter over all instances, as a rate that
/// follows changes within a second or two. No I/O and no clock.

#include "residency/types.h"

#include <map>
#include <vector>

namespace kingcuphub::residency {

struct DemandBookSettings {
  /// Time constant of the rates: short, as demand moves between models within
  /// seconds, and long against the interval of the instances' reports.
  base::Duration Smoothing = std::chrono::milliseconds(1500);
  /// Time constant of the rate that memory is given up by: longer than a load
  /// from the weight store, so that a dip does not cost one.
  base::Duration HeldSmoothing = std::chrono::seconds(6);
  /// How long an instance's word on waiting requests holds.
  base::Duration WaitingHolds = std::chrono::milliseconds(1500);
  /// An item that was asked for within this time counts as in use.
  base::Duration RecentFor = std::chrono::seconds(20);
  /// The same for an item that a request may still run with: most streams have
  /// ended by then.
  base::Duration InUseFor = std::chrono::seconds(3);
};

/// Demand for one item at a moment.
struct Demand {
  /// Engine time asked for, in seconds a second.
  double Work = 0;
  /// The same over a longer past, if that is more: what memory is given up by.
  double HeldWork = 0;
  unsigned Waiting = 0;
  bool Recent = false;
  /// Asked for so lately that a request for it may still run.
  bool InUse = false;
};

class DemandBook {
public:
  explicit DemandBook(DemandBookSettings Settings) : Settings(Settings) {}

  void onUse(const base::InstanceId &From, const std::vector<ItemUse> &Use,
             base::TimePoint Now);
  /// Demand for a model with all its adapters, or for one adapter.
  Demand of(const catalog::ServiceId &Service, const Item &What,
            base::TimePoint Now) const;
  /// Adapters of a service that were asked for lately.
  std::vector<Item> recentAdapters(const catalog::ServiceId &Service,
                                   base::TimePoint Now) const;

private:
  struct Entry {
    double Work = 0;
    double SlowWork = 0;
    base::TimePoint WorkAt;
    base::TimePoint AskedAt;
    std::map<base::InstanceId, std::pair<unsigned, base::TimePoint>> Waiting;
  };
  using Items = std::map<Item, Entry>;

  void add(Entry &To, const base::InstanceId &From, const ItemUse &Use,
           base::TimePoint Now) const;
  static double fade(const Entry &Of, base::Duration Smoothing,
                     base::TimePoint Now);

  DemandBookSettings Settings;
  std::map<catalog::ServiceId, Items> Services;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_DEMANDTRACKER_H
