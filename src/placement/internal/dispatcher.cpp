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
  New.What = Wanted.What;
  New.Size = Wanted.Size;
  New.Fencing = Fencing;
  New.Deadline = Wanted.Kind == OrderKind::LoadModel
                     ? this->Settings.LoadDeadline
                     : this->Settings.ShortDeadline;
  if (auto Allowed = this->Memory.check(New, Now); !Allowed)
    return tl::unexpected(Allowed.error());
  ++this->NextOrder;
  this->Memory.begin(New, Now);
  this->Entries[New.Id] = Entry{New, Stage::Proposed, Now, {}, {}};
  return New.Id;
}

void Dispatcher::onEvent(const OrderLogEvent &Event, base::TimePoint Now) {
  if (const auto *Begun = std::get_if<OrderBegun>(&Event)) {
    this->Memory.begin(Begun->What, Now);
    auto Found = this->Entries.find(Begun->What.Id);
    if (Found == this->Entries.end() || Found->second.At != Stage::Proposed)
      return;
    bool Drains = Begun->What.Kind == OrderKind::UnloadModel;
    Found->second.At = Stage::Ready;
    Found->second.DueAt =
        Drains ? Now + this->Settings.DrainTime : base::TimePoint(Now);
    return;
  }
  if (const auto *Ended = std::get_if<OrderEnded>(&Event)) {
    this->Memory.answer(Ended->Id, Ended->Answer, Ended->UnderFencing, Now);
    this->Entries.erase(Ended->Id);
    return;
  }
  if (const auto *Rejected = std::get_if<RecordRejected>(&Event))
    if (!Rejected->Order.empty() &&
        this->Log.open().count(Rejected->Order) == 0) {
      this->Memory.abandon(Rejected->Order);
      this->Entries.erase(Rejected->Order);
    }
}

void Dispatcher::onLoaded(base::TimePoint Now) {
  for (const auto &[Id, Each] : this->Log.open())
    this->Memory.begin(Each, Now);
}

void Dispatcher::onAnswer(const OrderId &Id, std::optional<OrderAnswer> Answer,
                          base::TimePoint Now) {
  auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end() || Found->second.At != Stage::Sent)
    return;
  const OpenOrder *Open = this->Memory.findUnsettled(Id);
  bool EngineRestarted = Open != nullptr && Open->EngineRestarted;
  if (Answer && !EngineRestarted) {
    this->setAnswered(Found->second, *Answer, Now);
    return;
  }
  Entry &Of = Found->second;
  Of.At = Stage::Unknown;
  Of.ResendAfter =
      std::clamp(Of.ResendAfter * 2, this->Settings.InitialResendDelay,
                 this->Settings.MaxResendDelay);
  Of.DueAt = Now + Of.ResendAfter;
}

std::vector<DispatchCommand> Dispatcher::tick(std::optional<base::Offset> Held,
                                              base::TimePoint Now) {
  std::vector<DispatchCommand> Out;
  if (!Held)
    return Out;
  this->takeOver(*Held, Now);
  for (auto &[Id, Each] : this->Entries)
    this->step(Each, *Held, Now, Out);
  return Out;
}

void Dispatcher::takeOver(base::Offset Fencing, base::TimePoint Now) {
  if (this->Fencing == Fencing)
    return;
  for (const auto &[Id, Each] : this->Entries)
    if (this->Log.open().count(Id) == 0)
      this->Memory.abandon(Id);
  this->Entries.clear();
  this->Fencing = Fencing;
  this->NextOrder = 0;
  this->Memory.setHolder(Fencing, Now);
  for (const auto &[Id, Each] : this->Log.open())
    this->Entries[Id] = Entry{Each, Stage::Unknown, Now, {}, {}};
}

void Dispatcher::step(Entry &Of, base::Offset Fencing, base::TimePoint Now,
                      std::vector<DispatchCommand> &Out) {
  if (Of.At == Stage::Sent)
    this->Memory.extend(Of.What.Id, Now);
  if (Now < Of.DueAt)
    return;
  switch (Of.At) {
  case Stage::Proposed:
    Of.DueAt = Now + this->Settings.AppendRetryInterval;
    Out.push_back(AppendIntent{Of.What});
    return;
  case Stage::Ready:
    Of.At = Stage::Sent;
    this->Memory.extend(Of.What.Id, Now);
    Out.push_back(SendOrder{Of.What, Fencing});
    return;
  case Stage::Sent:
    return;
  case Stage::Unknown:
    this->resend(Of, Fencing, Now, Out);
    return;
  case Stage::Answered:
    Of.DueAt = Now + this->Settings.AppendRetryInterval;
    Out.push_back(AppendOutcome{Of.What.Id, Of.Answer, Fencing});
    return;
  }
}

void Dispatcher::resend(Entry &Of, base::Offset Fencing, base::TimePoint Now,
                        std::vector<DispatchCommand> &Out) {
  const OpenOrder *Open = this->Memory.findUnsettled(Of.What.Id);
  if (Open == nullptr) {
    bool IsResident = this->isResident(Of.What);
    bool Done = takesMemory(Of.What.Kind) ? IsResident : !IsResident;
    this->setAnswered(Of, Done ? OrderAnswer::Done : OrderAnswer::NotDone, Now);
    this->step(Of, Fencing, Now, Out);
    return;
  }
  bool FromFormerHolder = Of.What.Fencing < Fencing;
  if (FromFormerHolder && !this->Memory.honoursFencing(Of.What.Where.Target) &&
      Now < Open->ExpiresAt) {
    Of.DueAt = Open->ExpiresAt;
    return;
  }
  // A restarted engine carries the order out again. Its memory is still
  // reserved, and only the new incarnation's answer shows that no earlier copy
  // will take effect.
  if (Open->EngineRestarted) {
    this->Memory.rebindToIncarnation(Of.What.Id, Now);
    Of.What = Open->What;
  }
  Of.At = Stage::Sent;
  this->Memory.extend(Of.What.Id, Now);
  Out.push_back(SendOrder{Of.What, Fencing});
}

void Dispatcher::setAnswered(Entry &Of, OrderAnswer Answer,
                             base::TimePoint Now) {
  Of.At = Stage::Answered;
  Of.Answer = Answer;
  Of.DueAt = Now;
  if (this->Fencing)
    this->Memory.answer(Of.What.Id, Answer, *this->Fencing, Now);
}

bool Dispatcher::isResident(const Order &What) const {
  return this->Memory.residents(What.Where).count(What.What) != 0;
}

unsigned Dispatcher::inFlight(OrderKind Kind) const {
  unsigned Count = 0;
  for (const auto &[Id, Open] : this->Memory.orders())
    if (Open.unsettled() && Open.What.Kind == Kind)
      ++Count;
  return Count;
}

} // namespace kingcuphub::placement
