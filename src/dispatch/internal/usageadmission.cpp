#include "dispatch/usageadmission.h"

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

std::string_view creditShortageName(CreditShortage Why) {
  switch (Why) {
  case CreditShortage::Exhausted:
    return "exhausted";
  case CreditShortage::Unanswered:
    return "unanswered";
  case CreditShortage::Isolated:
    return "isolated";
  }
  return "";
}

CreditStanding UsageAdmission::standing(const base::AccountId &Account,
                                        base::TimePoint Now) const {
  CreditStanding Out;
  Out.Held = this->Book.held(admission::accountTokens(Account));
  Out.SinceContact = Now - this->ContactAt;
  auto Last = this->LastAnswers.find(Account);
  if (Last != this->LastAnswers.end())
    Out.SinceGrant = Now - Last->second.At;
  if (this->isIsolated(Now))
    Out.Why = CreditShortage::Isolated;
  else if (Last != this->LastAnswers.end() && Now < Last->second.RefusedUntil)
    Out.Why = CreditShortage::Exhausted;
  return Out;
}

bool UsageAdmission::isIsolated(base::TimePoint Now) const {
  return Now > this->ContactAt + this->Settings.IsolatedAfter;
}

bool UsageAdmission::isHolderLate(const base::QuantityId &Quantity,
                                  base::TimePoint Now) const {
  auto AskedAt = this->Book.askedAt(Quantity);
  return this->isIsolated(Now) ||
         (AskedAt && Now >= *AskedAt + this->Settings.LateAfter);
}

void UsageAdmission::updateOverdrafts(base::TimePoint Now) {
  for (const auto &[Account, Last] : this->LastAnswers) {
    base::QuantityId Quantity = admission::accountTokens(Account);
    bool IsKnown = Now < Last.At + this->Settings.Window;
    bool MayOverdraw =
        Last.IsAmple && IsKnown && this->isHolderLate(Quantity, Now);
    this->Book.setOverdraft(Quantity, MayOverdraw ? Last.Overdraft : 0);
  }
}

bool UsageAdmission::takeIsolated(const catalog::Account &Account,
                                  std::int64_t Amount, base::TimePoint Now) {
  double Fraction = IsolatedFraction / std::max(1U, this->Instances);
  double BurstPart = Fraction * Account.Burst;
  auto Cost = static_cast<double>(Amount);
  // If every instance overdrew its bucket, an account near its limit would
  // exceed it.
  auto Last = this->LastAnswers.find(Account.Id);
  bool IsNearLimit = Last != this->LastAnswers.end() && !Last->second.IsAmple;
  double Capacity = IsNearLimit ? std::max(BurstPart, Cost) : BurstPart;
  LocalBucket &Bucket = this->LocalBuckets[Account.Id];
  double Passed = std::chrono::duration<double>(Now - Bucket.At).count();
  Bucket.Level =
      Bucket.Started
          ? std::min(Bucket.Level + Fraction * Account.RatePerSecond *
                                        std::max(0.0, Passed),
                     Capacity)
          : BurstPart;
  Bucket.Started = true;
  Bucket.At = Now;
  // A request larger than the burst's part overdraws the full bucket; otherwise
  // it could never run.
  if (Bucket.Level < std::min(Cost, Capacity))
    return false;
  Bucket.Level -= static_cast<double>(Amount);
  // The holder is asked for it afterwards, for no more than it reserved.
  base::QuantityId Quantity = admission::accountTokens(Account.Id);
  auto Reserved = static_cast<std::int64_t>(
      Fraction * limitOver(Account, this->Settings.Window));
  if (this->Book.held(Quantity) > -Reserved)
    this->Book.putBack(Quantity, -Amount);
  return true;
}

void UsageAdmission::add(const catalog::Account &Account,
                         admission::TokenWait Wait, base::TimePoint Now) {
  // The available credit never exceeds the burst.
  auto Burst = static_cast<std::int64_t>(Account.Burst);
  Wait.Cost =
      base::Tokens{std::min(Wait.Cost.Value, std::max<std::int64_t>(1, Burst))};
  base::QuantityId Quantity = admission::accountTokens(Account.Id);
  double Share =
      limitOver(Account, this->Settings.Window) / std::max(1U, this->Instances);
  auto Last = this->LastAnswers.find(Account.Id);
  bool IsAmple = Last != this->LastAnswers.end() && Last->second.IsAmple;
  this->Book.setMaxAhead(
      Quantity, static_cast<std::int64_t>(
                    Share * (IsAmple ? AmpleAheadFraction : AheadFraction)));
  if (IsAmple)
    Last->second.Overdraft =
        static_cast<std::int64_t>(Share * this->Settings.OverdraftFraction);
  if (!this->isIsolated(Now) || this->Book.held(Quantity) >= Wait.Cost.Value) {
    this->Waiting.add(toStateAccount(Account), Wait, Now);
    if (IsAmple)
      this->Book.setReserve(Quantity, Wait.Cost.Value);
    return;
  }
  this->updateOverdrafts(Now);
  if (IsAmple && this->Book.take(Quantity, Wait.Cost.Value, Now)) {
    this->Decided.emplace_back(
        admission::TokensTaken{Wait.Request, Account.Id, Wait.Cost});
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

void UsageAdmission::putBack(const admission::TokensTaken &Taken,
                             base::TimePoint Now) {
  this->History.add(Taken.Account, -Taken.Cost.Value, Now);
  this->Book.putBack(admission::accountTokens(Taken.Account), Taken.Cost.Value);
}

std::vector<UsedAmount> UsageAdmission::onNewHolder(base::TimePoint Now) {
  std::vector<UsedAmount> Out = this->History.used(Now);
  for (const auto &[Quantity, Amount] :
       this->Book.carryOver(Now + this->Settings.CarryOverFor))
    Out.push_back(
        {admission::accountOfTokens(Quantity), Amount, endOfBucket(Now)});
  return Out;
}

std::optional<base::Duration>
UsageAdmission::onCredit(const base::AccountId &Account,
                         const CreditGrant &Grant, std::uint64_t Request,
                         base::TimePoint Now) {
  base::QuantityId Quantity = admission::accountTokens(Account);
  auto AskedAt = this->Book.credited(Quantity, Grant.Amount, Request,
                                     Grant.RetryAfter, Now);
  // Counts from the request, as the holder counts from its answer.
  this->Book.keepFor(Quantity, Grant.KeepFor,
                     AskedAt ? *AskedAt + Grant.KeepFor : Now, Now);
  LastAnswer &Last = this->LastAnswers[Account];
  Last.IsAmple = Grant.KeepFor.count() > 0;
  Last.RefusedUntil = Now + Grant.RetryAfter;
  Last.At = Now;
  if (!Last.IsAmple)
    this->Book.setReserve(Quantity, 0);
  return AskedAt ? std::optional(Now - *AskedAt) : std::nullopt;
}

std::vector<admission::TokenOutcome> UsageAdmission::tick(base::TimePoint Now) {
  this->updateOverdrafts(Now);
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
