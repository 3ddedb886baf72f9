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
  if (Passed < this->Settings.SampleInterval)
    return;
  for (auto &[Model, Each] : this->Models)
    this->closeSample(Each, Now, secondsOf(Passed));
  this->SampleFrom = Now;
}

void DemandForecast::closeSample(Series &ModelSeries, base::TimePoint At,
                                 double Seconds) {
  double Rate = ModelSeries.Pending / Seconds;
  ModelSeries.Pending = 0;
  double PreviousLevel = ModelSeries.Level;
  double LevelDecay =
      std::exp(-Seconds / secondsOf(this->Settings.LevelTimeConstant));
  ModelSeries.Level = ModelSeries.Started
                          ? LevelDecay * PreviousLevel + (1 - LevelDecay) * Rate
                          : Rate;
  double TrendDecay =
      std::exp(-Seconds / secondsOf(this->Settings.TrendTimeConstant));
  double Slope =
      ModelSeries.Started ? (ModelSeries.Level - PreviousLevel) / Seconds : 0;
  ModelSeries.Trend = TrendDecay * ModelSeries.Trend + (1 - TrendDecay) * Slope;
  ModelSeries.Started = true;
  double Projected =
      ModelSeries.Level + ModelSeries.Trend * secondsOf(this->Settings.Horizon);
  ModelSeries.Expected =
      std::clamp(Projected, ModelSeries.Level,
                 ModelSeries.Level * this->Settings.MaxGrowth);
  if (ModelSeries.Peaks.empty() ||
      At - ModelSeries.Peaks.back().At >= PeakInterval)
    ModelSeries.Peaks.push_back({At, 0});
  ModelSeries.Peaks.back().Highest =
      std::max(ModelSeries.Peaks.back().Highest, ModelSeries.Expected);
  while (At - ModelSeries.Peaks.front().At >
         this->Settings.MaxPeakWindow + PeakInterval)
    ModelSeries.Peaks.pop_front();
}

ModelDemand DemandForecast::demand(const base::ModelId &Model,
                                   base::Duration PeakWindow) const {
  auto Found = this->Models.find(Model);
  if (Found == this->Models.end())
    return {};
  const Series &ModelSeries = Found->second;
  ModelDemand Out{ModelSeries.Expected, ModelSeries.Expected};
  for (const Peak &Each : ModelSeries.Peaks)
    if (this->SampleFrom - Each.At <= PeakWindow + PeakInterval)
      Out.RecentPeak = std::max(Out.RecentPeak, Each.Highest);
  return Out;
}

base::Duration DemandForecast::observedFor() const {
  return this->Started ? this->SampleFrom - this->StartedAt
                       : base::Duration::zero();
}

} // namespace kingcuphub::placement
