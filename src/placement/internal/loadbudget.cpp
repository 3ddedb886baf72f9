#include "placement/loadbudget.h"

#include <algorithm>

namespace kingcuphub::placement {

namespace {

constexpr unsigned MaxDoublings = 10;

} // namespace

void LoadBudget::start(base::TimePoint Now) {
  this->Available = 0;
  this->RefilledAt = Now;
}

void LoadBudget::refill(base::TimePoint Now) {
  double Seconds =
      std::chrono::duration<double>(Now - this->RefilledAt).count();
  this->RefilledAt = Now;
  // The planner runs about once a second, so the bucket holds at least two
  // loads.
  this->Available =
      std::min(std::max(2.0, this->Limits.LoadsPerSecond),
               this->Available + Seconds * this->Limits.LoadsPerSecond);
}

unsigned LoadBudget::modelLoads(base::TimePoint Now, unsigned InFlight) {
  this->refill(Now);
  if (Now < this->BackoffUntil)
    return 0;
  unsigned AtOnce = this->storeUsable() ? this->Limits.LoadsAtOnce : 1;
  if (InFlight >= AtOnce)
    return 0;
  return std::min(AtOnce - InFlight, static_cast<unsigned>(this->Available));
}

unsigned LoadBudget::adapterLoads(unsigned InFlight) const {
  unsigned AtOnce = this->Limits.AdapterLoadsAtOnce;
  return InFlight >= AtOnce ? 0 : AtOnce - InFlight;
}

void LoadBudget::loadStarted() { this->Available -= 1; }

void LoadBudget::loadSucceeded() { this->Failures = 0; }

void LoadBudget::loadFailed(base::TimePoint Now) {
  base::Duration Wait = this->Limits.InitialBackoff *
                        (1LL << std::min(this->Failures, MaxDoublings));
  this->BackoffUntil = Now + std::min(Wait, this->Limits.MaxBackoff);
  ++this->Failures;
}

} // namespace kingcuphub::placement
