#include "resumptionwait.h"

#include <algorithm>

namespace kingcuphub::forwarding {

void ResumptionWait::wait(base::TimePoint GivenUpAt, std::string_view Reason,
                          base::TimePoint Now) {
  this->Current = {GivenUpAt, std::min(Now + RetryInterval, GivenUpAt), Reason};
}

std::optional<base::TimePoint> ResumptionWait::dueAt() const {
  if (!this->Current)
    return std::nullopt;
  return this->Current->RetryAt;
}

bool ResumptionWait::isDue(base::TimePoint Now) const {
  return this->Current && Now >= this->Current->RetryAt;
}

bool ResumptionWait::isGivenUp(base::TimePoint Now) const {
  return this->Current && Now >= this->Current->GivenUpAt;
}

std::string_view ResumptionWait::reason() const {
  return this->Current ? this->Current->Reason : std::string_view{};
}

} // namespace kingcuphub::forwarding
