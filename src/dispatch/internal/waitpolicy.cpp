#include "dispatch/waitpolicy.h"

#include <algorithm>

namespace kingcuphub::dispatch {

namespace {

using std::chrono::milliseconds;

/// Lower bound of the completion rate in estimates of the waiting time.
constexpr double MinEndsPerSecond = 0.5;

milliseconds times(milliseconds Time, double Factor) {
  return std::chrono::duration_cast<milliseconds>(Time * Factor);
}

} // namespace

std::string_view waitForName(WaitFor What) {
  switch (What) {
  case WaitFor::Capacity:
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

milliseconds WaitPolicy::expectedWait(const WaitContext &Request) {
  if (Request.CapacityIn)
    return *Request.CapacityIn;
  double PerSecond = std::max(Request.EndsPerSecond, MinEndsPerSecond);
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Request.Ahead + 1) / PerSecond * std::milli::den));
}

milliseconds WaitPolicy::limit(const WaitContext &Request) const {
  milliseconds PatienceLimit =
      times(Request.Patience, this->Settings.PatienceFraction);
  switch (Request.For) {
  case WaitFor::Capacity:
    return std::min(
        PatienceLimit,
        std::max(this->Settings.MinCapacityWait,
                 times(Request.Objective, this->Settings.CapacityObjectives)));
  case WaitFor::Item:
    return std::min(PatienceLimit,
                    Request.LoadedIn
                        ? *Request.LoadedIn + this->Settings.LoadSlack
                        : this->Settings.LoadUnknownLimit);
  case WaitFor::Target:
    return std::min(PatienceLimit, this->Settings.NoTargetLimit);
  }
  return PatienceLimit;
}

WaitDecision WaitPolicy::decide(const WaitContext &Request) const {
  milliseconds Limit = this->limit(Request);
  if (Request.For == WaitFor::Capacity && expectedWait(Request) > Limit)
    return RefuseNow{"full", expectedWait(Request)};
  if (Request.For == WaitFor::Item && Request.LoadedIn &&
      *Request.LoadedIn > Limit)
    return RefuseNow{"being-loaded", *Request.LoadedIn};
  return WaitUpTo{Limit};
}

RefuseNow WaitPolicy::afterWait(const WaitContext &Request) const {
  switch (Request.For) {
  case WaitFor::Capacity:
    return {"full", expectedWait(Request)};
  case WaitFor::Item:
    return {"not-loaded", Request.LoadedIn.value_or(std::max(
                              Request.LoadTime, this->Settings.LoadSlack))};
  case WaitFor::Target:
    break;
  }
  return {"no-target", this->Settings.DefaultRetryAfter};
}

} // namespace kingcuphub::dispatch
