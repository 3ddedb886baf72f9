#include "placement/ledger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kingcuphub::placement {

namespace {

std::string describe(const AcceleratorId &Id) {
  return Id.Target.Value + "/" + std::to_string(Id.Index);
}

const std::map<Item, Resident> NoResidents;

} // namespace

void Ledger::setTarget(const base::TargetId &Id, bool HonoursFencing,
                       const std::vector<base::Bytes> &Sizes) {
  TargetState &State = this->Targets[Id];
  State.HonoursFencing = HonoursFencing;
  if (State.Accelerators.size() < Sizes.size())
    State.Accelerators.resize(Sizes.size());
  for (std::size_t Index = 0; Index < State.Accelerators.size(); ++Index)
    State.Accelerators[Index].Size =
        Index < Sizes.size() ? Sizes[Index] : base::Bytes{};
}

void Ledger::removeTarget(const base::TargetId &Id) {
  for (const OpenOrder *Each : this->ordersOf(Id))
    this->Orders.erase(OrderId(Each->What.Id));
  this->OrdersByTarget.erase(Id);
  this->Targets.erase(Id);
}

void Ledger::setHolder(base::Offset Fencing, base::TimePoint Now) {
  if (Fencing == this->HolderFencing)
    return;
  this->HolderFencing = Fencing;
  for (const auto &[Id, Open] : this->Orders)
    if (Open.What.Fencing != Fencing)
      this->extend(Id, Now);
}

void Ledger::extend(const OrderId &Id, base::TimePoint Now) {
  if (auto Open = this->Orders.find(Id); Open != this->Orders.end())
    Open->second.ExpiresAt =
        std::max(Open->second.ExpiresAt, Now + Open->second.What.Deadline +
                                             this->Settings.ExpiryMargin);
}

void Ledger::rebindToIncarnation(const OrderId &Id, base::TimePoint Now) {
  auto Found = this->Orders.find(Id);
  if (Found == this->Orders.end())
    return;
  OpenOrder &Open = Found->second;
  if (auto Current = this->incarnation(Open.What.Where.Target))
    Open.What.TargetIncarnation = *Current;
  Open.EngineRestarted = false;
  Open.Answer.reset();
  this->extend(Id, Now);
}

base::Result<void> Ledger::check(const Order &New, base::TimePoint Now) const {
  auto State = this->Targets.find(New.Where.Target);
  const Accelerator *Where = this->find(New.Where);
  if (Where == nullptr)
    return base::fail(PlacementErrc::UnknownAccelerator,
                      describe(New.Where) +
                          " is not configured; put its target first");
  if (auto Allowed = this->checkTarget(New, State->second); !Allowed)
    return Allowed;
  if (auto Allowed = this->checkOpenOrders(New, State->second, Now); !Allowed)
    return Allowed;
  if (!takesMemory(New.Kind)) {
    if (Where->Items.count(New.OrderedItem) == 0)
      return base::fail(PlacementErrc::NotResident,
                        New.OrderedItem.Model.Value + " is not on " +
                            describe(New.Where) + "; nothing is to be done");
    return {};
  }
  base::Bytes After = this->chargedWith(New.Where, &New);
  if (After > Where->Size)
    return base::fail(PlacementErrc::NoMemory,
                      describe(New.Where) + " would hold " +
                          std::to_string(After.Value) + " of " +
                          std::to_string(Where->Size.Value) +
                          " bytes; unload something first");
  return {};
}

base::Result<void> Ledger::checkTarget(const Order &New,
                                       const TargetState &State) const {
  if (this->Orders.count(New.Id) != 0)
    return base::fail(PlacementErrc::DuplicateOrder,
                      "order " + New.Id.Value +
                          " already exists; use a new id");
  if (!State.Incarnation)
    return base::fail(PlacementErrc::NoReport,
                      New.Where.Target.Value +
                          " has not reported yet; wait for its load report");
  if (*State.Incarnation != New.TargetIncarnation)
    return base::fail(PlacementErrc::WrongIncarnation,
                      New.Where.Target.Value +
                          " has restarted; replan from its new report");
  if (New.Fencing < State.AnsweredFencing)
    return base::fail(PlacementErrc::OldFencing,
                      "a later holder already sends orders to " +
                          New.Where.Target.Value + "; catch up with the log");
  return {};
}

base::Result<void> Ledger::checkOpenOrders(const Order &New,
                                           const TargetState &State,
                                           base::TimePoint Now) const {
  for (const OpenOrder *Each : this->ordersOf(New.Where.Target)) {
    if (!Each->unsettled())
      continue;
    bool Earlier = Each->What.Fencing < New.Fencing;
    if (!State.HonoursFencing && Earlier && Now < Each->ExpiresAt)
      return base::fail(PlacementErrc::Blocked,
                        New.Where.Target.Value +
                            " ignores fencing and the earlier holder's order " +
                            Each->What.Id.Value +
                            " may still arrive; wait until it expires");
    // An unload under a newer fencing number makes the engine refuse the
    // earlier order, which would otherwise stay unsettled.
    if (State.HonoursFencing && Earlier && !takesMemory(New.Kind))
      continue;
    if (Each->What.Where == New.Where &&
        Each->What.OrderedItem == New.OrderedItem)
      return base::fail(PlacementErrc::Blocked,
                        "order " + Each->What.Id.Value +
                            " on the same item is unsettled; wait for it");
  }
  return {};
}

void Ledger::begin(const Order &New, base::TimePoint Now) {
  bool Fresh =
      this->Orders.emplace(New.Id, OpenOrder{New, {}, std::nullopt, false})
          .second;
  this->extend(New.Id, Now);
  if (!Fresh)
    return;
  this->OrdersByTarget[New.Where.Target].push_back(New.Id);
  if (Accelerator *Where = this->find(New.Where))
    Where->TouchedAt[New.OrderedItem] = Now;
  this->updateConfirmed(New.Where, New.OrderedItem);
}

void Ledger::abandon(const OrderId &Id) {
  auto Open = this->Orders.find(Id);
  if (Open == this->Orders.end())
    return;
  Order What = Open->second.What;
  this->drop(Id);
  this->updateConfirmed(What.Where, What.OrderedItem);
}

void Ledger::answer(const OrderId &Id, OrderAnswer Answer,
                    base::Offset AnswerFencing, base::TimePoint Now) {
  auto Found = this->Orders.find(Id);
  if (Found == this->Orders.end() || !Found->second.unsettled())
    return;
  OpenOrder &Open = Found->second;
  Open.Answer = Answer;
  // The incarnation that answered is gone; a late copy of the order may reach
  // the next one.
  if (Open.EngineRestarted)
    return;
  if (auto State = this->Targets.find(Open.What.Where.Target);
      State != this->Targets.end() &&
      State->second.AnsweredFencing < AnswerFencing) {
    State->second.AnsweredFencing = AnswerFencing;
    State->second.AnsweredAt = Now;
  }
  if (Answer == OrderAnswer::Done)
    this->applyOrder(Open.What, Now);
  if (Accelerator *Where = this->find(Open.What.Where))
    Where->TouchedAt[Open.What.OrderedItem] = Now;
  this->updateConfirmed(Open.What.Where, Open.What.OrderedItem);
}

void Ledger::applyOrder(const Order &What, base::TimePoint Now) {
  Accelerator *Where = this->find(What.Where);
  if (Where == nullptr)
    return;
  Where->TouchedAt[What.OrderedItem] = Now;
  if (What.Kind == OrderKind::ChangeRole)
    Where->RoleSize = What.Size;
  else if (takesMemory(What.Kind))
    Where->Items[What.OrderedItem] = {What.Size, true};
  else
    Where->Items.erase(What.OrderedItem);
}

void Ledger::report(const MemoryReport &Report) {
  auto Found = this->Targets.find(Report.Target);
  if (Found == this->Targets.end())
    return;
  TargetState &State = Found->second;
  if (State.Incarnation && Report.Incarnation < *State.Incarnation)
    return;
  if (!State.Incarnation || *State.Incarnation < Report.Incarnation)
    this->startIncarnation(State, Report);
  else if (Report.Sequence < State.Sequence)
    return;
  State.Sequence = Report.Sequence;
  this->settle(Report, State);
  this->updateItems(State, Report);
}

void Ledger::startIncarnation(TargetState &State, const MemoryReport &Report) {
  bool Restarted = State.Incarnation.has_value();
  State.Incarnation = Report.Incarnation;
  State.AnsweredFencing = {};
  for (Accelerator &Each : State.Accelerators) {
    Each.Items.clear();
    Each.TouchedAt.clear();
    Each.RoleSize = {};
  }
  for (const OpenOrder *Each : this->ordersOf(Report.Target)) {
    OpenOrder &Open = this->Orders.at(Each->What.Id);
    if (Open.What.TargetIncarnation < Report.Incarnation) {
      Open.EngineRestarted = Restarted || Open.unsettled();
      continue;
    }
    if (Open.Answer == OrderAnswer::Done)
      this->applyOrder(Open.What, Report.RequestedAt);
  }
}

bool Ledger::isNewer(const MemoryReport &Report, const OpenOrder &Open,
                     const TargetState &State) const {
  base::TimePoint Content = Report.RequestedAt - this->Settings.ReportLag;
  if (Content < Open.ExpiresAt)
    return false;
  // An answered order is not sent again.
  if (!State.HonoursFencing || Open.Answer ||
      Open.What.Fencing == this->HolderFencing)
    return true;
  // A holder that was paused may send its order at any time until the engine
  // has answered under a newer fencing number.
  return State.AnsweredFencing > Open.What.Fencing &&
         State.AnsweredAt <= Content;
}

void Ledger::settle(const MemoryReport &Report, const TargetState &State) {
  for (const OpenOrder *Each : this->ordersOf(Report.Target)) {
    if (!Each->unsettled() || !this->isNewer(Report, *Each, State))
      continue;
    Order What = Each->What;
    this->drop(What.Id);
    this->updateConfirmed(What.Where, What.OrderedItem);
  }
}

void Ledger::updateItems(TargetState &State, const MemoryReport &Report) {
  base::TimePoint Content = Report.RequestedAt - this->Settings.ReportLag;
  // An engine may already omit an item, and its memory, while it unloads it.
  std::set<std::pair<std::uint32_t, Item>> Ordered;
  std::set<std::pair<std::uint32_t, Item>> Unloading;
  std::set<std::uint32_t> WithOpenOrders;
  for (const OpenOrder *Each : this->ordersOf(Report.Target)) {
    if (!Each->unsettled())
      continue;
    Ordered.emplace(Each->What.Where.Index, Each->What.OrderedItem);
    if (!takesMemory(Each->What.Kind))
      Unloading.emplace(Each->What.Where.Index, Each->What.OrderedItem);
    WithOpenOrders.insert(Each->What.Where.Index);
  }
  auto IsAuthoritative = [&](std::uint32_t Index, const Item &What) {
    const auto &TouchedAt = State.Accelerators[Index].TouchedAt;
    auto Touched = TouchedAt.find(What);
    return (Touched == TouchedAt.end() || Touched->second <= Content) &&
           Ordered.count({Index, What}) == 0;
  };
  std::vector<std::map<Item, base::Bytes>> Reported(State.Accelerators.size());
  for (const ReportedItem &Each : Report.Items)
    if (Each.Accelerator < Reported.size())
      Reported[Each.Accelerator][Each.What] = Each.Size;
  for (std::uint32_t Index = 0; Index < Reported.size(); ++Index) {
    Accelerator &Where = State.Accelerators[Index];
    std::erase_if(Where.Items, [&](const auto &Known) {
      return Reported[Index].count(Known.first) == 0 &&
             IsAuthoritative(Index, Known.first);
    });
    base::Bytes Attributed;
    for (const auto &[What, Size] : Reported[Index]) {
      Attributed += Size;
      // The unload order of a former holder may be read before the first report
      // lists its item.
      if (!IsAuthoritative(Index, What) && Unloading.count({Index, What}) == 0)
        continue;
      Where.Items[What].Size = Size;
      this->updateConfirmed({Report.Target, Index}, What);
    }
    std::erase_if(Where.TouchedAt,
                  [&](const auto &Known) { return Known.second <= Content; });
    // A load uses memory before the report lists its item.
    bool UsageIsStable =
        Where.TouchedAt.empty() && WithOpenOrders.count(Index) == 0;
    if (UsageIsStable && Index < Report.Used.size())
      Where.Unattributed =
          std::max(base::Bytes{}, Report.Used[Index] - Attributed);
  }
}

void Ledger::expire(base::TimePoint Now) {
  std::vector<OrderId> Expired;
  for (const auto &[Id, Open] : this->Orders) {
    if (Open.unsettled() || Now < Open.ExpiresAt)
      continue;
    auto State = this->Targets.find(Open.What.Where.Target);
    // Kept until the first report of the order's incarnation, which resets the
    // target's items and applies the answered orders again.
    bool AwaitsReport =
        State != this->Targets.end() &&
        (!State->second.Incarnation ||
         *State->second.Incarnation < Open.What.TargetIncarnation);
    if (!AwaitsReport)
      Expired.push_back(Id);
  }
  for (const OrderId &Id : Expired)
    this->drop(Id);
}

void Ledger::drop(const OrderId &Id) {
  auto Open = this->Orders.find(Id);
  if (Open == this->Orders.end())
    return;
  auto OfTarget = this->OrdersByTarget.find(Open->second.What.Where.Target);
  if (OfTarget != this->OrdersByTarget.end()) {
    std::erase(OfTarget->second, Id);
    if (OfTarget->second.empty())
      this->OrdersByTarget.erase(OfTarget);
  }
  this->Orders.erase(Open);
}

std::vector<const OpenOrder *>
Ledger::ordersOf(const base::TargetId &Id) const {
  std::vector<const OpenOrder *> Out;
  auto OfTarget = this->OrdersByTarget.find(Id);
  if (OfTarget == this->OrdersByTarget.end())
    return Out;
  for (const OrderId &Each : OfTarget->second)
    Out.push_back(&this->Orders.at(Each));
  return Out;
}

std::vector<const OpenOrder *>
Ledger::unsettled(const base::TargetId &Id) const {
  std::vector<const OpenOrder *> Out = this->ordersOf(Id);
  std::erase_if(Out, [](const OpenOrder *Each) { return !Each->unsettled(); });
  return Out;
}

const OpenOrder *Ledger::findUnsettled(const OrderId &Id) const {
  auto Open = this->Orders.find(Id);
  if (Open == this->Orders.end() || !Open->second.unsettled())
    return nullptr;
  return &Open->second;
}

bool Ledger::honoursFencing(const base::TargetId &Id) const {
  auto State = this->Targets.find(Id);
  return State != this->Targets.end() && State->second.HonoursFencing;
}

bool Ledger::hasOpenOrder(const AcceleratorId &Where, const Item &What) const {
  for (const OpenOrder *Each : this->ordersOf(Where.Target))
    if (Each->unsettled() && Each->What.Where == Where &&
        Each->What.OrderedItem == What)
      return true;
  return false;
}

void Ledger::updateConfirmed(const AcceleratorId &Where, const Item &What) {
  Accelerator *At = this->find(Where);
  if (At == nullptr)
    return;
  auto Known = At->Items.find(What);
  if (Known == At->Items.end())
    return;
  Known->second.Confirmed = true;
  for (const OpenOrder *Each : this->ordersOf(Where.Target))
    if (Each->unsettled() && !takesMemory(Each->What.Kind) &&
        Each->What.Where == Where && Each->What.OrderedItem == What)
      Known->second.Confirmed = false;
}

base::Bytes Ledger::charged(const AcceleratorId &Id) const {
  return this->chargedWith(Id, nullptr);
}

base::Bytes Ledger::chargedWith(const AcceleratorId &Id,
                                const Order *New) const {
  const Accelerator *Where = this->find(Id);
  if (Where == nullptr)
    return {};
  base::Bytes Sum;
  for (const auto &[What, Known] : Where->Items)
    Sum += Known.Size;
  base::Bytes Roles = Where->RoleSize;
  std::map<Item, base::Bytes> Extra;
  auto Count = [&](const Order &Load) {
    if (Load.Kind == OrderKind::ChangeRole) {
      Roles += Load.Size;
      return;
    }
    auto Known = Where->Items.find(Load.OrderedItem);
    base::Bytes Counted =
        Known == Where->Items.end() ? base::Bytes{} : Known->second.Size;
    base::Bytes &Additional = Extra[Load.OrderedItem];
    Additional = std::max(Additional, Load.Size - Counted);
  };
  for (const OpenOrder *Each : this->ordersOf(Id.Target))
    if (Each->unsettled() && takesMemory(Each->What.Kind) &&
        Each->What.Where == Id)
      Count(Each->What);
  if (New != nullptr)
    Count(*New);
  for (const auto &[What, Additional] : Extra)
    Sum += std::max(base::Bytes{}, Additional);
  return Sum + std::max(Where->Unattributed, Roles);
}

base::Bytes Ledger::free(const AcceleratorId &Id) const {
  return this->size(Id) - this->charged(Id);
}

base::Bytes Ledger::expectedFree(const AcceleratorId &Id) const {
  base::Bytes Free = this->free(Id);
  const Accelerator *Where = this->find(Id);
  if (Where == nullptr)
    return Free;
  for (const auto &[What, Known] : Where->Items)
    if (!Known.Confirmed)
      Free += Known.Size;
  return Free;
}

bool Ledger::knows(const base::TargetId &Id) const {
  return this->Targets.count(Id) != 0;
}

std::optional<base::Incarnation>
Ledger::incarnation(const base::TargetId &Id) const {
  auto State = this->Targets.find(Id);
  if (State == this->Targets.end())
    return std::nullopt;
  return State->second.Incarnation;
}

base::Bytes Ledger::size(const AcceleratorId &Id) const {
  const Accelerator *Where = this->find(Id);
  return Where == nullptr ? base::Bytes{} : Where->Size;
}

std::vector<AcceleratorId> Ledger::accelerators() const {
  std::vector<AcceleratorId> Out;
  for (const auto &[Id, State] : this->Targets)
    for (std::uint32_t Index = 0; Index < State.Accelerators.size(); ++Index)
      Out.push_back({Id, Index});
  return Out;
}

const std::map<Item, Resident> &
Ledger::residents(const AcceleratorId &Id) const {
  const Accelerator *Where = this->find(Id);
  return Where == nullptr ? NoResidents : Where->Items;
}

Ledger::Accelerator *Ledger::find(const AcceleratorId &Id) {
  auto State = this->Targets.find(Id.Target);
  if (State == this->Targets.end() ||
      Id.Index >= State->second.Accelerators.size())
    return nullptr;
  return &State->second.Accelerators[Id.Index];
}

const Ledger::Accelerator *Ledger::find(const AcceleratorId &Id) const {
  return const_cast<Ledger *>(this)->find(Id);
}

} // namespace kingcuphub::placement
