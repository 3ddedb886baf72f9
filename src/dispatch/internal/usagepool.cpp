#include "dispatch/usagepool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcuphub::dispatch {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

double limitOver(const catalog::Account &Account, base::Duration Window) {
  return Account.RatePerSecond * Seconds(Window).count() + Account.Burst;
}

void UsagePool::start(base::TimePoint Now) {
  this->StartedAt = Now;
  this->Told = 0;
  this->Pools.clear();
}

void UsagePool::onHistory(const std::vector<UsedAmount> &Used, bool Whole) {
  this->Told += Whole ? 1 : 0;
  for (auto &[Id, Each] : this->Pools)
    Each.Replayed = false;
  for (const UsedAmount &Each : Used) {
    auto [At, New] = this->Pools.try_emplace(Each.Account);
    Pool &Of = At->second;
    if (New)
      Of.At = this->StartedAt;
    auto Amount = static_cast<double>(Each.Amount);
    base::TimePoint End = endOfPart(Each.At);
    auto Part = std::lower_bound(
        Of.Before.begin(), Of.Before.end(), End,
        [](const Granted &Known, base::TimePoint At) { return Known.At < At; });
    if (Part == Of.Before.end() || Part->At != End)
      Part = Of.Before.insert(Part, {End, 0});
    Part->Amount += Amount;
    Of.BeforeSum += Amount;
  }
}

bool UsagePool::isHistoryKnown() const {
  return this->Told >= this->Settings.ToldPart * this->Instances;
}

double UsagePool::historyScale() const {
  if (this->Told == 0 || this->Told >= this->Instances)
    return 1;
  return 1 +
         this->Settings.UntoldUse * (this->Instances - this->Told) / this->Told;
}

double UsagePool::usedInWindow(const Pool &Of) const {
  return Of.WindowSum + Of.BeforeSum * this->historyScale();
}

double UsagePool::replayedLevel(const Pool &Of, const catalog::Account &Account,
                                base::TimePoint Now) const {
  double Level = Account.Burst;
  base::TimePoint At = this->StartedAt - this->Settings.Window;
  double Rate = this->wholeRate(Account, Now);
  auto Take = [&](const Granted &Each, double Scale) {
    double Passed = std::max(0.0, Seconds(Each.At - At).count());
    Level = std::min(Level + Rate * Passed, Account.Burst);
    Level = std::max(0.0, Level - Each.Amount * Scale);
    At = std::max(At, Each.At);
  };
  for (const Granted &Each : Of.Before)
    Take(Each, this->historyScale());
  for (const Granted &Each : Of.InWindow)
    Take(Each, 1);
  return std::min(Level + Rate * Seconds(Now - At).count(), Account.Burst);
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
  // While it is unknown what was admitted before the lease, only the rate is
  // certain to be available.
  if (this->isHistoryKnown() || Now >= this->StartedAt + this->Settings.Window)
    Rate += this->Settings.BurstReturns * Account.Burst /
            Seconds(this->Settings.Window).count();
  return Rate * this->pooledPart();
}

double UsagePool::windowLimit(const catalog::Account &Account) const {
  return limitOver(Account, this->Settings.Window) * this->pooledPart();
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
  if (this->isHistoryKnown() && !std::exchange(Of.Replayed, true))
    Of.Level = this->replayedLevel(Of, Account, Now);
  Of.At = Now;
  auto Expire = [&](std::deque<Granted> &Each, double &Sum) {
    while (!Each.empty() && Each.front().At + this->Settings.Window <= Now) {
      Sum -= Each.front().Amount;
      Each.pop_front();
    }
  };
  Expire(Of.InWindow, Of.WindowSum);
  Expire(Of.Before, Of.BeforeSum);
  return Of;
}

/// Time until \p Amount may be granted according to the pool's rate and the
/// window.
std::chrono::milliseconds UsagePool::waitFor(const Pool &Of,
                                             const catalog::Account &Account,
                                             double Amount,
                                             base::TimePoint Now) const {
  double Lacks = std::max(1.0, Amount - std::max(0.0, Of.Level));
  auto Wait = std::chrono::milliseconds(static_cast<std::int64_t>(
      std::ceil(Lacks / this->wholeRate(Account, Now) * std::milli::den)));
  double Over = this->usedInWindow(Of) + Amount - this->windowLimit(Account);
  auto WaitOut = [&](const Granted &Each, double Scale) {
    if (Over <= 0)
      return;
    Over -= Each.Amount * Scale;
    Wait = std::max(Wait, std::chrono::ceil<std::chrono::milliseconds>(
                              Each.At + this->Settings.Window - Now));
  };
  for (const Granted &Each : Of.Before)
    WaitOut(Each, this->historyScale());
  for (const Granted &Each : Of.InWindow)
    WaitOut(Each, 1);
  bool Learning = Now < this->StartedAt + this->Settings.LearningFor;
  return std::clamp(Wait, std::chrono::milliseconds(1),
                    Learning ? this->Settings.LongestRetryWhileLearning
                             : this->Settings.LongestRetry);
}

CreditGrant UsagePool::onAsk(const catalog::Account &Account,
                             std::int64_t Amount, base::TimePoint Now) {
  Pool &Of = this->refilled(Account, Now);
  double InWindow = this->windowLimit(Account) - this->usedInWindow(Of);
  auto Level =
      static_cast<std::int64_t>(std::max(0.0, std::min(Of.Level, InWindow)));
  CreditGrant Out;
  // Less than the tokens of one request would be unusable until the rest comes.
  std::int64_t Least = Amount < 2 * this->Settings.LeastGrant
                           ? Amount
                           : this->Settings.LeastGrant;
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
