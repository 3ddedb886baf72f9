#ifndef KINGCUPHUB_SHARES_SHARES_H
#define KINGCUPHUB_SHARES_SHARES_H

/// \file
/// One mechanism for every quantity whose sum over all instances is limited.
/// The whole is cut into units that are free, used or granted; each is in one
/// place at a time, moves by transfers, and is made anew only where the
/// primary holder of an epoch knows that it was lost. Spending over any window
/// is therefore at most the units plus what was refilled meanwhile.
///
/// Shares does no I/O and reads no clock.

#include "base/clock.h"
#include "base/ids.h"
#include "membership/membership.h"
#include "shares/limit.h"
#include "shares/reconciliation.h"
#include "shares/share.h"
#include "shares/transfers.h"

#include <map>
#include <optional>
#include <peer.pb.h>
#include <records.pb.h>
#include <set>
#include <variant>
#include <vector>

namespace kingcuphub::shares {

struct Settings {
  HolderPolicy Holders;
  /// Nothing is granted later than this after the last proof that the state
  /// is the newest; the same bound on every instance.
  base::Duration FreshnessBound = 3s;
  /// Clocks of two instances differ in speed by no more than this.
  double MaxClockDrift = 500e-6;
  base::Duration ResendPeriod = 250ms;
  base::Duration AskTimeout = 250ms;
  /// Use of this long is held ahead of demand.
  base::Duration Horizon = 300ms;
  /// Free units that nobody asked for are handed back after this time.
  base::Duration IdleReturn = 300ms;
  /// Used units are handed to a holder no more often than this.
  base::Duration UsedReturnPeriod = 200ms;
};

struct SendToPeer {
  MemberName To;
  wire::PeerMessage Message;
};
/// Units of the quantity have come in: ask again.
struct Available {
  base::QuantityId Quantity;
};
using Command = std::variant<SendToPeer, Available>;
using Commands = std::vector<Command>;

/// The answer to a gateway that asks for units.
struct Grant {
  std::int64_t Amount = 0;
  /// With less than was asked for: when the rest can be there, by the whole
  /// quantity's refill; 0 while other holders are still being asked for it.
  base::Duration RetryAfter{0};
};

/// What is known to be agreed: any instance that has a proof of freshness
/// which began after it was learned knows these versions.
struct AgreedVersions {
  base::EpochNumber Epoch;
  /// Next config offset.
  base::Offset Config;
};

class Shares {
public:
  Shares(MemberName Self, Settings Options);

  /// The configuration's limit, called for every accepted change in log order,
  /// and for all limits before the first epoch that names this instance.
  void setLimit(const base::QuantityId &Quantity, const Limit &Whole,
                base::TimePoint Now);
  void removeLimit(const base::QuantityId &Quantity, base::TimePoint Now);
  /// An epoch and the one before it, in log order.
  Commands learnEpoch(const wire::Epoch &New, const wire::Epoch &Former,
                      base::TimePoint Now);
  /// The state was the newest at \p At.
  void setProven(base::TimePoint At);
  void setAgreed(AgreedVersions Known, base::TimePoint Now);
  /// Peers that are not to be asked, as they seem dead.
  void setUnreachable(std::set<base::InstanceId> Peers);

  Commands receive(const wire::PeerMessage &Message, base::TimePoint Now);
  Commands tick(base::TimePoint Now);

  /// Grants up to \p Amount now; what lacks is asked of peers.
  Grant take(const base::QuantityId &Quantity, std::int64_t Amount,
             base::TimePoint Now, Commands &Out);
  /// Of granted units: spent, come back unspent, spent but not needed after
  /// all.
  void spend(const base::QuantityId &Quantity, std::int64_t Amount,
             base::TimePoint Now);
  void giveBack(const base::QuantityId &Quantity, std::int64_t Amount,
                base::TimePoint Now);
  void refund(const base::QuantityId &Quantity, std::int64_t Amount,
              base::TimePoint Now);

  /// The gateway is gone or replaced: what it was granted is void, and counts
  /// as spent once it has lapsed.
  void voidCredits(base::TimePoint Now);
  /// Whether every primary holder has this instance's confirmation of the
  /// epoch; one that the epoch leaves out may then end.
  bool confirmed() const;

  /// Credits of an earlier generation are void: the gateway must drop them.
  std::uint64_t generation() const { return this->Generation; }
  /// Whether anything may be granted now.
  bool usable(base::TimePoint Now) const;
  const Share *find(const base::QuantityId &Quantity) const;
  /// The holders of a quantity in this epoch, the primary first.
  std::vector<MemberName> holders(const base::QuantityId &Quantity) const;
  const EpochView &epoch() const { return this->Current; }
  /// Whether this instance has counted the epoch as its primary.
  bool settled() const { return this->Settled; }

private:
  struct Demand {
    /// What was asked for and not granted.
    std::int64_t Wanted = 0;
    /// The ask that is on its way, if any.
    std::uint64_t Request = 0;
    base::TimePoint AskedAt{};
    base::TimePoint AskAgainAt{};
    /// What was wanted when the last round of asking ended without it.
    std::int64_t RefusedWanted = 0;
    /// Holders that had nothing in this round of asking.
    std::size_t ShortAnswers = 0;
    /// No holder had enough, so that parts are taken too.
    bool Gathering = false;
    std::size_t NextHolder = 0;
    base::TimePoint TakenAt{};
    base::TimePoint UsedReturnedAt{};
    /// Units taken in the running horizon and the one before.
    std::int64_t TakenNow = 0;
    std::int64_t TakenBefore = 0;
    base::TimePoint HorizonAt{};
  };
  struct Entry {
    /// Absent if the quantity was removed.
    std::optional<Limit> Whole;
    /// The limit that Part is a part of.
    Limit Last;
    Share Part;
    Demand Need;
    std::vector<MemberName> Holders;
    /// Created by an operator in this epoch, so that no unit existed before.
    bool New = false;
    /// As primary: what is known to exist, and what the other holders were
    /// found to have or were sent.
    HeldPart Issued;
    std::map<MemberName, HeldPart> Placed;
    /// As primary: the limit was raised and the difference is not made yet.
    bool RaisePending = false;
    std::optional<base::TimePoint> RaiseAt;
  };

  /// Which request a transfer answers, and when the rest can be there.
  struct Reply {
    std::uint64_t Request = 0;
    base::Duration RetryAfter{0};
  };

  Entry *known(const base::QuantityId &Quantity, base::TimePoint Now);
  void rankHolders(const base::QuantityId &Quantity, Entry &Each) const;
  bool isPrimary(const Entry &Each) const;
  bool isHolder(const Entry &Each) const;
  HeldPart target(const Entry &Each, const MemberName &Of) const;
  base::Duration lapse() const;
  bool inEpoch() const { return this->Current.contains(this->Self); }

  void changeLimit(const base::QuantityId &Quantity, Entry &Each,
                   const Limit &Whole);
  void dropEverything(base::TimePoint Now);
  void dropRemoved();
  HeldParts snapshot() const;
  void noteConfirmTarget(const Entry &Each);
  HeldParts heldOf(const MemberName &Primary) const;
  wire::PeerMessage confirmFor(const MemberName &Primary) const;
  void sendConfirms(base::TimePoint Now, Commands &Out);
  void takeConfirm(const MemberName &From, const wire::EpochConfirm &Body,
                   Commands &Out);
  bool knowsVersions(const wire::EpochConfirm &Body) const;
  bool canSettle(base::TimePoint Now) const;
  void settle(base::TimePoint Now);
  void settleQuantity(const base::QuantityId &Quantity, Entry &Each,
                      base::TimePoint Now);
  void issueMissing(Entry &Each, std::int64_t AsFree, base::TimePoint Now);
  void issueRaises(base::TimePoint Now);

  void takeTransfer(const MemberName &From, const wire::ShareTransfer &Body,
                    base::TimePoint Now, Commands &Out);
  void endRound(Entry &Each, base::Duration Wait, base::TimePoint Now) const;
  std::size_t otherHolders(const Entry &Each) const;
  std::int64_t grantable(const Entry &Each,
                         const wire::ShareRequest &Body) const;
  void answerRequest(const MemberName &From, const wire::ShareRequest &Body,
                     base::TimePoint Now, Commands &Out);
  void noteAnswer(const base::QuantityId &Quantity, Entry &Each,
                  const wire::ShareTransfer &Body, base::TimePoint Now,
                  Commands &Out);
  void ask(const base::QuantityId &Quantity, Entry &Each, base::TimePoint Now,
           Commands &Out);
  void noteTaken(Demand &Need, std::int64_t Amount, base::TimePoint Now) const;
  std::int64_t shortage(const Entry &Each, base::TimePoint Now) const;
  std::optional<MemberName> nextHolder(Entry &Each) const;
  static base::Duration retryAfter(const Entry &Each, std::int64_t Amount);

  void rebalance(const base::QuantityId &Quantity, Entry &Each,
                 base::TimePoint Now, Commands &Out);
  void giveExcessRefill(const base::QuantityId &Quantity, Entry &Each,
                        base::TimePoint Now, Commands &Out);
  void place(const base::QuantityId &Quantity, Entry &Each, base::TimePoint Now,
             Commands &Out);
  void returnUnits(const base::QuantityId &Quantity, Entry &Each,
                   base::TimePoint Now, Commands &Out);
  void transfer(const base::QuantityId &Quantity, const Entry &Each,
                const MemberName &To, const Parcel &Amounts, Reply Answer,
                base::TimePoint Now, Commands &Out);
  void send(const MemberName &To, wire::PeerMessage Message,
            Commands &Out) const;

  MemberName Self;
  Settings Options;
  EpochView Current;
  EpochView Former;
  Reconciliation Count;
  bool Settled = false;
  /// Nobody could use an epoch before the former one when this one came, as
  /// this instance or one that confirmed saw the former one settled.
  bool FormerSettled = false;
  std::optional<base::TimePoint> AgreedAt;
  AgreedVersions Agreed;
  std::map<base::QuantityId, Entry> Entries;
  Transfers Channels;
  /// What this instance held when it changed epochs, and by which limits.
  HeldParts Snapshot;
  std::map<base::QuantityId, base::Offset> SnapshotVersions;
  /// Primary holders that are to have the confirmation, and those that have.
  std::set<MemberName> ToConfirm;
  std::set<MemberName> ConfirmedTo;
  std::optional<base::TimePoint> ConfirmSentAt;
  base::TimePoint ConfirmNotBefore{};
  std::optional<base::TimePoint> ProvenAt;
  std::set<base::InstanceId> Unreachable;
  std::uint64_t Generation = 1;
  std::uint64_t LastRequest = 0;
};

} // namespace kingcuphub::shares

#endif // KINGCUPHUB_SHARES_SHARES_H
