#ifndef KINGCUPHUB_DISPATCH_RETRYBUDGET_H
#define KINGCUPHUB_DISPATCH_RETRYBUDGET_H

/// \file
/// Limits retries to a service across all instances, so that a service that
/// fails some of its requests is not overloaded by every instance retrying
/// them. In any window, retries may reach a fraction of the requests plus a
/// fixed number that the instances share evenly. No I/O and no clock.

#include "base/clock.h"
#include "catalog/catalog.h"

#include <deque>
#include <map>

namespace kingcuphub::dispatch {

struct RetryBudgetSettings {
  /// Retries per request, and additional retries over all instances, within a
  /// window. Set by the deployment.
  double Ratio = 0.2;
  double Extra = 50;
  base::Duration Window = std::chrono::seconds(10);
  /// Fraction of the configured bound that is used. Requests that are refused
  /// before they reach the service are counted alike here and by the
  /// deployment's check, but its windows start at other times.
  double UsedFraction = 0.8;
};

class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings Settings) : Settings(Settings) {}

  void setInstances(unsigned Count) { this->Instances = Count; }
  void onRequest(const catalog::ServiceId &Service, base::TimePoint Now);
  /// Takes one retry from the budget; returns false if it is used up.
  bool take(const catalog::ServiceId &Service, base::TimePoint Now);

private:
  struct Window {
    std::deque<base::TimePoint> Requests;
    std::deque<base::TimePoint> Retries;
  };

  Window &windowOf(const catalog::ServiceId &Service, base::TimePoint Now);

  RetryBudgetSettings Settings;
  /// Size of a small deployment, assumed until the actual count is known.
  unsigned Instances = 16;
  std::map<catalog::ServiceId, Window> Windows;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_RETRYBUDGET_H
