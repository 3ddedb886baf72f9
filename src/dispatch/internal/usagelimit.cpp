#include "dispatch/usagelimit.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::dispatch {

namespace {

using Seconds = std::chrono::duration<double>;

/// The longest time to come back that is told.
constexpr std::chrono::milliseconds LongestRefill{60000};

} // namespace

void UsageLimit::setGrant(const base::AccountId &Account, double Part,
                          base::TimePoint ValidUntil) {
  Bucket &Of = this->Buckets[Account];
  Of.Granted = Part;
  Of.GrantedUntil = ValidUntil;
}

double UsageLimit::basePart() const {
  return BasePart / static_cast<double>(std::max(1U, this->Instances));
}

double UsageLimit::partOf(const Bucket &Of, base::TimePoint Now) const {
  return this->basePart() + (Now < Of.GrantedUntil ? Of.Granted : 0);
}

void UsageLimit::refill(Bucket &Of, const catalog::Account &Account,
                        base::TimePoint Now) const {
  double Part = this->partOf(Of, Now);
  double Capacity = Part * Account.Burst;
  if (!Of.Started) {
    // Another instance may have used the burst of the granted part already.
    Of.Started = true;
    Of.Level = this->basePart() * Account.Burst;
  } else {
    Of.Level += Part * Account.RatePerSecond * Seconds(Now - Of.At).count();
  }
  Of.Level = std::min(Of.Level, Capacity);
  Of.At = Now;
}

std::optional<std::chrono::milliseconds>
UsageLimit::take(const catalog::Account &Account, double Amount,
                 base::TimePoint Now) {
  if (Account.RatePerSecond <= 0)
    return std::nullopt;
  Bucket &Of = this->Buckets[Account.Id];
  Of.Asked += Amount;
  this->refill(Of, Account, Now);
  // A request above the part of the burst waits for a full bucket and leaves
  // a debt, or it could never run.
  double Needed = std::min(Amount, this->partOf(Of, Now) * Account.Burst);
  if (Of.Level >= Needed) {
    Of.Level -= Amount;
    return std::nullopt;
  }
  double Rate = this->partOf(Of, Now) * Account.RatePerSecond;
  auto Wait = std::chrono::milliseconds(static_cast<std::int64_t>(
      std::ceil((Needed - Of.Level) / Rate * std::milli::den)));
  return std::min(Wait, LongestRefill);
}

void UsageLimit::charge(const catalog::Account &Account, double Amount) {
  if (Account.RatePerSecond > 0)
    this->Buckets[Account.Id].Level -= Amount;
}

void UsageLimit::putBack(const catalog::Account &Account, double Amount) {
  if (Account.RatePerSecond <= 0)
    return;
  if (auto Found = this->Buckets.find(Account.Id); Found != this->Buckets.end())
    Found->second.Level += Amount;
}

std::vector<AccountUse> UsageLimit::takeUse(base::TimePoint Now) {
  std::vector<AccountUse> Out;
  for (auto &[Id, Each] : this->Buckets) {
    double Granted = Now < Each.GrantedUntil ? Each.Granted : 0;
    if (Each.Asked > 0 || Granted > 0)
      Out.push_back({Id, Each.Asked, Granted});
    Each.Asked = 0;
  }
  return Out;
}

} // namespace kingcuphub::dispatch
