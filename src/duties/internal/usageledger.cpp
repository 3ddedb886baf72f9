#include "duties/usageledger.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::duties {

void UsageLedger::start(std::vector<UsageReport> Left, WallMillis Now,
                        bool MayBeIncomplete) {
  UsageLedgerSettings Kept = this->Settings;
  *this = UsageLedger(Kept);
  this->Reports = std::move(Left);
  for (const UsageReport &Each : this->Reports) {
    // They stand in the record that this holder's claim was appended with.
    this->Stored.insert(Each.Window);
    this->Settled = std::max(this->Settled.value_or(Each.Window), Each.Window);
  }
  // Windows that ended long ago are not worth a report any more.
  WallMillis Oldest = std::max(Now - this->Settings.KeepFor, WallMillis(0));
  this->From = windowAt(Oldest, this->Settings.WindowLength);
  if (this->Settled)
    this->From = std::max(*this->From, WindowId{this->Settled->Value + 1});
  if (MayBeIncomplete)
    this->From =
        std::max(*this->From, windowAt(Now, this->Settings.WindowLength));
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
    if (!this->Settled || *this->Settled < Window)
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
  this->Settled = Window;
  this->Reports.push_back(std::move(New));
}

bool UsageLedger::settle(const std::set<base::InstanceId> &Instances,
                         WallMillis Now) {
  if (!this->From)
    return false;
  std::size_t Dropped = std::erase_if(this->Reports, [&](const auto &Each) {
    return Now > endOf(Each.Window, this->Settings.WindowLength) +
                     this->Settings.KeepFor;
  });
  bool Changed = Dropped > 0;
  auto IsComplete = [&](WindowId Window) {
    return std::all_of(
        Instances.begin(), Instances.end(), [&](const base::InstanceId &Each) {
          auto Found = this->Complete.find(Each);
          return Found != this->Complete.end() && Window <= Found->second;
        });
  };
  if (!this->Settled && this->Open.empty())
    return Changed;
  WindowId Next = this->Settled ? WindowId{this->Settled->Value + 1}
                                : this->Open.begin()->first;
  Next = std::max(Next, *this->From);
  for (;; Next.Value += 1) {
    WallMillis End = endOf(Next, this->Settings.WindowLength);
    bool Due = Now >= End + this->Settings.SettleAtLatest ||
               (Now >= End + this->Settings.SettleAfter && IsComplete(Next));
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
