#ifndef KINGCUPHUB_PACING_TARGETLEARNER_H
#define KINGCUPHUB_PACING_TARGETLEARNER_H

/// \file
/// Learns from the samples of all instances how fast each target is and how
/// many requests it takes well.
///
/// Load pattern: targets of one service differ in speed by more than ten times,
/// share machines with others, so that their speed changes, and some slow down
/// long before they are full. A target that became slow gets few requests and
/// is judged by them; without any, it counts as usual again after a while and
/// is tried with single requests.
///
/// Load pattern: a target fails part of its requests while its health answers
/// are good. An instance that goes by its own requests only finds out by some
/// failures of its own, and so does each of the others. Runs at the lease
/// holder; a new one learns anew. No I/O and no clock.

#include "dispatch/targetfigures.h"
#include "pacing/targetsample.h"

#include <map>

namespace kingcuphub::pacing {

struct TargetLearnerSettings {
  /// Time constant with which answer times are forgotten.
  base::Duration Memory = std::chrono::seconds(4);
  /// The same for the stated slowness, which changes many times a second.
  base::Duration SlownessMemory = std::chrono::seconds(1);
  /// A target without samples for this long counts as usual.
  base::Duration ForgetAfter = std::chrono::seconds(10);
  /// Samples that weigh as much as the assumption that a target is usual.
  double PriorSamples = 3;
  /// Samples from which on a quarter of a target's slots is judged.
  double MinSamples = 2;
  /// A target takes so many requests well that answers take at most this many
  /// times as long as with few requests: callers' objectives leave about that
  /// much above an idle target.
  double MaxSlowdown = 2;
  /// Ends that weigh as much as the assumption that a target fails nothing.
  double PriorEnds = 5;
  double MinPace = 0.25;
  double MaxPace = 20;
};

class TargetLearner {
public:
  explicit TargetLearner(TargetLearnerSettings Settings) : Settings(Settings) {}

  void setTargets(catalog::TargetListPtr New);
  void onSample(const TargetSample &Sample, base::TimePoint Now);
  /// Forgets everything: another holder has learned in the meantime.
  void clear();
  dispatch::FigureTable figures(base::TimePoint Now) const;

private:
  struct Entry {
    catalog::Lifetime Lifetime;
    std::int64_t Load = 0;
    base::TimePoint LoadAt;
    std::int64_t Slots = 0;
    double Slowness = 1;
    bool StatesSlowness = false;
    std::array<AnswerTimes, Quarters> Times;
    base::TimePoint TimesAt;
    double Served = 0;
    double Failed = 0;
    base::TimePoint EndsAt;
  };

  void onLoad(Entry &To, const TargetSample &Sample) const;
  void onEnds(Entry &To, const TargetSample &Sample, base::TimePoint Now) const;
  double failureShare(const Entry &Of, base::TimePoint Now) const;
  double decayed(base::TimePoint Since, base::TimePoint Now) const;
  /// The sum of all quarters at \p Now.
  AnswerTimes total(const Entry &Of, base::TimePoint Now) const;
  /// The median ratio of measured to expected time over a service's targets.
  std::map<catalog::ServiceId, double> usualRatios(base::TimePoint Now) const;
  double pace(const Entry &Of, double UsualRatio, base::TimePoint Now) const;
  std::int64_t limit(const Entry &Of, base::TimePoint Now) const;
  const catalog::Target *find(const base::TargetId &Id,
                              catalog::Lifetime Lifetime) const;

  TargetLearnerSettings Settings;
  catalog::TargetListPtr Targets;
  std::map<base::TargetId, Entry> Entries;
};

/// How long work takes at each target relative to usual, for the placement of
/// models.
std::map<base::TargetId, double>
slownessOf(const dispatch::FigureTable &Figures);

} // namespace kingcuphub::pacing

#endif // KINGCUPHUB_PACING_TARGETLEARNER_H
