#include "residency/demandtracker.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::residency {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

std::string_view orderKindName(OrderKind Kind) {
  return Kind == OrderKind::Load ? "load" : "unload";
}

std::string_view orderEndName(OrderEnd End) {
  switch (End) {
  case OrderEnd::Answered:
    return "answered";
  case OrderEnd::NotSent:
    return "not-sent";
  case OrderEnd::Cut:
    return "cut";
  case OrderEnd::GivenUp:
    return "given-up";
  case OrderEnd::Abandoned:
    return "abandoned";
  }
  return "";
}

std::string_view orderAnswerName(OrderAnswer Answer) {
  switch (Answer) {
  case OrderAnswer::Accepted:
    return "accepted";
  case OrderAnswer::Holds:
    return "holds-already";
  case OrderAnswer::Conflict:
    return "conflict";
  case OrderAnswer::Fenced:
    return "fenced";
  case OrderAnswer::Invalid:
    return "invalid";
  case OrderAnswer::Misdirected:
    return "misdirected";
  case OrderAnswer::Unknown:
    return "unknown";
  }
  return "unknown";
}

double DemandTracker::decay(const Entry &Rates, base::Duration Smoothing,
                            base::TimePoint Now) {
  double Age = Seconds(Now - Rates.WorkAt).count();
  return std::exp(-std::max(Age, 0.0) / Seconds(Smoothing).count());
}

void DemandTracker::restart(base::TimePoint Now) {
  if (Now > this->LastReportAt + this->Settings.EvictionSmoothing)
    this->KnownSince.reset();
}

double DemandTracker::knownShare(base::Duration Smoothing,
                                 base::TimePoint Now) const {
  constexpr double Least = 0.05;
  Seconds Known = Now - this->KnownSince.value_or(Now);
  return std::max(Least,
                  1 - std::exp(-std::max(Known / Seconds(Smoothing), 0.0)));
}

void DemandTracker::add(Entry &To, const base::InstanceId &From,
                        const ItemUse &Use, base::TimePoint Now) const {
  // Exponential smoothing turns discrete amounts of work into a rate.
  auto Update = [&](double &Rate, base::Duration Smoothing) {
    Rate = Rate * decay(To, Smoothing, Now) +
           Use.Work.count() / Seconds(Smoothing).count();
  };
  Update(To.Work, this->Settings.Smoothing);
  Update(To.EvictionWork, this->Settings.EvictionSmoothing);
  To.WorkAt = Now;
  if (Use.Arrived > 0 || Use.Waiting > 0)
    To.AskedAt = Now;
  if (Use.Waiting > 0)
    To.Waiting[From] = {Use.Waiting, Now};
  else
    To.Waiting.erase(From);
}

void DemandTracker::onUse(const base::InstanceId &From,
                          const std::vector<ItemUse> &Use,
                          base::TimePoint Now) {
  if (!Use.empty()) {
    this->KnownSince = this->KnownSince.value_or(Now);
    this->LastReportAt = Now;
  }
  std::map<std::pair<catalog::ServiceId, base::ModelId>, ItemUse> Models;
  for (const ItemUse &Each : Use) {
    if (Each.What.isAdapter())
      this->add(this->Services[Each.Service][Each.What], From, Each, Now);
    ItemUse &Total = Models[{Each.Service, Each.What.Model}];
    Total.Work += Each.Work;
    Total.Arrived += Each.Arrived;
    Total.Waiting += Each.Waiting;
  }
  for (const auto &[Key, Total] : Models)
    this->add(this->Services[Key.first][Item{Key.second, {}}], From, Total,
              Now);
}

Demand DemandTracker::demandOf(const catalog::ServiceId &Service,
                               const Item &What, base::TimePoint Now) const {
  auto Items = this->Services.find(Service);
  if (Items == this->Services.end())
    return {};
  auto Found = Items->second.find(What);
  if (Found == Items->second.end())
    return {};
  const Entry &Rates = Found->second;
  Demand Out;
  Out.Work = Rates.Work * decay(Rates, this->Settings.Smoothing, Now);
  double LongerWork =
      Rates.EvictionWork * decay(Rates, this->Settings.EvictionSmoothing, Now);
  Out.EvictionWork = std::max(Out.Work, LongerWork);
  Out.Trend =
      Out.Work / this->knownShare(this->Settings.Smoothing, Now) -
      LongerWork / this->knownShare(this->Settings.EvictionSmoothing, Now);
  Out.Recent = Now < Rates.AskedAt + this->Settings.RecentFor;
  Out.InUse = Now < Rates.AskedAt + this->Settings.InUseFor;
  for (const auto &[From, Reported] : Rates.Waiting)
    if (Now < Reported.second + this->Settings.WaitingValidFor)
      Out.Waiting += Reported.first;
  return Out;
}

std::vector<Item>
DemandTracker::recentAdapters(const catalog::ServiceId &Service,
                              base::TimePoint Now) const {
  std::vector<Item> Out;
  auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return Out;
  for (const auto &[What, Each] : Found->second)
    if (What.isAdapter() && Now < Each.AskedAt + this->Settings.RecentFor)
      Out.push_back(What);
  return Out;
}

} // namespace kingcuphub::residency
