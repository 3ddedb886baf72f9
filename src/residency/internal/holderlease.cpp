#include "residency/holderlease.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::residency {

namespace {

/// Number of own appends that a read record is matched against; older ones have
/// lapsed.
constexpr std::size_t MaxPending = 16;

} // namespace

std::string_view leaseLossName(LeaseLoss Why) {
  switch (Why) {
  case LeaseLoss::Lapsed:
    return "lapsed";
  case LeaseLoss::Superseded:
    return "superseded";
  case LeaseLoss::Fenced:
    return "fenced";
  case LeaseLoss::GivenUp:
    return "given-up";
  case LeaseLoss::Released:
    return "released";
  }
  return "";
}

HolderLease::HolderLease(base::InstanceId NewSelf,
                         base::Incarnation NewIncarnation,
                         std::string NewEndpoint,
                         HolderLeaseSettings NewSettings, std::uint64_t Seed,
                         base::TimePoint NewStartedAt)
    : Self(std::move(NewSelf)), Incarnation(NewIncarnation),
      Endpoint(std::move(NewEndpoint)), Settings(NewSettings), Random(Seed),
      StartedAt(NewStartedAt),
      Ledger({this->Self, this->Incarnation},
             {this->Settings.OrderTurn, this->Settings.Drift,
              this->Settings.MaxOrderDelay}) {
  this->drawClaimDelay();
}

void HolderLease::drawClaimDelay() {
  std::uniform_int_distribution<std::int64_t> Spread(
      0, this->Settings.ClaimSpread.count());
  this->Delay =
      this->Settings.Handicap + std::chrono::milliseconds(Spread(this->Random));
}

bool HolderLease::isGivenUp() const {
  return this->GivenUp && this->Latest &&
         this->Latest->Token <= this->GivenUp->Token;
}

bool HolderLease::isLost() const {
  return this->Era > 0 &&
         eraOf(this->Latest ? this->Latest->Token.Value : 0) < this->Era;
}

bool HolderLease::mayReclaim(base::TimePoint Now) const {
  return this->isLost() && Now < this->ReclaimUntil;
}

bool HolderLease::isLatestOwn() const {
  return this->Latest && !this->isLost() &&
         this->Latest->Holder == this->Self &&
         this->Latest->Endpoint == this->Endpoint;
}

bool HolderLease::claimedHere() const {
  return this->Latest && !this->Latest->Released && !this->isGivenUp() &&
         !this->isLost() && this->Latest->Holder == this->Self &&
         this->Latest->Incarnation == this->Incarnation;
}

void HolderLease::onRead(const std::optional<LeaseRecord> &Record,
                         LeaseLogEnd NewEnd, base::TimePoint Now) {
  if (eraOf(NewEnd.Value) < this->Era || (this->End && NewEnd < *this->End))
    return;
  if (eraOf(NewEnd.Value) > this->Era) {
    if (this->held(Now))
      this->ReclaimUntil = this->ValidUntil;
    this->Era = eraOf(NewEnd.Value);
  }
  bool Changed = !this->End || *this->End != NewEnd;
  if (Changed) {
    this->ChangedAt = Now;
    this->drawClaimDelay();
  }
  this->Latest = Record;
  this->End = NewEnd;
  if (!this->claimedHere()) {
    this->ValidUntil = {};
    this->Fenced = false;
    return;
  }
  if (std::exchange(this->FollowsLapse, false)) {
    this->ReportsDueAt = Now + this->Settings.ReportWait;
    this->OrderFrom = std::max(this->OrderFrom, this->ReportsDueAt);
  }
  auto Own = std::find_if(
      this->Pending.begin(), this->Pending.end(),
      [&](const Sent &Each) { return Each.Number == Record->Number; });
  if (Own != this->Pending.end())
    this->ValidUntil =
        std::max(this->ValidUntil, Own->At + this->Settings.Duration);
}

LeaseAppend HolderLease::append(bool Release, unsigned Instances,
                                base::TimePoint Now) {
  LeaseAppend Out;
  Out.At = *this->End;
  Out.Record.Holder = this->Self;
  Out.Record.Incarnation = this->Incarnation;
  Out.Record.Number = this->NextNumber++;
  Out.Record.Token = this->claimedHere() ? this->Latest->Token
                                         : FencingToken{this->End->Value + 1};
  Out.Record.Released = Release;
  this->ReleaseSent = Release;
  Out.Record.Endpoint = this->Endpoint;
  Out.Record.Instances = Instances;
  // A claim keeps what the previous holder left until it has been read. What
  // this holder wrote in the era before may be missing there.
  if (this->claimedHere() || this->mayReclaim(Now))
    Out.Record.State = this->State;
  else if (this->Latest)
    Out.Record.State = this->Latest->State;
  if (!this->claimedHere())
    this->takeOver(Out.Record.Token, Now);
  Out.Record.OrderWait = this->orderWait(Now);
  Out.Record.Unsettled = this->Ledger.all(Now);
  this->StateAppended = true;
  this->LastInstances = Instances;
  this->LastSentAt = Now;
  this->PendingSince = Now;
  if (!Release)
    this->Pending.push_back({Out.Record.Number, Now});
  if (this->Pending.size() > MaxPending)
    this->Pending.pop_front();
  return Out;
}

void HolderLease::takeOver(FencingToken Token, base::TimePoint Now) {
  this->Predecessor = this->Latest;
  this->OrderFrom = this->earliestOrderTime(Now);
  bool Reclaims = this->mayReclaim(Now);
  bool Lost = this->isLost();
  this->ClaimFollowsLoss = Lost && !Reclaims;
  this->Ledger.onClaim(Token, this->isLatestOwn() || Reclaims);
  // The last record of a lapsed lease, or of an earlier era, does not list what
  // was sent after it.
  this->FollowsLapse =
      !Reclaims && (Lost || (this->Latest && !this->Latest->Released &&
                             !this->isLatestOwn()));
  if (!this->Latest || Reclaims)
    return;
  this->Ledger.inherit(this->Latest->Unsettled, this->ChangedAt, Now);
}

void HolderLease::onReportedExpiry(LeaseLogEnd ReportedEnd,
                                   std::chrono::milliseconds Left,
                                   base::TimePoint Now) {
  this->HolderExpiry = ReportedExpiry{ReportedEnd, Now + Left};
}

void HolderLease::onGivenUp(FencingToken Token,
                            const std::vector<UnsettledOrders> &Left,
                            base::TimePoint Now) {
  this->Ledger.prune(Now);
  this->Ledger.inherit(Left, Now, Now);
  if (this->GivenUp && Token <= this->GivenUp->Token)
    return;
  this->GivenUp = GivenUpLease{Token, Now};
  if (this->isGivenUp())
    this->ValidUntil = {};
}

std::chrono::milliseconds HolderLease::timeLeft(base::TimePoint Now) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(this->ValidUntil - Now, base::Duration::zero()));
}

base::TimePoint HolderLease::expiry() const {
  if (this->isLost())
    return this->ChangedAt + this->Settings.Duration + this->Settings.Drift;
  if (!this->Latest || this->Latest->Released)
    return this->ChangedAt;
  if (this->isGivenUp())
    return std::max(this->ChangedAt, this->GivenUp->At + this->Settings.Drift);
  bool Reported = this->HolderExpiry && this->HolderExpiry->End == *this->End;
  base::TimePoint ExpiresAt = Reported
                                  ? this->HolderExpiry->Until
                                  : this->ChangedAt + this->Settings.Duration;
  return ExpiresAt + this->Settings.Drift;
}

base::TimePoint HolderLease::earliestClaimTime(base::TimePoint Now) const {
  if (this->mayReclaim(Now))
    return this->ChangedAt;
  bool OwnEarlier =
      this->isLatestOwn() && !this->Latest->Released && !this->isGivenUp();
  // The record is from an earlier incarnation of this instance, which has
  // ended.
  if (OwnEarlier)
    return this->ChangedAt;
  base::TimePoint From = this->expiry() + this->Delay;
  base::TimePoint Latest = From + this->Settings.DeferDelay;
  return this->Behind ? Latest
                      : std::clamp(this->earliestOrderTime(Now), From, Latest);
}

base::TimePoint HolderLease::earliestOrderTime(base::TimePoint Now) const {
  if (this->mayReclaim(Now))
    return this->OrderFrom;
  bool LogIsNew = !this->Latest && this->End == LeaseLogEnd{};
  if (LogIsNew)
    return {};
  // Nobody else has held the lease since.
  if (this->isLatestOwn() && this->Latest->Incarnation == this->Incarnation)
    return this->OrderFrom;
  if (this->isLatestOwn())
    return std::max(this->ChangedAt + this->Latest->OrderWait,
                    this->transitEnd());
  // At which engines an earlier process of this machine has ordered is unknown.
  return this->transitEnd() + this->Settings.OrderTurn + this->Settings.Drift;
}

std::chrono::milliseconds HolderLease::orderWait(base::TimePoint Now) const {
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::max(this->OrderFrom - Now, base::Duration::zero()));
}

void HolderLease::onOrderSent(const base::TargetId &Engine,
                              catalog::Lifetime Lifetime, base::TimePoint Now) {
  ++this->OrdersUnderWay;
  this->Ledger.onSent(Engine, Lifetime, Now);
}

void HolderLease::onOrderEnded(const base::TargetId &Engine) {
  --this->OrdersUnderWay;
  this->Ledger.onEnded(Engine);
}

void HolderLease::onOrderSettled(const base::TargetId &Engine,
                                 base::TimePoint Now) {
  this->LastOrderAt = Now;
  this->Ledger.onSettled(Engine, Now);
}

void HolderLease::onOrderCut(const base::TargetId &Engine,
                             base::TimePoint Now) {
  this->Ledger.onCut(Engine, Now);
  this->StateAppended = false;
}

void HolderLease::onUnsettledOrders(const OrderSender &Sender,
                                    const std::vector<UnsettledOrders> &Current,
                                    base::TimePoint Now) {
  this->Ledger.replace(Sender, Current, Now);
}

std::optional<LeaseAppend> HolderLease::tick(unsigned Instances,
                                             base::TimePoint Now) {
  this->Ledger.prune(Now);
  if (!this->End)
    return std::nullopt;
  if (this->Yielding || this->Leaving)
    return this->releaseIfIdle(Now);
  if (this->PendingSince &&
      Now < *this->PendingSince + this->Settings.AppendTimeout)
    return std::nullopt;
  if (this->claimedHere()) {
    // What may still arrive is listed soon, as a process that is killed can't
    // list it afterwards.
    bool Due = Now >= this->LastSentAt + (this->StateAppended
                                              ? this->Settings.RenewEvery
                                              : this->Settings.MinAppendGap);
    if (this->Fenced || !Due)
      return std::nullopt;
    return this->append(false, Instances, Now);
  }
  if (Now < this->earliestClaimTime(Now))
    return std::nullopt;
  return this->append(false, Instances, Now);
}

void HolderLease::onAppended(const LeaseAppend &Sent, base::TimePoint Now) {
  this->PendingSince.reset();
  if (this->End && *this->End == Sent.At)
    this->onRead(Sent.Record, LeaseLogEnd{Sent.At.Value + 1}, Now);
}

void HolderLease::onNotAppended(const LeaseAppend &Sent) {
  this->PendingSince.reset();
  this->StateAppended = false;
  if (this->End && *this->End == Sent.At)
    this->End.reset();
}

void HolderLease::setState(std::string New) {
  this->StateAppended = this->StateAppended && New == this->State;
  this->State = std::move(New);
}

void HolderLease::forgetEnd() { this->End.reset(); }

void HolderLease::onFenced() {
  this->Fenced = true;
  this->ValidUntil = {};
  this->End.reset();
}

std::optional<LeaseAppend> HolderLease::release(base::TimePoint Now) {
  this->Leaving = true;
  return this->yield(Now);
}

std::optional<LeaseAppend> HolderLease::yield(base::TimePoint Now) {
  this->Yielding = true;
  return this->releaseIfIdle(Now);
}

std::optional<LeaseAppend> HolderLease::releaseIfIdle(base::TimePoint Now) {
  if (!this->claimedHere()) {
    this->Yielding = false;
    return std::nullopt;
  }
  bool AppendPending = this->PendingSince &&
                       Now < *this->PendingSince + this->Settings.AppendTimeout;
  // The record lists no orders that are in transit.
  bool InTransit = this->hasOrdersUnderWay() || Now < this->transitEnd() ||
                   Now < this->ReportsDueAt;
  if (!this->End || AppendPending || InTransit)
    return std::nullopt;
  this->Yielding = false;
  this->ValidUntil = {};
  // The store may execute the release late, so that earlier renewals no longer
  // show that the lease is held.
  this->Pending.clear();
  return this->append(true, this->LastInstances, Now);
}

LeaseLoss HolderLease::lossReason() const {
  if (this->Fenced)
    return LeaseLoss::Fenced;
  if (this->ReleaseSent)
    return LeaseLoss::Released;
  if (this->isGivenUp())
    return LeaseLoss::GivenUp;
  return this->claimedHere() ? LeaseLoss::Lapsed : LeaseLoss::Superseded;
}

std::optional<FencingToken> HolderLease::held(base::TimePoint Now) const {
  if (this->Fenced || !this->claimedHere() || Now >= this->ValidUntil)
    return std::nullopt;
  return this->Latest->Token;
}

std::optional<FencingToken> HolderLease::orderToken(base::TimePoint Now) const {
  // A successor may order from ValidUntil and Drift on.
  bool ArrivesInTime = Now + this->Settings.OrderTransit <=
                       this->ValidUntil + this->Settings.Drift;
  if (this->Yielding || this->Leaving || Now < this->OrderFrom ||
      !ArrivesInTime)
    return std::nullopt;
  return this->held(Now);
}

std::optional<FencingToken>
HolderLease::orderToken(const base::TargetId &Engine,
                        base::TimePoint Now) const {
  return this->Ledger.mayOrder(Engine, Now) ? this->orderToken(Now)
                                            : std::nullopt;
}

} // namespace kingcuphub::residency
