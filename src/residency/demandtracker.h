#ifndef KINGCUPHUB_RESIDENCY_DEMANDTRACKER_H
#define KINGCUPHUB_RESIDENCY_DEMANDTRACKER_H

/// \file
/// Demand for each model and adapter over all instances, as a smoothed rate
/// that follows changes within a second or two. No I/O and no clock.
///
/// Load pattern: traffic starts, or another instance becomes the holder and
/// knows no demand before its first reports. Taken for a rise, that made the
/// holder unload 90 models in a second for copies that nobody needed.

#include "residency/types.h"

#include <map>
#include <optional>
#include <vector>

namespace kingcuphub::residency {

struct DemandTrackerSettings {
  /// Time constant of the rates: short because demand moves between models
  /// within seconds, but long compared to the instances' report interval.
  base::Duration Smoothing = std::chrono::milliseconds(1500);
  /// Time constant of the rate used for evictions: longer than a load from the
  /// weight store, so that a short dip in demand does not cause a reload.
  base::Duration EvictionSmoothing = std::chrono::seconds(6);
  /// How long an instance's reported number of waiting requests stays valid.
  base::Duration WaitingValidFor = std::chrono::milliseconds(1500);
  /// An item that was requested within this time counts as recently used.
  base::Duration RecentFor = std::chrono::seconds(20);
  /// An item that was requested within this time counts as in use: most
  /// response streams have ended by then.
  base::Duration InUseFor = std::chrono::seconds(3);
};

/// Demand for one item at a moment.
struct Demand {
  /// Requested engine time, in seconds per second.
  double Work = 0;
  /// The maximum of Work and the same rate over a longer time; decides which
  /// items are evicted.
  double EvictionWork = 0;
  /// How much the rate of the last second or two exceeds that of the last
  /// seconds, each over the time for which demand has been known; below 0 if it
  /// falls.
  double Trend = 0;
  unsigned Waiting = 0;
  bool Recent = false;
  /// Requested so recently that a request for it may still be running.
  bool InUse = false;
};

class DemandTracker {
public:
  explicit DemandTracker(DemandTrackerSettings Settings) : Settings(Settings) {}

  /// Handles that this instance has become the holder: demand is known from now
  /// on only, unless it got reports until lately.
  void restart(base::TimePoint Now);
  void onUse(const base::InstanceId &From, const std::vector<ItemUse> &Use,
             base::TimePoint Now);
  /// Demand for a model with all its adapters, or for one adapter.
  Demand demandOf(const catalog::ServiceId &Service, const Item &What,
                  base::TimePoint Now) const;
  /// Adapters of a service that were requested within RecentFor.
  std::vector<Item> recentAdapters(const catalog::ServiceId &Service,
                                   base::TimePoint Now) const;

private:
  struct Entry {
    double Work = 0;
    double EvictionWork = 0;
    base::TimePoint WorkAt;
    base::TimePoint AskedAt;
    std::map<base::InstanceId, std::pair<unsigned, base::TimePoint>> Waiting;
  };
  using Items = std::map<Item, Entry>;

  void add(Entry &To, const base::InstanceId &From, const ItemUse &Use,
           base::TimePoint Now) const;
  static double decay(const Entry &Rates, base::Duration Smoothing,
                      base::TimePoint Now);

  /// The part of a rate over \p Smoothing that is known since KnownSince.
  double knownShare(base::Duration Smoothing, base::TimePoint Now) const;

  DemandTrackerSettings Settings;
  /// The first report, or when this instance became the holder.
  std::optional<base::TimePoint> KnownSince;
  base::TimePoint LastReportAt;
  std::map<catalog::ServiceId, Items> Services;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_DEMANDTRACKER_H
