#ifndef KINGCUPHUB_SHARES_SHARES_H
#define KINGCUPHUB_SHARES_SHARES_H

/// \file
/// Enforces every limit on a quantity over all instances together. A limit
/// consists of units that are free, used or granted. Each unit is in one place
/// at a time and moves by transfers. A lost unit is reissued only by the
/// primary holder of an epoch, once it knows that the unit was lost. The units
/// spent in any time window are therefore at most the limit's units plus the
/// refill during that window.
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
  /// Maximum age of the proof of freshness with which units are granted; must
  /// be the same on every instance.
  base::Duration FreshnessBound = 3s;
  /// Maximum rate error of a local clock, as a fraction.
  double MaxClockDrift = 500e-6;
  base::Duration ResendPeriod = 250ms;
  base::Duration AskTimeout = 250ms;
  /// Units for this much time of use are requested ahead of demand.
  base::Duration Horizon = 300ms;
  /// Excess free units are returned to a holder after this time without demand.
  base::Duration IdleReturn = 300ms;
  /// Minimum time between two returns of units to a holder.
  base::Duration UsedReturnPeriod = 200ms;
};

struct SendToPeer {
  MemberName To;
  wire::PeerMessage Message;
};
/// Free units of the quantity have arrived: the gateway may ask again.
struct Available {
  base::QuantityId Quantity;
};
using Command = std::variant<SendToPeer, Available>;
using Commands = std::vector<Command>;

/// The answer to a gateway that asks for units.
struct Grant {
  std::int64_t Amount = 0;
  /// If Amount is less than was asked for: when the rest can be available by
  /// the limit's refill rate; 0 while other holders are being asked for it.
  base::Duration RetryAfter{0};
};

/// Versions known to be agreed: any instance with a proof of freshness that
/// began after this was learned knows these versions.
struct AgreedVersions {
  base::EpochNumber Epoch;
  /// The offset after the last agreed record of the `config` stream.
  base::Offset Config;
};

class Shares {
public:
  Shares(MemberName Self, Settings Options);

  /// Sets a limit from the configuration. Called for every accepted change in
  /// log order, and for all limits before the first epoch that names this
  /// instance.
  void setLimit(const base::QuantityId &Quantity, const Limit &NewLimit,
                base::TimePoint Now);
  void removeLimit(const base::QuantityId &Quantity, base::TimePoint Now);
  /// Enters an epoch; \p Former is the one before it. Called in log order.
  Commands learnEpoch(const wire::Epoch &New, const wire::Epoch &Former,
                      base::TimePoint Now);
  /// The state of this instance was proven to be the newest at \p At.
  void setProven(base::TimePoint At);
  void setAgreed(AgreedVersions Known, base::TimePoint Now);
  /// Sets the peers that are not asked because they seem to be dead.
  void setUnreachable(std::set<base::InstanceId> Peers);

  Commands receive(const wire::PeerMessage &Message, base::TimePoint Now);
  Commands tick(base::TimePoint Now);

  /// Grants up to \p Amount now; asks peers for what is missing.
  Grant take(const base::QuantityId &Quantity, std::int64_t Amount,
             base::TimePoint Now, Commands &Out);
  /// Granted units were spent.
  void spend(const base::QuantityId &Quantity, std::int64_t Amount,
             base::TimePoint Now);
  /// Granted units are returned unspent.
  void giveBack(const base::QuantityId &Quantity, std::int64_t Amount,
                base::TimePoint Now);
  /// Units that were spent turned out not to be needed.
  void refund(const base::QuantityId &Quantity, std::int64_t Amount,
              base::TimePoint Now);

  /// Voids all credits of a gateway that is gone or replaced. Refilled units
  /// count as spent once the credit has expired; slots stay in use for the
  /// limit's LostHold.
  void voidCredits(base::TimePoint Now);
  /// Whether every primary holder has acknowledged this instance's
  /// confirmation of the epoch. An instance that the epoch leaves out may then
  /// terminate.
  bool confirmed() const;

  /// The generation of valid credits. Credits of an earlier generation are
  /// void, and the gateway must drop them.
  std::uint64_t generation() const { return this->Generation; }
  /// Whether anything may be granted now.
  bool usable(base::TimePoint Now) const;
  const Share *find(const base::QuantityId &Quantity) const;
  /// The holders of a quantity in this epoch, primary first.
  std::vector<MemberName> holders(const base::QuantityId &Quantity) const;
  const EpochView &epoch() const { return this->Current; }
  /// Whether this instance has reconciled the quantities whose primary holder
  /// it is in this epoch.
  bool settled() const { return this->Settled; }

private:
  struct Demand {
    /// Units the gateway last asked for that were not granted.
    std::int64_t Wanted = 0;
    /// The id of the request in flight; 0 if none.
    std::uint64_t Request = 0;
    base::TimePoint AskedAt{};
    base::TimePoint AskAgainAt{};
    /// The value of Wanted when the last round of requests failed.
    std::int64_t RefusedWanted = 0;
    /// Holders that sent less than was asked for in this round of requests.
    std::size_t ShortAnswers = 0;
    /// No single holder had enough, so partial amounts are accepted.
    bool Gathering = false;
    std::size_t NextHolder = 0;
    base::TimePoint LastDemandAt{};
    base::TimePoint LastReturnAt{};
    /// Units granted in the current horizon and in the one before.
    std::int64_t GrantedInHorizon = 0;
    std::int64_t GrantedBefore = 0;
    base::TimePoint HorizonStart{};
  };
  struct Entry {
    /// The limit in force; absent if it was removed.
    std::optional<Limit> InForce;
    /// The last limit that was set; Part is a share of it.
    Limit LastLimit;
    Share Part;
    Demand Need;
    std::vector<MemberName> Holders;
    /// The limit was first set during this epoch, while this instance could
    /// grant units, so no unit existed before.
    bool CreatedInEpoch = false;
    /// On the primary: the units and refill known to exist.
    HeldPart Issued;
    /// On the primary: what the other holders confirmed or have been sent.
    std::map<MemberName, HeldPart> Allocated;
    /// On the primary: the limit changed, and units it may have gained are not
    /// issued yet.
    bool RaisePending = false;
    /// When they may be issued; unset until the change is agreed.
    std::optional<base::TimePoint> RaiseAt;
  };

  /// The request that a transfer answers, and when the rest can be available.
  struct Reply {
    std::uint64_t Request = 0;
    base::Duration RetryAfter{0};
  };

  /// Returns the entry, refilled up to \p Now, or null.
  Entry *findRefilled(const base::QuantityId &Quantity, base::TimePoint Now);
  void rankHolders(const base::QuantityId &Quantity, Entry &Each) const;
  bool isPrimary(const Entry &Each) const;
  bool isHolder(const Entry &Each) const;
  /// The units and refill that \p Of should hold; nothing if it is no holder.
  HeldPart targetAllocation(const Entry &Each, const MemberName &Of) const;
  /// Local time after which every proof of freshness that began earlier has
  /// expired on its instance, whatever the clock drift.
  base::Duration proofLifetime() const;
  bool inEpoch() const { return this->Current.contains(this->Self); }

  void changeLimit(const base::QuantityId &Quantity, Entry &Each,
                   const Limit &NewLimit);
  void dropAllShares(base::TimePoint Now);
  void eraseRemovedLimits();
  HeldParts heldParts() const;
  void addConfirmRecipient(const Entry &Each);
  HeldParts snapshotFor(const MemberName &Primary) const;
  wire::PeerMessage makeConfirm(const MemberName &Primary) const;
  void sendConfirms(base::TimePoint Now, Commands &Out);
  void receiveConfirm(const MemberName &From, const wire::EpochConfirm &Body,
                      Commands &Out);
  bool knowsLimitVersions(const wire::EpochConfirm &Body) const;
  bool canSettle(base::TimePoint Now) const;
  void settle(base::TimePoint Now);
  void settleQuantity(const base::QuantityId &Quantity, Entry &Each,
                      base::TimePoint Now);
  void issueMissing(Entry &Each, std::int64_t AsFree, base::TimePoint Now);
  void issueRaises(base::TimePoint Now);

  void receiveTransfer(const MemberName &From, const wire::ShareTransfer &Body,
                       base::TimePoint Now, Commands &Out);
  void endRound(Entry &Each, base::Duration Wait, base::TimePoint Now) const;
  std::size_t otherHolders(const Entry &Each) const;
  std::int64_t grantable(const Entry &Each,
                         const wire::ShareRequest &Body) const;
  void answerRequest(const MemberName &From, const wire::ShareRequest &Body,
                     base::TimePoint Now, Commands &Out);
  void handleAnswer(const base::QuantityId &Quantity, Entry &Each,
                    const wire::ShareTransfer &Body, base::TimePoint Now,
                    Commands &Out);
  void ask(const base::QuantityId &Quantity, Entry &Each, base::TimePoint Now,
           Commands &Out);
  void recordGranted(Demand &Need, std::int64_t Amount,
                     base::TimePoint Now) const;
  std::int64_t shortage(const Entry &Each, base::TimePoint Now) const;
  std::optional<MemberName> nextHolder(Entry &Each) const;
  static base::Duration retryAfter(const Entry &Each, std::int64_t Amount);

  void rebalance(const base::QuantityId &Quantity, Entry &Each,
                 base::TimePoint Now, Commands &Out);
  void giveExcessRefill(const base::QuantityId &Quantity, Entry &Each,
                        base::TimePoint Now, Commands &Out);
  void allocateToHolders(const base::QuantityId &Quantity, Entry &Each,
                         base::TimePoint Now, Commands &Out);
  void returnUnits(const base::QuantityId &Quantity, Entry &Each,
                   base::TimePoint Now, Commands &Out);
  void transfer(const base::QuantityId &Quantity, const Entry &Each,
                const MemberName &To, const TransferAmounts &Amounts,
                Reply Answer, base::TimePoint Now, Commands &Out);
  void send(const MemberName &To, wire::PeerMessage Message,
            Commands &Out) const;

  MemberName Self;
  Settings Options;
  EpochView Current;
  EpochView Former;
  Reconciliation Confirmations;
  bool Settled = false;
  /// No credit of an epoch before the former one was valid any more when this
  /// epoch began: this instance, or one that confirmed, knew the former epoch
  /// to be settled or its predecessor's credits to be expired.
  bool FormerSettled = false;
  /// When this epoch was learned to be agreed.
  std::optional<base::TimePoint> AgreedAt;
  AgreedVersions Agreed;
  std::map<base::QuantityId, Entry> Entries;
  Transfers Channels;
  /// What this instance held when it entered the epoch, and the versions of
  /// the limits at that time.
  HeldParts Snapshot;
  std::map<base::QuantityId, base::Offset> SnapshotVersions;
  /// Primary holders that have not yet acknowledged the confirmation, and
  /// those that have.
  std::set<MemberName> UnconfirmedPrimaries;
  std::set<MemberName> ConfirmedPrimaries;
  std::optional<base::TimePoint> ConfirmSentAt;
  base::TimePoint ConfirmNotBefore{};
  std::optional<base::TimePoint> ProvenAt;
  std::set<base::InstanceId> Unreachable;
  std::uint64_t Generation = 1;
  std::uint64_t LastRequest = 0;
};

} // namespace kingcuphub::shares

#endif // KINGCUPHUB_SHARES_SHARES_H
