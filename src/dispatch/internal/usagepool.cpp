#include "dispatch/usagepool.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::dispatch {

void UsagePool::start(base::TimePoint Now) {
  this->StartedAt = Now;
  this->Pools.clear();
}

void UsagePool::setInstances(unsigned NewInstances, unsigned NewSilent) {
  this->Instances = std::max(1U, NewInstances);
  this->Silent = std::min(NewSilent, this->Instances);
}

double UsagePool::rateOf(const catalog::Account &Account) const {
  double Alone = AlonePart * this->Silent / this->Instances;
  return Account.RatePerSecond * (1 - Alone);
}

UsagePool::Pool &UsagePool::refilled(const catalog::Account &Account,
                                     base::TimePoint Now) {
  auto [At, New] = this->Pools.try_emplace(Account.Id);
  Pool &Of = At->second;
  if (New)
    Of.At = this->StartedAt;
  double Passed = std::chrono::duration<double>(Now - Of.At).count();
  Of.Level = std::min(Of.Level + this->rateOf(Account) * std::max(0.0, Passed),
                      Account.Burst);
  Of.At = Now;
  return Of;
}

CreditGrant UsagePool::onAsk(const catalog::Account &Account,
                             std::int64_t Amount, base::TimePoint Now) {
  Pool &Of = this->refilled(Account, Now);
  auto Level = static_cast<std::int64_t>(std::max(0.0, Of.Level));
  CreditGrant Out;
  std::int64_t Least = std::min(Amount, this->Settings.LeastGrant);
  if (Level >= Least)
    Out.Amount = std::min(Amount, Level);
  Of.Level -= static_cast<double>(Out.Amount);
  std::int64_t Missing = Amount - Out.Amount;
  if (Missing <= 0)
    return Out;
  double Wanted =
      static_cast<double>(std::min(Missing, Least)) - std::max(0.0, Of.Level);
  auto Wait = std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(
      std::max(1.0, Wanted) / this->rateOf(Account) * std::milli::den)));
  Out.RetryAfter = std::clamp(Wait, std::chrono::milliseconds(1),
                              this->Settings.LongestRetry);
  return Out;
}

void UsagePool::onReturn(const catalog::Account &Account, std::int64_t Amount,
                         base::TimePoint Now) {
  Pool &Of = this->refilled(Account, Now);
  Of.Level = std::min(Of.Level + static_cast<double>(Amount), Account.Burst);
}

} // namespace kingcuphub::dispatch
