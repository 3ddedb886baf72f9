#include "placement/dispatcher.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::placement {

Dispatcher::Dispatcher(DispatcherSettings Settings, Ledger &Memory,
                       const OrderLog &Log)
    : Settings(Settings), Memory(Memory), Log(Log) {}

base::Result<OrderId> Dispatcher::submit(const Move &Wanted,
                                         base::Offset Fencing,
                                         base::TimePoint Now) {
  this->takeOver(Fencing, Now);
  Order New;
  New.Id = OrderId{"order/" + std::to_string(Fencing.Value) + "/" +
                   std::to_string(this->NextOrder)};
  New.Where = Wanted.Where;
  if (auto Current = this->Memory.incarnation(Wanted.Where.Target))
    New.TargetIncarnation = *Current;
  New.Kind = Wanted.Kind;
  New.OrderedItem = Wanted.What;
  New.Size = Wanted.Size;
  New.Fencing = Fencing;
  New.Deadline = Wanted.Kind == OrderKind::LoadModel
                     ? this->Settings.LoadDeadline
                     : this->Settings.ShortDeadline;
  if (auto Allowed = this->Memory.check(New, Now); !Allowed)
    return tl::unexpected(Allowed.error());
  ++this->NextOrder;
  this->Memory.begin(New, Now);
  this->TrackedOrders[New.Id] = TrackedOrder{New, Stage::Proposed, Now, {}, {}};
  return New.Id;
}

void Dispatcher::onEvent(const OrderLogEvent &Event, base::TimePoint Now) {
  if (const auto *Begun = std::get_if<OrderBegun>(&Event)) {
    this->Memory.begin(Begun->What, Now);
    auto Found = this->TrackedOrders.find(Begun->What.Id);
    if (Found == this->TrackedOrders.end() ||
        Found->second.CurrentStage != Stage::Proposed)
      return;
    bool Drains = Begun->What.Kind == OrderKind::UnloadModel;
    Found->second.CurrentStage = Stage::Ready;
    Found->second.DueAt =
        Drains ? Now + this->Settings.DrainTime : base::TimePoint(Now);
    return;
  }
  if (const auto *Ended = std::get_if<OrderEnded>(&Event)) {
    this->Memory.answer(Ended->Id, Ended->Answer, Ended->HolderFencing, Now);
    this->TrackedOrders.erase(Ended->Id);
    return;
  }
  if (const auto *Rejected = std::get_if<RecordRejected>(&Event))
    if (!Rejected->Order.empty() &&
        this->Log.open().count(Rejected->Order) == 0) {
      this->Memory.abandon(Rejected->Order);
      this->TrackedOrders.erase(Rejected->Order);
    }
}

void Dispatcher::onLoaded(base::TimePoint Now) {
  for (const auto &[Id, Each] : this->Log.open())
    this->Memory.begin(Each, Now);
}

void Dispatcher::onAnswer(const OrderId &Id, std::optional<OrderAnswer> Answer,
                          base::TimePoint Now) {
  auto Found = this->TrackedOrders.find(Id);
  if (Found == this->TrackedOrders.end() ||
      Found->second.CurrentStage != Stage::Sent)
    return;
  const OpenOrder *Open = this->Memory.findUnsettled(Id);
  bool EngineRestarted = Open != nullptr && Open->EngineRestarted;
  if (Answer && !EngineRestarted) {
    this->setAnswered(Found->second, *Answer, Now);
    return;
  }
  TrackedOrder &Tracked = Found->second;
  Tracked.CurrentStage = Stage::Unknown;
  Tracked.ResendAfter =
      std::clamp(Tracked.ResendAfter * 2, this->Settings.InitialResendDelay,
                 this->Settings.MaxResendDelay);
  Tracked.DueAt = Now + Tracked.ResendAfter;
}

std::vector<DispatchCommand> Dispatcher::tick(std::optional<base::Offset> Held,
                                              base::TimePoint Now) {
  std::vector<DispatchCommand> Out;
  if (!Held)
    return Out;
  this->takeOver(*Held, Now);
  for (auto &[Id, Each] : this->TrackedOrders)
    this->step(Each, *Held, Now, Out);
  return Out;
}

void Dispatcher::takeOver(base::Offset Fencing, base::TimePoint Now) {
  if (this->Fencing == Fencing)
    return;
  for (const auto &[Id, Each] : this->TrackedOrders)
    if (this->Log.open().count(Id) == 0)
      this->Memory.abandon(Id);
  this->TrackedOrders.clear();
  this->Fencing = Fencing;
  this->NextOrder = 0;
  this->Memory.setHolder(Fencing, Now);
  for (const auto &[Id, Each] : this->Log.open())
    this->TrackedOrders[Id] = TrackedOrder{Each, Stage::Unknown, Now, {}, {}};
}

void Dispatcher::step(TrackedOrder &Tracked, base::Offset Fencing,
                      base::TimePoint Now, std::vector<DispatchCommand> &Out) {
  if (Tracked.CurrentStage == Stage::Sent)
    this->Memory.extend(Tracked.What.Id, Now);
  if (Now < Tracked.DueAt)
    return;
  switch (Tracked.CurrentStage) {
  case Stage::Proposed:
    Tracked.DueAt = Now + this->Settings.AppendRetryInterval;
    Out.push_back(AppendIntent{Tracked.What});
    return;
  case Stage::Ready:
    Tracked.CurrentStage = Stage::Sent;
    this->Memory.extend(Tracked.What.Id, Now);
    Out.push_back(SendOrder{Tracked.What, Fencing});
    return;
  case Stage::Sent:
    return;
  case Stage::Unknown:
    this->resend(Tracked, Fencing, Now, Out);
    return;
  case Stage::Answered:
    Tracked.DueAt = Now + this->Settings.AppendRetryInterval;
    Out.push_back(AppendOutcome{Tracked.What.Id, Tracked.Answer, Fencing});
    return;
  }
}

void Dispatcher::resend(TrackedOrder &Tracked, base::Offset Fencing,
                        base::TimePoint Now,
                        std::vector<DispatchCommand> &Out) {
  const OpenOrder *Open = this->Memory.findUnsettled(Tracked.What.Id);
  if (Open == nullptr) {
    bool IsResident = this->isResident(Tracked.What);
    bool Done = takesMemory(Tracked.What.Kind) ? IsResident : !IsResident;
    this->setAnswered(Tracked, Done ? OrderAnswer::Done : OrderAnswer::NotDone,
                      Now);
    this->step(Tracked, Fencing, Now, Out);
    return;
  }
  bool FromFormerHolder = Tracked.What.Fencing < Fencing;
  if (FromFormerHolder &&
      !this->Memory.honoursFencing(Tracked.What.Where.Target) &&
      Now < Open->ExpiresAt) {
    Tracked.DueAt = Open->ExpiresAt;
    return;
  }
  // A restarted engine carries the order out again. Its memory is still
  // reserved, and only the new incarnation's answer shows that no earlier copy
  // will take effect.
  if (Open->EngineRestarted) {
    this->Memory.rebindToIncarnation(Tracked.What.Id, Now);
    Tracked.What = Open->What;
  }
  Tracked.CurrentStage = Stage::Sent;
  this->Memory.extend(Tracked.What.Id, Now);
  Out.push_back(SendOrder{Tracked.What, Fencing});
}

void Dispatcher::setAnswered(TrackedOrder &Tracked, OrderAnswer Answer,
                             base::TimePoint Now) {
  Tracked.CurrentStage = Stage::Answered;
  Tracked.Answer = Answer;
  Tracked.DueAt = Now;
  if (this->Fencing)
    this->Memory.answer(Tracked.What.Id, Answer, *this->Fencing, Now);
}

bool Dispatcher::isResident(const Order &What) const {
  return this->Memory.residents(What.Where).count(What.OrderedItem) != 0;
}

unsigned Dispatcher::inFlight(OrderKind Kind) const {
  unsigned Count = 0;
  for (const auto &[Id, Open] : this->Memory.orders())
    if (Open.unsettled() && Open.What.Kind == Kind)
      ++Count;
  return Count;
}

} // namespace kingcuphub::placement
