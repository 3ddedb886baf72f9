#include "shares/shares.h"

#include "base/hashing.h"
#include "base/refusal.h"

#include <algorithm>

namespace kingcuphub::shares {

namespace {

constexpr base::Duration MinAskAgain = 20ms;
constexpr base::Duration MaxAskAgain = 1s;
/// All instances together hold at most 1/8 of a limit ahead of demand.
constexpr std::int64_t PrefetchDivisor = 8;
/// Slots have no refill rate from which a retry time could be computed.
constexpr base::Duration SlotRetry = 100ms;

/// The factor by which a lowered limit shrinks; 1 if it is not lowered.
double reductionFactor(std::int64_t From, std::int64_t To) {
  if (To >= From)
    return 1;
  return static_cast<double>(To) / static_cast<double>(From);
}

/// Rounds up, so that the result is 0 only if there is nothing to wait for.
std::int64_t ceilMillis(base::Duration Wait) {
  return std::chrono::ceil<std::chrono::milliseconds>(Wait).count();
}

/// How far \p Amount exceeds \p Level; 0 if it does not.
std::int64_t excessOver(std::int64_t Amount, std::int64_t Level) {
  return std::max<std::int64_t>(0, Amount - Level);
}

} // namespace

Shares::Shares(MemberName Self, Settings Options)
    : Self(std::move(Self)), Options(Options) {}

void Shares::setLimit(const base::QuantityId &Quantity, const Limit &NewLimit,
                      base::TimePoint Now) {
  if (Entry *Each = this->findRefilled(Quantity, Now)) {
    this->changeLimit(Quantity, *Each, NewLimit);
    return;
  }
  Entry &Added = this->Entries[Quantity];
  Added.InForce = NewLimit;
  Added.LastLimit = NewLimit;
  Added.CreatedInEpoch = this->usable(Now);
  if (this->Current.Members.empty())
    return;
  this->rankHolders(Quantity, Added);
  this->addConfirmRecipient(Added);
  if (this->Settled && this->isPrimary(Added))
    this->settleQuantity(Quantity, Added, Now);
}

void Shares::changeLimit(const base::QuantityId &Quantity, Entry &Each,
                         const Limit &NewLimit) {
  double Units = reductionFactor(Each.LastLimit.Units, NewLimit.Units);
  double Refill =
      reductionFactor(Each.LastLimit.RefillMicros, NewLimit.RefillMicros);
  Each.Part.scale(Units, Refill);
  this->Channels.forEachPending([&](wire::ShareTransfer &Pending) {
    if (Pending.quantity() != Quantity.Value)
      return;
    Pending.set_amount(scaled(Pending.amount(), Units));
    Pending.set_used(scaled(Pending.used(), Units));
    Pending.set_refill_micros(scaled(Pending.refill_micros(), Refill));
    Pending.set_limit_version(NewLimit.Version.Value);
  });
  for (auto &[Holder, Part] : Each.Allocated)
    Part = {scaled(Part.Units, Units), 0, scaled(Part.RefillMicros, Refill)};
  Each.Issued.Units = std::min(Each.Issued.Units, NewLimit.Units);
  Each.Issued.RefillMicros =
      std::min(Each.Issued.RefillMicros, NewLimit.RefillMicros);
  Each.InForce = NewLimit;
  Each.LastLimit = NewLimit;
  Each.RaisePending = true;
  Each.RaiseAt.reset();
  if (!this->Current.Members.empty())
    this->rankHolders(Quantity, Each);
}

void Shares::removeLimit(const base::QuantityId &Quantity,
                         base::TimePoint Now) {
  if (Entry *Each = this->findRefilled(Quantity, Now))
    Each->InForce.reset();
}

Commands Shares::learnEpoch(const wire::Epoch &New, const wire::Epoch &Before,
                            base::TimePoint Now) {
  Commands Out;
  if (New.number() <= this->Current.Number.Value)
    return Out;
  EpochView Next = parseEpoch(New);
  EpochView Last = parseEpoch(Before);
  bool Follows = Last.Number == this->Current.Number;
  bool Lapsed =
      this->AgreedAt && Now - *this->AgreedAt >= this->proofLifetime();
  this->FormerSettled = Follows && (this->Settled || Lapsed);
  bool Continues = Follows && this->inEpoch();
  this->eraseRemovedLimits();
  this->Snapshot = Continues ? this->heldParts() : HeldParts{};
  this->SnapshotVersions.clear();
  for (const auto &[Quantity, Each] : this->Entries)
    this->SnapshotVersions[Quantity] = Each.LastLimit.Version;
  if (!Continues || !Next.contains(this->Self))
    this->dropAllShares(Now);
  this->Channels = {};
  this->Former = std::move(Last);
  this->Current = std::move(Next);
  this->Confirmations = Reconciliation(this->Current, this->Former);
  this->Settled = false;
  this->AgreedAt.reset();
  if (this->Agreed.Epoch >= this->Current.Number)
    this->AgreedAt = Now;
  this->UnconfirmedPrimaries.clear();
  this->ConfirmedPrimaries.clear();
  this->ConfirmSentAt.reset();
  for (auto &[Quantity, Each] : this->Entries) {
    this->rankHolders(Quantity, Each);
    Each.CreatedInEpoch = false;
    Each.Issued = {};
    Each.Allocated.clear();
    Each.RaisePending = false;
    Each.Need.Request = 0;
    this->addConfirmRecipient(Each);
  }
  this->Confirmations.confirm(this->Self, this->snapshotFor(this->Self));
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
    this->receiveTransfer(From, Message.share_transfer(), Now, Out);
    break;
  case wire::PeerMessage::kShareAck:
    if (Message.share_ack().epoch() == this->Current.Number.Value)
      this->Channels.acknowledged(From, Message.share_ack().sequence());
    break;
  case wire::PeerMessage::kEpochConfirm:
    this->receiveConfirm(From, Message.epoch_confirm(), Out);
    this->settle(Now);
    break;
  case wire::PeerMessage::kEpochConfirmAck:
    if (Message.epoch_confirm_ack().epoch() == this->Current.Number.Value &&
        this->UnconfirmedPrimaries.erase(From) != 0)
      this->ConfirmedPrimaries.insert(From);
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
    if (!Each.InForce)
      continue;
    Each.Part.refill(Now, this->Options.MaxClockDrift);
    this->rebalance(Quantity, Each, Now, Out);
    this->ask(Quantity, Each, Now, Out);
  }
  return Out;
}

Grant Shares::take(const base::QuantityId &Quantity, std::int64_t Amount,
                   base::TimePoint Now, Commands &Out) {
  Entry *Each = this->findRefilled(Quantity, Now);
  if (Each == nullptr || !Each->InForce || !this->usable(Now))
    return {0, MaxAskAgain};
  std::int64_t Given = Each->Part.grant(Amount);
  std::int64_t Lacking = Amount - Given;
  Demand &Need = Each->Need;
  this->recordGranted(Need, Given, Now);
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
  if (Entry *Each = this->findRefilled(Quantity, Now))
    Each->Part.spend(Amount);
}

void Shares::giveBack(const base::QuantityId &Quantity, std::int64_t Amount,
                      base::TimePoint Now) {
  if (Entry *Each = this->findRefilled(Quantity, Now))
    Each->Part.giveBack(Amount);
}

void Shares::refund(const base::QuantityId &Quantity, std::int64_t Amount,
                    base::TimePoint Now) {
  if (Entry *Each = this->findRefilled(Quantity, Now))
    Each->Part.refund(Amount);
}

void Shares::voidCredits(base::TimePoint Now) {
  for (auto &[Quantity, Each] : this->Entries) {
    Each.Part.refill(Now, this->Options.MaxClockDrift);
    if (Each.LastLimit.refills())
      Each.Part.voidGrants(Now + this->proofLifetime());
    else
      Each.Part.holdLost(Each.Part.granted(), Now + Each.LastLimit.LostHold);
  }
  ++this->Generation;
}

bool Shares::confirmed() const { return this->UnconfirmedPrimaries.empty(); }

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

Shares::Entry *Shares::findRefilled(const base::QuantityId &Quantity,
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
      std::min(Names.size(), holderCount(Each.LastLimit, this->Options.Holders,
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

HeldPart Shares::targetAllocation(const Entry &Each,
                                  const MemberName &Of) const {
  auto Found = std::find(Each.Holders.begin(), Each.Holders.end(), Of);
  if (Found == Each.Holders.end())
    return {};
  auto Count = static_cast<std::int64_t>(Each.Holders.size());
  HeldPart Part{Each.LastLimit.Units / Count, 0,
                Each.LastLimit.RefillMicros / Count};
  if (Found != Each.Holders.begin())
    return Part;
  // The primary keeps the remainder of the division.
  Part.Units += Each.LastLimit.Units % Count;
  Part.RefillMicros += Each.LastLimit.RefillMicros % Count;
  return Part;
}

base::Duration Shares::proofLifetime() const {
  return std::chrono::duration_cast<base::Duration>(
      this->Options.FreshnessBound * (1 + 2 * this->Options.MaxClockDrift) +
      1ms);
}

void Shares::dropAllShares(base::TimePoint Now) {
  bool Granted = false;
  for (auto &[Quantity, Each] : this->Entries) {
    Granted |= Each.Part.granted() > 0 || Each.Part.voided() > 0;
    Each.Part = Share{};
    Each.Need = Demand{};
  }
  ++this->Generation;
  // A gateway can spend its credit until it learns that it is void.
  if (Granted)
    this->ConfirmNotBefore = Now + this->proofLifetime();
}

void Shares::eraseRemovedLimits() {
  std::erase_if(this->Entries, [](const auto &Each) {
    return !Each.second.InForce && Each.second.Part.granted() == 0;
  });
}

HeldParts Shares::heldParts() const {
  HeldParts Out;
  for (const auto &[Quantity, Each] : this->Entries)
    if (!Each.Part.empty())
      Out[Quantity] = {Each.Part.units(), Each.Part.free(),
                       Each.Part.refillMicros()};
  return Out;
}

void Shares::addConfirmRecipient(const Entry &Each) {
  if (Each.Holders.empty() || !this->Former.contains(this->Self))
    return;
  const MemberName &Primary = Each.Holders.front();
  if (Primary != this->Self && this->ConfirmedPrimaries.count(Primary) == 0)
    this->UnconfirmedPrimaries.insert(Primary);
}

HeldParts Shares::snapshotFor(const MemberName &Primary) const {
  HeldParts Out;
  for (const auto &[Quantity, Part] : this->Snapshot) {
    auto Found = this->Entries.find(Quantity);
    if (Found != this->Entries.end() && !Found->second.Holders.empty() &&
        Found->second.Holders.front() == Primary)
      Out[Quantity] = Part;
  }
  return Out;
}

wire::PeerMessage Shares::makeConfirm(const MemberName &Primary) const {
  wire::PeerMessage Message;
  wire::EpochConfirm &Body = *Message.mutable_epoch_confirm();
  Body.set_epoch(this->Current.Number.Value);
  Body.set_former_settled(this->FormerSettled);
  for (const auto &[Quantity, Part] : this->snapshotFor(Primary)) {
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
  if (this->UnconfirmedPrimaries.empty() || Now < this->ConfirmNotBefore)
    return;
  if (this->ConfirmSentAt &&
      Now - *this->ConfirmSentAt < this->Options.ResendPeriod)
    return;
  this->ConfirmSentAt = Now;
  for (const MemberName &Each : this->UnconfirmedPrimaries)
    this->send(Each, this->makeConfirm(Each), Out);
}

bool Shares::knowsLimitVersions(const wire::EpochConfirm &Body) const {
  return std::all_of(Body.holdings().begin(), Body.holdings().end(),
                     [this](const wire::Holding &Each) {
                       auto Found = this->Entries.find({Each.quantity()});
                       return Found == this->Entries.end() ||
                              Found->second.LastLimit.Version.Value >=
                                  Each.limit_version();
                     });
}

void Shares::receiveConfirm(const MemberName &From,
                            const wire::EpochConfirm &Body, Commands &Out) {
  if (Body.epoch() != this->Current.Number.Value || !this->inEpoch() ||
      !this->Former.contains(From) || !this->knowsLimitVersions(Body))
    return;
  HeldParts Held;
  for (const wire::Holding &Each : Body.holdings())
    Held[{Each.quantity()}] = {Each.units(), Each.free(), Each.refill_micros()};
  this->Confirmations.confirm(From, std::move(Held));
  this->FormerSettled |= Body.former_settled();
  wire::PeerMessage Answer;
  Answer.mutable_epoch_confirm_ack()->set_epoch(Body.epoch());
  this->send(From, std::move(Answer), Out);
}

bool Shares::canSettle(base::TimePoint Now) const {
  if (!this->usable(Now) || !this->Confirmations.allRemainingConfirmed())
    return false;
  // Departed members can no longer spend: either all of them confirmed and the
  // former epoch was settled, or every credit of theirs has expired.
  if (this->Confirmations.isFirst() ||
      (this->Confirmations.allConfirmed() && this->FormerSettled))
    return true;
  return this->AgreedAt && Now - *this->AgreedAt >= this->proofLifetime();
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
  Each.Issued = this->Confirmations.sumOfRemaining(Quantity);
  for (const MemberName &Holder : Each.Holders)
    if (Holder != this->Self)
      Each.Allocated[Holder] = this->Confirmations.heldBy(Holder, Quantity);
  bool Untouched = Each.Issued.Units == 0 && Each.Issued.RefillMicros == 0;
  bool AllFree =
      Untouched && (Each.CreatedInEpoch || this->Confirmations.isFirst());
  this->issueMissing(Each,
                     AllFree ? Each.LastLimit.Units
                             : this->Confirmations.freeOfDeparted(Quantity),
                     Now);
}

void Shares::issueMissing(Entry &Each, std::int64_t AsFree,
                          base::TimePoint Now) {
  if (!Each.InForce)
    return;
  std::int64_t Units = excessOver(Each.InForce->Units, Each.Issued.Units);
  std::int64_t Free = std::min(Units, AsFree);
  std::int64_t Refill =
      excessOver(Each.InForce->RefillMicros, Each.Issued.RefillMicros);
  Each.Part.add({Free, 0, Refill});
  if (Each.InForce->refills())
    Each.Part.add({0, Units - Free, 0});
  else
    Each.Part.addLost(Units - Free, Now + Each.InForce->LostHold);
  Each.Issued.Units += Units;
  Each.Issued.RefillMicros += Refill;
}

void Shares::issueRaises(base::TimePoint Now) {
  if (!this->Settled || !this->usable(Now))
    return;
  for (auto &[Quantity, Each] : this->Entries) {
    if (!Each.RaisePending || !Each.InForce || !this->isPrimary(Each))
      continue;
    if (!Each.RaiseAt && this->Agreed.Config > Each.InForce->Version)
      Each.RaiseAt = Now + this->proofLifetime();
    if (!Each.RaiseAt || Now < *Each.RaiseAt)
      continue;
    Each.RaisePending = false;
    Each.Part.refill(Now, this->Options.MaxClockDrift);
    this->issueMissing(Each, 0, Now);
  }
}

void Shares::receiveTransfer(const MemberName &From,
                             const wire::ShareTransfer &Body,
                             base::TimePoint Now, Commands &Out) {
  if (Body.epoch() != this->Current.Number.Value || !this->inEpoch() ||
      !this->Current.contains(From))
    return;
  base::QuantityId Quantity{Body.quantity()};
  Entry *Each = this->findRefilled(Quantity, Now);
  if (Each == nullptr)
    return;
  if (Body.sequence() != 0) {
    // A transfer for another version of the limit is not acknowledged. It is
    // resent until both sides know the same version.
    if (Body.limit_version() != Each->LastLimit.Version.Value)
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
    this->handleAnswer(Quantity, *Each, Body, Now, Out);
}

void Shares::handleAnswer(const base::QuantityId &Quantity, Entry &Each,
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
  // No single holder has enough; several together may.
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
  std::int64_t Own = this->targetAllocation(Each, this->Self).Units;
  // Handing out less than the requester can use would scatter units over
  // several requesters and help none. Refuse, if this holder's own allocation
  // is large enough to accumulate the amount.
  if (Each.Part.free() < Body.least() && Body.least() <= Own / 2)
    return 0;
  return Body.amount();
}

void Shares::answerRequest(const MemberName &From,
                           const wire::ShareRequest &Body, base::TimePoint Now,
                           Commands &Out) {
  base::QuantityId Quantity{Body.quantity()};
  Entry *Each = this->findRefilled(Quantity, Now);
  if (Body.epoch() != this->Current.Number.Value || !this->inEpoch() ||
      !this->Current.contains(From) || Each == nullptr || !Each->InForce)
    return;
  TransferAmounts Given =
      Each->Part.remove({this->grantable(*Each, Body), 0, 0});
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
  Reply.set_retry_after_ms(ceilMillis(Answer.RetryAfter));
  this->send(From, std::move(Refusal), Out);
}

void Shares::recordGranted(Demand &Need, std::int64_t Amount,
                           base::TimePoint Now) const {
  if (Now - Need.HorizonStart >= this->Options.Horizon) {
    bool Adjacent = Now - Need.HorizonStart < 2 * this->Options.Horizon;
    Need.GrantedBefore = Adjacent ? Need.GrantedInHorizon : 0;
    Need.GrantedInHorizon = 0;
    Need.HorizonStart = Now;
  }
  Need.GrantedInHorizon += Amount;
  Need.LastDemandAt = Now;
}

std::int64_t Shares::shortage(const Entry &Each, base::TimePoint Now) const {
  if (Now - Each.Need.LastDemandAt >= this->Options.IdleReturn)
    return 0;
  // Bounds what all instances together hold ahead to a fraction of the limit.
  std::int64_t Most = Each.LastLimit.Units /
                      (PrefetchDivisor *
                       static_cast<std::int64_t>(this->Current.Members.size()));
  std::int64_t Ahead = std::min(
      Most, std::max(Each.Need.GrantedInHorizon, Each.Need.GrantedBefore));
  std::int64_t Free = Each.Part.free();
  std::int64_t Wanted = excessOver(Each.Need.Wanted, Free);
  // Topping up is worth a message only once half of the reserve is gone.
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
  // Send used units in exchange: they are refilled at the holder.
  if (Each.LastLimit.refills()) {
    std::int64_t UpTo = this->isHolder(Each) ? Amount : Each.Part.used();
    this->transfer(Quantity, Each, *To, Each.Part.remove({0, UpTo, 0}), {}, Now,
                   Out);
  }
  Need.LastReturnAt = Now;
  Need.Request = ++this->LastRequest;
  Need.AskedAt = Now;
  wire::PeerMessage Message;
  wire::ShareRequest &Body = *Message.mutable_share_request();
  Body.set_quantity(Quantity.Value);
  Body.set_amount(Amount);
  Body.set_epoch(this->Current.Number.Value);
  Body.set_request(Need.Request);
  if (!Need.Gathering)
    Body.set_least(excessOver(Need.Wanted, Each.Part.free()));
  this->send(*To, std::move(Message), Out);
}

base::Duration Shares::retryAfter(const Entry &Each, std::int64_t Amount) {
  if (!Each.LastLimit.refills())
    return SlotRetry;
  double Seconds = static_cast<double>(Amount) * MicrosPerUnit /
                   static_cast<double>(Each.LastLimit.RefillMicros);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(Seconds, 3600.0)));
}

void Shares::rebalance(const base::QuantityId &Quantity, Entry &Each,
                       base::TimePoint Now, Commands &Out) {
  this->giveExcessRefill(Quantity, Each, Now, Out);
  this->allocateToHolders(Quantity, Each, Now, Out);
  this->returnUnits(Quantity, Each, Now, Out);
}

void Shares::giveExcessRefill(const base::QuantityId &Quantity, Entry &Each,
                              base::TimePoint Now, Commands &Out) {
  if (Each.Holders.empty() || this->isPrimary(Each) ||
      this->Unreachable.count(Each.Holders.front().Instance) != 0)
    return;
  std::int64_t Excess =
      excessOver(Each.Part.refillMicros(),
                 this->targetAllocation(Each, this->Self).RefillMicros);
  if (Excess > 0)
    this->transfer(Quantity, Each, Each.Holders.front(),
                   Each.Part.remove({0, 0, Excess}), {}, Now, Out);
}

void Shares::allocateToHolders(const base::QuantityId &Quantity, Entry &Each,
                               base::TimePoint Now, Commands &Out) {
  if (!this->Settled || !this->isPrimary(Each))
    return;
  HeldPart Own = this->targetAllocation(Each, this->Self);
  for (const MemberName &Holder : Each.Holders) {
    if (Holder == this->Self)
      continue;
    HeldPart &Allocated = Each.Allocated[Holder];
    HeldPart Want = this->targetAllocation(Each, Holder);
    std::int64_t Refill =
        std::min(excessOver(Want.RefillMicros, Allocated.RefillMicros),
                 excessOver(Each.Part.refillMicros(), Own.RefillMicros));
    std::int64_t Units =
        std::min(excessOver(Want.Units, Allocated.Units),
                 excessOver(Each.Part.free() + Each.Part.used(), Own.Units));
    std::int64_t Used = std::min(Units, Each.Part.used());
    TransferAmounts Moved = Each.Part.remove({Units - Used, Used, Refill});
    if (Moved.empty())
      continue;
    Allocated.RefillMicros += Moved.RefillMicros;
    Allocated.Units += Moved.Free + Moved.Used;
    this->transfer(Quantity, Each, Holder, Moved, {}, Now, Out);
  }
}

void Shares::returnUnits(const base::QuantityId &Quantity, Entry &Each,
                         base::TimePoint Now, Commands &Out) {
  std::int64_t Excess = excessOver(
      Each.Part.units(), this->targetAllocation(Each, this->Self).Units);
  if (Excess == 0 ||
      Now - Each.Need.LastReturnAt < this->Options.UsedReturnPeriod)
    return;
  // Free slots are returned sooner: other instances may be waiting for them.
  bool Idle = Now - Each.Need.LastDemandAt >=
              (Each.LastLimit.refills() ? this->Options.IdleReturn
                                        : this->Options.UsedReturnPeriod);
  std::int64_t Used =
      Each.LastLimit.refills() ? std::min(Excess, Each.Part.used()) : 0;
  std::int64_t Free = Idle ? std::min(Excess - Used, Each.Part.free()) : 0;
  if (Used + Free == 0)
    return;
  auto To = this->nextHolder(Each);
  if (!To)
    return;
  Each.Need.LastReturnAt = Now;
  this->transfer(Quantity, Each, *To, Each.Part.remove({Free, Used, 0}), {},
                 Now, Out);
}

void Shares::transfer(const base::QuantityId &Quantity, const Entry &Each,
                      const MemberName &To, const TransferAmounts &Amounts,
                      Reply Answer, base::TimePoint Now, Commands &Out) {
  if (Amounts.empty())
    return;
  wire::ShareTransfer Body;
  Body.set_quantity(Quantity.Value);
  Body.set_amount(Amounts.Free);
  Body.set_used(Amounts.Used);
  Body.set_refill_micros(Amounts.RefillMicros);
  Body.set_epoch(this->Current.Number.Value);
  Body.set_request(Answer.Request);
  Body.set_retry_after_ms(ceilMillis(Answer.RetryAfter));
  Body.set_limit_version(Each.LastLimit.Version.Value);
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
