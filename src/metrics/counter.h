#ifndef KINGCUPHUB_METRICS_COUNTER_H
#define KINGCUPHUB_METRICS_COUNTER_H

/// \file
/// A number that rises, or a level that is set; safe from any thread.

#include <atomic>
#include <cstdint>

namespace kingcuphub::metrics {

class Counter {
public:
  void add(std::int64_t By = 1) {
    this->Value.fetch_add(By, std::memory_order_relaxed);
  }
  /// For levels, such as requests in flight.
  void set(std::int64_t To) {
    this->Value.store(To, std::memory_order_relaxed);
  }
  std::int64_t value() const {
    return this->Value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> Value = 0;
};

} // namespace kingcuphub::metrics

#endif // KINGCUPHUB_METRICS_COUNTER_H
