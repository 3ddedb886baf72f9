#include "pacing/samplecollector.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::pacing {

std::size_t quarterOf(double Load, std::int64_t Slots) {
  double Share = Load / static_cast<double>(std::max<std::int64_t>(1, Slots));
  auto Quarter = static_cast<std::size_t>(std::max(0.0, Share) * Quarters);
  return std::min(Quarter, Quarters - 1);
}

TargetSample &SampleCollector::sampleOf(const base::TargetId &Target,
                                        catalog::Lifetime Lifetime) {
  TargetSample &Out = this->Samples[Target];
  // What was seen of an earlier lifetime does not count for this one.
  if (Out.Lifetime != Lifetime)
    Out = {};
  Out.Target = Target;
  Out.Lifetime = Lifetime;
  return Out;
}

void SampleCollector::onStatedLoad(const base::TargetId &Target,
                                   catalog::Lifetime Lifetime,
                                   const dispatch::StatedLoad &Load,
                                   base::TimePoint Now) {
  if (Load.Slowness)
    this->StatingSlowness.insert(Target);
  TargetSample &Sample = this->sampleOf(Target, Lifetime);
  Sample.Load = Load;
  Sample.LoadAt = Now;
}

void SampleCollector::onAnswered(const SentAttempt &Sent, base::Duration Took) {
  TargetSample &Sample = this->sampleOf(Sent.Target, Sent.Lifetime);
  AnswerTimes &Times = Sample.Times[quarterOf(Sent.Load, Sent.Slots)];
  ++Times.Count;
  Times.MeasuredMillis +=
      std::chrono::duration<double, std::milli>(Took).count();
  Times.ExpectedMillis += Sent.ExpectedMillis;
  ++Sample.Answered;
}

void SampleCollector::onFull(const base::TargetId &Target,
                             catalog::Lifetime Lifetime) {
  ++this->sampleOf(Target, Lifetime).Refused;
}

void SampleCollector::onEnded(const base::TargetId &Target,
                              catalog::Lifetime Lifetime, bool Failed) {
  TargetSample &Sample = this->sampleOf(Target, Lifetime);
  ++(Failed ? Sample.Failed : Sample.Served);
}

std::vector<TargetSample> SampleCollector::take() {
  std::vector<TargetSample> Out;
  for (auto &[Id, Each] : std::exchange(this->Samples, {})) {
    bool Wanted = this->Mode == SamplingMode::All ||
                  (this->Mode == SamplingMode::WhereSlownessIsStated &&
                   this->StatingSlowness.count(Id) != 0);
    if (Wanted)
      Out.push_back(std::move(Each));
  }
  return Out;
}

} // namespace kingcuphub::pacing
