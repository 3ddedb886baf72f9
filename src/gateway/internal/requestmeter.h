#ifndef KINGCUPHUB_GATEWAY_INTERNAL_REQUESTMETER_H
#define KINGCUPHUB_GATEWAY_INTERNAL_REQUESTMETER_H

/// \file
/// What one request adds to the metrics: its latencies, how it ended, and
/// whether it met the service level.

#include "base/clock.h"
#include "metrics/registry.h"
#include "refusal.h"

#include <string>

namespace kingcuphub::gateway {

/// How a request ended, as far as the service level is concerned.
enum class RequestResult {
  Answered,
  /// The request itself was at fault.
  Rejected,
  OverRate,
  /// Refused though within rate, and not run.
  Refused,
  /// Lost, cut or too late.
  Broken,
  CallerGone,
};

RequestResult resultOf(const Refusal &Why);

/// Counts a refusal of a caller that no exchange was made for.
void countRefusal(metrics::Registry &Metrics, const std::string &Account,
                  const Refusal &Why);

class RequestMeter {
public:
  /// The service level of a model's answer: its first token and its gaps.
  static constexpr std::chrono::milliseconds FirstTokenBound{1900};
  static constexpr std::chrono::milliseconds GapBound{1000};

  /// \p By are the labels account, route and model; all from the
  /// configuration.
  RequestMeter(metrics::Registry &Metrics, metrics::Labels By,
               base::TimePoint Start);

  void onToken(base::TimePoint Now);
  void onEnd(base::TimePoint Now, RequestResult Result);

private:
  bool isGood(RequestResult Result) const;

  metrics::Registry &Metrics;
  metrics::Labels By;
  metrics::LatencyHistogram &FirstToken;
  metrics::LatencyHistogram &Gap;
  base::TimePoint Last;
  bool SeenToken = false;
  bool Late = false;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_REQUESTMETER_H
