#include "metrics/latencyhistogram.h"

#include <algorithm>

namespace kingcuphub::metrics {

namespace {

/// From 0 to the longest deadline that routes commonly have.
const std::vector<double> BoundsMs = {
    0,   0.1, 0.2, 0.5,  1,    2,    5,     10,    20,    50,
    100, 200, 500, 1000, 2000, 5000, 10000, 20000, 60000, 120000};

} // namespace

LatencyHistogram::LatencyHistogram()
    : Buckets(std::make_tuple(Axis(BoundsMs)), Storage()) {}

void LatencyHistogram::add(std::chrono::nanoseconds Time) {
  double Millis =
      std::max(0.0, std::chrono::duration<double, std::milli>(Time).count());
  std::lock_guard Lock(this->Guard);
  this->Buckets(Millis);
  this->Sum += Millis;
}

double LatencyHistogram::sum() const {
  std::lock_guard Lock(this->Guard);
  return this->Sum;
}

std::vector<double> LatencyHistogram::upperBounds() const {
  return {BoundsMs.begin() + 1, BoundsMs.end()};
}

std::vector<std::uint64_t> LatencyHistogram::counts() const {
  std::vector<std::uint64_t> Out;
  std::lock_guard Lock(this->Guard);
  for (int Bucket = 0; Bucket <= this->Buckets.axis(0).size(); ++Bucket)
    Out.push_back(this->Buckets.at(Bucket));
  return Out;
}

} // namespace kingcuphub::metrics
