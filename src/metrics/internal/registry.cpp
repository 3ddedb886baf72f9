#include "metrics/registry.h"

namespace kingcuphub::metrics {

template <typename Metric>
Metric &Registry::find(Table<Metric> &Metrics, const std::string &Name,
                       const Labels &By) {
  std::lock_guard Lock(this->Guard);
  std::unique_ptr<Metric> &Found = Metrics[Id{Name, By}];
  if (!Found)
    Found = std::make_unique<Metric>();
  return *Found;
}

Counter &Registry::counter(const std::string &Name, const Labels &By) {
  return this->find(this->Counters, Name, By);
}

LatencyHistogram &Registry::histogram(const std::string &Name,
                                      const Labels &By) {
  return this->find(this->Histograms, Name, By);
}

OutcomeWindow &Registry::window(const std::string &Name, const Labels &By) {
  return this->find(this->Windows, Name, By);
}

nlohmann::json Registry::json(const Source &From,
                              const base::Clock &Clock) const {
  nlohmann::json Out = {{"program", From.Program},
                        {"instance", From.Instance},
                        {"zone", From.Zone.Value},
                        {"time_ms", Clock.wallNow().time_since_epoch().count()},
                        {"counters", nlohmann::json::array()},
                        {"histograms", nlohmann::json::array()},
                        {"windows", nlohmann::json::array()}};
  std::lock_guard Lock(this->Guard);
  for (const auto &[Key, Each] : this->Counters)
    Out["counters"].push_back(
        {{"name", Key.Name}, {"labels", Key.By}, {"value", Each->value()}});
  for (const auto &[Key, Each] : this->Histograms)
    Out["histograms"].push_back({{"name", Key.Name},
                                 {"labels", Key.By},
                                 {"upper_bounds", Each->upperBounds()},
                                 {"counts", Each->counts()},
                                 {"sum", Each->sum()}});
  for (const auto &[Key, Each] : this->Windows)
    for (std::chrono::seconds Length : {ShortWindow, LongWindow}) {
      OutcomeCount Count = Each->count(Clock.now(), Length);
      Out["windows"].push_back({{"name", Key.Name},
                                {"labels", Key.By},
                                {"seconds", Length.count()},
                                {"good", Count.Good},
                                {"bad", Count.Bad}});
    }
  return Out;
}

} // namespace kingcuphub::metrics
