#include "residency/orderledger.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::residency {

namespace {

/// Below zero if \p At has passed.
std::chrono::milliseconds timeUntil(base::TimePoint At, base::TimePoint Now) {
  return std::chrono::ceil<std::chrono::milliseconds>(At - Now);
}

} // namespace

void OrderLedger::onClaim(FencingToken Token, bool Continues) {
  FencingToken Earlier = std::exchange(this->Claim, Token);
  if (!Continues)
    return;
  for (auto &[Engine, Each] : this->Own)
    if (Each.Token == Earlier)
      Each.Token = Token;
}

void OrderLedger::onSent(const base::TargetId &Engine,
                         catalog::Lifetime Lifetime, base::TimePoint Now) {
  OwnOrders &Entry = this->Own[Engine];
  Entry.Token = this->Claim;
  Entry.Lifetime = Lifetime;
  Entry.LastSentAt = Now;
  ++Entry.Unsettled;
  ++Entry.UnderWay;
}

void OrderLedger::onEnded(const base::TargetId &Engine) {
  if (auto Found = this->Own.find(Engine);
      Found != this->Own.end() && Found->second.UnderWay > 0)
    --Found->second.UnderWay;
}

void OrderLedger::onSettled(const base::TargetId &Engine, base::TimePoint Now) {
  auto Found = this->Own.find(Engine);
  if (Found == this->Own.end() || Found->second.Unsettled == 0)
    return;
  --Found->second.Unsettled;
  Found->second.LastSettledAt = Now;
}

void OrderLedger::onCut(const base::TargetId &Engine, base::TimePoint Now) {
  auto Found = this->Own.find(Engine);
  if (Found == this->Own.end() || Found->second.Cut == Found->second.Unsettled)
    return;
  ++Found->second.Cut;
  Found->second.CutAt = Now;
}

base::TimePoint OrderLedger::settledAtLatest(const OwnOrders &Entry) const {
  bool AllCut = Entry.Unsettled - Entry.UnderWay <= Entry.Cut;
  return (AllCut ? Entry.CutAt : Entry.LastSentAt) +
         this->Settings.MaxOrderDelay;
}

void OrderLedger::inherit(const std::vector<UnsettledOrders> &Left,
                          base::TimePoint ReadAt, base::TimePoint Now) {
  for (const UnsettledOrders &Each : Left) {
    if (Each.Sender == this->Self)
      continue;
    OtherOrders &Entry = this->Others[Each.Engine][Each.Sender];
    Entry.Lifetime = std::max(Entry.Lifetime, Each.Lifetime);
    Entry.Until = std::max(Entry.Until, ReadAt + Each.Left);
    // It may arrive after an order that was sent under this claim.
    auto Found = this->Own.find(Each.Engine);
    if (Now < Entry.Until && Found != this->Own.end())
      Found->second.Token = {};
  }
}

void OrderLedger::replace(const OrderSender &Sender,
                          const std::vector<UnsettledOrders> &Current,
                          base::TimePoint Now) {
  if (Sender == this->Self)
    return;
  for (auto &[Engine, Senders] : this->Others)
    Senders.erase(Sender);
  this->inherit(Current, Now, Now);
}

bool OrderLedger::mayOrder(const base::TargetId &Engine,
                           base::TimePoint Now) const {
  if (auto Found = this->Own.find(Engine);
      Found != this->Own.end() && Found->second.Token != this->Claim) {
    const OwnOrders &Entry = Found->second;
    if (Entry.Unsettled > 0 || Now < this->turnAfter(Entry.LastSettledAt))
      return false;
  }
  auto Found = this->Others.find(Engine);
  if (Found == this->Others.end())
    return true;
  return std::all_of(
      Found->second.begin(), Found->second.end(), [&](const auto &Each) {
        const auto &[Sender, Orders] = Each;
        // An earlier process of this machine is the same holder.
        base::TimePoint Until = Sender.Instance == this->Self.Instance
                                    ? this->turnAfter(Orders.Until)
                                    : Orders.Until;
        return Now >= Until;
      });
}

std::vector<UnsettledOrders> OrderLedger::own(base::TimePoint Now) const {
  std::vector<UnsettledOrders> Out;
  for (const auto &[Engine, Each] : this->Own)
    if (Each.Unsettled > Each.UnderWay)
      Out.push_back({this->Self, Engine, Each.Lifetime,
                     timeUntil(this->settledAtLatest(Each), Now)});
  return Out;
}

std::vector<UnsettledOrders> OrderLedger::all(base::TimePoint Now) const {
  std::vector<UnsettledOrders> Out = this->own(Now);
  // The next process of this machine owes the same turns.
  for (const auto &[Engine, Each] : this->Own)
    if (Each.Unsettled == 0 && Each.Token != this->Claim &&
        Now < this->turnAfter(Each.LastSettledAt))
      Out.push_back({this->Self, Engine, Each.Lifetime,
                     timeUntil(Each.LastSettledAt, Now)});
  for (const auto &[Engine, Senders] : this->Others)
    for (const auto &[Sender, Each] : Senders)
      Out.push_back(
          {Sender, Engine, Each.Lifetime, timeUntil(Each.Until, Now)});
  return Out;
}

void OrderLedger::prune(base::TimePoint Now) {
  for (auto &[Engine, Each] : this->Own) {
    base::TimePoint Bound = Each.CutAt + this->Settings.MaxOrderDelay;
    if (Each.Cut == 0 || Now < Bound)
      continue;
    Each.Unsettled -= std::exchange(Each.Cut, 0);
    Each.LastSettledAt = std::max(Each.LastSettledAt, Bound);
  }
  std::erase_if(this->Own, [&](const auto &Each) {
    const OwnOrders &Entry = Each.second;
    return Entry.Unsettled == 0 && Now >= this->turnAfter(Entry.LastSettledAt);
  });
  for (auto &[Engine, Senders] : this->Others)
    std::erase_if(Senders, [&](const auto &Each) {
      return Now >= this->turnAfter(Each.second.Until);
    });
  std::erase_if(this->Others,
                [](const auto &Each) { return Each.second.empty(); });
}

} // namespace kingcuphub::residency
