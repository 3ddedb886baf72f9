#ifndef KINGCUPHUB_ROUTING_ROUTER_H
#define KINGCUPHUB_ROUTING_ROUTER_H

/// \file
/// Chooses the target for a request. Targets that are leaving, in an excluded
/// availability zone, backing off after failures or full are ruled out first; a
/// policy chooses among the rest. Does no I/O and reads no clock.

#include "routing/prefixhints.h"
#include "routing/targetview.h"

#include <map>
#include <random>
#include <variant>
#include <vector>

namespace kingcuphub::routing {

/// What a request requires of its target.
struct RouteQuery {
  /// A model or an adapter; empty for a plain service.
  std::string Model;
  /// The candidate targets of a plain service; empty for a model.
  std::vector<base::TargetId> Services;
  std::uint64_t Prefix = 0;
  /// Targets at which this request has already failed.
  std::set<base::TargetId> Exclude;
};

/// Send the request to this target.
struct Chosen {
  base::TargetId Target;
};
/// Send the request to this target once one of its cold slots is granted.
struct ChosenCold {
  base::TargetId Target;
};
/// Every usable target is full, backing off after failures, or excluded by
/// the query.
struct AllBusy {};
/// No usable target holds the model or is a candidate of the service.
struct NotResident {};
using RouteResult = std::variant<Chosen, ChosenCold, AllBusy, NotResident>;

/// The routing policies. PowerOfTwoPolicy is used in production; the others are
/// baselines for comparison.
struct RandomPolicy {};
struct RoundRobinPolicy {
  std::uint64_t Next = 0;
};
struct LeastReportedPolicy {};
struct PowerOfTwoPolicy {};
using RoutePolicy = std::variant<PowerOfTwoPolicy, RandomPolicy,
                                 RoundRobinPolicy, LeastReportedPolicy>;

/// Terms added to a target's load in its score, as fractions of its warm slots.
struct ScoreWeights {
  /// Added if the target is in another zone than the gateway.
  double OtherZone = 0.05;
  /// Subtracted if the target probably has the prompt's prefix in its cache.
  double CachedPrefix = 0.25;
};

struct RouterSettings {
  base::ZoneId Zone;
  RoutePolicy Policy = PowerOfTwoPolicy{};
  ScoreWeights Weights;
  TargetLimits Limits;
  /// The number of prefixes remembered per target.
  std::size_t PrefixCapacity = 4096;
};

class Router {
public:
  Router(RouterSettings Settings, std::uint64_t Seed)
      : Settings(std::move(Settings)), Hints(this->Settings.PrefixCapacity),
        Random(Seed) {}

  /// Applies a configuration; keeps the views of targets that remain in it.
  void configure(const state::Config &Config);
  /// Returns null if the target is not configured.
  TargetView *target(const base::TargetId &Target);
  PrefixHints &hints() { return this->Hints; }

  RouteResult choose(const RouteQuery &Query, base::TimePoint Now);

private:
  using Candidates = std::vector<TargetView *>;

  bool isUsable(const TargetView &Each, const RouteQuery &Query) const;
  double score(const TargetView &Each, const RouteQuery &Query,
               base::TimePoint Now) const;
  TargetView *pick(const Candidates &From, const RouteQuery &Query,
                   base::TimePoint Now);
  TargetView *pickPowerOfTwo(const Candidates &From, const RouteQuery &Query,
                             base::TimePoint Now);

  RouterSettings Settings;
  PrefixHints Hints;
  std::mt19937_64 Random;
  std::map<base::TargetId, TargetView> Targets;
  std::set<base::ZoneId> ZonesOut;
};

} // namespace kingcuphub::routing

#endif // KINGCUPHUB_ROUTING_ROUTER_H
