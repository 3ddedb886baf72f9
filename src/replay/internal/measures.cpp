#include "replay/measures.h"

#include <algorithm>
#include <sstream>

namespace kingcuphub::replay {

namespace {

constexpr std::size_t MostViolationsShown = 10;

} // namespace

void Measures::count(const base::AccountId &Account, Outcome Of,
                     bool WithinRate, bool ZoneOut) {
  if (Of == Outcome::Late)
    ++this->Late;
  if (Of == Outcome::Failed)
    ++this->Failed;
  if (!WithinRate || Of == Outcome::Unauthorized)
    return;
  if (Of == Outcome::Refused)
    ++this->RefusedWithinRate;
  bool OnTime = Of == Outcome::OnTime;
  auto Add = [OnTime](Tally &To) {
    ++To.Sent;
    To.OnTime += OnTime ? 1 : 0;
  };
  Add(this->All);
  Add(this->ByAccount[Account]);
  if (ZoneOut)
    Add(this->WhileZoneOut);
}

void Measures::violate(std::string What) {
  ++this->Violations;
  if (this->FirstViolations.size() < MostViolationsShown)
    this->FirstViolations.push_back(std::move(What));
}

double Measures::attainmentPerAccelerator() const {
  return this->All.attainment() /
         static_cast<double>(std::max<std::size_t>(1, this->Accelerators));
}

std::pair<base::AccountId, double> Measures::worstServed() const {
  std::pair<base::AccountId, double> Out{{}, 1};
  for (const auto &[Account, Each] : this->ByAccount)
    if (Out.first.empty() || Each.attainment() < Out.second)
      Out = {Account, Each.attainment()};
  return Out;
}

nlohmann::json Measures::json() const {
  auto [Worst, Part] = this->worstServed();
  nlohmann::json Out = {
      {"requests", this->All.Sent},
      {"attainment", this->All.attainment()},
      {"attainment_per_accelerator", this->attainmentPerAccelerator()},
      {"moves", nullptr},
      {"worst_served_account", Worst.Value},
      {"worst_served_attainment", Part},
      {"refused_within_rate", this->RefusedWithinRate},
      {"zone_out_attainment", this->WhileZoneOut.attainment()},
      {"late", this->Late},
      {"failed", this->Failed},
      {"violations", this->Violations},
      {"first_violations", this->FirstViolations}};
  if (this->Moves)
    Out["moves"] = *this->Moves;
  return Out;
}

std::string Measures::text() const {
  auto [Worst, Part] = this->worstServed();
  std::ostringstream Out;
  Out << "requests within rate          " << this->All.Sent << "\n"
      << "attainment                    " << this->All.attainment() << "\n"
      << "attainment per accelerator    " << this->attainmentPerAccelerator()
      << "\n"
      << "moves                         "
      << (this->Moves ? std::to_string(*this->Moves) : "not known") << "\n"
      << "worst-served account          " << Worst << " " << Part << "\n"
      << "refused within rate           " << this->RefusedWithinRate << "\n"
      << "attainment while a zone is out " << this->WhileZoneOut.attainment()
      << "\n"
      << "late " << this->Late << ", failed " << this->Failed
      << ", outcomes not allowed " << this->Violations << "\n";
  for (const std::string &Each : this->FirstViolations)
    Out << "  " << Each << "\n";
  return Out.str();
}

} // namespace kingcuphub::replay
