#include "dispatch/retrybudget.h"

#include <algorithm>

namespace kingcuphub::dispatch {

RetryBudget::Window &RetryBudget::windowOf(const catalog::ServiceId &Service,
                                           base::TimePoint Now) {
  Window &Current = this->Windows[Service];
  auto DropOld = [&](std::deque<base::TimePoint> &Times) {
    while (!Times.empty() && Times.front() + this->Settings.Window <= Now)
      Times.pop_front();
  };
  DropOld(Current.Requests);
  DropOld(Current.Retries);
  return Current;
}

void RetryBudget::onRequest(const catalog::ServiceId &Service,
                            base::TimePoint Now) {
  this->windowOf(Service, Now).Requests.push_back(Now);
}

bool RetryBudget::take(const catalog::ServiceId &Service, base::TimePoint Now) {
  Window &Current = this->windowOf(Service, Now);
  double Shared =
      this->Settings.Extra / static_cast<double>(std::max(1U, this->Instances));
  double Allowed =
      this->Settings.UsedFraction *
      (this->Settings.Ratio * static_cast<double>(Current.Requests.size()) +
       Shared);
  if (static_cast<double>(Current.Retries.size() + 1) > Allowed)
    return false;
  Current.Retries.push_back(Now);
  return true;
}

} // namespace kingcuphub::dispatch
