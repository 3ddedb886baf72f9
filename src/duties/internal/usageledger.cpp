#include "duties/usageledger.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::duties {

void UsageLedger::start(UsageState Inherited, WallMillis Now,
                        bool MayBeIncomplete) {
  UsageLedgerSettings Kept = this->Settings;
  *this = UsageLedger(Kept);
  this->Started = true;
  this->Reports = std::move(Inherited.Reports);
  this->SettledThrough = Inherited.SettledThrough;
  for (const UsageReport &Each : this->Reports)
    this->SettledThrough = std::max(this->SettledThrough, Each.Window);
  // Windows that ended long ago are not worth a report any more.
  WallMillis Oldest = std::max(Now - this->Settings.KeepFor, WallMillis(0));
  this->From = windowAt(Oldest, this->Settings.WindowLength);
  WindowId Current =
      windowAt(std::max(Now, WallMillis(0)), this->Settings.WindowLength);
  if (MayBeIncomplete && Current.Value > 0)
    this->SettledThrough =
        std::max(this->SettledThrough, WindowId{Current.Value - 1});
}

UsageReport *UsageLedger::find(WindowId Window) {
  auto Found = std::find_if(
      this->Reports.begin(), this->Reports.end(),
      [Window](const UsageReport &Each) { return Each.Window == Window; });
  return Found == this->Reports.end() ? nullptr : &*Found;
}

void UsageLedger::onCounts(const base::InstanceId &From, WindowId Through,
                           const std::map<WindowId, BegunCounts> &Begun) {
  for (const auto &[Window, Counts] : Begun)
    if (this->SettledThrough < Window && Window <= Through)
      this->Open[Window][From] = Counts;
  WindowId &Known = this->Complete[From];
  Known = std::max(Known, Through);
}

void UsageLedger::settleWindow(WindowId Window) {
  UsageReport New{Window, {}, false};
  if (auto Found = this->Open.find(Window); Found != this->Open.end())
    for (const auto &[From, Counts] : Found->second)
      for (const auto &[Account, Count] : Counts)
        New.Counts[Account] += Count;
  this->Open.erase(Window);
  this->SettledThrough = Window;
  this->Reports.push_back(std::move(New));
}

bool UsageLedger::isComplete(
    const std::optional<std::set<base::InstanceId>> &Instances,
    WindowId Window) const {
  return Instances && std::all_of(Instances->begin(), Instances->end(),
                                  [&](const base::InstanceId &Each) {
                                    auto Found = this->Complete.find(Each);
                                    return Found != this->Complete.end() &&
                                           Window <= Found->second;
                                  });
}

bool UsageLedger::settle(
    const std::optional<std::set<base::InstanceId>> &Instances,
    WallMillis Now) {
  if (!this->Started)
    return false;
  bool Changed =
      std::erase_if(this->Reports, [&](const auto &Each) {
        return Now > endOf(Each.Window, this->Settings.WindowLength) +
                         this->Settings.KeepFor;
      }) > 0;
  // Nothing was counted yet, since the deployment began.
  if (this->SettledThrough == WindowId{} && this->Open.empty())
    return Changed;
  WindowId Next = this->SettledThrough == WindowId{}
                      ? this->Open.begin()->first
                      : WindowId{this->SettledThrough.Value + 1};
  for (Next = std::max(Next, this->From);; Next.Value += 1) {
    WallMillis End = endOf(Next, this->Settings.WindowLength);
    bool Due = Now >= End + this->Settings.SettleAtLatest ||
               (Now >= End + this->Settings.SettleAfter &&
                this->isComplete(Instances, Next));
    if (!Due)
      return Changed;
    this->settleWindow(Next);
    Changed = true;
  }
}

void UsageLedger::onStored(const std::vector<UsageReport> &NewStored) {
  for (const UsageReport &Each : NewStored)
    if (const UsageReport *Own = this->find(Each.Window);
        Own != nullptr && Own->Counts == Each.Counts)
      this->Stored.insert(Each.Window);
}

std::optional<UsageReport> UsageLedger::takeDue(WallMillis Now) {
  for (const UsageReport &Each : this->Reports) {
    if (Each.Accepted || this->Stored.count(Each.Window) == 0 ||
        this->UnderWay.count(Each.Window) != 0)
      continue;
    auto Sent = this->SentAt.find(Each.Window);
    if (Sent != this->SentAt.end() &&
        Now < Sent->second + this->Settings.RetryAfter)
      continue;
    this->SentAt[Each.Window] = Now;
    this->UnderWay.insert(Each.Window);
    return Each;
  }
  return std::nullopt;
}

void UsageLedger::onSent(WindowId Window, bool Accepted) {
  this->UnderWay.erase(Window);
  if (UsageReport *Of = this->find(Window); Of != nullptr && Accepted)
    Of->Accepted = true;
}

} // namespace kingcuphub::duties
