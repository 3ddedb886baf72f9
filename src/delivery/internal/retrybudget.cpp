#include "delivery/retrybudget.h"

#include <algorithm>

namespace kingcuphub::delivery {

template <typename Id>
double &RetryBudget::balance(std::unordered_map<Id, double> &Of,
                             const Id &Key) {
  return Of.try_emplace(Key, this->Settings.Reserve).first->second;
}

void RetryBudget::onFirstAttempt(const base::AccountId &Account,
                                 const base::TargetId &Target) {
  for (double *Each : {&this->balance(this->Accounts, Account),
                       &this->balance(this->Targets, Target)})
    *Each = std::min(*Each + this->Settings.Ratio, this->Settings.Cap);
}

bool RetryBudget::take(const base::AccountId &Account,
                       const base::TargetId &Target) {
  double &OfAccount = this->balance(this->Accounts, Account);
  double &OfTarget = this->balance(this->Targets, Target);
  if (OfAccount < 1 || OfTarget < 1) {
    ++this->Refused;
    return false;
  }
  OfAccount -= 1;
  OfTarget -= 1;
  ++this->Taken;
  return true;
}

} // namespace kingcuphub::delivery
