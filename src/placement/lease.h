#ifndef KINGCUPHUB_PLACEMENT_LEASE_H
#define KINGCUPHUB_PLACEMENT_LEASE_H

/// \file
/// One instance's view of the placement lease: when it may send orders, when
/// it renews the lease, and when it may claim it. While the log is out the
/// lease can be neither renewed nor claimed, so no orders are sent.

#include "placement/orderlog.h"

#include <deque>
#include <optional>
#include <random>
#include <string>

namespace kingcuphub::placement {

struct LeaseSettings {
  std::chrono::milliseconds Duration{3000};
  std::chrono::milliseconds RenewInterval{1000};
  /// How far the clocks of two instances may drift apart during a lease.
  std::chrono::milliseconds Drift{250};
  /// Claims are delayed by a random part of this time, so that one instance's
  /// claim is usually read before the others make theirs.
  std::chrono::milliseconds ClaimSpread{400};
};

/// A lease record to append to the `system` stream. Its base offset must cover
/// no more than what has been reduced.
struct AppendLease {
  std::string RecordId;
  wire::Lease Body;
};

class LeaseManager {
public:
  LeaseManager(base::InstanceId Self, base::Incarnation Incarnation,
               LeaseSettings Settings, std::mt19937_64 Random);

  /// Handles an accepted lease record after \p Log has reduced it.
  void onLease(const std::string &RecordId, const OrderLog &Log,
               base::TimePoint Now);
  /// Handles a state that \p Log has loaded from a snapshot or a peer. Its last
  /// renewal may be as recent as \p Now.
  void onLoaded(const OrderLog &Log, base::TimePoint Now);
  /// The record to append now, if any. \p AtTail tells whether everything up to
  /// the log's tail has been reduced.
  std::optional<AppendLease> tick(base::TimePoint Now, bool AtTail);
  /// Releases the lease, as part of a graceful shutdown.
  std::optional<AppendLease> release(base::TimePoint Now);

  /// The fencing number if the lease is held at \p Now. To be checked right
  /// before each order is sent.
  std::optional<base::Offset> held(base::TimePoint Now) const;
  /// Whether this incarnation made the current claim, even if it has expired.
  bool claimedHere() const;

private:
  struct SentRecord {
    std::string RecordId;
    base::TimePoint SentAt;
  };

  AppendLease append(base::TimePoint Now, bool Release);
  void drawClaimDelay();

  base::InstanceId Self;
  base::Incarnation Incarnation;
  LeaseSettings Settings;
  std::mt19937_64 Random;
  std::optional<LeaseState> Lease;
  base::TimePoint LeaseReadAt;
  /// Random delay of this instance's claim after the lease has expired.
  std::chrono::milliseconds ClaimDelay{0};
  base::TimePoint ValidUntil;
  std::optional<base::TimePoint> LastSentAt;
  std::deque<SentRecord> Sent;
  std::uint64_t NextRecord = 0;
  bool Releasing = false;
};

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_LEASE_H
