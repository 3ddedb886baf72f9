#include "figuremessages.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_map>

namespace kingcuphub::control {

namespace {

constexpr double Percent = 100;

std::uint32_t percentOf(double Value) {
  return static_cast<std::uint32_t>(
      std::lround(std::clamp(Value, 0.0, 1000.0) * Percent));
}

std::uint32_t millisBetween(base::TimePoint From, base::TimePoint To) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      base::millisOf(To - From), 0, std::numeric_limits<std::int32_t>::max()));
}

std::uint32_t keyOf(const base::TargetId &Id, catalog::Lifetime Lifetime) {
  return static_cast<std::uint32_t>(base::stableHash(Id.Value, Lifetime.Value));
}

} // namespace

void writeSamples(const std::vector<pacing::TargetSample> &Samples,
                  base::TimePoint Now, wire::InstanceReport &To) {
  for (const pacing::TargetSample &Each : Samples) {
    wire::TargetSample &Out = *To.add_samples();
    Out.set_target(Each.Target.Value);
    Out.set_lifetime(Each.Lifetime.Value);
    if (Each.Load) {
      Out.set_load(
          static_cast<std::uint32_t>(Each.Load->Running + Each.Load->Waiting));
      Out.set_load_age_ms(millisBetween(Each.LoadAt, Now));
      Out.set_slots(static_cast<std::uint32_t>(Each.Load->Slots));
      Out.set_slowness_percent(percentOf(Each.Load->Slowness.value_or(0)));
    }
    Out.set_answered(Each.Answered);
    Out.set_refused(Each.Refused);
    Out.set_served(Each.Served);
    Out.set_failed(Each.Failed);
    for (std::size_t Quarter = 0; Quarter < pacing::Quarters; ++Quarter) {
      const pacing::AnswerTimes &Times = Each.Times[Quarter];
      if (Times.Count <= 0)
        continue;
      wire::LoadQuarter &Part = *Out.add_quarters();
      Part.set_quarter(static_cast<std::uint32_t>(Quarter));
      Part.set_count(static_cast<std::uint32_t>(Times.Count));
      Part.set_measured_ms(static_cast<float>(Times.MeasuredMillis));
      Part.set_expected_ms(static_cast<float>(Times.ExpectedMillis));
    }
  }
}

std::vector<pacing::TargetSample> readSamples(const wire::InstanceReport &From,
                                              base::TimePoint Now) {
  std::vector<pacing::TargetSample> Out;
  for (const wire::TargetSample &Each : From.samples()) {
    pacing::TargetSample &New = Out.emplace_back();
    New.Target.Value = Each.target();
    New.Lifetime.Value = Each.lifetime();
    if (Each.has_load()) {
      New.Load = dispatch::StatedLoad{Each.load(), 0, Each.slots(), {}};
      if (Each.slowness_percent() > 0)
        New.Load->Slowness = Each.slowness_percent() / Percent;
      New.LoadAt = Now - std::chrono::milliseconds(Each.load_age_ms());
    }
    New.Answered = Each.answered();
    New.Refused = Each.refused();
    New.Served = Each.served();
    New.Failed = Each.failed();
    for (const wire::LoadQuarter &Part : Each.quarters())
      if (Part.quarter() < pacing::Quarters)
        New.Times[Part.quarter()] = {static_cast<double>(Part.count()),
                                     Part.measured_ms(), Part.expected_ms()};
  }
  return Out;
}

std::string encodeFigures(const dispatch::FigureTable &Figures,
                          base::TimePoint Now) {
  wire::TargetFigures Out;
  for (const auto &[Id, Each] : Figures) {
    Out.add_keys(keyOf(Id, Each.Lifetime));
    Out.add_loads(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, Each.Load)));
    Out.add_load_ages_ms(millisBetween(Each.LoadAt, Now));
    Out.add_slots(static_cast<std::uint32_t>(Each.Slots));
    Out.add_slowness_percents(percentOf(Each.Slowness));
    Out.add_pace_percents(percentOf(Each.Pace));
    Out.add_limits(static_cast<std::uint32_t>(Each.Limit));
    Out.add_failure_percents(percentOf(Each.FailureShare));
  }
  return Out.SerializeAsString();
}

std::optional<dispatch::FigureTable>
decodeFigures(const std::string &Bytes, const catalog::TargetList &Known,
              base::TimePoint At) {
  wire::TargetFigures From;
  if (!From.ParseFromString(Bytes))
    return std::nullopt;
  int Count = From.keys_size();
  for (int Size :
       {From.loads_size(), From.load_ages_ms_size(), From.slots_size(),
        From.slowness_percents_size(), From.pace_percents_size(),
        From.limits_size(), From.failure_percents_size()})
    if (Size != Count)
      return std::nullopt;
  std::unordered_map<std::uint32_t, const catalog::TargetEntry *> ByKey;
  for (const auto &[Id, Target] : Known.Targets)
    ByKey[keyOf(Id, Target.Entry.Lifetime)] = &Target.Entry;
  dispatch::FigureTable Out;
  for (int Index = 0; Index < Count; ++Index) {
    auto Found = ByKey.find(From.keys(Index));
    if (Found == ByKey.end())
      continue;
    dispatch::TargetFigures &New = Out[Found->second->Id];
    New.Lifetime = Found->second->Lifetime;
    New.Load = From.loads(Index);
    New.LoadAt = At - std::chrono::milliseconds(From.load_ages_ms(Index));
    New.Slots = From.slots(Index);
    New.Slowness = From.slowness_percents(Index) / Percent;
    New.Pace = From.pace_percents(Index) / Percent;
    New.Limit = From.limits(Index);
    New.FailureShare = From.failure_percents(Index) / Percent;
  }
  return Out;
}

void writeArrivals(const overload::ArrivalTable &Arrivals,
                   wire::InstanceReport &To) {
  for (const auto &[Key, Each] : Arrivals) {
    wire::ModelArrivals &Out = *To.add_arrivals();
    Out.set_service(Key.first.Value);
    Out.set_model(Key.second.Value);
    Out.set_sent(Each.Sent);
    Out.set_refused(Each.Refused);
    for (unsigned Asked : Each.Asked)
      Out.add_asked(Asked);
  }
}

overload::ArrivalTable readArrivals(const wire::InstanceReport &From) {
  overload::ArrivalTable Out;
  for (const wire::ModelArrivals &Each : From.arrivals()) {
    overload::Arrivals &New = Out[{{Each.service()}, {Each.model()}}];
    New.Sent = Each.sent();
    New.Refused = Each.refused();
    auto Count = std::min<std::size_t>(
        overload::Classes, static_cast<std::size_t>(Each.asked_size()));
    for (std::size_t Class = 0; Class < Count; ++Class)
      New.Asked[Class] = Each.asked(static_cast<int>(Class));
  }
  return Out;
}

namespace {

constexpr double Permille = 1000;

} // namespace

void writeAdmission(const overload::AdmissionLevels &Levels,
                    wire::HolderReply &To) {
  To.set_admission_included(true);
  for (const auto &[Key, Each] : Levels) {
    wire::AdmissionLevel &Out = *To.add_admission();
    Out.set_service(Key.first.Value);
    Out.set_model(Key.second.Value);
    Out.set_level_permille(
        static_cast<std::uint32_t>(std::lround(Each.Level * Permille)));
    Out.set_retry_after_ms(static_cast<std::uint32_t>(Each.RetryAfter.count()));
  }
}

overload::AdmissionLevels readAdmission(const wire::HolderReply &From) {
  overload::AdmissionLevels Out;
  for (const wire::AdmissionLevel &Each : From.admission())
    Out[{{Each.service()}, {Each.model()}}] = {
        Each.level_permille() / Permille,
        std::chrono::milliseconds(Each.retry_after_ms())};
  return Out;
}

} // namespace kingcuphub::control
