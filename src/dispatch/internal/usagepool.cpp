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
  this->TickedAt = Now;
  this->Stall = base::Duration::zero();
  this->ReportedInstances = 0;
  this->Pools.clear();
}

void UsagePool::tick(base::TimePoint Now) {
  base::Duration Gap = Now - std::exchange(this->TickedAt, Now);
  if (Gap < std::max<base::Duration>(this->Settings.StallThreshold,
                                     this->recentStall(Now)))
    return;
  this->Stall = Gap;
  this->StallEnd = Now;
}

base::Duration UsagePool::recentStall(base::TimePoint Now) const {
  return Now < this->StallEnd + this->Stall ? this->Stall
                                            : base::Duration::zero();
}

double UsagePool::maxLevel(const catalog::Account &Account,
                           base::TimePoint Now) const {
  return Account.Burst +
         Account.RatePerSecond * Seconds(this->recentStall(Now)).count();
}

void UsagePool::onHistory(const std::vector<UsedAmount> &Used, bool Whole) {
  this->ReportedInstances += Whole ? 1 : 0;
  for (auto &[Id, Each] : this->Pools)
    Each.Replayed = false;
  for (const UsedAmount &Each : Used) {
    auto [At, New] = this->Pools.try_emplace(Each.Account);
    Pool &AccountPool = At->second;
    if (New)
      AccountPool.At = this->StartedAt;
    auto Amount = static_cast<double>(Each.Amount);
    base::TimePoint End = endOfBucket(Each.At);
    auto Bucket = std::lower_bound(
        AccountPool.BeforeLease.begin(), AccountPool.BeforeLease.end(), End,
        [](const Granted &Known, base::TimePoint At) { return Known.At < At; });
    if (Bucket == AccountPool.BeforeLease.end() || Bucket->At != End)
      Bucket = AccountPool.BeforeLease.insert(Bucket, {End, 0});
    Bucket->Amount += Amount;
    AccountPool.BeforeLeaseSum += Amount;
  }
}

bool UsagePool::isHistoryKnown() const {
  return this->ReportedInstances >=
         this->Settings.MinReportedFraction * this->Instances;
}

double UsagePool::historyScale() const {
  if (this->ReportedInstances == 0 ||
      this->ReportedInstances >= this->Instances)
    return 1;
  return 1 + this->Settings.UnreportedUseFactor *
                 (this->Instances - this->ReportedInstances) /
                 this->ReportedInstances;
}

double UsagePool::usedInWindow(const Pool &AccountPool) const {
  return AccountPool.WindowSum +
         AccountPool.BeforeLeaseSum * this->historyScale();
}

double UsagePool::replayedLevel(const Pool &AccountPool,
                                const catalog::Account &Account,
                                base::TimePoint Now) const {
  double Level = Account.Burst;
  base::TimePoint At = this->StartedAt - this->Settings.Window;
  double Rate = this->refillRate(Account, Now);
  auto Take = [&](const Granted &Each, double Scale) {
    base::TimePoint TakenAt = std::min(Each.At, Now);
    double Passed = std::max(0.0, Seconds(TakenAt - At).count());
    Level = std::min(Level + Rate * Passed, Account.Burst);
    Level = std::max(0.0, Level - Each.Amount * Scale);
    At = std::max(At, TakenAt);
  };
  for (const Granted &Each : AccountPool.BeforeLease)
    Take(Each, this->historyScale());
  for (const Granted &Each : AccountPool.InWindow)
    Take(Each, 1);
  return std::min(Level + Rate * Seconds(Now - At).count(), Account.Burst);
}

void UsagePool::setInstances(unsigned NewInstances, unsigned NewSilent) {
  this->Instances = std::max(1U, NewInstances);
  this->Silent = std::min(NewSilent, this->Instances);
}

double UsagePool::pooledFraction() const {
  return 1 - IsolatedFraction * this->Silent / this->Instances;
}

double UsagePool::refillRate(const catalog::Account &Account,
                             base::TimePoint Now) const {
  double Rate = Account.RatePerSecond;
  // While it is unknown what was admitted before the lease, only the rate is
  // certain to be available.
  if (this->isHistoryKnown() || Now >= this->StartedAt + this->Settings.Window)
    Rate += this->Settings.BurstRefillFraction * Account.Burst /
            Seconds(this->Settings.Window).count();
  return Rate * this->pooledFraction();
}

double UsagePool::windowLimit(const catalog::Account &Account) const {
  return limitOver(Account, this->Settings.Window) * this->pooledFraction();
}

UsagePool::Pool &UsagePool::refill(const catalog::Account &Account,
                                   base::TimePoint Now) {
  auto [At, New] = this->Pools.try_emplace(Account.Id);
  Pool &AccountPool = At->second;
  if (New)
    AccountPool.At = this->StartedAt;
  double Passed = Seconds(Now - AccountPool.At).count();
  AccountPool.Level =
      std::min(AccountPool.Level +
                   this->refillRate(Account, Now) * std::max(0.0, Passed),
               this->maxLevel(Account, Now));
  if (this->isHistoryKnown() && !std::exchange(AccountPool.Replayed, true))
    AccountPool.Level = this->replayedLevel(AccountPool, Account, Now);
  AccountPool.At = Now;
  auto Expire = [&](std::deque<Granted> &Each, double &Sum) {
    while (!Each.empty() && Each.front().At + this->Settings.Window <= Now) {
      Sum -= Each.front().Amount;
      Each.pop_front();
    }
  };
  Expire(AccountPool.InWindow, AccountPool.WindowSum);
  Expire(AccountPool.BeforeLease, AccountPool.BeforeLeaseSum);
  return AccountPool;
}

/// Time until \p Amount may be granted according to the pool's rate and the
/// window.
std::chrono::milliseconds UsagePool::retryDelay(const Pool &AccountPool,
                                                const catalog::Account &Account,
                                                double Amount,
                                                base::TimePoint Now) const {
  double Missing = std::max(1.0, Amount - std::max(0.0, AccountPool.Level));
  auto Wait = std::chrono::milliseconds(static_cast<std::int64_t>(
      std::ceil(Missing / this->refillRate(Account, Now) * std::milli::den)));
  double Over =
      this->usedInWindow(AccountPool) + Amount - this->windowLimit(Account);
  auto WaitOut = [&](const std::deque<Granted> &All, double Scale) {
    for (const Granted &Each : All) {
      if (Over <= 0)
        return;
      Over -= Each.Amount * Scale;
      Wait = std::max(Wait, std::chrono::ceil<std::chrono::milliseconds>(
                                Each.At + this->Settings.Window - Now));
    }
  };
  WaitOut(AccountPool.BeforeLease, this->historyScale());
  WaitOut(AccountPool.InWindow, 1);
  bool IsLearning = Now < this->StartedAt + this->Settings.LearningFor;
  return std::clamp(Wait, std::chrono::milliseconds(1),
                    IsLearning ? this->Settings.LongestRetryWhileLearning
                               : this->Settings.LongestRetry);
}

void UsagePool::addGranted(Pool &AccountPool, std::int64_t Amount,
                           base::TimePoint At) {
  if (Amount <= 0)
    return;
  auto Value = static_cast<double>(Amount);
  AccountPool.Level -= Value;
  AccountPool.WindowSum += Value;
  auto Later = std::upper_bound(
      AccountPool.InWindow.begin(), AccountPool.InWindow.end(), At,
      [](base::TimePoint Of, const Granted &Each) { return Of < Each.At; });
  AccountPool.InWindow.insert(Later, {At, Value});
}

CreditGrant UsagePool::onAsk(const catalog::Account &Account,
                             CreditRequest Request, base::TimePoint Now) {
  Pool &AccountPool = this->refill(Account, Now);
  double Limit = this->windowLimit(Account);
  double InWindow = Limit - this->usedInWindow(AccountPool);
  // A new holder does not know yet what is left.
  bool IsHistoryKnown =
      this->isHistoryKnown() || Now >= this->StartedAt + this->Settings.Window;
  double Spare = std::min(AccountPool.Level -
                              this->Settings.AmpleBurstFraction * Account.Burst,
                          InWindow - this->Settings.AmpleLimitFraction * Limit);
  if (IsHistoryKnown && static_cast<double>(Request.Amount) <= Spare) {
    addGranted(AccountPool, Request.Needed, Now);
    addGranted(AccountPool, Request.Amount - Request.Needed,
               Now + this->Settings.KeepFor);
    return {Request.Amount, std::chrono::milliseconds(0),
            this->Settings.KeepFor};
  }
  std::int64_t Amount =
      std::min(Request.Amount,
               Request.Needed + static_cast<std::int64_t>(
                                    limitOver(Account, this->Settings.Window) *
                                    AheadFraction / this->Instances));
  auto Level = static_cast<std::int64_t>(
      std::max(0.0, std::min(AccountPool.Level, InWindow)));
  CreditGrant Out;
  // Less than the tokens of one request would be unusable until the rest comes.
  std::int64_t Least =
      Amount < 2 * this->Settings.MinGrant ? Amount : this->Settings.MinGrant;
  if (Level >= Least)
    Out.Amount = std::min(Amount, Level);
  addGranted(AccountPool, Out.Amount, Now);
  std::int64_t Missing = Amount - Out.Amount;
  if (Missing > 0)
    Out.RetryAfter =
        this->retryDelay(AccountPool, Account,
                         static_cast<double>(std::min(Missing, Least)), Now);
  return Out;
}

void UsagePool::onReturn(const catalog::Account &Account, std::int64_t Amount,
                         base::TimePoint Now) {
  Pool &AccountPool = this->refill(Account, Now);
  auto Left = static_cast<double>(Amount);
  AccountPool.Level =
      std::min(AccountPool.Level + Left, this->maxLevel(Account, Now));
  // Credit is returned once it may no longer be used.
  auto Next = std::upper_bound(
      AccountPool.InWindow.begin(), AccountPool.InWindow.end(), Now,
      [](base::TimePoint Of, const Granted &Each) { return Of < Each.At; });
  while (Left > 0 && !AccountPool.InWindow.empty()) {
    auto From = Next == AccountPool.InWindow.begin() ? Next : std::prev(Next);
    double Part = std::min(Left, From->Amount);
    Left -= Part;
    AccountPool.WindowSum -= Part;
    From->Amount -= Part;
    Next = From->Amount <= 0 ? AccountPool.InWindow.erase(From) : From;
  }
}

} // namespace kingcuphub::dispatch
