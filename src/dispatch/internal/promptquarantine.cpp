#include "dispatch/promptquarantine.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::dispatch {

bool PromptQuarantine::setSuspects(SuspectParts New) {
  SuspectParts Before = std::exchange(this->Suspects, std::move(New));
  std::erase_if(this->TrialsUsed, [this](const auto &Each) {
    return this->Suspects.count(Each.first) == 0;
  });
  return std::any_of(this->Suspects.begin(), this->Suspects.end(),
                     [&](const auto &Each) {
                       return Before.count(Each.first) == 0 &&
                              this->servedAt(Each.first).has_value();
                     });
}

std::optional<PromptQuarantine::Blocking>
PromptQuarantine::blocking(const PromptParts &Parts) const {
  if (this->Suspects.empty())
    return std::nullopt;
  for (PromptPartId Part : Parts) {
    auto Found = this->Suspects.find(Part);
    if (Found == this->Suspects.end() || !Found->second.Quarantined)
      continue;
    const PromptParts &Together = Found->second.Together;
    if (std::includes(Parts.begin(), Parts.end(), Together.begin(),
                      Together.end()))
      return Blocking{Part, &Found->second};
  }
  return std::nullopt;
}

QuarantineVerdict PromptQuarantine::admit(const PromptParts &Parts) {
  std::optional<Blocking> Found = this->blocking(Parts);
  if (!Found)
    return NotQuarantined{};
  const QuarantineTrial &Trial = Found->Suspect->Trial;
  std::uint64_t &Used = this->TrialsUsed[Found->Part];
  if (Trial.By == this->Settings.Self && Trial.Number > Used) {
    Used = Trial.Number;
    return OnTrial{Found->Part};
  }
  this->Refused.insert(Found->Part);
  return Quarantined{Found->Part, Found->Suspect->NextTrialAt};
}

QuarantineVerdict PromptQuarantine::check(const PromptParts &Parts) const {
  if (std::optional<Blocking> Found = this->blocking(Parts))
    return Quarantined{Found->Part, Found->Suspect->NextTrialAt};
  return NotQuarantined{};
}

bool PromptQuarantine::onServed(const PromptParts &Parts, base::TimePoint Now) {
  bool Tell = false;
  for (PromptPartId Part : Parts) {
    this->Served[Part] = Now;
    Tell = Tell || this->Suspects.count(Part) != 0;
  }
  if (this->Served.size() > this->Settings.MinServedParts)
    this->ServedBefore = std::exchange(this->Served, {});
  return Tell;
}

std::optional<base::TimePoint>
PromptQuarantine::servedAt(PromptPartId Part) const {
  for (const auto *Each : {&this->Served, &this->ServedBefore})
    if (auto Found = Each->find(Part); Found != Each->end())
      return Found->second;
  return std::nullopt;
}

void PromptQuarantine::onTargetEnd(TargetEnd End) {
  if (this->Ends.size() >= this->Settings.MaxEnds)
    this->Ends.pop_front();
  this->Ends.push_back(std::move(End));
}

CrashEvidence PromptQuarantine::takeEvidence(base::TimePoint Now) {
  while (!this->Ends.empty() &&
         Now > this->Ends.front().At + this->Settings.Retention)
    this->Ends.pop_front();
  CrashEvidence Out;
  bool All = std::exchange(this->TellAll, false);
  for (const TargetEnd &Each : this->Ends)
    if (All || Now <= Each.At + this->Settings.RepeatFor)
      Out.Ends.push_back(Each);
  for (const auto &[Part, Suspect] : this->Suspects)
    if (auto At = this->servedAt(Part))
      Out.Served.push_back({Part, *At});
  Out.Refused = std::exchange(this->Refused, {});
  return Out;
}

} // namespace kingcuphub::dispatch
