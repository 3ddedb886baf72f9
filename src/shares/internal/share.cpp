#include "shares/share.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::shares {

std::int64_t scaled(std::int64_t Amount, double Factor) {
  return static_cast<std::int64_t>(
      std::floor(static_cast<double>(Amount) * Factor));
}

void Share::refill(base::TimePoint Now, double MaxDrift) {
  if (Now <= this->RefilledAt)
    return;
  this->refillUsed(Now, MaxDrift);
  this->releaseVoids(Now);
}

void Share::refillUsed(base::TimePoint Now, double MaxDrift) {
  double Seconds =
      std::chrono::duration<double>(Now - this->RefilledAt).count();
  this->RefilledAt = Now;
  this->releaseHolds(Now);
  if (this->Used == 0 || this->RefillMicros == 0) {
    this->RefillRemainder = 0;
    return;
  }
  double Gain = this->RefillRemainder +
                Seconds * (1 - MaxDrift) *
                    static_cast<double>(this->RefillMicros) / MicrosPerUnit;
  if (Gain >= static_cast<double>(this->Used)) {
    this->Free += this->Used;
    this->reduceUsed(this->Used);
    return;
  }
  auto Whole = static_cast<std::int64_t>(Gain);
  this->Free += Whole;
  this->reduceUsed(Whole);
  this->RefillRemainder = Gain - static_cast<double>(Whole);
}

void Share::releaseVoids(base::TimePoint Now) {
  for (const Hold &Each : this->VoidedGrants) {
    if (Each.Until > Now)
      continue;
    this->Voided -= Each.Units;
    this->Used += this->payDebt(Each.Units);
  }
  std::erase_if(this->VoidedGrants,
                [Now](const Hold &Each) { return Each.Until <= Now; });
}

void Share::voidGrants(base::TimePoint Until) {
  if (this->Granted == 0)
    return;
  this->Voided += this->Granted;
  this->VoidedGrants.push_back({this->Granted, Until});
  this->Granted = 0;
}

void Share::reduceUsed(std::int64_t Amount) {
  this->Used -= Amount;
  this->OwnUsed = std::max<std::int64_t>(0, this->OwnUsed - Amount);
  if (this->Used == 0)
    this->RefillRemainder = 0;
}

void Share::releaseHolds(base::TimePoint Now) {
  for (Hold &Each : this->Holds) {
    if (Each.Until > Now)
      continue;
    std::int64_t Released = std::min(Each.Units, this->Used);
    this->reduceUsed(Released);
    this->Free += Released;
    Each.Units = 0;
  }
  std::erase_if(this->Holds, [](const Hold &Each) { return Each.Units == 0; });
}

std::int64_t Share::grant(std::int64_t Amount) {
  std::int64_t Given = std::clamp<std::int64_t>(Amount, 0, this->Free);
  this->Free -= Given;
  this->Granted += Given;
  return Given;
}

std::int64_t Share::takeGranted(std::int64_t Amount) {
  std::int64_t Taken = std::clamp<std::int64_t>(Amount, 0, this->Granted);
  this->Granted -= Taken;
  return this->payDebt(Taken);
}

std::int64_t Share::payDebt(std::int64_t Amount) {
  std::int64_t Destroyed = std::min(Amount, this->Debt);
  this->Debt -= Destroyed;
  return Amount - Destroyed;
}

void Share::spend(std::int64_t Amount) {
  std::int64_t Spent = this->takeGranted(Amount);
  this->Used += Spent;
  this->OwnUsed += Spent;
}

void Share::giveBack(std::int64_t Amount) {
  this->Free += this->takeGranted(Amount);
}

void Share::refund(std::int64_t Amount) {
  std::int64_t Refundable = std::clamp<std::int64_t>(Amount, 0, this->OwnUsed);
  this->reduceUsed(Refundable);
  this->Free += Refundable;
}

void Share::holdLost(std::int64_t Amount, base::TimePoint Until) {
  this->addLost(this->takeGranted(Amount), Until);
}

void Share::addLost(std::int64_t Units, base::TimePoint Until) {
  if (Units <= 0)
    return;
  this->Used += Units;
  this->Holds.push_back({Units, Until});
}

void Share::add(const TransferAmounts &Moved) {
  this->Free += Moved.Free;
  this->Used += Moved.Used;
  this->RefillMicros += Moved.RefillMicros;
}

TransferAmounts Share::remove(const TransferAmounts &UpTo) {
  std::int64_t Held = 0;
  for (const Hold &Each : this->Holds)
    Held += Each.Units;
  std::int64_t Movable = std::max<std::int64_t>(0, this->Used - Held);
  TransferAmounts Out{
      std::clamp<std::int64_t>(UpTo.Free, 0, this->Free),
      std::clamp<std::int64_t>(UpTo.Used, 0, Movable),
      std::clamp<std::int64_t>(UpTo.RefillMicros, 0, this->RefillMicros)};
  this->Free -= Out.Free;
  this->reduceUsed(Out.Used);
  this->RefillMicros -= Out.RefillMicros;
  return Out;
}

void Share::scale(double UnitsFactor, double RefillFactor) {
  this->RefillMicros = scaled(this->RefillMicros, RefillFactor);
  std::int64_t Excess =
      this->units() -
      scaled(std::max<std::int64_t>(0, this->units()), UnitsFactor);
  std::int64_t FreeCut = std::min(this->Free, Excess);
  this->Free -= FreeCut;
  std::int64_t UsedCut = std::min(this->Used, Excess - FreeCut);
  this->reduceUsed(UsedCut);
  this->Debt += Excess - FreeCut - UsedCut;
}

} // namespace kingcuphub::shares
