#include "shares/epochplanner.h"

#include "base/hashing.h"

#include <algorithm>
#include <map>

namespace kingcuphub::shares {

std::vector<base::InstanceId>
chooseWitnesses(const std::vector<MemberName> &Members, std::size_t PerZone) {
  std::map<base::ZoneId, std::vector<std::string>> ByZone;
  for (const MemberName &Each : Members)
    ByZone[Each.Zone].push_back(Each.Instance.Value);
  std::vector<base::InstanceId> Out;
  for (auto &[Zone, Names] : ByZone) {
    Names = base::rankNodes("witness/" + Zone.Value, std::move(Names));
    Names.resize(std::min(Names.size(), PerZone));
    for (std::string &Each : Names)
      Out.push_back({std::move(Each)});
  }
  return Out;
}

bool follows(const wire::Epoch &New, const wire::Epoch &Current) {
  return New.number() == Current.number() + 1 && New.members_size() > 0;
}

std::size_t EpochPlanner::rank(const std::vector<MemberName> &Live) const {
  std::vector<std::string> Names;
  Names.reserve(Live.size());
  for (const MemberName &Each : Live)
    Names.push_back(Each.Instance.Value);
  Names = base::rankNodes("epoch", std::move(Names));
  auto Own = std::find(Names.begin(), Names.end(), this->Self.Instance.Value);
  return static_cast<std::size_t>(Own - Names.begin());
}

std::optional<wire::Epoch>
EpochPlanner::plan(const std::vector<MemberName> &Live,
                   const wire::Epoch &Current, base::TimePoint Now) {
  if (Live != this->LastLive) {
    this->LastLive = Live;
    this->LiveSince = Now;
  }
  std::vector<MemberName> Members;
  for (const wire::Member &Each : Current.members())
    Members.push_back(membership::parseMember(Each));
  std::sort(Members.begin(), Members.end());
  base::Duration Wait =
      this->Options.StablePeriod + this->rank(Live) * this->Options.RankDelay;
  if (Members == Live || Now - this->LiveSince < Wait)
    return std::nullopt;
  // Restart the wait, so that a failed proposal is retried only after it.
  this->LiveSince = Now;
  wire::Epoch New;
  New.set_number(Current.number() + 1);
  for (const MemberName &Each : Live)
    *New.add_members() = membership::toWire(Each);
  for (const base::InstanceId &Each :
       chooseWitnesses(Live, this->Options.WitnessesPerZone))
    New.add_witnesses(Each.Value);
  return New;
}

} // namespace kingcuphub::shares
