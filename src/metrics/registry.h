#ifndef KINGCUPHUB_METRICS_REGISTRY_H
#define KINGCUPHUB_METRICS_REGISTRY_H

/// \file
/// All metrics of one process, by name and labels, and the JSON that
/// `GET /metrics` answers. Label values come from the configuration only, so
/// that callers cannot make the registry grow.

#include "base/clock.h"
#include "base/ids.h"
#include "metrics/counter.h"
#include "metrics/latencyhistogram.h"
#include "metrics/outcomewindow.h"

#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcuphub::metrics {

using Labels = std::map<std::string, std::string>;

/// Whose metrics they are.
struct Source {
  std::string Program;
  std::string Instance;
  base::ZoneId Zone;
};

/// The metrics are made at their first use and live as long as the registry;
/// a reference may be kept and used from any thread.
class Registry {
public:
  Counter &counter(const std::string &Name, const Labels &By = {});
  LatencyHistogram &histogram(const std::string &Name, const Labels &By = {});
  OutcomeWindow &window(const std::string &Name, const Labels &By = {});

  nlohmann::json json(const Source &From, const base::Clock &Clock) const;

private:
  struct Id {
    std::string Name;
    Labels By;
    auto operator<=>(const Id &) const = default;
  };
  template <typename Metric>
  using Table = std::map<Id, std::unique_ptr<Metric>>;

  template <typename Metric>
  Metric &find(Table<Metric> &Metrics, const std::string &Name,
               const Labels &By);

  mutable std::mutex Guard;
  Table<Counter> Counters;
  Table<LatencyHistogram> Histograms;
  Table<OutcomeWindow> Windows;
};

} // namespace kingcuphub::metrics

#endif // KINGCUPHUB_METRICS_REGISTRY_H
