#include "dispatch/usageadmission.h"

#include "base/visitor.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::dispatch {

namespace {

/// Retry time that an isolated instance gives to callers. By then it has
/// reached the holder again, or the balancer sends callers to another instance.
constexpr std::chrono::milliseconds RetryAfterWhenIsolated{1000};

state::Account toStateAccount(const catalog::Account &From) {
  state::Account Out;
  Out.Id = From.Id;
  Out.Rate.PerSecond = From.RatePerSecond;
  Out.Burst = base::Tokens{static_cast<std::int64_t>(From.Burst)};
  return Out;
}

} // namespace

bool UsageAdmission::isIsolated(base::TimePoint Now) const {
  return Now > this->ContactAt + this->Settings.IsolatedAfter;
}

bool UsageAdmission::takeIsolated(const catalog::Account &Account,
                                  std::int64_t Amount, base::TimePoint Now) {
  double Fraction = IsolatedFraction / std::max(1U, this->Instances);
  double Capacity = Fraction * Account.Burst;
  LocalBucket &Bucket = this->LocalBuckets[Account.Id];
  double Passed = std::chrono::duration<double>(Now - Bucket.At).count();
  Bucket.Level =
      Bucket.Started
          ? std::min(Bucket.Level + Fraction * Account.RatePerSecond *
                                        std::max(0.0, Passed),
                     Capacity)
          : Capacity;
  Bucket.Started = true;
  Bucket.At = Now;
  // A request larger than the capacity overdraws the full bucket; otherwise it
  // could never run.
  double Needed = std::min(static_cast<double>(Amount), Capacity);
  if (Bucket.Level < Needed)
    return false;
  Bucket.Level -= static_cast<double>(Amount);
  return true;
}

void UsageAdmission::add(const catalog::Account &Account,
                         admission::TokenWait Wait, base::TimePoint Now) {
  // The available credit never exceeds the burst.
  auto Burst = static_cast<std::int64_t>(Account.Burst);
  Wait.Cost =
      base::Tokens{std::min(Wait.Cost.Value, std::max<std::int64_t>(1, Burst))};
  bool HasCredit =
      this->Book.held(admission::accountTokens(Account.Id)) >= Wait.Cost.Value;
  this->Book.setMaxAhead(
      admission::accountTokens(Account.Id),
      static_cast<std::int64_t>(limitOver(Account, this->Settings.Window) *
                                this->Settings.AheadFraction /
                                std::max(1U, this->Instances)));
  if (!this->isIsolated(Now) || HasCredit) {
    this->Waiting.add(toStateAccount(Account), std::move(Wait), Now);
    return;
  }
  if (this->takeIsolated(Account, Wait.Cost.Value, Now))
    this->Decided.emplace_back(
        admission::TokensTaken{Wait.Request, Account.Id, Wait.Cost});
  else
    this->Decided.emplace_back(
        admission::TokensRefused{Wait.Request, RetryAfterWhenIsolated});
}

void UsageAdmission::remove(const base::RequestId &Request) {
  this->Waiting.remove(Request);
}

void UsageAdmission::charge(const catalog::Account &Account,
                            std::int64_t Amount, base::TimePoint Now) {
  this->History.add(Account.Id, Amount, Now);
  this->Book.putBack(admission::accountTokens(Account.Id), -Amount);
}

void UsageAdmission::putBack(const catalog::Account &Account,
                             std::int64_t Amount, base::TimePoint Now) {
  auto Burst = static_cast<std::int64_t>(Account.Burst);
  this->History.add(Account.Id, -std::min(Amount, Burst), Now);
  this->Book.putBack(admission::accountTokens(Account.Id),
                     std::min(Amount, Burst));
}

std::vector<UsedAmount> UsageAdmission::onNewHolder(base::TimePoint Now) {
  this->Book.forgetCredit();
  return this->History.used(Now);
}

void UsageAdmission::onCredit(const base::AccountId &Account,
                              const CreditGrant &Grant, std::uint64_t Request,
                              base::TimePoint Now) {
  this->Book.credited(admission::accountTokens(Account), Grant.Amount, Request,
                      Grant.RetryAfter, Now);
}

std::vector<admission::TokenOutcome> UsageAdmission::tick(base::TimePoint Now) {
  std::vector<admission::TokenOutcome> Out = std::exchange(this->Decided, {});
  for (admission::TokenOutcome &Each : this->Waiting.tick(Now))
    Out.push_back(std::move(Each));
  for (const admission::TokenOutcome &Each : Out)
    if (const auto *Taken = std::get_if<admission::TokensTaken>(&Each))
      this->History.add(Taken->Account, Taken->Cost.Value, Now);
  return Out;
}

std::vector<admission::CreditCommand>
UsageAdmission::takeCommands(base::TimePoint Now) {
  return this->Book.tick(Now);
}

} // namespace kingcuphub::dispatch
