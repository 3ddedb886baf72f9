#include "dispatch/usageshares.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::dispatch {

namespace {

using Seconds = std::chrono::duration<double>;

/// The part of an account's limit that grants make up.
constexpr double GrantedWhole = 1 - BasePart;

} // namespace

void UsageShares::start(base::TimePoint Now) {
  this->Accounts.clear();
  this->CautiousUntil = Now + this->Settings.GrantLasts + this->Settings.Margin;
}

void UsageShares::follow(Share &Of, double Asked, base::TimePoint Now) const {
  double Passed = Seconds(Now - Of.DemandAt).count();
  Of.DemandAt = Now;
  if (Passed <= 0)
    return;
  double Keep = std::exp(-Passed / Seconds(this->Settings.Smoothing).count());
  Of.Demand = Of.Demand * Keep + Asked / Passed * (1 - Keep);
}

double UsageShares::grant(Shares &Of, const base::InstanceId &To,
                          base::TimePoint Now) {
  double Demand = 0;
  double Taken = 0;
  for (auto &[Id, Each] : Of) {
    bool Lapsed = Now >= Each.CommittedUntil;
    if (Lapsed)
      Each.Committed = Each.Granted = 0;
    if (!Lapsed || Id == To)
      Demand += Each.Demand;
    if (Id != To)
      Taken += Each.Committed;
  }
  Share &Own = Of[To];
  double Wanted = Demand > 0 ? GrantedWhole * Own.Demand / Demand : 0;
  double Part = std::min(Wanted, std::max(0.0, GrantedWhole - Taken));
  // Of what other instances may still hold from a former holder, nothing is
  // known: until that has lapsed, nobody is granted more than it has.
  if (Now < this->CautiousUntil)
    Part = std::min(Part, Own.Committed);
  Own.Granted = Part;
  Own.Committed = std::max(Own.Committed, Part);
  Own.CommittedUntil = Now + this->Settings.GrantLasts + this->Settings.Margin;
  return Part;
}

std::vector<AccountGrant> UsageShares::onUse(const base::InstanceId &From,
                                             const std::vector<AccountUse> &Use,
                                             base::TimePoint Now) {
  std::vector<AccountGrant> Out;
  for (const AccountUse &Each : Use) {
    Shares &Of = this->Accounts[Each.Account];
    Share &Own = Of[From];
    this->follow(Own, Each.Asked, Now);
    // The statement may have crossed with the last grant.
    Own.Committed = std::max(Each.GrantedPart, Own.Granted);
    Out.push_back({Each.Account, this->grant(Of, From, Now)});
  }
  return Out;
}

} // namespace kingcuphub::dispatch
