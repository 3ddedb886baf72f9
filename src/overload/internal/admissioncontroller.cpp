#include "overload/admissioncontroller.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kingcuphub::overload {

void AdmissionController::onArrivals(const ArrivalTable &New) {
  for (const auto &[Key, Each] : New) {
    Arrivals &Sum = this->Entries[Key].Current;
    Sum.Sent += Each.Sent;
    Sum.Refused += Each.Refused;
    for (std::size_t Class = 0; Class < Classes; ++Class)
      Sum.Asked[Class] += Each.Asked[Class];
  }
}

void AdmissionController::decide(Entry &Of) const {
  double Kept =
      std::exp(-std::chrono::duration<double>(this->Settings.Interval) /
               this->Settings.DemandMemory);
  for (std::size_t Class = 0; Class < Classes; ++Class)
    Of.Demand[Class] = Of.Demand[Class] * Kept + Of.Current.Asked[Class];
  const Arrivals &Seen = Of.Current;
  double Refused = static_cast<double>(Seen.Refused) / std::max(1U, Seen.Sent);
  bool Overloaded = Seen.Sent >= this->Settings.MinArrivals &&
                    Refused > this->Settings.MaxRefusedShare;
  if (Overloaded) {
    Of.Share *= 1 - Refused;
    Of.Raise = this->Settings.FirstRaise;
  } else {
    Of.Share += Of.Raise;
    Of.Raise = std::clamp(Of.Raise * 2, this->Settings.FirstRaise,
                          this->Settings.LastRaise);
  }
  Of.Share = std::clamp(Of.Share, this->Settings.MinShare, 1.0);
  Of.Current = {};
}

bool AdmissionController::tick(base::TimePoint Now) {
  if (Now < this->DecidedAt + this->Settings.Interval)
    return false;
  this->DecidedAt = Now;
  for (auto &[Key, Each] : this->Entries)
    this->decide(Each);
  constexpr double NoDemand = 0.1;
  std::erase_if(this->Entries, [](const auto &Each) {
    const Entry &Of = Each.second;
    return Of.Share >= 1 &&
           std::accumulate(Of.Demand.begin(), Of.Demand.end(), 0.0) < NoDemand;
  });
  return true;
}

double AdmissionController::levelOf(const Entry &Of) const {
  double Total = std::accumulate(Of.Demand.begin(), Of.Demand.end(), 0.0);
  double Left = Of.Share * Total;
  for (std::size_t Class = 0; Class < Classes; ++Class) {
    if (Of.Demand[Class] > Left)
      return static_cast<double>(Class) + Left / Of.Demand[Class];
    Left -= Of.Demand[Class];
  }
  return static_cast<double>(Classes);
}

AdmissionLevels AdmissionController::levels() const {
  AdmissionLevels Out;
  for (const auto &[Key, Each] : this->Entries) {
    if (Each.Share >= 1)
      continue;
    double Intervals =
        std::ceil((1 - Each.Share) / this->Settings.LastRaise) +
        std::log2(this->Settings.LastRaise / this->Settings.FirstRaise);
    Out[Key] = {this->levelOf(Each),
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    this->Settings.Interval * Intervals)};
  }
  return Out;
}

} // namespace kingcuphub::overload
