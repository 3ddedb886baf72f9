#include "routing/router.h"

#include "base/visitor.h"

#include <algorithm>

namespace kingcuphub::routing {

namespace {

std::int64_t reportedLoad(const TargetView &Each) {
  return Each.report() ? Each.report()->Running + Each.report()->Waiting : 0;
}

} // namespace

void Router::configure(const state::Config &Config) {
  this->ZonesOut = Config.ZonesOut;
  for (auto Each = this->Targets.begin(); Each != this->Targets.end();) {
    bool Known = Config.Targets.count(Each->first) != 0;
    if (!Known)
      this->Hints.forget(Each->first);
    Each = Known ? std::next(Each) : this->Targets.erase(Each);
  }
  for (const auto &[Id, Target] : Config.Targets) {
    auto [Found, New] =
        this->Targets.try_emplace(Id, Target, this->Settings.Limits);
    if (!New)
      Found->second.configure(Target);
  }
}

TargetView *Router::target(const base::TargetId &Target) {
  auto Found = this->Targets.find(Target);
  return Found == this->Targets.end() ? nullptr : &Found->second;
}

bool Router::isUsable(const TargetView &Each, const RouteQuery &Query) const {
  const state::Target &Target = Each.settings();
  if (Target.Leaving || this->ZonesOut.count(Target.Zone) != 0)
    return false;
  if (Query.Services.empty())
    return Target.Kind == state::TargetKind::Engine && Each.holds(Query.Model);
  return std::find(Query.Services.begin(), Query.Services.end(), Target.Id) !=
         Query.Services.end();
}

RouteResult Router::choose(const RouteQuery &Query, base::TimePoint Now) {
  bool Resident = false;
  Candidates Warm;
  Candidates Cold;
  for (auto &[Id, Each] : this->Targets) {
    if (!this->isUsable(Each, Query))
      continue;
    Resident = true;
    if (Query.Exclude.count(Id) != 0 || Each.isBackingOff(Now))
      continue;
    if (Each.inFlight() >= Each.settings().WarmSlots.Value)
      continue;
    bool NeedsCold = Query.Services.empty() && Each.warmth() != Warmth::Warm;
    (NeedsCold ? Cold : Warm).push_back(&Each);
  }
  if (TargetView *Best = this->pick(Warm, Query, Now))
    return Chosen{Best->settings().Id};
  if (TargetView *Best = this->pick(Cold, Query, Now))
    return ChosenCold{Best->settings().Id};
  if (Resident)
    return AllBusy{};
  return NotResident{};
}

double Router::score(const TargetView &Each, const RouteQuery &Query,
                     base::TimePoint Now) const {
  const state::Target &Target = Each.settings();
  double Score =
      Each.estimatedLoad(Now) / static_cast<double>(Target.WarmSlots.Value);
  if (Target.Zone != this->Settings.Zone)
    Score += this->Settings.Weights.OtherZone;
  if (Query.Prefix != 0 && this->Hints.holds(Target.Id, Query.Prefix))
    Score -= this->Settings.Weights.CachedPrefix;
  return Score;
}

TargetView *Router::pick(const Candidates &From, const RouteQuery &Query,
                         base::TimePoint Now) {
  if (From.empty())
    return nullptr;
  return std::visit(
      base::Visitor{
          [&](PowerOfTwoPolicy) {
            return this->pickPowerOfTwo(From, Query, Now);
          },
          [&](RandomPolicy) { return From[this->Random() % From.size()]; },
          [&](RoundRobinPolicy &Policy) {
            return From[Policy.Next++ % From.size()];
          },
          [&](LeastReportedPolicy) {
            return *std::min_element(
                From.begin(), From.end(),
                [](const TargetView *Left, const TargetView *Right) {
                  return reportedLoad(*Left) < reportedLoad(*Right);
                });
          }},
      this->Settings.Policy);
}

/// Picks the better of two random candidates and of all that probably have the
/// prefix cached. Without the latter, a hint would only count if its target
/// happened to be drawn.
TargetView *Router::pickPowerOfTwo(const Candidates &From,
                                   const RouteQuery &Query,
                                   base::TimePoint Now) {
  std::size_t First = this->Random() % From.size();
  TargetView *Best = From[First];
  if (From.size() > 1) {
    std::size_t Second = this->Random() % (From.size() - 1);
    Second += Second >= First ? 1 : 0;
    if (this->score(*From[Second], Query, Now) < this->score(*Best, Query, Now))
      Best = From[Second];
  }
  if (Query.Prefix == 0)
    return Best;
  for (TargetView *Each : From)
    if (this->Hints.holds(Each->settings().Id, Query.Prefix) &&
        this->score(*Each, Query, Now) < this->score(*Best, Query, Now))
      Best = Each;
  return Best;
}

} // namespace kingcuphub::routing
