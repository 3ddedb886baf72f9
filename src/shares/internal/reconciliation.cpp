#include "shares/reconciliation.h"

#include <algorithm>

namespace kingcuphub::shares {

EpochView parseEpoch(const wire::Epoch &From) {
  EpochView To{{From.number()}, {}};
  for (const wire::Member &Each : From.members())
    To.Members.insert(membership::parseMember(Each));
  return To;
}

Reconciliation::Reconciliation(EpochView Current, const EpochView &Former)
    : IsFirst(Former.Members.empty()) {
  for (const MemberName &Each : Former.Members)
    (Current.contains(Each) ? this->Remaining : this->Departed).insert(Each);
}

void Reconciliation::confirm(const MemberName &By, HeldParts Held) {
  this->Confirmed.emplace(By, std::move(Held));
}

bool Reconciliation::allRemainingConfirmed() const {
  return std::all_of(this->Remaining.begin(), this->Remaining.end(),
                     [this](const MemberName &Each) {
                       return this->Confirmed.count(Each) != 0;
                     });
}

bool Reconciliation::allConfirmed() const {
  return this->allRemainingConfirmed() &&
         std::all_of(this->Departed.begin(), this->Departed.end(),
                     [this](const MemberName &Each) {
                       return this->Confirmed.count(Each) != 0;
                     });
}

HeldPart
Reconciliation::sumOfRemaining(const base::QuantityId &Quantity) const {
  HeldPart Sum;
  for (const MemberName &Each : this->Remaining) {
    HeldPart Part = this->heldBy(Each, Quantity);
    Sum.Units += Part.Units;
    Sum.Free += Part.Free;
    Sum.RefillMicros += Part.RefillMicros;
  }
  return Sum;
}

std::int64_t
Reconciliation::freeOfDeparted(const base::QuantityId &Quantity) const {
  std::int64_t Sum = 0;
  for (const MemberName &Each : this->Departed)
    Sum += this->heldBy(Each, Quantity).Free;
  return Sum;
}

HeldPart Reconciliation::heldBy(const MemberName &Member,
                                const base::QuantityId &Quantity) const {
  auto Found = this->Confirmed.find(Member);
  if (Found == this->Confirmed.end())
    return {};
  auto Part = Found->second.find(Quantity);
  return Part == Found->second.end() ? HeldPart{} : Part->second;
}

} // namespace kingcuphub::shares
