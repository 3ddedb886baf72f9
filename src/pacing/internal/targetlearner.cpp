#include "pacing/targetlearner.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace kingcuphub::pacing {

namespace {

using Seconds = std::chrono::duration<double>;

double decayFactor(base::Duration Age, base::Duration Memory) {
  return std::exp(-std::max(Seconds(Age).count(), 0.0) /
                  Seconds(Memory).count());
}

double ratioOf(const AnswerTimes &Times) {
  return Times.MeasuredMillis / std::max(Times.ExpectedMillis, 1.0);
}

} // namespace

void TargetLearner::setTargets(catalog::TargetListPtr New) {
  this->Targets = std::move(New);
  std::erase_if(this->Entries, [this](const auto &Each) {
    return this->find(Each.first, Each.second.Lifetime) == nullptr;
  });
}

void TargetLearner::clear() { this->Entries.clear(); }

const catalog::Target *TargetLearner::find(const base::TargetId &Id,
                                           catalog::Lifetime Lifetime) const {
  if (!this->Targets)
    return nullptr;
  auto Found = this->Targets->Targets.find(Id);
  bool Same = Found != this->Targets->Targets.end() &&
              Found->second.Entry.Lifetime == Lifetime;
  return Same ? &Found->second : nullptr;
}

double TargetLearner::decayed(base::TimePoint Since,
                              base::TimePoint Now) const {
  if (Now > Since + this->Settings.ForgetAfter)
    return 0;
  return decayFactor(Now - Since, this->Settings.Memory);
}

void TargetLearner::onLoad(Entry &To, const TargetSample &Sample) const {
  if (!Sample.Load || Sample.LoadAt < To.LoadAt)
    return;
  To.Load = Sample.Load->Running + Sample.Load->Waiting;
  To.Slots = Sample.Load->Slots;
  if (Sample.Load->Slowness) {
    double Kept = To.StatesSlowness ? decayFactor(Sample.LoadAt - To.LoadAt,
                                                  this->Settings.SlownessMemory)
                                    : 0;
    To.Slowness = To.Slowness * Kept + *Sample.Load->Slowness * (1 - Kept);
    To.StatesSlowness = true;
  }
  To.LoadAt = Sample.LoadAt;
}

void TargetLearner::onEnds(Entry &To, const TargetSample &Sample,
                           base::TimePoint Now) const {
  if (Sample.Served + Sample.Failed == 0)
    return;
  double Kept = this->decayed(To.EndsAt, Now);
  To.Served = To.Served * Kept + Sample.Served;
  To.Failed = To.Failed * Kept + Sample.Failed;
  To.EndsAt = Now;
}

double TargetLearner::failureShare(const Entry &Of, base::TimePoint Now) const {
  double Kept = this->decayed(Of.EndsAt, Now);
  double Ends = (Of.Served + Of.Failed) * Kept;
  return Of.Failed * Kept / (Ends + this->Settings.PriorEnds);
}

void TargetLearner::onSample(const TargetSample &Sample, base::TimePoint Now) {
  if (this->find(Sample.Target, Sample.Lifetime) == nullptr)
    return;
  Entry &To = this->Entries[Sample.Target];
  if (To.Lifetime != Sample.Lifetime)
    To = {};
  To.Lifetime = Sample.Lifetime;
  this->onLoad(To, Sample);
  this->onEnds(To, Sample, Now);
  if (Sample.Answered == 0)
    return;
  double Kept = this->decayed(To.TimesAt, Now);
  for (std::size_t Quarter = 0; Quarter < Quarters; ++Quarter) {
    AnswerTimes &Sum = To.Times[Quarter];
    const AnswerTimes &New = Sample.Times[Quarter];
    Sum.Count = Sum.Count * Kept + New.Count;
    Sum.MeasuredMillis = Sum.MeasuredMillis * Kept + New.MeasuredMillis;
    Sum.ExpectedMillis = Sum.ExpectedMillis * Kept + New.ExpectedMillis;
  }
  To.TimesAt = Now;
}

AnswerTimes TargetLearner::total(const Entry &Of, base::TimePoint Now) const {
  double Kept = this->decayed(Of.TimesAt, Now);
  AnswerTimes Out;
  for (const AnswerTimes &Each : Of.Times) {
    Out.Count += Each.Count * Kept;
    Out.MeasuredMillis += Each.MeasuredMillis * Kept;
    Out.ExpectedMillis += Each.ExpectedMillis * Kept;
  }
  return Out;
}

std::map<catalog::ServiceId, double>
TargetLearner::usualRatios(base::TimePoint Now) const {
  std::map<catalog::ServiceId, std::vector<double>> Ratios;
  for (const auto &[Id, Each] : this->Entries) {
    AnswerTimes Total = this->total(Each, Now);
    const catalog::Target *Target = this->find(Id, Each.Lifetime);
    if (Target != nullptr && Total.Count >= this->Settings.MinSamples)
      Ratios[Target->Entry.Service].push_back(ratioOf(Total));
  }
  std::map<catalog::ServiceId, double> Out;
  for (auto &[Service, Values] : Ratios) {
    auto Middle =
        Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
    std::nth_element(Values.begin(), Middle, Values.end());
    Out[Service] = *Middle;
  }
  return Out;
}

double TargetLearner::pace(const Entry &Of, double UsualRatio,
                           base::TimePoint Now) const {
  AnswerTimes Total = this->total(Of, Now);
  double Prior = this->Settings.PriorSamples;
  double Relative = ratioOf(Total) / std::max(UsualRatio, 0.01);
  double Pace = (Total.Count * Relative + Prior) / (Total.Count + Prior);
  return std::clamp(Pace, this->Settings.MinPace, this->Settings.MaxPace);
}

std::int64_t TargetLearner::limit(const Entry &Of, base::TimePoint Now) const {
  double Kept = this->decayed(Of.TimesAt, Now);
  std::optional<double> Lowest;
  for (std::size_t Quarter = 0; Quarter < Quarters; ++Quarter) {
    const AnswerTimes &Times = Of.Times[Quarter];
    if (Times.Count * Kept < this->Settings.MinSamples)
      continue;
    double Ratio = ratioOf(Times);
    if (Lowest && Ratio > *Lowest * this->Settings.MaxSlowdown)
      return std::max<std::int64_t>(1, Of.Slots *
                                           static_cast<std::int64_t>(Quarter) /
                                           static_cast<std::int64_t>(Quarters));
    Lowest = std::min(Lowest.value_or(Ratio), Ratio);
  }
  return Of.Slots;
}

dispatch::FigureTable TargetLearner::figures(base::TimePoint Now) const {
  std::map<catalog::ServiceId, double> Usual = this->usualRatios(Now);
  dispatch::FigureTable Out;
  for (const auto &[Id, Each] : this->Entries) {
    const catalog::Target *Target = this->find(Id, Each.Lifetime);
    if (Target == nullptr || Each.Slots <= 0)
      continue;
    dispatch::TargetFigures &New = Out[Id];
    New.Lifetime = Each.Lifetime;
    New.Load = Each.Load;
    New.LoadAt = Each.LoadAt;
    New.Slots = Each.Slots;
    // A target that nobody has heard for long is tried again.
    New.Slowness =
        Now > Each.LoadAt + this->Settings.ForgetAfter ? 1 : Each.Slowness;
    auto Found = Usual.find(Target->Entry.Service);
    New.Pace = Found == Usual.end() ? 1 : this->pace(Each, Found->second, Now);
    New.Limit = this->limit(Each, Now);
    New.FailureShare = this->failureShare(Each, Now);
  }
  return Out;
}

std::map<base::TargetId, double>
slownessOf(const dispatch::FigureTable &Figures) {
  std::map<base::TargetId, double> Out;
  for (const auto &[Id, Each] : Figures)
    Out[Id] = Each.Pace * Each.Slowness;
  return Out;
}

} // namespace kingcuphub::pacing
