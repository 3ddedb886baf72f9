#ifndef KINGCUPHUB_SHARES_TRANSFERS_H
#define KINGCUPHUB_SHARES_TRANSFERS_H

/// \file
/// Reliable transfers between the members of one epoch. The receiver accepts
/// each transfer exactly once, unless the sender or the receiver dies first.

#include "base/clock.h"
#include "membership/membership.h"
#include "shares/share.h"

#include <cstdint>
#include <functional>
#include <map>
#include <peer.pb.h>
#include <set>
#include <vector>

namespace kingcuphub::shares {

using membership::MemberName;

class Transfers {
public:
  /// Assigns \p Message a sequence number and keeps it until it is
  /// acknowledged; returns the message to send.
  wire::ShareTransfer send(const MemberName &To, wire::ShareTransfer Message,
                           base::TimePoint Now);
  void acknowledged(const MemberName &By, std::uint64_t Sequence);
  /// Marks a transfer as received. Returns whether it is new; a duplicate must
  /// only be acknowledged again.
  bool accept(const MemberName &From, std::uint64_t Sequence);
  /// Returns the transfers to resend: those unacknowledged for \p Period since
  /// they were last sent.
  std::vector<std::pair<MemberName, wire::ShareTransfer>>
  due(base::TimePoint Now, base::Duration Period);
  /// Applies \p Change to every unacknowledged transfer.
  void forEachPending(const std::function<void(wire::ShareTransfer &)> &Change);
  /// Whether every transfer has been acknowledged.
  bool idle() const;

private:
  struct Pending {
    wire::ShareTransfer Message;
    base::TimePoint SentAt;
  };
  struct Outgoing {
    std::uint64_t LastSequence = 0;
    std::map<std::uint64_t, Pending> Unacknowledged;
  };
  struct Incoming {
    /// Every sequence number up to this one was accepted, and some above it.
    std::uint64_t AcceptedThrough = 0;
    std::set<std::uint64_t> AcceptedAbove;
  };

  std::map<MemberName, Outgoing> Out;
  std::map<MemberName, Incoming> In;
};

} // namespace kingcuphub::shares

#endif // KINGCUPHUB_SHARES_TRANSFERS_H
