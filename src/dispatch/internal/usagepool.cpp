#include "dispatch/usagepool.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::dispatch {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

void UsagePool::start(base::TimePoint Now) {
  this->StartedAt = Now;
  this->Pools.clear();
}

void UsagePool::setInstances(unsigned NewInstances, unsigned NewSilent) {
  this->Instances = std::max(1U, NewInstances);
  this->Silent = std::min(NewSilent, this->Instances);
}

double UsagePool::pooledPart() const {
  return 1 - AlonePart * this->Silent / this->Instances;
}

double UsagePool::wholeRate(const catalog::Account &Account,
                            base::TimePoint Now) const {
  double Rate = Account.RatePerSecond;
  // What a former holder handed out in the window is not known.
  if (Now >= this->StartedAt + this->Settings.Window)
    Rate += this->Settings.BurstReturns * Account.Burst /
            Seconds(this->Settings.Window).count();
  return Rate * this->pooledPart();
}

double UsagePool::windowLimit(const catalog::Account &Account) const {
  return (Account.RatePerSecond * Seconds(this->Settings.Window).count() +
          Account.Burst) *
         this->pooledPart();
}

UsagePool::Pool &UsagePool::refilled(const catalog::Account &Account,
                                     base::TimePoint Now) {
  auto [At, New] = this->Pools.try_emplace(Account.Id);
  Pool &Of = At->second;
  if (New)
    Of.At = this->StartedAt;
  double Passed = Seconds(Now - Of.At).count();
  Of.Level =
      std::min(Of.Level + this->wholeRate(Account, Now) * std::max(0.0, Passed),
               Account.Burst);
  Of.At = Now;
  while (!Of.InWindow.empty() &&
         Of.InWindow.front().At + this->Settings.Window <= Now) {
    Of.WindowSum -= Of.InWindow.front().Amount;
    Of.InWindow.pop_front();
  }
  return Of;
}

/// When \p Amount may be handed out, by the pool's rate and by the window.
std::chrono::milliseconds UsagePool::waitFor(const Pool &Of,
                                             const catalog::Account &Account,
                                             double Amount,
                                             base::TimePoint Now) const {
  double Lacks = std::max(1.0, Amount - std::max(0.0, Of.Level));
  auto Wait = std::chrono::milliseconds(static_cast<std::int64_t>(
      std::ceil(Lacks / this->wholeRate(Account, Now) * std::milli::den)));
  double Over = Of.WindowSum + Amount - this->windowLimit(Account);
  for (const Granted &Each : Of.InWindow) {
    if (Over <= 0)
      break;
    Over -= Each.Amount;
    Wait = std::max(Wait, std::chrono::ceil<std::chrono::milliseconds>(
                              Each.At + this->Settings.Window - Now));
  }
  return std::clamp(Wait, std::chrono::milliseconds(1),
                    this->Settings.LongestRetry);
}

CreditGrant UsagePool::onAsk(const catalog::Account &Account,
                             std::int64_t Amount, base::TimePoint Now) {
  Pool &Of = this->refilled(Account, Now);
  double InWindow = this->windowLimit(Account) - Of.WindowSum;
  auto Level =
      static_cast<std::int64_t>(std::max(0.0, std::min(Of.Level, InWindow)));
  CreditGrant Out;
  std::int64_t Least = std::min(Amount, this->Settings.LeastGrant);
  if (Level >= Least)
    Out.Amount = std::min(Amount, Level);
  if (Out.Amount > 0) {
    auto Granted = static_cast<double>(Out.Amount);
    Of.Level -= Granted;
    Of.WindowSum += Granted;
    Of.InWindow.push_back({Now, Granted});
  }
  std::int64_t Missing = Amount - Out.Amount;
  if (Missing > 0)
    Out.RetryAfter = this->waitFor(
        Of, Account, static_cast<double>(std::min(Missing, Least)), Now);
  return Out;
}

void UsagePool::onReturn(const catalog::Account &Account, std::int64_t Amount,
                         base::TimePoint Now) {
  Pool &Of = this->refilled(Account, Now);
  auto Left = static_cast<double>(Amount);
  Of.Level = std::min(Of.Level + Left, Account.Burst);
  while (Left > 0 && !Of.InWindow.empty()) {
    double Part = std::min(Left, Of.InWindow.back().Amount);
    Left -= Part;
    Of.WindowSum -= Part;
    Of.InWindow.back().Amount -= Part;
    if (Of.InWindow.back().Amount <= 0)
      Of.InWindow.pop_back();
  }
}

} // namespace kingcuphub::dispatch
