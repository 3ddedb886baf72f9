#include "dispatch/usagehistory.h"

namespace kingcuphub::dispatch {

namespace {

/// Amounts within this time of each other are kept as one: short against the
/// window, so that few of them describe it.
constexpr std::chrono::milliseconds PartLength{500};

} // namespace

void UsageHistory::add(const base::AccountId &Account, std::int64_t Amount,
                       base::TimePoint Now) {
  std::deque<Part> &Parts = this->Accounts[Account];
  while (!Parts.empty() && Parts.front().At + this->Window <= Now)
    Parts.pop_front();
  if (!Parts.empty() && Now < Parts.back().At + PartLength)
    Parts.back().Amount += Amount;
  else
    Parts.push_back({Now, Amount});
}

std::vector<UsedAmount> UsageHistory::used(base::TimePoint Now) const {
  std::vector<UsedAmount> Out;
  for (const auto &[Account, Parts] : this->Accounts)
    for (const Part &Each : Parts)
      if (Now < Each.At + this->Window && Each.Amount > 0)
        Out.push_back({Account, Each.Amount, Each.At});
  return Out;
}

} // namespace kingcuphub::dispatch
