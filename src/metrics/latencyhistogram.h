#ifndef KINGCUPHUB_METRICS_LATENCYHISTOGRAM_H
#define KINGCUPHUB_METRICS_LATENCYHISTOGRAM_H

/// \file
/// Durations in milliseconds by size; safe from any thread.

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <tuple>
#include <vector>

namespace kingcuphub::metrics {

class LatencyHistogram {
public:
  LatencyHistogram();

  void add(std::chrono::nanoseconds Time);
  /// The upper bounds of all buckets but the last, which has none.
  std::vector<double> upperBounds() const;
  /// One count a bucket.
  std::vector<std::uint64_t> counts() const;
  double sum() const;

private:
  using Axis = boost::histogram::axis::variable<
      double, boost::use_default, boost::histogram::axis::option::overflow_t>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;

  mutable std::mutex Guard;
  boost::histogram::histogram<std::tuple<Axis>, Storage> Buckets;
  double Sum = 0;
};

} // namespace kingcuphub::metrics

#endif // KINGCUPHUB_METRICS_LATENCYHISTOGRAM_H
