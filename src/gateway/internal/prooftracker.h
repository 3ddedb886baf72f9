#ifndef KINGCUPHUB_GATEWAY_INTERNAL_PROOFTRACKER_H
#define KINGCUPHUB_GATEWAY_INTERNAL_PROOFTRACKER_H

/// \file
/// How long the gateway's state counts as fresh. A proof's age is counted
/// from when the poll that asked for it was sent, so that a delay or a pause
/// on either side only makes it older.

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>

namespace kingcuphub::gateway {

class ProofTracker {
public:
  explicit ProofTracker(base::Duration Bound) : Bound(Bound) {}

  /// The nonce of a poll that is sent at \p Now.
  std::uint64_t onPoll(base::TimePoint Now);
  /// The answer to a poll, once its state has been taken over. \p Age is
  /// empty where the agent has no proof.
  void onReply(std::uint64_t Nonce, std::optional<base::Duration> Age);

  /// Keyed routes are served before this; empty before the first proof.
  std::optional<base::TimePoint> freshUntil() const { return this->Until; }

private:
  base::Duration Bound;
  std::uint64_t LastNonce = 0;
  std::map<std::uint64_t, base::TimePoint> SentAt;
  std::optional<base::TimePoint> Until;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_PROOFTRACKER_H
