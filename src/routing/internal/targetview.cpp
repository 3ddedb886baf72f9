#include "routing/targetview.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::routing {

namespace {

constexpr std::size_t MaxChanges = 4096;
constexpr double Smoothing = 0.1;
constexpr unsigned MaxBackoffDoublings = 8;

} // namespace

void TargetView::reported(const LoadReport &Report) {
  if (this->Last) {
    if (Report.Incarnation < this->Last->Incarnation)
      return;
    bool SameIncarnation = Report.Incarnation == this->Last->Incarnation;
    if (SameIncarnation && Report.Sequence <= this->Last->Sequence)
      return;
    if (!SameIncarnation)
      this->UsualFirstTokenMs.reset();
  }
  this->Last = Report;
  while (!this->RecentChanges.empty() &&
         this->RecentChanges.front().At <= Report.MeasuredAt)
    this->RecentChanges.pop_front();
}

void TargetView::started(base::TimePoint Now) {
  ++this->InFlight;
  this->RecentChanges.push_back({Now, 1});
  if (this->RecentChanges.size() > MaxChanges)
    this->RecentChanges.pop_front();
}

void TargetView::firstToken(std::chrono::milliseconds After) {
  auto Millis = static_cast<double>(After.count());
  bool Slow = this->UsualFirstTokenMs && After > this->Limits.SlowFloor &&
              Millis > *this->UsualFirstTokenMs * this->Limits.SlowFactor;
  this->ConsecutiveSlow = Slow ? this->ConsecutiveSlow + 1 : 0;
  this->ConsecutivePrompt = Slow ? 0 : this->ConsecutivePrompt + 1;
  if (this->ConsecutiveSlow >= this->Limits.SlowFirstTokensToSuspect)
    this->Suspected = true;
  if (this->ConsecutivePrompt >= this->Limits.PromptFirstTokensToClear)
    this->Suspected = false;
  if (Slow)
    return;
  double Usual = this->UsualFirstTokenMs.value_or(Millis);
  this->UsualFirstTokenMs = Usual + Smoothing * (Millis - Usual);
}

void TargetView::ended(RequestEnd How, base::TimePoint Now) {
  --this->InFlight;
  this->RecentChanges.push_back({Now, -1});
  if (this->RecentChanges.size() > MaxChanges)
    this->RecentChanges.pop_front();
  if (How == RequestEnd::Done)
    this->Failures = 0;
  if (How == RequestEnd::Failed)
    this->failed(Now);
}

void TargetView::failed(base::TimePoint Now) {
  ++this->Failures;
  if (this->Failures < this->Limits.FailuresToBackOff)
    return;
  unsigned Doublings = std::min(this->Failures - this->Limits.FailuresToBackOff,
                                MaxBackoffDoublings);
  auto Backoff = std::min(this->Limits.InitialBackoff * (1U << Doublings),
                          this->Limits.MaxBackoff);
  this->BackoffUntil = Now + Backoff;
}

double TargetView::estimatedLoad(base::TimePoint Now,
                                 std::chrono::milliseconds ReportDecay) const {
  auto Own = static_cast<double>(this->InFlight);
  if (!this->Last)
    return Own;
  std::int64_t OwnChange = 0;
  for (const Change &Each : this->RecentChanges)
    OwnChange += Each.Delta;
  std::int64_t OwnAtReport = this->InFlight - OwnChange;
  std::int64_t Others = this->Last->Running + this->Last->Waiting - OwnAtReport;
  std::chrono::duration<double> Age = Now - this->Last->MeasuredAt;
  std::chrono::duration<double> Decay = ReportDecay;
  double DecayFactor = std::exp(-std::max(Age / Decay, 0.0));
  return Own +
         static_cast<double>(std::max<std::int64_t>(Others, 0)) * DecayFactor;
}

Warmth TargetView::warmth() const {
  if (!this->Last || this->Last->Cold)
    return Warmth::Cold;
  return this->Suspected ? Warmth::Suspect : Warmth::Warm;
}

bool TargetView::holds(const std::string &ModelOrAdapter) const {
  return this->Last && (this->Last->Models.count(ModelOrAdapter) != 0 ||
                        this->Last->Adapters.count(ModelOrAdapter) != 0);
}

} // namespace kingcuphub::routing
