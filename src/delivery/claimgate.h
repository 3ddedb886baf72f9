#ifndef KINGCUPHUB_DELIVERY_CLAIMGATE_H
#define KINGCUPHUB_DELIVERY_CLAIMGATE_H

/// \file
/// At most once: a request that may not be repeated is sent to a target only
/// after its claim was granted, and only once. Reads no clock and does no I/O.

#include "base/clock.h"
#include "delivery/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace kingcuphub::delivery {

/// What the agent says of a claim, see wire::ClaimOutcome.
enum class ClaimStatus {
  Granted,
  Running,
  Stored,
  Mismatch,
  Unavailable,
  Unknown
};

/// The answer that the first request under the key got.
struct StoredAnswer {
  int Status = 200;
  std::string ContentType;
  std::string Body;
  /// Set where the first request got no answer of a target.
  std::optional<Outcome> Known;
};

struct ClaimVerdict {
  ClaimStatus Status = ClaimStatus::Unknown;
  std::optional<StoredAnswer> Stored;
  base::Duration RetryAfter{};
};

/// The request may be sent: takeSend() once.
struct ClaimGranted {};

/// The request is not sent.
struct ClaimRefused {
  ClaimStatus Why = ClaimStatus::Unknown;
  Outcome Known = Outcome::Unknown;
  base::Duration RetryAfter{};
};

/// Nothing to do.
struct ClaimUnchanged {};

using ClaimDecision =
    std::variant<ClaimUnchanged, ClaimGranted, StoredAnswer, ClaimRefused>;

class ClaimGate {
public:
  /// The claim was asked for; its verdict is waited for until \p GiveUpAt.
  void onAsked(base::TimePoint GiveUpAt);
  ClaimDecision onVerdict(const ClaimVerdict &Verdict);
  ClaimDecision onTime(base::TimePoint Now);
  /// True once, and only while the claim is granted.
  bool takeSend();
  /// The sending has provably not let a byte out: it may be tried again.
  void onNotSent();
  /// Closes the gate: nothing is sent any more.
  void close() { this->State = Stage::Closed; }
  /// Whether the claim is held, so that its result is to be recorded.
  bool holdsClaim() const { return this->Held; }

private:
  enum class Stage { Idle, Asked, Granted, Sent, Closed };

  ClaimDecision refuse(const ClaimVerdict &Verdict, Outcome Known);

  Stage State = Stage::Idle;
  base::TimePoint GiveUpAt;
  bool Held = false;
};

} // namespace kingcuphub::delivery

#endif // KINGCUPHUB_DELIVERY_CLAIMGATE_H
