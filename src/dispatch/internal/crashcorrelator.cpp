#include "dispatch/crashcorrelator.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace kingcuphub::dispatch {

namespace {

/// Ends kept for each suspect; later ones replace the oldest.
constexpr std::size_t MaxEndsOfSuspect = 8;

bool contains(const PromptParts &All, const PromptParts &Some) {
  return std::includes(All.begin(), All.end(), Some.begin(), Some.end());
}

} // namespace

std::string_view quarantineChangeName(QuarantineChangeKind Kind) {
  switch (Kind) {
  case QuarantineChangeKind::Quarantined:
    return "quarantined";
  case QuarantineChangeKind::TrialGranted:
    return "trial-granted";
  case QuarantineChangeKind::Narrowed:
    return "narrowed";
  case QuarantineChangeKind::Cleared:
    return "cleared";
  case QuarantineChangeKind::Lapsed:
    return "lapsed";
  }
  return "unknown";
}

void CrashCorrelator::clear() {
  this->Suspects.clear();
  this->AllEnds.clear();
  this->ServedAt.clear();
}

void CrashCorrelator::record(const TargetEnd &New) {
  bool Known = std::any_of(
      this->AllEnds.begin(), this->AllEnds.end(), [&New](const End &Each) {
        return Each.Target == New.Target && Each.Lifetime == New.Lifetime;
      });
  if (Known)
    return;
  if (this->AllEnds.size() >= this->Settings.MaxKnownEnds)
    this->AllEnds.pop_front();
  this->AllEnds.push_back({New.Target, New.Lifetime, New.At});
}

void CrashCorrelator::onTargetEnd(const TargetEnd &End) {
  this->record(End);
  for (const PromptParts &Prompt : End.Prompts)
    for (PromptPartId Part : Prompt)
      if (!this->isExplained(Part, Prompt, End))
        this->accuse(Part, Prompt, End);
}

bool CrashCorrelator::isExplained(PromptPartId Part, const PromptParts &Prompt,
                                  const TargetEnd &By) const {
  return std::any_of(
      this->Suspects.begin(), this->Suspects.end(), [&](const auto &Each) {
        const auto &[OtherPart, Other] = Each;
        if (OtherPart == Part || !Other.State.Quarantined)
          return false;
        bool SamePrompt = contains(Prompt, Other.State.Together);
        bool Before = By.At < Other.QuarantinedAt;
        return SamePrompt ||
               (Before && std::any_of(Other.Ends.begin(), Other.Ends.end(),
                                      [&By](const End &Of) {
                                        return By.Target == Of.Target &&
                                               By.Lifetime == Of.Lifetime;
                                      }));
      });
}

void CrashCorrelator::accuse(PromptPartId Part, const PromptParts &Prompt,
                             const TargetEnd &By) {
  auto Answered = this->ServedAt.find(Part);
  if (Answered != this->ServedAt.end() && By.At < Answered->second)
    return;
  if (this->Suspects.count(Part) == 0)
    this->makeRoom();
  auto [At, Added] = this->Suspects.try_emplace(Part);
  Suspect &Accused = At->second;
  if (Added) {
    Accused.State.Together = Prompt;
    Accused.ServedBefore = Answered != this->ServedAt.end();
  } else {
    PromptParts Both;
    std::set_intersection(Accused.State.Together.begin(),
                          Accused.State.Together.end(), Prompt.begin(),
                          Prompt.end(), std::inserter(Both, Both.end()));
    Accused.State.Together = std::move(Both);
  }
  bool Known = std::any_of(
      Accused.Ends.begin(), Accused.Ends.end(), [&By](const End &Each) {
        return Each.Target == By.Target && Each.Lifetime == By.Lifetime;
      });
  if (Known)
    return;
  auto Later = std::upper_bound(
      Accused.Ends.begin(), Accused.Ends.end(), By.At,
      [](base::TimePoint Time, const End &Each) { return Time < Each.At; });
  Accused.Ends.insert(Later, {By.Target, By.Lifetime, By.At});
  if (Accused.Ends.size() > MaxEndsOfSuspect)
    Accused.Ends.erase(Accused.Ends.begin());
  if (!Accused.State.Quarantined) {
    Accused.State.Ends = static_cast<unsigned>(Accused.Ends.size());
    Accused.State.Since = Accused.Ends.front().At;
    return;
  }
  // Requests that were sent before the quarantine may end more targets.
  if (!Accused.TrialPending || By.At < Accused.TrialGrantedAt)
    return;
  Accused.TrialPending = false;
  ++Accused.State.Ends;
  Accused.State.NextTrialAt = By.At + this->trialDelay(Accused);
}

/// Forgets the suspect with the fewest ends, and of these the oldest.
void CrashCorrelator::makeRoom() {
  if (this->Suspects.size() < this->Settings.MaxSuspects)
    return;
  auto Least = this->Suspects.end();
  for (auto Each = this->Suspects.begin(); Each != this->Suspects.end();
       ++Each) {
    if (Each->second.State.Quarantined)
      continue;
    auto Rank = [](const Suspect &Of) {
      base::TimePoint Last =
          Of.Ends.empty() ? base::TimePoint{} : Of.Ends.back().At;
      return std::pair(Of.Ends.size(), Last);
    };
    if (Least == this->Suspects.end() ||
        Rank(Each->second) < Rank(Least->second))
      Least = Each;
  }
  if (Least != this->Suspects.end())
    this->Suspects.erase(Least);
}

void CrashCorrelator::onServed(const ServedPart &Served) {
  auto Found = this->Suspects.find(Served.Part);
  if (Found == this->Suspects.end())
    return;
  Suspect &Of = Found->second;
  if (this->ServedAt.size() >= this->Settings.MaxServed)
    this->ServedAt.erase(this->ServedAt.begin());
  base::TimePoint &Last = this->ServedAt[Served.Part];
  Last = std::max(Last, Served.At);
  if (Served.At <= Of.State.Since) {
    Of.ServedBefore = true;
    // Of a quarantine that was taken over the ends are not known.
    if (!Of.Ends.empty())
      this->clearIfNotConvicted(Served.Part, Of);
    return;
  }
  // Not the cause of an end in whose requests it was accompanied by others.
  for (auto &[Part, Each] : this->Suspects)
    if (Part != Served.Part)
      Each.State.Together.erase(Served.Part);
  std::erase_if(Of.Ends,
                [&Served](const End &Each) { return Each.At < Served.At; });
  Of.ServedBefore = true;
  Of.State.Ends = static_cast<unsigned>(Of.Ends.size());
  this->clearIfNotConvicted(Served.Part, Of);
  if (Of.Ends.empty())
    this->Suspects.erase(Found);
  else
    Of.State.Since = Of.Ends.front().At;
}

void CrashCorrelator::clearIfNotConvicted(PromptPartId Part, Suspect &Of) {
  if (!Of.State.Quarantined || this->isConvicted(Of))
    return;
  Of.State.Quarantined = false;
  this->Changes.push_back(change(QuarantineChangeKind::Cleared, Part, Of));
}

void CrashCorrelator::onRefused(PromptPartId Part, const base::InstanceId &By,
                                base::TimePoint Now) {
  auto Found = this->Suspects.find(Part);
  if (Found == this->Suspects.end())
    return;
  Found->second.RefusedAt = Now;
  Found->second.RefusedBy = By;
}

void CrashCorrelator::restore(const SuspectParts &Quarantined,
                              base::TimePoint Now) {
  for (const auto &[Part, Each] : Quarantined) {
    Suspect &Restored = this->Suspects[Part];
    Restored.State = Each;
    Restored.State.Since = Now;
    Restored.State.Quarantined = true;
    Restored.State.Trial.By = {};
    Restored.RefusedAt = Now;
  }
}

std::size_t CrashCorrelator::independentEnds(const Suspect &Of) const {
  base::Duration Separation = this->Settings.Separation;
  std::size_t Out = 0;
  for (auto First = Of.Ends.begin(); First != Of.Ends.end();) {
    auto Last = First;
    while (std::next(Last) != Of.Ends.end() &&
           std::next(Last)->At < Last->At + Separation)
      ++Last;
    auto AtOnce = std::count_if(this->AllEnds.begin(), this->AllEnds.end(),
                                [&](const End &Each) {
                                  return First->At - Separation < Each.At &&
                                         Each.At < Last->At + Separation;
                                });
    bool IsMassFailure = Of.ServedBefore && static_cast<std::size_t>(AtOnce) >=
                                                this->Settings.EndsAtOnce;
    Out += IsMassFailure
               ? 1
               : static_cast<std::size_t>(std::distance(First, Last)) + 1;
    First = std::next(Last);
  }
  return Out;
}

bool CrashCorrelator::isConvicted(const Suspect &Of) const {
  if (this->independentEnds(Of) >= this->Settings.Ends)
    return true;
  unsigned Apart = 0;
  std::optional<base::TimePoint> Last;
  for (const End &Each : Of.Ends) {
    if (Last && Each.At < *Last + this->Settings.Separation)
      continue;
    Last = Each.At;
    ++Apart;
  }
  if (Apart < this->Settings.SeparateEnds)
    return false;
  // The first report of an end may be later than another one's.
  base::TimePoint Since = Of.Ends.front().At - this->Settings.Separation;
  auto All =
      std::count_if(this->AllEnds.begin(), this->AllEnds.end(),
                    [Since](const End &Each) { return Each.At >= Since; });
  return static_cast<double>(Of.Ends.size()) >=
         this->Settings.MinShareOfEnds * static_cast<double>(All);
}

bool CrashCorrelator::isCovered(PromptPartId Part,
                                const PromptParts &Together) const {
  return std::any_of(
      this->Suspects.begin(), this->Suspects.end(), [&](const auto &Each) {
        const auto &[OtherPart, Other] = Each;
        if (OtherPart == Part || !Other.State.Quarantined)
          return false;
        // Of parts that always came together one is quarantined for all.
        bool Same = Other.State.Together == Together;
        return Same ? OtherPart < Part ||
                          !this->Suspects.at(Part).State.Quarantined
                    : contains(Together, Other.State.Together);
      });
}

base::Duration CrashCorrelator::trialDelay(const Suspect &Of) const {
  std::size_t MoreEnds =
      Of.State.Ends - std::min(Of.State.Ends, this->Settings.SeparateEnds);
  std::size_t Index = std::max<std::size_t>(
      MoreEnds, Of.State.Trial.Number / this->Settings.TrialsPerDelay);
  return this->Settings.TrialDelays.at(
      std::min(Index, this->Settings.TrialDelays.size() - 1));
}

void CrashCorrelator::explainEnds(PromptPartId Cause) {
  const std::vector<End> Explained = this->Suspects.at(Cause).Ends;
  for (auto Each = this->Suspects.begin(); Each != this->Suspects.end();) {
    Suspect &Other = Each->second;
    bool Keeps = Other.State.Quarantined ||
                 (!Other.ServedBefore && Other.Ends.size() >= Explained.size());
    if (!Keeps)
      std::erase_if(Other.Ends, [&Explained](const End &Of) {
        return std::any_of(
            Explained.begin(), Explained.end(), [&Of](const End &By) {
              return By.Target == Of.Target && By.Lifetime == Of.Lifetime;
            });
      });
    if (!Other.Ends.empty()) {
      Other.State.Ends = static_cast<unsigned>(Other.Ends.size());
      Other.State.Since = Other.Ends.front().At;
    }
    Each = Other.Ends.empty() && !Other.State.Quarantined
               ? this->Suspects.erase(Each)
               : std::next(Each);
  }
}

bool CrashCorrelator::hasLapsed(const Suspect &Of, base::TimePoint Now) const {
  if (Of.State.Quarantined)
    return Now > Of.RefusedAt + this->Settings.QuarantineRetention;
  return Of.Ends.empty() || Now > Of.Ends.back().At + this->Settings.Retention;
}

void CrashCorrelator::lapse(base::TimePoint Now) {
  for (auto Each = this->Suspects.begin(); Each != this->Suspects.end();) {
    if (!this->hasLapsed(Each->second, Now)) {
      ++Each;
      continue;
    }
    if (Each->second.State.Quarantined)
      this->Changes.push_back(
          change(QuarantineChangeKind::Lapsed, Each->first, Each->second));
    Each = this->Suspects.erase(Each);
  }
}

void CrashCorrelator::quarantine(base::TimePoint Now) {
  std::vector<std::tuple<bool, std::size_t, PromptPartId>> Due;
  for (auto &[Part, Each] : this->Suspects) {
    if (!Each.AskedAt && Each.Ends.size() >= this->Settings.EndsToAsk)
      Each.AskedAt = Now;
    bool Heard =
        Each.AskedAt && Now >= *Each.AskedAt + this->Settings.ObjectionTime;
    if (!Each.State.Quarantined && Heard && this->isConvicted(Each))
      Due.emplace_back(!Each.ServedBefore, Each.Ends.size(), Part);
  }
  // Parts that were never answered go first, and of these the ones with most
  // ends, as they may account for the ends of the others.
  std::sort(Due.begin(), Due.end(), std::greater<>());
  for (const auto &[NeverServed, Ends, Part] : Due) {
    auto Found = this->Suspects.find(Part);
    bool Still = Found != this->Suspects.end() &&
                 this->isConvicted(Found->second) &&
                 !this->isCovered(Part, Found->second.State.Together);
    if (!Still)
      continue;
    Suspect &Each = Found->second;
    Each.State.Quarantined = true;
    Each.QuarantinedAt = Now;
    Each.State.Ends = Each.ServedBefore
                          ? this->Settings.SeparateEnds
                          : std::min(Each.State.Ends, this->Settings.Ends);
    Each.State.NextTrialAt = Each.Ends.back().At + this->trialDelay(Each);
    Each.RefusedAt = Now;
    this->Changes.push_back(
        change(QuarantineChangeKind::Quarantined, Part, Each));
    this->explainEnds(Part);
  }
  for (auto &[Part, Each] : this->Suspects) {
    if (!Each.State.Quarantined || !this->isCovered(Part, Each.State.Together))
      continue;
    Each.State.Quarantined = false;
    this->Changes.push_back(change(QuarantineChangeKind::Narrowed, Part, Each));
  }
}

void CrashCorrelator::updateTrials(base::TimePoint Now) {
  for (auto &[Part, Each] : this->Suspects) {
    if (!Each.State.Quarantined)
      continue;
    if (Now > Each.TrialGrantedAt + this->Settings.TrialValidFor)
      Each.State.Trial.By = {};
    bool InDemand = !Each.RefusedBy.empty() &&
                    Now <= Each.RefusedAt + this->Settings.TrialDemandAge;
    if (Now < Each.State.NextTrialAt || !InDemand)
      continue;
    Each.State.Trial = {Each.State.Trial.Number + 1, Each.RefusedBy};
    Each.TrialGrantedAt = Now;
    Each.TrialPending = true;
    Each.State.NextTrialAt =
        Now + std::max<base::Duration>(this->trialDelay(Each),
                                       this->Settings.TrialValidFor +
                                           this->Settings.TrialOutcomeTime);
    this->Changes.push_back(
        change(QuarantineChangeKind::TrialGranted, Part, Each));
  }
}

std::vector<QuarantineChange> CrashCorrelator::decide(base::TimePoint Now) {
  this->lapse(Now);
  this->quarantine(Now);
  this->updateTrials(Now);
  return std::exchange(this->Changes, {});
}

QuarantineChange CrashCorrelator::change(QuarantineChangeKind Kind,
                                         PromptPartId Part, const Suspect &Of) {
  QuarantineChange Out;
  Out.Kind = Kind;
  Out.Part = Part;
  Out.Together = Of.State.Together;
  for (const End &Each : Of.Ends)
    Out.Ends.emplace_back(Each.Target, Each.Lifetime);
  Out.Trial = Of.State.Trial;
  return Out;
}

SuspectParts CrashCorrelator::published() const {
  std::vector<SuspectMap::const_iterator> Ranked;
  for (auto Each = this->Suspects.begin(); Each != this->Suspects.end(); ++Each)
    if (Each->second.State.Quarantined || Each->second.AskedAt)
      Ranked.push_back(Each);
  auto Rank = [](const Suspect &Of) {
    return std::pair(Of.State.Quarantined, Of.Ends.size());
  };
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [&Rank](const auto &Left, const auto &Right) {
                     return Rank(Left->second) > Rank(Right->second);
                   });
  if (Ranked.size() > this->Settings.MaxPublished)
    Ranked.resize(this->Settings.MaxPublished);
  SuspectParts Out;
  for (const auto &Each : Ranked)
    Out[Each->first] = Each->second.State;
  return Out;
}

SuspectParts CrashCorrelator::quarantined() const {
  SuspectParts Out = this->published();
  std::erase_if(Out, [](const auto &Each) { return !Each.second.Quarantined; });
  return Out;
}

} // namespace kingcuphub::dispatch
