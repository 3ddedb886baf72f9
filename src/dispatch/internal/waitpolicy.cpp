#include "dispatch/waitpolicy.h"

#include <algorithm>

namespace kingcuphub::dispatch {

namespace {

using std::chrono::milliseconds;

/// Lower bound of the completion rate in estimates of the waiting time.
constexpr double LeastEndsPerSecond = 0.5;

milliseconds times(milliseconds Time, double Factor) {
  return std::chrono::duration_cast<milliseconds>(Time * Factor);
}

} // namespace

std::string_view waitForName(WaitFor What) {
  switch (What) {
  case WaitFor::Place:
    return "place";
  case WaitFor::Item:
    return "item";
  case WaitFor::Target:
    return "target";
  }
  return "place";
}

milliseconds WaitPolicy::patience(const catalog::Route &Route,
                                  milliseconds Waited,
                                  milliseconds Left) const {
  if (!Route.Streaming)
    return Left;
  milliseconds Longest =
      std::max({this->Settings.StreamSilence,
                times(Route.Objective, this->Settings.SilenceObjectives),
                times(Route.PauseObjective, this->Settings.SilencePauses)});
  return std::min(Left, Longest - Waited);
}

milliseconds WaitPolicy::expectedWait(const WaitQuestion &Asked) {
  if (Asked.PlaceIn)
    return *Asked.PlaceIn;
  double PerSecond = std::max(Asked.EndsPerSecond, LeastEndsPerSecond);
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Asked.Ahead + 1) / PerSecond * std::milli::den));
}

milliseconds WaitPolicy::limit(const WaitQuestion &Asked) const {
  milliseconds Part = times(Asked.Patience, this->Settings.Part);
  switch (Asked.For) {
  case WaitFor::Place:
    return std::min(
        Part, std::max(this->Settings.Least,
                       times(Asked.Objective, this->Settings.Objectives)));
  case WaitFor::Item:
    return std::min(Part, Asked.LoadedIn
                              ? *Asked.LoadedIn + this->Settings.LoadSlack
                              : this->Settings.News);
  case WaitFor::Target:
    return std::min(Part, this->Settings.NoTarget);
  }
  return Part;
}

WaitDecision WaitPolicy::decide(const WaitQuestion &Asked) const {
  milliseconds Limit = this->limit(Asked);
  if (Asked.For == WaitFor::Place && expectedWait(Asked) > Limit)
    return RefuseNow{"full", expectedWait(Asked)};
  if (Asked.For == WaitFor::Item && Asked.LoadedIn && *Asked.LoadedIn > Limit)
    return RefuseNow{"being-loaded", *Asked.LoadedIn};
  return WaitUpTo{Limit};
}

RefuseNow WaitPolicy::afterWait(const WaitQuestion &Asked) const {
  switch (Asked.For) {
  case WaitFor::Place:
    return {"full", expectedWait(Asked)};
  case WaitFor::Item:
    return {"not-loaded", Asked.LoadedIn.value_or(std::max(
                              Asked.LoadTime, this->Settings.LoadSlack))};
  case WaitFor::Target:
    break;
  }
  return {"no-target", this->Settings.DefaultRetryAfter};
}

} // namespace kingcuphub::dispatch
