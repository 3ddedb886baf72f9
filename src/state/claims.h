#ifndef KINGCUPHUB_STATE_CLAIMS_H
#define KINGCUPHUB_STATE_CLAIMS_H

/// \file
/// The deterministic reducer of the `claims` stream. It decides which request
/// may execute a call that must be executed at most once, and keeps the result.
/// The first claim of an account's idempotency key in log order wins; later
/// ones lose for as long as the key is remembered.

#include "base/ids.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <records.pb.h>
#include <string>
#include <string_view>
#include <utility>

namespace kingcuphub::state {

/// Limits of the state that is kept; the same on every instance.
struct ClaimLimits {
  /// How long a key is remembered; must be shorter than the log's retention.
  std::chrono::milliseconds Window = std::chrono::hours(12);
  /// Maximum total size of result bodies; the oldest are dropped first.
  std::size_t MaxResultBytes = 16U << 20U;
};

/// An idempotency key of one client account.
struct ClaimKey {
  base::AccountId Account;
  std::string Key;

  auto operator<=>(const ClaimKey &) const = default;
};

ClaimKey keyOf(const wire::Claim &Claim);

/// A winning claim and its result.
struct ClaimEntry {
  /// The winning request.
  base::RequestId Request;
  std::string RequestHash;
  /// The record that contains the claim.
  std::string RecordId;
  /// Wall-clock time of that record. If its author's clock is behind, the time
  /// that two authors had already reached.
  std::chrono::milliseconds ClaimedAt{0};
  std::optional<wire::ClaimResult> Result;
  /// The body of the result has been dropped.
  bool BodyDropped = false;
};

class ClaimsReducer {
public:
  explicit ClaimsReducer(ClaimLimits Limits = {});

  /// Reduces the record at the next offset. Skips bytes that are not a valid
  /// record. Returns false if the record has a newer format.
  bool reduce(std::string_view Record);

  /// The winning claim of \p Key; null if there is none.
  const ClaimEntry *find(const ClaimKey &Key) const;
  std::size_t size() const { return this->Entries.size(); }

private:
  void apply(const wire::Claim &Claim, const std::string &RecordId,
             std::chrono::milliseconds At);
  void apply(const wire::ClaimResult &Result);
  void updateLatestTimes(const std::string &Author,
                         std::chrono::milliseconds At);
  void expire();
  void dropBodies();

  ClaimLimits Limits;
  std::map<ClaimKey, ClaimEntry> Entries;
  /// Claimed keys and the time of their claim, in log order.
  std::deque<std::pair<std::chrono::milliseconds, ClaimKey>> ClaimOrder;
  /// Keys in log order of their results.
  std::deque<ClaimKey> BodyOrder;
  std::size_t ResultBytes = 0;
  /// The two authors with the latest times. Keys expire by the earlier of the
  /// two times, so that one wrong clock cannot end a key's window.
  std::pair<std::string, std::chrono::milliseconds> Latest;
  std::pair<std::string, std::chrono::milliseconds> SecondLatest;
};

} // namespace kingcuphub::state

#endif // KINGCUPHUB_STATE_CLAIMS_H
