#ifndef KINGCUPHUB_PLACEMENT_FORECAST_H
#define KINGCUPHUB_PLACEMENT_FORECAST_H

/// \file
/// Demand forecast per model: an exponentially weighted level with a trend,
/// and the highest forecast of the recent past, which decides whether a replica
/// is surplus.

#include "base/clock.h"
#include "base/ids.h"

#include <deque>
#include <map>
#include <vector>

namespace kingcuphub::placement {

/// Expected demand for a model, in tokens a second.
struct ModelDemand {
  /// The current forecast, by which replicas are added.
  double Expected = 0;
  /// The highest forecast of the peak window, which decides whether a replica
  /// is surplus.
  double RecentPeak = 0;
};

struct ForecastSettings {
  /// Demand is summed up over this time before it enters the forecast.
  base::Duration SampleInterval = std::chrono::seconds(5);
  /// Time constants of the level and of its trend.
  base::Duration LevelTimeConstant = std::chrono::seconds(20);
  base::Duration TrendTimeConstant = std::chrono::seconds(60);
  /// How far ahead the trend is extrapolated: about the time a load takes.
  base::Duration Horizon = std::chrono::seconds(30);
  /// A forecast is at most this many times the level.
  double MaxGrowth = 2;
  /// The longest peak window that demand() may be called with.
  base::Duration MaxPeakWindow = std::chrono::minutes(60);
};

class DemandForecast {
public:
  explicit DemandForecast(ForecastSettings Settings = {})
      : Settings(Settings) {}

  /// Adds demand that was observed since the last call.
  void add(const base::ModelId &Model, double Tokens);
  /// Enters the current sample into the forecast once its time has passed.
  void advance(base::TimePoint Now);
  /// The forecast, and its highest value over the past \p PeakWindow.
  ModelDemand demand(const base::ModelId &Model,
                     base::Duration PeakWindow) const;
  /// How long demand has been observed. A short history does not justify
  /// removing replicas.
  base::Duration observedFor() const;

private:
  struct Peak {
    base::TimePoint At;
    double Highest = 0;
  };
  struct Series {
    double Pending = 0;
    double Level = 0;
    double Trend = 0;
    double Expected = 0;
    bool Started = false;
    /// The highest forecast of each minute, oldest first.
    std::deque<Peak> Peaks;
  };

  void closeSample(Series &ModelSeries, base::TimePoint At, double Seconds);

  ForecastSettings Settings;
  std::map<base::ModelId, Series> Models;
  base::TimePoint SampleFrom;
  base::TimePoint StartedAt;
  bool Started = false;
};

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_FORECAST_H
