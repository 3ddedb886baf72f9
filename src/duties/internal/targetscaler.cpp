#include "duties/targetscaler.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::duties {

void TargetScaler::start(const OrderedCounts &Inherited, base::TimePoint Now) {
  this->Zones.clear();
  this->Peaks.clear();
  this->StartedAt = Now;
  for (const auto &[Subject, Count] : Inherited) {
    Zone &New = this->Zones[Subject];
    New.Ordered = New.Wanted = Count;
    New.DecreasedAt = Now;
  }
}

double TargetScaler::targetsFor(double Work,
                                const ServiceDemand &Demand) const {
  double Used = Demand.CarriedPerTarget * this->Settings.Utilization;
  return std::max(Work / Used, static_cast<double>(Demand.TargetsForModels));
}

void TargetScaler::update(const catalog::ServiceId &Service,
                          const ServiceDemand &Demand, base::TimePoint Now) {
  if (Demand.CarriedPerTarget <= 0)
    return;
  Peak &Highest = this->Peaks[Service];
  double Kept = std::exp(-std::chrono::duration<double>(Now - Highest.At) /
                         this->Settings.PeakMemory);
  Highest = {std::max(Demand.Work, Highest.Work * Kept), Now};
  auto Usable =
      std::count_if(Demand.Zones.begin(), Demand.Zones.end(),
                    [](const auto &Each) { return !Each.second.IsOut; });
  if (Usable == 0)
    return;
  auto PerZone = [&](double Work) {
    double Share =
        std::ceil(this->targetsFor(Work, Demand) / static_cast<double>(Usable));
    return std::clamp(static_cast<unsigned>(std::min(
                          Share, static_cast<double>(Demand.Bounds.Max))),
                      Demand.Bounds.Min, Demand.Bounds.Max);
  };
  unsigned Needed = PerZone(Demand.Work + Demand.Rise);
  unsigned KeptCount = PerZone(Highest.Work);
  for (const auto &[Id, Targets] : Demand.Zones) {
    auto [At, Added] = this->Zones.try_emplace({Service, Id});
    if (Added) {
      At->second.Ordered = At->second.Wanted =
          std::clamp(Targets.Serving, Demand.Bounds.Min, Demand.Bounds.Max);
      At->second.DecreasedAt = this->StartedAt;
    }
    // The targets of a zone that is out are kept for its return.
    if (!Targets.IsOut)
      this->updateZone(At->second, Needed, KeptCount, Now);
  }
}

void TargetScaler::updateZone(Zone &Of, unsigned Needed, unsigned Kept,
                              base::TimePoint Now) const {
  if (Needed > Of.Wanted) {
    Of.Wanted = Needed;
    Of.DecreasedAt = Now;
    return;
  }
  // The demand is not known before most instances have reported, and a peak is
  // remembered only from when this instance became the holder.
  bool MayDecrease = Now >= this->StartedAt + this->Settings.PeakMemory &&
                     Now >= Of.DecreasedAt + this->Settings.DecreaseInterval;
  unsigned Least = std::max(Needed, Kept);
  if (!MayDecrease || Least >= Of.Wanted)
    return;
  auto Most = std::max(
      1U, static_cast<unsigned>(this->Settings.DecreaseShare * Of.Wanted));
  Of.Wanted -= std::min(Most, Of.Wanted - Least);
  Of.DecreasedAt = Now;
}

bool TargetScaler::isDue(const Zone &Of, base::TimePoint Now) const {
  bool Differs = Of.Wanted != Of.Ordered;
  bool MustConfirm = Of.ConfirmAt && Now >= *Of.ConfirmAt;
  return !Of.UnderWay && (Differs || MustConfirm) &&
         Now >= Of.OrderedAt + this->Settings.OrderInterval;
}

ScalingOrder TargetScaler::take(const ScalingSubject &Subject, Zone &Of,
                                base::TimePoint Now) {
  Of.UnderWay = true;
  Of.OrderedAt = Now;
  return {Subject, Of.Wanted};
}

void TargetScaler::onResult(const ScalingOrder &Order, ScalingResult Result,
                            base::TimePoint Now) {
  auto Found = this->Zones.find(Order.Subject);
  if (Found == this->Zones.end())
    return;
  Zone &Of = Found->second;
  Of.UnderWay = false;
  if (Result == ScalingResult::Accepted) {
    Of.Ordered = Order.Count;
    // A call whose answer was lost before may still undo this one.
    if (Of.ConfirmAt && Now >= *Of.ConfirmAt)
      Of.ConfirmAt.reset();
  }
  if (Result == ScalingResult::Unknown)
    Of.ConfirmAt = Now + this->Settings.ConfirmAfter;
}

OrderedCounts TargetScaler::ordered() const {
  OrderedCounts Out;
  for (const auto &[Subject, Each] : this->Zones)
    Out[Subject] = Each.Ordered;
  return Out;
}

} // namespace kingcuphub::duties
