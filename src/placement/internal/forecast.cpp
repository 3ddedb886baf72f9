#include "placement/forecast.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::placement {

namespace {

constexpr base::Duration PeakInterval = std::chrono::minutes(1);

double secondsOf(base::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

void DemandForecast::add(const base::ModelId &Model, double Tokens) {
  this->Models[Model].Pending += Tokens;
}

void DemandForecast::advance(base::TimePoint Now) {
  if (!this->Started) {
    this->Started = true;
    this->StartedAt = Now;
    this->SampleFrom = Now;
    return;
  }
  base::Duration Passed = Now - this->SampleFrom;
  if (Passed < this->Settings.Sample)
    return;
  for (auto &[Model, Each] : this->Models)
    this->closeSample(Each, Now, secondsOf(Passed));
  this->SampleFrom = Now;
}

void DemandForecast::closeSample(Series &Of, base::TimePoint At,
                                 double Seconds) {
  double Rate = Of.Pending / Seconds;
  Of.Pending = 0;
  double PreviousLevel = Of.Level;
  double LevelDecay = std::exp(-Seconds / secondsOf(this->Settings.Level));
  Of.Level =
      Of.Started ? LevelDecay * PreviousLevel + (1 - LevelDecay) * Rate : Rate;
  double TrendDecay = std::exp(-Seconds / secondsOf(this->Settings.Trend));
  double Slope = Of.Started ? (Of.Level - PreviousLevel) / Seconds : 0;
  Of.Trend = TrendDecay * Of.Trend + (1 - TrendDecay) * Slope;
  Of.Started = true;
  double Projected = Of.Level + Of.Trend * secondsOf(this->Settings.Horizon);
  Of.Expected =
      std::clamp(Projected, Of.Level, Of.Level * this->Settings.MaxGrowth);
  if (Of.Peaks.empty() || At - Of.Peaks.back().At >= PeakInterval)
    Of.Peaks.push_back({At, 0});
  Of.Peaks.back().Highest = std::max(Of.Peaks.back().Highest, Of.Expected);
  while (At - Of.Peaks.front().At > this->Settings.MaxPeakWindow + PeakInterval)
    Of.Peaks.pop_front();
}

ModelDemand DemandForecast::demand(const base::ModelId &Model,
                                   base::Duration PeakWindow) const {
  auto Found = this->Models.find(Model);
  if (Found == this->Models.end())
    return {};
  const Series &Of = Found->second;
  ModelDemand Out{Of.Expected, Of.Expected};
  for (const Peak &Each : Of.Peaks)
    if (this->SampleFrom - Each.At <= PeakWindow + PeakInterval)
      Out.RecentPeak = std::max(Out.RecentPeak, Each.Highest);
  return Out;
}

base::Duration DemandForecast::observedFor() const {
  return this->Started ? this->SampleFrom - this->StartedAt
                       : base::Duration::zero();
}

} // namespace kingcuphub::placement
