#include "dispatch/answertimes.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::dispatch {

void AnswerTimes::onAnswered(const base::RouteId &Route, base::Duration Took,
                             base::TimePoint Now) {
  Longest &Of = this->Routes[Route];
  if (Now >= Of.Since + this->Window) {
    bool Recent = Now < Of.Since + 2 * this->Window;
    Of.Before = Recent ? Of.Current : std::nullopt;
    Of.Current.reset();
    Of.Since = Now;
  }
  Of.Current = std::max(Of.Current.value_or(Took), Took);
}

std::optional<base::Duration> AnswerTimes::longest(const base::RouteId &Route,
                                                   base::TimePoint Now) const {
  auto Found = this->Routes.find(Route);
  if (Found == this->Routes.end() ||
      Now >= Found->second.Since + 2 * this->Window)
    return std::nullopt;
  return std::max(Found->second.Current, Found->second.Before);
}

} // namespace kingcuphub::dispatch
