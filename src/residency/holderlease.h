#ifndef KINGCUPHUB_RESIDENCY_HOLDERLEASE_H
#define KINGCUPHUB_RESIDENCY_HOLDERLEASE_H

/// \file
/// Lease that lets one instance at a time give orders to the engines. The lease
/// is the newest record of a log in the platform's store; a record is appended
/// on condition that nothing has been appended since the last read. The offset
/// after the claim is the fencing token. A holder counts its lease from the
/// time at which it sent the accepted renewal; others wait for longer than that
/// from when they read it.
///
/// Failure: the store comes back from a copy that is some seconds old, in a new
/// era. Offsets are given out again, so that a position in the log is an era
/// and an offset, and tokens rise with the era. A record of an earlier era
/// tells nothing about who has held the lease since: nobody claims it for a
/// whole lease, except an instance whose own lease was valid when it read the
/// era. No I/O and no clock.

#include "residency/orderledger.h"
#include "residency/types.h"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace kingcuphub::residency {

/// The position after the newest record of the lease's log: the store's era and
/// the offset in it.
using LeaseLogEnd = base::NumberId<struct LeaseLogEndTag>;

constexpr unsigned LogOffsetBits = 40;

constexpr LeaseLogEnd logPosition(std::uint64_t Era, std::uint64_t Offset) {
  return {(Era << LogOffsetBits) + Offset};
}
constexpr std::uint64_t eraOf(std::uint64_t PositionOrToken) {
  return PositionOrToken >> LogOffsetBits;
}
constexpr std::uint64_t offsetOf(LeaseLogEnd Position) {
  return Position.Value & ((std::uint64_t{1} << LogOffsetBits) - 1);
}

struct LeaseRecord {
  base::InstanceId Holder;
  base::Incarnation Incarnation;
  /// Sequence number of the records that this incarnation has sent.
  std::uint64_t Number = 0;
  FencingToken Token;
  bool Released = false;
  /// The endpoint at which other instances reach the holder.
  std::string Endpoint;
  /// The number of instances that the holder knows of.
  unsigned Instances = 0;
  /// What the next holder takes over, in a form that the lease does not know.
  std::string State;
  /// Time from this record until its holder may give orders.
  std::chrono::milliseconds OrderWait{0};
  /// Orders of this holder and of earlier ones that may still arrive.
  std::vector<UnsettledOrders> Unsettled;
};

struct HolderLeaseSettings {
  std::chrono::milliseconds Duration{3000};
  std::chrono::milliseconds RenewEvery{1000};
  /// Minimum time between records that are appended for a change of what the
  /// next holder takes over.
  std::chrono::milliseconds MinAppendGap{100};
  /// Allows for the drift between the clocks of two instances over a lease.
  std::chrono::milliseconds Drift{300};
  /// Minimum time from an instance's last order to an engine to its next one
  /// there if another instance may have ordered in between.
  std::chrono::milliseconds OrderTurn{3000};
  /// Maximum time from the check that precedes an order until the engine's
  /// machine has it or never will.
  std::chrono::milliseconds OrderTransit{700};
  /// How long a new holder waits for what the others report of their unsettled
  /// orders if the lease before has lapsed: longer than the interval of
  /// reports.
  std::chrono::milliseconds ReportWait{300};
  /// An order that was not answered counts as settled after this time.
  std::chrono::milliseconds MaxOrderDelay = DefaultMaxOrderDelay;
  /// Claims are delayed at random by up to this time, so that few collide.
  std::chrono::milliseconds ClaimSpread{500};
  /// Additional delay of this instance's claims (see capacity.h).
  std::chrono::milliseconds Handicap{0};
  /// Maximum additional delay while this instance is behind schedule (see
  /// lagdetector.h) or may not order yet: long enough for the others to claim
  /// first.
  std::chrono::milliseconds DeferDelay{1500};
  /// How long to wait for the answer to an append.
  std::chrono::milliseconds AppendTimeout{1000};

  /// Whether a holder can order between two renewals.
  bool leavesTimeForOrders() const {
    return this->Duration + this->Drift > this->RenewEvery + this->OrderTransit;
  }
};

/// Why an instance does not hold the lease.
enum class LeaseLoss {
  /// No renewal was confirmed in time.
  Lapsed,
  /// Another record was appended after the instance's own.
  Superseded,
  /// An engine rejected the token.
  Fenced,
  /// Given up for good after it had lapsed.
  GivenUp,
  /// Given back: the instance yields, or stops.
  Released,
};

/// As in a log line.
std::string_view leaseLossName(LeaseLoss Why);

/// A record to append on condition that the log still ends at \p At.
struct LeaseAppend {
  LeaseRecord Record;
  LeaseLogEnd At;
};

class HolderLease {
public:
  /// \p StartedAt is when this process started: until then an earlier process
  /// on the same machine may have ordered.
  HolderLease(base::InstanceId Self, base::Incarnation Incarnation,
              std::string Endpoint, HolderLeaseSettings Settings,
              std::uint64_t Seed, base::TimePoint StartedAt = {});

  /// Handles the newest record, or none, and the end of the log, as read from
  /// the store.
  void onRead(const std::optional<LeaseRecord> &Record, LeaseLogEnd End,
              base::TimePoint Now);
  /// Handles the remaining time that the holder itself reports: if its newest
  /// record is the one before \p ReportedEnd, the lease expires after \p Left
  /// at the latest.
  void onReportedExpiry(LeaseLogEnd ReportedEnd, std::chrono::milliseconds Left,
                        base::TimePoint Now);
  /// Handles that the lease with \p Token, and any older one, is over for good:
  /// this instance's lease has lapsed, or its holder has announced the end.
  /// \p Left is what that holder knows of unsettled orders.
  /// Load pattern: the store is unreachable for the holder alone, while demand
  /// moves.
  void onGivenUp(FencingToken Token, const std::vector<UnsettledOrders> &Left,
                 base::TimePoint Now);
  /// The remaining time of the lease, as the holder reports it to others.
  std::chrono::milliseconds timeLeft(base::TimePoint Now) const;
  LeaseLogEnd end() const { return this->End.value_or(LeaseLogEnd{}); }
  /// The claim, renewal or pending release to append now, if any.
  std::optional<LeaseAppend> tick(unsigned Instances, base::TimePoint Now);
  void onAppended(const LeaseAppend &Sent, base::TimePoint Now);
  /// Handles that another record was appended first, or that the outcome is
  /// unknown: nothing is appended until the store has been read again.
  void onNotAppended(const LeaseAppend &Sent);
  /// Handles that an engine rejected the token because a later holder has given
  /// orders.
  void onFenced();
  /// Gives the lease back; any instance may claim it. No more orders are given,
  /// and the release is appended once none is in transit, of this process and
  /// of those before it: now, or by tick().
  std::optional<LeaseAppend> yield(base::TimePoint Now);
  /// Gives the lease back for a graceful shutdown; this instance claims it no
  /// more.
  std::optional<LeaseAppend> release(base::TimePoint Now);
  /// Whether the release waits for orders under way.
  bool isYielding() const { return this->Yielding; }

  /// The token if the lease is held at \p Now.
  std::optional<FencingToken> held(base::TimePoint Now) const;
  /// The token if orders may be sent at \p Now at all.
  std::optional<FencingToken> orderToken(base::TimePoint Now) const;
  /// The token if an order to \p Engine may be sent at \p Now; must be checked
  /// right before.
  ///
  /// Load pattern: holders are stopped, slowed or cut off in series, so that
  /// the lease returns to an instance within OrderTurn. An instance orders
  /// again at an engine only if nobody else may have ordered there since, or
  /// OrderTurn has passed, and while no order of another holder may arrive
  /// there.
  std::optional<FencingToken> orderToken(const base::TargetId &Engine,
                                         base::TimePoint Now) const;
  /// Time until this instance may order under its latest claim.
  std::chrono::milliseconds orderWait(base::TimePoint Now) const;
  /// Must be called for each order that is sent; once it has been answered or
  /// its sender no longer waits for the answer; and, then or later, once it can
  /// no longer arrive.
  void onOrderSent(const base::TargetId &Engine, catalog::Lifetime Lifetime,
                   base::TimePoint Now);
  void onOrderEnded(const base::TargetId &Engine);
  void onOrderSettled(const base::TargetId &Engine, base::TimePoint Now);
  /// Must be called in place of onOrderSettled() if the order's connection
  /// broke without an answer.
  void onOrderCut(const base::TargetId &Engine, base::TimePoint Now);
  bool hasOrdersUnderWay() const { return this->OrdersUnderWay > 0; }
  /// This process's orders that may still arrive; other instances report them
  /// to the holder.
  std::vector<UnsettledOrders> unsettledOrders(base::TimePoint Now) const {
    return this->Ledger.own(Now);
  }
  /// The same with those of others that this instance knows of.
  std::vector<UnsettledOrders> allUnsettledOrders(base::TimePoint Now) const {
    return this->Ledger.all(Now);
  }
  /// Handles that the process \p Sender has no other unsettled orders than
  /// \p Current.
  void onUnsettledOrders(const OrderSender &Sender,
                         const std::vector<UnsettledOrders> &Current,
                         base::TimePoint Now);
  /// When this instance's latest order was settled, if any was.
  const std::optional<base::TimePoint> &lastOrder() const {
    return this->LastOrderAt;
  }
  /// Whether the newest known record is this incarnation's and was neither
  /// released nor given up; it may have lapsed.
  bool claimedHere() const;
  /// Handles that records may have been missed: nothing is appended until the
  /// store has been read.
  void forgetEnd();
  /// Sets whether this instance is behind schedule; its claims are then
  /// delayed.
  void setBehind(bool NewBehind) { this->Behind = NewBehind; }
  /// Sets what the next holder takes over. It is appended within MinAppendGap
  /// if it has changed.
  void setState(std::string New);
  bool needsRead() const { return !this->End.has_value(); }
  const std::optional<LeaseRecord> &record() const { return this->Latest; }
  /// Whether this instance held the lease when it read the new era, so that
  /// nobody else can hold it yet.
  bool mayReclaim(base::TimePoint Now) const;
  /// Whether this instance's claim followed a record of an earlier era that was
  /// not its own valid one, so that what a holder did last is unknown.
  bool followsLostRecords() const { return this->ClaimFollowsLoss; }
  /// Why the lease is not held; for the log.
  LeaseLoss lossReason() const;
  /// The record that this instance's latest claim followed, if any.
  const std::optional<LeaseRecord> &predecessor() const {
    return this->Predecessor;
  }

private:
  struct ReportedExpiry {
    LeaseLogEnd End;
    base::TimePoint Until;
  };
  struct GivenUpLease {
    FencingToken Token;
    base::TimePoint At;
  };
  struct Sent {
    std::uint64_t Number = 0;
    base::TimePoint At;
  };

  bool isGivenUp() const;
  /// Whether the newest known record is of an earlier era, or none is left of
  /// one.
  bool isLost() const;
  /// Whether the newest known record is this machine's, of any incarnation.
  bool isLatestOwn() const;
  /// When the lease may be claimed by the instance without any delay.
  base::TimePoint expiry() const;
  base::TimePoint earliestClaimTime(base::TimePoint Now) const;
  /// When this instance may order if it claims the lease.
  base::TimePoint earliestOrderTime(base::TimePoint Now) const;
  /// When no orders of an earlier process of this machine are in transit.
  base::TimePoint transitEnd() const {
    return this->StartedAt + this->Settings.OrderTransit;
  }
  /// Takes over what is known of earlier orders, for a claim under \p Token.
  void takeOver(FencingToken Token, base::TimePoint Now);
  std::optional<LeaseAppend> releaseIfIdle(base::TimePoint Now);
  LeaseAppend append(bool Release, unsigned Instances, base::TimePoint Now);
  void drawClaimDelay();

  base::InstanceId Self;
  base::Incarnation Incarnation;
  std::string Endpoint;
  HolderLeaseSettings Settings;
  std::mt19937_64 Random;
  std::optional<LeaseRecord> Latest;
  std::optional<LeaseRecord> Predecessor;
  std::optional<LeaseLogEnd> End;
  base::TimePoint ChangedAt;
  std::optional<ReportedExpiry> HolderExpiry;
  std::optional<GivenUpLease> GivenUp;
  std::chrono::milliseconds Delay{0};
  base::TimePoint ValidUntil;
  /// The newest era that was seen.
  std::uint64_t Era = 0;
  /// Until when the lease of the era before would have been valid.
  base::TimePoint ReclaimUntil;
  bool ClaimFollowsLoss = false;
  base::TimePoint LastSentAt;
  std::optional<base::TimePoint> PendingSince;
  std::deque<Sent> Pending;
  std::uint64_t NextNumber = 1;
  unsigned LastInstances = 0;
  std::string State;
  bool StateAppended = true;
  base::TimePoint StartedAt;
  std::optional<base::TimePoint> LastOrderAt;
  std::size_t OrdersUnderWay = 0;
  OrderLedger Ledger;
  /// The latest claim followed a lapsed lease and is not confirmed yet.
  bool FollowsLapse = false;
  /// When the others have reported their unsettled orders.
  base::TimePoint ReportsDueAt;
  /// When this instance may order under its latest claim.
  base::TimePoint OrderFrom;
  bool Yielding = false;
  bool Leaving = false;
  bool Fenced = false;
  bool Behind = false;
  bool ReleaseSent = false;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_HOLDERLEASE_H
