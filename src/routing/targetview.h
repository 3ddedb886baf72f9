#ifndef KINGCUPHUB_ROUTING_TARGETVIEW_H
#define KINGCUPHUB_ROUTING_TARGETVIEW_H

/// \file
/// What one gateway knows about a target: its settings, its last load report,
/// which may be out of date, and the gateway's own requests in flight there.
/// Does no I/O and reads no clock.

#include "base/clock.h"
#include "base/ids.h"
#include "state/config.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace kingcuphub::routing {

/// A target's report of its own load, measured at MeasuredAt.
struct LoadReport {
  base::Incarnation Incarnation;
  std::uint64_t Sequence = 0;
  base::TimePoint MeasuredAt{};
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  bool Cold = false;
  std::set<std::string> Models;
  std::set<std::string> Adapters;
};

/// How a request to a target ended, for judging the target's health.
enum class RequestEnd {
  Done,
  /// The caller disconnected, or another attempt replaced this one.
  Cancelled,
  /// The connection failed, the response broke off, or none arrived.
  Failed,
};

/// Whether a target is limited to its cold slots, and why.
enum class Warmth {
  Warm,
  /// The target reports that it is cold, or has not sent a report yet.
  Cold,
  /// Its time to the first token has become much longer than before.
  Suspect,
};

/// Thresholds for judging a target's health; times are measured by the gateway.
struct TargetLimits {
  /// Consecutive failures after which a target is not chosen for a while.
  unsigned FailuresToBackOff = 3;
  std::chrono::milliseconds InitialBackoff{500};
  std::chrono::milliseconds MaxBackoff{10000};
  /// A first token is slow if it takes this many times longer than usual and
  /// longer than SlowFloor.
  double SlowFactor = 4;
  std::chrono::milliseconds SlowFloor{300};
  /// Consecutive slow first tokens that make a target suspect.
  unsigned SlowFirstTokensToSuspect = 3;
  /// Consecutive first tokens without delay that clear a suspect.
  unsigned PromptFirstTokensToClear = 3;
  /// Time constant of the exponential decay by which a report's load from other
  /// gateways is discounted: after this time it counts for about a third.
  std::chrono::milliseconds ReportDecay{1000};
};

class TargetView {
public:
  TargetView(state::Target Target, TargetLimits Limits)
      : Target(std::move(Target)), Limits(Limits) {}

  const state::Target &settings() const { return this->Target; }
  void configure(state::Target NewSettings) {
    this->Target = std::move(NewSettings);
  }

  /// Stores a report; ignores it if it is older than the last.
  void reported(const LoadReport &Report);
  void started(base::TimePoint Now);
  void firstToken(std::chrono::milliseconds After);
  void ended(RequestEnd How, base::TimePoint Now);

  std::int64_t inFlight() const { return this->InFlight; }
  /// Estimates the number of requests at the target: this gateway's requests in
  /// flight plus the load from others in the last report, discounted by the
  /// report's age.
  double estimatedLoad(base::TimePoint Now) const {
    return this->estimatedLoad(Now, this->Limits.ReportDecay);
  }
  /// The same with another time constant for the load of others; a long one
  /// suits frequent reports.
  double estimatedLoad(base::TimePoint Now,
                       std::chrono::milliseconds ReportDecay) const;
  Warmth warmth() const;
  /// True while the target is not chosen because of recent failures.
  bool isBackingOff(base::TimePoint Now) const {
    return Now < this->BackoffUntil;
  }
  bool holds(const std::string &ModelOrAdapter) const;
  const std::optional<LoadReport> &report() const { return this->Last; }

private:
  struct Change {
    base::TimePoint At;
    int Delta = 0;
  };

  void failed(base::TimePoint Now);

  state::Target Target;
  TargetLimits Limits;
  std::optional<LoadReport> Last;
  std::int64_t InFlight = 0;
  /// Requests of this gateway that started or ended since the last report was
  /// measured, oldest first.
  std::deque<Change> RecentChanges;
  unsigned Failures = 0;
  base::TimePoint BackoffUntil{};
  /// Moving average of the time to the first token, without slow ones.
  std::optional<double> UsualFirstTokenMs;
  unsigned ConsecutiveSlow = 0;
  unsigned ConsecutivePrompt = 0;
  bool Suspected = false;
};

} // namespace kingcuphub::routing

#endif // KINGCUPHUB_ROUTING_TARGETVIEW_H
