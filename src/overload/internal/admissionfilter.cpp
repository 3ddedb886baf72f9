#include "overload/admissionfilter.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace kingcuphub::overload {

void AdmissionFilter::setLevels(AdmissionLevels New, base::TimePoint Now) {
  this->Levels = std::move(New);
  this->LevelsAt = Now;
  std::erase_if(this->Accounts, [this](const auto &Each) {
    return this->Levels.count(Each.first) == 0;
  });
}

void AdmissionFilter::onSent(const ServiceModel &What) {
  ++this->Counts[What].Sent;
}

void AdmissionFilter::onFull(const ServiceModel &What) {
  ++this->Counts[What].Refused;
}

ArrivalTable AdmissionFilter::take() { return std::exchange(this->Counts, {}); }

double AdmissionFilter::countAt(const Demand &Of, base::TimePoint Now) const {
  std::chrono::duration<double> Age = Now - Of.At;
  return Of.Count * std::exp(-std::max(0.0, Age / this->Settings.DemandMemory));
}

double AdmissionFilter::shareOf(const AccountDemand &Of,
                                const base::AccountId &Account, double Share,
                                base::TimePoint Now) const {
  std::vector<double> Counts;
  double Total = 0;
  for (const auto &[Id, Each] : Of) {
    Counts.push_back(this->countAt(Each, Now));
    Total += Counts.back();
  }
  std::sort(Counts.begin(), Counts.end());
  // The same for each account, as far as it asks for so much.
  double Left = Share * Total;
  double Most = Counts.empty() ? 0 : Counts.back();
  for (std::size_t Index = 0; Index < Counts.size(); ++Index) {
    double Even = Left / static_cast<double>(Counts.size() - Index);
    if (Counts[Index] >= Even) {
      Most = Even;
      break;
    }
    Left -= Counts[Index];
  }
  double Own = this->countAt(Of.at(Account), Now);
  return Own > 0 ? std::min(1.0, Most / Own) : 1;
}

std::optional<std::chrono::milliseconds>
AdmissionFilter::refuses(const AdmissionRequest &Request, double Draw,
                         base::TimePoint Now) {
  std::size_t Class = std::min<std::size_t>(Request.Urgency, Classes - 1);
  ++this->Counts[Request.What].Asked[Class];
  auto Found = this->Levels.find(Request.What);
  bool Valid = Now < this->LevelsAt + this->Settings.LevelsValidFor;
  if (Found == this->Levels.end() || !Valid)
    return std::nullopt;
  AccountDemand &Of = this->Accounts[Request.What][Class];
  Demand &Own = Of[Request.Account];
  Own = {this->countAt(Own, Now) + 1, Now};
  double Share =
      std::clamp(Found->second.Level - static_cast<double>(Class), 0.0, 1.0);
  if (Draw < this->shareOf(Of, Request.Account, Share, Now))
    return std::nullopt;
  return Found->second.RetryAfter;
}

} // namespace kingcuphub::overload
