#ifndef KINGCUPHUB_PACING_SAMPLECOLLECTOR_H
#define KINGCUPHUB_PACING_SAMPLECOLLECTOR_H

/// \file
/// Collects what an instance sees of its targets' load and speed until its next
/// report to the lease holder.
///
/// Load pattern: each of some 60 instances sends a target a request every few
/// seconds, too few to learn from alone. No I/O and no clock.

#include "pacing/targetsample.h"

#include <map>
#include <set>
#include <vector>

namespace kingcuphub::pacing {

/// An attempt as it was sent.
struct SentAttempt {
  base::TargetId Target;
  catalog::Lifetime Lifetime;
  /// Requests at the target, and its slots.
  double Load = 0;
  std::int64_t Slots = 0;
  /// Expected time to the first answer at a target of usual speed that takes
  /// as long as it states.
  double ExpectedMillis = 0;
};

class SampleCollector {
public:
  explicit SampleCollector(SamplingMode Mode) : Mode(Mode) {}

  void onStatedLoad(const base::TargetId &Target, catalog::Lifetime Lifetime,
                    const dispatch::StatedLoad &Load, base::TimePoint Now);
  /// \p Took is the time to the first part of the answer, or how long an
  /// attempt waited that ended without one.
  void onAnswered(const SentAttempt &Sent, base::Duration Took);
  void onFull(const base::TargetId &Target, catalog::Lifetime Lifetime);
  void onEnded(const base::TargetId &Target, catalog::Lifetime Lifetime,
               bool Failed);
  /// Takes the samples since the last call.
  std::vector<TargetSample> take();

private:
  TargetSample &sampleOf(const base::TargetId &Target,
                         catalog::Lifetime Lifetime);

  SamplingMode Mode;
  std::map<base::TargetId, TargetSample> Samples;
  /// Targets that have stated how long work takes there.
  std::set<base::TargetId> StatingSlowness;
};

} // namespace kingcuphub::pacing

#endif // KINGCUPHUB_PACING_SAMPLECOLLECTOR_H
