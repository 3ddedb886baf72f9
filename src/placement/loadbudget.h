#ifndef KINGCUPHUB_PLACEMENT_LOADBUDGET_H
#define KINGCUPHUB_PLACEMENT_LOADBUDGET_H

/// \file
/// Limits the rate and the number of concurrent loads, to protect the weight
/// store and the engines. Only the lease holder starts loads, so it may use
/// both limits in full; loads of a former holder count while the ledger has
/// them open.

#include "base/clock.h"

#include <cstdint>

namespace kingcuphub::placement {

struct LoadLimits {
  double LoadsPerSecond = 1.5;
  unsigned LoadsAtOnce = 2;
  unsigned AdapterLoadsAtOnce = 15;
  /// After a failed load no model load starts for this long, doubled with each
  /// further failure up to the maximum.
  base::Duration InitialBackoff = std::chrono::seconds(2);
  base::Duration MaxBackoff = std::chrono::seconds(60);
};

class LoadBudget {
public:
  explicit LoadBudget(LoadLimits Limits) : Limits(Limits) {}

  /// Empties the token bucket when the lease is gained, as the former holder
  /// may just have used the rate.
  void start(base::TimePoint Now);
  /// Model loads that may start now in addition to \p InFlight.
  unsigned modelLoads(base::TimePoint Now, unsigned InFlight);
  unsigned adapterLoads(unsigned InFlight) const;
  void loadStarted();
  void loadSucceeded();
  /// The load failed or got no answer in time.
  void loadFailed(base::TimePoint Now);
  /// False after failures, until a load has succeeded.
  bool storeUsable() const { return this->Failures == 0; }

private:
  void refill(base::TimePoint Now);

  LoadLimits Limits;
  /// Tokens in the bucket, one for each load that may start.
  double Available = 0;
  base::TimePoint RefilledAt;
  unsigned Failures = 0;
  base::TimePoint BackoffUntil;
};

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_LOADBUDGET_H
