#include "shares/shares.h"

#include "base/hashing.h"
#include "base/refusal.h"

#include <algorithm>

namespace kingcuphub::shares {

namespace {

constexpr base::Duration MinAskAgain = 20ms;
constexpr base::Duration MaxAskAgain = 1s;
/// The part of the whole that may be held ahead of demand.
constexpr std::int64_t AheadDivisor = 8;
constexpr base::Duration SlotRetry = 100ms;

double lowering(std::int64_t From, std::int64_t To) {
  if (To >= From)
    return 1;
  return static_cast<double>(To) / static_cast<double>(From);
}

/// At least 1 unless there is nothing to wait for.
std::int64_t wholeMillis(base::Duration Wait) {
  return std::chrono::ceil<std::chrono::milliseconds>(Wait).count();
}

std::int64_t above(std::int64_t Amount, std::int64_t Level) {
  return std::max<std::int64_t>(0, Amount - Level);
}

} // namespace

Shares::Shares(MemberName Self, Settings Options)
    : Self(std::move(Self)), Options(Options) {}

void Shares::setLimit(const base::QuantityId &Quantity, const Limit &Whole,
                      base::TimePoint Now) {
  if (Entry *Each = this->known(Quantity, Now)) {
    this->changeLimit(Quantity, *Each, Whole);
    return;
  }
  Entry &Added = this->Entries[Quantity];
  Added.Whole = Whole;
  Added.Last = Whole;
  Added.New = this->usable(Now);
  if (this->Current.Members.empty())
    return;
  this->rankHolders(Quantity, Added);
  this->noteConfirmTarget(Added);
  if (this->Settled && this->isPrimary(Added))
    this->settleQuantity(Quantity, Added, Now);
}

void Shares::changeLimit(const base::QuantityId &Quantity, Entry &Each,
                         const Limit &Whole) {
  double Units = lowering(Each.Last.Units, Whole.Units);
  double Refill = lowering(Each.Last.RefillMicros, Whole.RefillMicros);
  Each.Part.scale(Units, Refill);
  this->Channels.forEachPending([&](wire::ShareTransfer &Pending) {
    if (Pending.quantity() != Quantity.Value)
      return;
    Pending.set_amount(scaled(Pending.amount(), Units));
    Pending.set_used(scaled(Pending.used(), Units));
    Pending.set_refill_micros(scaled(Pending.refill_micros(), Refill));
    Pending.set_limit_version(Whole.Version.Value);
  });
  for (auto &[Holder, Part] : Each.Placed)
    Part = {scaled(Part.Units, Units), 0, scaled(Part.RefillMicros, Refill)};
  Each.Issued.Units = std::min(Each.Issued.Units, Whole.Units);
  Each.Issued.RefillMicros =
      std::min(Each.Issued.RefillMicros, Whole.RefillMicros);
  Each.Whole = Whole;
  Each.Last = Whole;
  Each.RaisePending = true;
  Each.RaiseAt.reset();
  if (!this->Current.Members.empty())
    this->rankHolders(Quantity, Each);
}

void Shares::removeLimit(const base::QuantityId &Quantity,
                         base::TimePoint Now) {
  if (Entry *Each = this->known(Quantity, Now))
    Each->Whole.reset();
}

Commands Shares::learnEpoch(const wire::Epoch &New, const wire::Epoch &Before,
                            base::TimePoint Now) {
  Commands Out;
  if (New.number() <= this->Current.Number.Value)
    return Out;
  EpochView Next = parseEpoch(New);
  EpochView Last = parseEpoch(Before);
  bool Follows = Last.Number == this->Current.Number;
  bool Lapsed = this->AgreedAt && Now - *this->AgreedAt >= this->lapse();
  this->FormerSettled = Follows && (this->Settled || Lapsed);
  bool Goes = Follows && this->inEpoch();
  this->dropRemoved();
  this->Snapshot = Goes ? this->snapshot() : HeldParts{};
  this->SnapshotVersions.clear();
  for (const auto &[Quantity, Each] : this->Entries)
    this->SnapshotVersions[Quantity] = Each.Last.Version;
  if (!Goes || !Next.contains(this->Self))
    this->dropEverything(Now);
  this->Channels = {};
  this->Former = std::move(Last);
  this->Current = std::move(Next);
  this->Count = Reconciliation(this->Current, this->Former);
  this->Settled = false;
  this->AgreedAt.reset();
  if (this->Agreed.Epoch >= this->Current.Number)
    this->AgreedAt = Now;
  this->ToConfirm.clear();
  this->ConfirmedTo.clear();
  this->ConfirmSentAt.reset();
  for (auto &[Quantity, Each] : this->Entries) {
    this->rankHolders(Quantity, Each);
    Each.New = false;
    Each.Issued = {};
    Each.Placed.clear();
    Each.RaisePending = false;
    Each.Need.Request = 0;
    this->noteConfirmTarget(Each);
  }
  this->Count.confirm(this->Self, this->heldOf(this->Self));
  this->sendConfirms(Now, Out);
  this->settle(Now);
  return Out;
}

void Shares::setProven(base::TimePoint At) {
  if (!this->ProvenAt || At > *this->ProvenAt)
    this->ProvenAt = At;
}

void Shares::setAgreed(AgreedVersions Known, base::TimePoint Now) {
  this->Agreed.Epoch = std::max(this->Agreed.Epoch, Known.Epoch);
  this->Agreed.Config = std::max(this->Agreed.Config, Known.Config);
  if (!this->AgreedAt && this->Agreed.Epoch >= this->Current.Number)
    this->AgreedAt = Now;
}

void Shares::setUnreachable(std::set<base::InstanceId> Peers) {
  this->Unreachable = std::move(Peers);
}

Commands Shares::receive(const wire::PeerMessage &Message,
                         base::TimePoint Now) {
  Commands Out;
  MemberName From = membership::parseMember(Message.from());
  switch (Message.body_case()) {
  case wire::PeerMessage::kShareRequest:
    this->answerRequest(From, Message.share_request(), Now, Out);
    break;
  case wire::PeerMessage::kShareTransfer:
    this->takeTransfer(From, Message.share_transfer(), Now, Out);
    break;
  case wire::PeerMessage::kShareAck:
    if (Message.share_ack().epoch() == this->Current.Number.Value)
      this->Channels.acknowledged(From, Message.share_ack().sequence());
    break;
  case wire::PeerMessage::kEpochConfirm:
    this->takeConfirm(From, Message.epoch_confirm(), Out);
    this->settle(Now);
    break;
  case wire::PeerMessage::kEpochConfirmAck:
    if (Message.epoch_confirm_ack().epoch() == this->Current.Number.Value &&
        this->ToConfirm.erase(From) != 0)
      this->ConfirmedTo.insert(From);
    break;
  default:
    break;
  }
  return Out;
}

Commands Shares::tick(base::TimePoint Now) {
  Commands Out;
  this->sendConfirms(Now, Out);
  this->settle(Now);
  this->issueRaises(Now);
  if (!this->inEpoch())
    return Out;
  for (auto &[To, Message] :
       this->Channels.due(Now, this->Options.ResendPeriod)) {
    wire::PeerMessage Again;
    *Again.mutable_share_transfer() = std::move(Message);
    this->send(To, std::move(Again), Out);
  }
  for (auto &[Quantity, Each] : this->Entries) {
    if (!Each.Whole)
      continue;
    Each.Part.refill(Now, this->Options.MaxClockDrift);
    this->rebalance(Quantity, Each, Now, Out);
    this->ask(Quantity, Each, Now, Out);
  }
  return Out;
}

Grant Shares::take(const base::QuantityId &Quantity, std::int64_t Amount,
                   base::TimePoint Now, Commands &Out) {
  Entry *Each = this->known(Quantity, Now);
  if (Each == nullptr || !Each->Whole || !this->usable(Now))
    return {0, MaxAskAgain};
  std::int64_t Given = Each->Part.grant(Amount);
  std::int64_t Lacking = Amount - Given;
  Demand &Need = Each->Need;
  this->noteTaken(Need, Given, Now);
  Need.Wanted = Lacking;
  if (!base::refusalCovers(Need.RefusedWanted, Lacking))
    Need.AskAgainAt = {};
  this->ask(Quantity, *Each, Now, Out);
  bool Known = Need.Request == 0;
  return {Given, Lacking > 0 && Known ? retryAfter(*Each, Lacking)
                                      : base::Duration{0}};
}

void Shares::spend(const base::QuantityId &Quantity, std::int64_t Amount,
                   base::TimePoint Now) {
  if (Entry *Each = this->known(Quantity, Now))
    Each->Part.spend(Amount);
}

void Shares::giveBack(const base::QuantityId &Quantity, std::int64_t Amount,
                      base::TimePoint Now) {
  if (Entry *Each = this->known(Quantity, Now))
    Each->Part.giveBack(Amount);
}

void Shares::refund(const base::QuantityId &Quantity, std::int64_t Amount,
                    base::TimePoint Now) {
  if (Entry *Each = this->known(Quantity, Now))
    Each->Part.refund(Amount);
}

void Shares::voidCredits(base::TimePoint Now) {
  for (auto &[Quantity, Each] : this->Entries) {
    Each.Part.refill(Now, this->Options.MaxClockDrift);
    if (Each.Last.refills())
      Each.Part.voidGrants(Now + this->lapse());
    else
      Each.Part.holdLost(Each.Part.granted(), Now + Each.Last.LostHold);
  }
  ++this->Generation;
}

bool Shares::confirmed() const { return this->ToConfirm.empty(); }

bool Shares::usable(base::TimePoint Now) const {
  return this->inEpoch() && this->ProvenAt &&
         Now - *this->ProvenAt < this->Options.FreshnessBound;
}

const Share *Shares::find(const base::QuantityId &Quantity) const {
  auto Found = this->Entries.find(Quantity);
  return Found == this->Entries.end() ? nullptr : &Found->second.Part;
}

std::vector<MemberName>
Shares::holders(const base::QuantityId &Quantity) const {
  auto Found = this->Entries.find(Quantity);
  return Found == this->Entries.end() ? std::vector<MemberName>{}
                                      : Found->second.Holders;
}

Shares::Entry *Shares::known(const base::QuantityId &Quantity,
                             base::TimePoint Now) {
  auto Found = this->Entries.find(Quantity);
  if (Found == this->Entries.end())
    return nullptr;
  Found->second.Part.refill(Now, this->Options.MaxClockDrift);
  return &Found->second;
}

void Shares::rankHolders(const base::QuantityId &Quantity, Entry &Each) const {
  std::map<std::string, MemberName> ByName;
  std::vector<std::string> Names;
  for (const MemberName &Member : this->Current.Members) {
    ByName[Member.Instance.Value] = Member;
    Names.push_back(Member.Instance.Value);
  }
  Names = base::rankNodes(Quantity.Value, std::move(Names));
  Names.resize(
      std::min(Names.size(), holderCount(Each.Last, this->Options.Holders,
                                         this->Current.Members.size())));
  Each.Holders.clear();
  for (const std::string &Name : Names)
    Each.Holders.push_back(ByName[Name]);
}

bool Shares::isPrimary(const Entry &Each) const {
  return !Each.Holders.empty() && Each.Holders.front() == this->Self;
}

bool Shares::isHolder(const Entry &Each) const {
  return std::find(Each.Holders.begin(), Each.Holders.end(), this->Self) !=
         Each.Holders.end();
}

HeldPart Shares::target(const Entry &Each, const MemberName &Of) const {
  auto Found = std::find(Each.Holders.begin(), Each.Holders.end(), Of);
  if (Found == Each.Holders.end())
    return {};
  auto Count = static_cast<std::int64_t>(Each.Holders.size());
  HeldPart Part{Each.Last.Units / Count, 0, Each.Last.RefillMicros / Count};
  if (Found != Each.Holders.begin())
    return Part;
  // The primary keeps what the division leaves.
  Part.Units += Each.Last.Units % Count;
  Part.RefillMicros += Each.Last.RefillMicros % Count;
  return Part;
}

base::Duration Shares::lapse() const {
  return std::chrono::duration_cast<base::Duration>(
      this->Options.FreshnessBound * (1 + 2 * this->Options.MaxClockDrift) +
      1ms);
}

void Shares::dropEverything(base::TimePoint Now) {
  bool Granted = false;
  for (auto &[Quantity, Each] : this->Entries) {
    Granted |= Each.Part.granted() > 0 || Each.Part.voided() > 0;
    Each.Part = Share{};
    Each.Need = Demand{};
  }
  ++this->Generation;
  // A gateway may spend its credit until it hears that it is void.
  if (Granted)
    this->ConfirmNotBefore = Now + this->lapse();
}

void Shares::dropRemoved() {
  std::erase_if(this->Entries, [](const auto &Each) {
    return !Each.second.Whole && Each.second.Part.granted() == 0;
  });
}

HeldParts Shares::snapshot() const {
  HeldParts Out;
  for (const auto &[Quantity, Each] : this->Entries)
    if (!Each.Part.empty())
      Out[Quantity] = {Each.Part.units(), Each.Part.free(),
                       Each.Part.refillMicros()};
  return Out;
}

void Shares::noteConfirmTarget(const Entry &Each) {
  if (Each.Holders.empty() || !this->Former.contains(this->Self))
    return;
  const MemberName &Primary = Each.Holders.front();
  if (Primary != this->Self && this->ConfirmedTo.count(Primary) == 0)
    this->ToConfirm.insert(Primary);
}

HeldParts Shares::heldOf(const MemberName &Primary) const {
  HeldParts Out;
  for (const auto &[Quantity, Part] : this->Snapshot) {
    auto Found = this->Entries.find(Quantity);
    if (Found != this->Entries.end() && !Found->second.Holders.empty() &&
        Found->second.Holders.front() == Primary)
      Out[Quantity] = Part;
  }
  return Out;
}

wire::PeerMessage Shares::confirmFor(const MemberName &Primary) const {
  wire::PeerMessage Message;
  wire::EpochConfirm &Body = *Message.mutable_epoch_confirm();
  Body.set_epoch(this->Current.Number.Value);
  Body.set_former_settled(this->FormerSettled);
  for (const auto &[Quantity, Part] : this->heldOf(Primary)) {
    wire::Holding *Added = Body.add_holdings();
    Added->set_quantity(Quantity.Value);
    Added->set_units(Part.Units);
    Added->set_free(Part.Free);
    Added->set_refill_micros(Part.RefillMicros);
    Added->set_limit_version(this->SnapshotVersions.at(Quantity).Value);
  }
  return Message;
}

void Shares::sendConfirms(base::TimePoint Now, Commands &Out) {
  if (this->ToConfirm.empty() || Now < this->ConfirmNotBefore)
    return;
  if (this->ConfirmSentAt &&
      Now - *this->ConfirmSentAt < this->Options.ResendPeriod)
    return;
  this->ConfirmSentAt = Now;
  for (const MemberName &Each : this->ToConfirm)
    this->send(Each, this->confirmFor(Each), Out);
}

bool Shares::knowsVersions(const wire::EpochConfirm &Body) const {
  return std::all_of(Body.holdings().begin(), Body.holdings().end(),
                     [this](const wire::Holding &Each) {
                       auto Found = this->Entries.find({Each.quantity()});
                       return Found == this->Entries.end() ||
                              Found->second.Last.Version.Value >=
                                  Each.limit_version();
                     });
}

void Shares::takeConfirm(const MemberName &From, const wire::EpochConfirm &Body,
                         Commands &Out) {
  if (Body.epoch() != this->Current.Number.Value || !this->inEpoch() ||
      !this->Former.contains(From) || !this->knowsVersions(Body))
    return;
  HeldParts Held;
  for (const wire::Holding &Each : Body.holdings())
    Held[{Each.quantity()}] = {Each.units(), Each.free(), Each.refill_micros()};
  this->Count.confirm(From, std::move(Held));
  this->FormerSettled |= Body.former_settled();
  wire::PeerMessage Answer;
  Answer.mutable_epoch_confirm_ack()->set_epoch(Body.epoch());
  this->send(From, std::move(Answer), Out);
}

bool Shares::canSettle(base::TimePoint Now) const {
  if (!this->usable(Now) || !this->Count.allStayedConfirmed())
    return false;
  // Nobody who left can spend any more: by their word, or by the time.
  if (this->Count.first() ||
      (this->Count.allConfirmed() && this->FormerSettled))
    return true;
  return this->AgreedAt && Now - *this->AgreedAt >= this->lapse();
}

void Shares::settle(base::TimePoint Now) {
  if (this->Settled || !this->canSettle(Now))
    return;
  this->Settled = true;
  for (auto &[Quantity, Each] : this->Entries)
    if (this->isPrimary(Each))
      this->settleQuantity(Quantity, Each, Now);
}

void Shares::settleQuantity(const base::QuantityId &Quantity, Entry &Each,
                            base::TimePoint Now) {
  Each.Part.refill(Now, this->Options.MaxClockDrift);
  Each.Issued = this->Count.sum(Quantity);
  for (const MemberName &Holder : Each.Holders)
    if (Holder != this->Self)
      Each.Placed[Holder] = this->Count.heldBy(Holder, Quantity);
  bool Untouched = Each.Issued.Units == 0 && Each.Issued.RefillMicros == 0;
  bool AllFree = Untouched && (Each.New || this->Count.first());
  this->issueMissing(
      Each, AllFree ? Each.Last.Units : this->Count.freeGivenUp(Quantity), Now);
}

void Shares::issueMissing(Entry &Each, std::int64_t AsFree,
                          base::TimePoint Now) {
  if (!Each.Whole)
    return;
  std::int64_t Units = above(Each.Whole->Units, Each.Issued.Units);
  std::int64_t Free = std::min(Units, AsFree);
  std::int64_t Refill =
      above(Each.Whole->RefillMicros, Each.Issued.RefillMicros);
  Each.Part.add({Free, 0, Refill});
  if (Each.Whole->refills())
    Each.Part.add({0, Units - Free, 0});
  else
    Each.Part.addLost(Units - Free, Now + Each.Whole->LostHold);
  Each.Issued.Units += Units;
  Each.Issued.RefillMicros += Refill;
}

void Shares::issueRaises(base::TimePoint Now) {
  if (!this->Settled || !this->usable(Now))
    return;
  for (auto &[Quantity, Each] : this->Entries) {
    if (!Each.RaisePending || !Each.Whole || !this->isPrimary(Each))
      continue;
    if (!Each.RaiseAt && this->Agreed.Config > Each.Whole->Version)
      Each.RaiseAt = Now + this->lapse();
    if (!Each.RaiseAt || Now < *Each.RaiseAt)
      continue;
    Each.RaisePending = false;
    Each.Part.refill(Now, this->Options.MaxClockDrift);
    this->issueMissing(Each, 0, Now);
  }
}

void Shares::takeTransfer(const MemberName &From,
                          const wire::ShareTransfer &Body, base::TimePoint Now,
                          Commands &Out) {
  if (Body.epoch() != this->Current.Number.Value || !this->inEpoch() ||
      !this->Current.contains(From))
    return;
  base::QuantityId Quantity{Body.quantity()};
  Entry *Each = this->known(Quantity, Now);
  if (Each == nullptr)
    return;
  if (Body.sequence() != 0) {
    // One of another version is sent again once both know the same limit.
    if (Body.limit_version() != Each->Last.Version.Value)
      return;
    wire::PeerMessage Answer;
    Answer.mutable_share_ack()->set_epoch(Body.epoch());
    Answer.mutable_share_ack()->set_sequence(Body.sequence());
    this->send(From, std::move(Answer), Out);
    if (!this->Channels.accept(From, Body.sequence()))
      return;
    Each->Part.add({Body.amount(), Body.used(), Body.refill_micros()});
    if (Body.amount() > 0)
      Out.push_back(Available{Quantity});
  }
  if (Body.request() != 0)
    this->noteAnswer(Quantity, *Each, Body, Now, Out);
}

void Shares::noteAnswer(const base::QuantityId &Quantity, Entry &Each,
                        const wire::ShareTransfer &Body, base::TimePoint Now,
                        Commands &Out) {
  if (Body.request() != Each.Need.Request)
    return;
  Each.Need.Request = 0;
  if (Body.retry_after_ms() == 0)
    Each.Need.ShortAnswers = 0;
  else if (++Each.Need.ShortAnswers >= this->otherHolders(Each))
    this->endRound(Each, std::chrono::milliseconds(Body.retry_after_ms()), Now);
  this->ask(Quantity, Each, Now, Out);
}

void Shares::endRound(Entry &Each, base::Duration Wait,
                      base::TimePoint Now) const {
  Demand &Need = Each.Need;
  Need.ShortAnswers = 0;
  // Nobody has enough: what several have may do together.
  Need.Gathering = !Need.Gathering && this->otherHolders(Each) > 1;
  if (Need.Gathering)
    return;
  Need.AskAgainAt = Now + std::clamp(Wait, MinAskAgain, MaxAskAgain);
  Need.RefusedWanted = Need.Wanted;
}

std::size_t Shares::otherHolders(const Entry &Each) const {
  return Each.Holders.size() - (this->isHolder(Each) ? 1 : 0);
}

std::int64_t Shares::grantable(const Entry &Each,
                               const wire::ShareRequest &Body) const {
  std::int64_t Own = this->target(Each, this->Self).Units;
  // Parts that are too small would lie with several askers and help none;
  // what one holder can gather by itself is given whole.
  if (Each.Part.free() < Body.least() && Body.least() <= Own / 2)
    return 0;
  return Body.amount();
}

void Shares::answerRequest(const MemberName &From,
                           const wire::ShareRequest &Body, base::TimePoint Now,
                           Commands &Out) {
  base::QuantityId Quantity{Body.quantity()};
  Entry *Each = this->known(Quantity, Now);
  if (Body.epoch() != this->Current.Number.Value || !this->inEpoch() ||
      !this->Current.contains(From) || Each == nullptr || !Each->Whole)
    return;
  Parcel Given = Each->Part.remove({this->grantable(*Each, Body), 0, 0});
  std::int64_t Lacking = Body.amount() - Given.Free;
  Reply Answer{Body.request(),
               Lacking > 0 ? retryAfter(*Each, Lacking) : base::Duration{0}};
  if (Given.Free > 0) {
    this->transfer(Quantity, *Each, From, Given, Answer, Now, Out);
    return;
  }
  wire::PeerMessage Refusal;
  wire::ShareTransfer &Reply = *Refusal.mutable_share_transfer();
  Reply.set_quantity(Body.quantity());
  Reply.set_epoch(Body.epoch());
  Reply.set_request(Body.request());
  Reply.set_retry_after_ms(wholeMillis(Answer.RetryAfter));
  this->send(From, std::move(Refusal), Out);
}

void Shares::noteTaken(Demand &Need, std::int64_t Amount,
                       base::TimePoint Now) const {
  if (Now - Need.HorizonAt >= this->Options.Horizon) {
    bool Adjacent = Now - Need.HorizonAt < 2 * this->Options.Horizon;
    Need.TakenBefore = Adjacent ? Need.TakenNow : 0;
    Need.TakenNow = 0;
    Need.HorizonAt = Now;
  }
  Need.TakenNow += Amount;
  Need.TakenAt = Now;
}

std::int64_t Shares::shortage(const Entry &Each, base::TimePoint Now) const {
  if (Now - Each.Need.TakenAt >= this->Options.IdleReturn)
    return 0;
  // What all instances hold ahead together is a small part of the whole.
  std::int64_t Most =
      Each.Last.Units /
      (AheadDivisor * static_cast<std::int64_t>(this->Current.Members.size()));
  std::int64_t Ahead =
      std::min(Most, std::max(Each.Need.TakenNow, Each.Need.TakenBefore));
  std::int64_t Free = Each.Part.free();
  std::int64_t Wanted = above(Each.Need.Wanted, Free);
  // Only a good part of what is held ahead is worth a message.
  if (Wanted == 0 && Free >= Ahead / 2)
    return 0;
  return std::max(Wanted, Each.Need.Wanted + Ahead - Free);
}

std::optional<MemberName> Shares::nextHolder(Entry &Each) const {
  for (std::size_t Tried = 0; Tried < Each.Holders.size(); ++Tried) {
    const MemberName &Next =
        Each.Holders[Each.Need.NextHolder++ % Each.Holders.size()];
    if (Next != this->Self && this->Unreachable.count(Next.Instance) == 0)
      return Next;
  }
  return std::nullopt;
}

void Shares::ask(const base::QuantityId &Quantity, Entry &Each,
                 base::TimePoint Now, Commands &Out) {
  Demand &Need = Each.Need;
  if (Need.Request != 0 && Now - Need.AskedAt < this->Options.AskTimeout)
    return;
  std::int64_t Amount = this->shortage(Each, Now);
  if (Amount == 0 || Now < Need.AskAgainAt || !this->usable(Now))
    return;
  auto To = this->nextHolder(Each);
  if (!To)
    return;
  // Used units go along in exchange: they are refilled where they arrive.
  if (Each.Last.refills()) {
    std::int64_t UpTo = this->isHolder(Each) ? Amount : Each.Part.used();
    this->transfer(Quantity, Each, *To, Each.Part.remove({0, UpTo, 0}), {}, Now,
                   Out);
  }
  Need.UsedReturnedAt = Now;
  Need.Request = ++this->LastRequest;
  Need.AskedAt = Now;
  wire::PeerMessage Message;
  wire::ShareRequest &Body = *Message.mutable_share_request();
  Body.set_quantity(Quantity.Value);
  Body.set_amount(Amount);
  Body.set_epoch(this->Current.Number.Value);
  Body.set_request(Need.Request);
  if (!Need.Gathering)
    Body.set_least(above(Need.Wanted, Each.Part.free()));
  this->send(*To, std::move(Message), Out);
}

base::Duration Shares::retryAfter(const Entry &Each, std::int64_t Amount) {
  if (!Each.Last.refills())
    return SlotRetry;
  double Seconds = static_cast<double>(Amount) * MicrosPerUnit /
                   static_cast<double>(Each.Last.RefillMicros);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(Seconds, 3600.0)));
}

void Shares::rebalance(const base::QuantityId &Quantity, Entry &Each,
                       base::TimePoint Now, Commands &Out) {
  this->giveExcessRefill(Quantity, Each, Now, Out);
  this->place(Quantity, Each, Now, Out);
  this->returnUnits(Quantity, Each, Now, Out);
}

void Shares::giveExcessRefill(const base::QuantityId &Quantity, Entry &Each,
                              base::TimePoint Now, Commands &Out) {
  if (Each.Holders.empty() || this->isPrimary(Each) ||
      this->Unreachable.count(Each.Holders.front().Instance) != 0)
    return;
  std::int64_t Excess = above(Each.Part.refillMicros(),
                              this->target(Each, this->Self).RefillMicros);
  if (Excess > 0)
    this->transfer(Quantity, Each, Each.Holders.front(),
                   Each.Part.remove({0, 0, Excess}), {}, Now, Out);
}

void Shares::place(const base::QuantityId &Quantity, Entry &Each,
                   base::TimePoint Now, Commands &Out) {
  if (!this->Settled || !this->isPrimary(Each))
    return;
  HeldPart Own = this->target(Each, this->Self);
  for (const MemberName &Holder : Each.Holders) {
    if (Holder == this->Self)
      continue;
    HeldPart &Placed = Each.Placed[Holder];
    HeldPart Want = this->target(Each, Holder);
    std::int64_t Refill =
        std::min(above(Want.RefillMicros, Placed.RefillMicros),
                 above(Each.Part.refillMicros(), Own.RefillMicros));
    std::int64_t Units =
        std::min(above(Want.Units, Placed.Units),
                 above(Each.Part.free() + Each.Part.used(), Own.Units));
    std::int64_t Used = std::min(Units, Each.Part.used());
    Parcel Moved = Each.Part.remove({Units - Used, Used, Refill});
    if (Moved.empty())
      continue;
    Placed.RefillMicros += Moved.RefillMicros;
    Placed.Units += Moved.Free + Moved.Used;
    this->transfer(Quantity, Each, Holder, Moved, {}, Now, Out);
  }
}

void Shares::returnUnits(const base::QuantityId &Quantity, Entry &Each,
                         base::TimePoint Now, Commands &Out) {
  std::int64_t Excess =
      above(Each.Part.units(), this->target(Each, this->Self).Units);
  if (Excess == 0 ||
      Now - Each.Need.UsedReturnedAt < this->Options.UsedReturnPeriod)
    return;
  // Units that have to be returned are wanted elsewhere as soon as free here.
  bool Idle = Now - Each.Need.TakenAt >= (Each.Last.refills()
                                              ? this->Options.IdleReturn
                                              : this->Options.UsedReturnPeriod);
  std::int64_t Used =
      Each.Last.refills() ? std::min(Excess, Each.Part.used()) : 0;
  std::int64_t Free = Idle ? std::min(Excess - Used, Each.Part.free()) : 0;
  if (Used + Free == 0)
    return;
  auto To = this->nextHolder(Each);
  if (!To)
    return;
  Each.Need.UsedReturnedAt = Now;
  this->transfer(Quantity, Each, *To, Each.Part.remove({Free, Used, 0}), {},
                 Now, Out);
}

void Shares::transfer(const base::QuantityId &Quantity, const Entry &Each,
                      const MemberName &To, const Parcel &Amounts, Reply Answer,
                      base::TimePoint Now, Commands &Out) {
  if (Amounts.empty())
    return;
  wire::ShareTransfer Body;
  Body.set_quantity(Quantity.Value);
  Body.set_amount(Amounts.Free);
  Body.set_used(Amounts.Used);
  Body.set_refill_micros(Amounts.RefillMicros);
  Body.set_epoch(this->Current.Number.Value);
  Body.set_request(Answer.Request);
  Body.set_retry_after_ms(wholeMillis(Answer.RetryAfter));
  Body.set_limit_version(Each.Last.Version.Value);
  wire::PeerMessage Message;
  *Message.mutable_share_transfer() =
      this->Channels.send(To, std::move(Body), Now);
  this->send(To, std::move(Message), Out);
}

void Shares::send(const MemberName &To, wire::PeerMessage Message,
                  Commands &Out) const {
  *Message.mutable_from() = membership::toWire(this->Self);
  Out.push_back(SendToPeer{To, std::move(Message)});
}

} // namespace kingcuphub::shares
