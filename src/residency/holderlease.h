#ifndef KINGCUPHUB_RESIDENCY_HOLDERLEASE_H
#define KINGCUPHUB_RESIDENCY_HOLDERLEASE_H

/// \file
/// Lease that lets one instance at a time give orders to the engines. The lease
/// is the newest record of a log in the platform's store; a record is appended
/// on condition that nothing has been appended since the last read. The offset
/// after the claim is the fencing token. A holder counts its lease from the
/// time at which it sent the accepted renewal; others wait for longer than that
/// from when they read it. No I/O and no clock.

#include "residency/types.h"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace kingcuphub::residency {

/// The position after the newest record of the lease's log.
using LeaseLogEnd = base::NumberId<struct LeaseLogEndTag>;

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
};

struct HolderLeaseSettings {
  std::chrono::milliseconds Duration{3000};
  std::chrono::milliseconds RenewEvery{1000};
  /// Allows for the drift between the clocks of two instances over a lease and
  /// for the time between the holder's last check and an order's arrival.
  std::chrono::milliseconds Drift{300};
  /// Claims are delayed at random by up to this time, so that few collide.
  std::chrono::milliseconds ClaimSpread{500};
  /// Additional delay of this instance's claims (see capacity.h).
  std::chrono::milliseconds Handicap{0};
  /// Additional delay while this instance is behind schedule (see
  /// lagdetector.h): long enough for the others to claim first.
  std::chrono::milliseconds BehindHandicap{1500};
  /// How long to wait for the answer to an append.
  std::chrono::milliseconds AppendTimeout{1000};
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
  HolderLease(base::InstanceId Self, base::Incarnation Incarnation,
              std::string Endpoint, HolderLeaseSettings Settings,
              std::uint64_t Seed);

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
  /// Load pattern: the store is unreachable for the holder alone, while demand
  /// moves.
  void onGivenUp(FencingToken Token, base::TimePoint Now);
  /// The remaining time of the lease, as the holder reports it to others.
  std::chrono::milliseconds timeLeft(base::TimePoint Now) const;
  LeaseLogEnd end() const { return this->End.value_or(LeaseLogEnd{}); }
  /// The claim or renewal to append now, if any.
  std::optional<LeaseAppend> tick(unsigned Instances, base::TimePoint Now);
  void onAppended(const LeaseAppend &Sent, base::TimePoint Now);
  /// Handles that another record was appended first, or that the outcome is
  /// unknown: nothing is appended until the store has been read again.
  void onNotAppended(const LeaseAppend &Sent);
  /// Handles that an engine rejected the token because a later holder has given
  /// orders.
  void onFenced();
  /// Gives the lease back; any instance may claim it.
  std::optional<LeaseAppend> yield(base::TimePoint Now);
  /// Gives the lease back for a graceful shutdown; this instance claims it no
  /// more.
  std::optional<LeaseAppend> release(base::TimePoint Now);

  /// The token if the lease is held at \p Now; must be checked right before
  /// each order is sent.
  std::optional<FencingToken> held(base::TimePoint Now) const;
  /// Whether the newest known record is this incarnation's and was neither
  /// released nor given up; it may have lapsed.
  bool claimedHere() const;
  /// Handles that records may have been missed: nothing is appended until the
  /// store has been read.
  void forgetEnd();
  /// Sets whether this instance is behind schedule; its claims are then
  /// delayed.
  void setBehind(bool NewBehind) { this->Behind = NewBehind; }
  /// Sets what the next holder takes over. It is appended at once if it has
  /// changed.
  void setState(std::string New);
  bool needsRead() const { return !this->End.has_value(); }
  const std::optional<LeaseRecord> &record() const { return this->Latest; }
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
  base::TimePoint earliestClaimTime() const;
  std::chrono::milliseconds claimDelay() const;
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
  base::TimePoint LastSentAt;
  std::optional<base::TimePoint> PendingSince;
  std::deque<Sent> Pending;
  std::uint64_t NextNumber = 1;
  unsigned LastInstances = 0;
  std::string State;
  bool StateAppended = true;
  bool Leaving = false;
  bool Fenced = false;
  bool Behind = false;
  bool ReleaseSent = false;
};

} // namespace kingcuphub::residency

#endif // KINGCUPHUB_RESIDENCY_HOLDERLEASE_H
