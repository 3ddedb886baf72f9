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

double DemandBook::fade(const Entry &Of, base::Duration Smoothing,
                        base::TimePoint Now) {
  double Age = Seconds(Now - Of.WorkAt).count();
  return std::exp(-std::max(Age, 0.0) / Seconds(Smoothing).count());
}

void DemandBook::add(Entry &To, const base::InstanceId &From,
                     const ItemUse &Use, base::TimePoint Now) const {
  // Work that arrives as impulses, smoothed into a rate.
  auto Follow = [&](double &Rate, base::Duration Smoothing) {
    Rate = Rate * fade(To, Smoothing, Now) +
           Use.Work.count() / Seconds(Smoothing).count();
  };
  Follow(To.Work, this->Settings.Smoothing);
  Follow(To.SlowWork, this->Settings.HeldSmoothing);
  To.WorkAt = Now;
  if (Use.Arrived > 0 || Use.Waiting > 0)
    To.AskedAt = Now;
  if (Use.Waiting > 0)
    To.Waiting[From] = {Use.Waiting, Now};
  else
    To.Waiting.erase(From);
}

void DemandBook::onUse(const base::InstanceId &From,
                       const std::vector<ItemUse> &Use, base::TimePoint Now) {
  std::map<std::pair<catalog::ServiceId, base::ModelId>, ItemUse> Models;
  for (const ItemUse &Each : Use) {
    if (Each.What.isAdapter())
      this->add(this->Services[Each.Service][Each.What], From, Each, Now);
    ItemUse &Whole = Models[{Each.Service, Each.What.Model}];
    Whole.Work += Each.Work;
    Whole.Arrived += Each.Arrived;
    Whole.Waiting += Each.Waiting;
  }
  for (const auto &[Key, Whole] : Models)
    this->add(this->Services[Key.first][Item{Key.second, {}}], From, Whole,
              Now);
}

Demand DemandBook::of(const catalog::ServiceId &Service, const Item &What,
                      base::TimePoint Now) const {
  auto Items = this->Services.find(Service);
  if (Items == this->Services.end())
    return {};
  auto Found = Items->second.find(What);
  if (Found == Items->second.end())
    return {};
  const Entry &Of = Found->second;
  Demand Out;
  Out.Work = Of.Work * fade(Of, this->Settings.Smoothing, Now);
  Out.HeldWork = std::max(
      Out.Work, Of.SlowWork * fade(Of, this->Settings.HeldSmoothing, Now));
  Out.Recent = Now < Of.AskedAt + this->Settings.RecentFor;
  Out.InUse = Now < Of.AskedAt + this->Settings.InUseFor;
  for (const auto &[From, Told] : Of.Waiting)
    if (Now < Told.second + this->Settings.WaitingHolds)
      Out.Waiting += Told.first;
  return Out;
}

std::vector<Item> DemandBook::recentAdapters(const catalog::ServiceId &Service,
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
