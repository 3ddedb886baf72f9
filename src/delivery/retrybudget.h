#ifndef KINGCUPHUB_DELIVERY_RETRYBUDGET_H
#define KINGCUPHUB_DELIVERY_RETRYBUDGET_H

/// \file
/// Bounds the load that retries add. Each first attempt earns a part of a
/// retry for its client account and its target; a retry is paid by the
/// account and by the target that is to bear it.

#include "base/ids.h"

#include <cstdint>
#include <unordered_map>

namespace kingcuphub::delivery {

struct RetryBudgetSettings {
  /// Retries earned by one first attempt.
  double Ratio = 0.1;
  /// Retries that an account or a target has before it has earned any.
  double Reserve = 3;
  /// The most that is saved up.
  double Cap = 20;
};

class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings Settings) : Settings(Settings) {}

  void onFirstAttempt(const base::AccountId &Account,
                      const base::TargetId &Target);
  /// Pays for one retry; false if either side cannot.
  bool take(const base::AccountId &Account, const base::TargetId &Target);

  std::uint64_t taken() const { return this->Taken; }
  std::uint64_t refused() const { return this->Refused; }

private:
  template <typename Id>
  double &balance(std::unordered_map<Id, double> &Of, const Id &Key);

  RetryBudgetSettings Settings;
  std::unordered_map<base::AccountId, double> Accounts;
  std::unordered_map<base::TargetId, double> Targets;
  std::uint64_t Taken = 0;
  std::uint64_t Refused = 0;
};

} // namespace kingcuphub::delivery

#endif // KINGCUPHUB_DELIVERY_RETRYBUDGET_H
