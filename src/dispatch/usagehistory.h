#ifndef KINGCUPHUB_DISPATCH_USAGEHISTORY_H
#define KINGCUPHUB_DISPATCH_USAGEHISTORY_H

/// \file
/// Amounts that an instance has admitted for each client account within the
/// window of the limit. A new lease holder collects them from all instances to
/// continue from the previous holder's state. No I/O and no clock.

#include "base/clock.h"
#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace kingcuphub::dispatch {

/// The amount admitted for an account in one bucket of the window.
struct UsedAmount {
  base::AccountId Account;
  std::int64_t Amount = 0;
  /// End of the bucket.
  base::TimePoint At;
};

/// The end of the time bucket that contains \p At. All instances use the same
/// bucket boundaries, so that a few buckets describe what many of them have
/// admitted.
base::TimePoint endOfBucket(base::TimePoint At);

class UsageHistory {
public:
  explicit UsageHistory(base::Duration Window) : Window(Window) {}

  /// A negative amount reverts tokens that were admitted for a request that has
  /// not run.
  void add(const base::AccountId &Account, std::int64_t Amount,
           base::TimePoint Now);
  /// The amounts within the window, for each account the oldest first.
  std::vector<UsedAmount> used(base::TimePoint Now) const;

private:
  /// Amount admitted in the time bucket that ends at \c End.
  struct Bucket {
    base::TimePoint End;
    std::int64_t Amount = 0;
  };

  base::Duration Window;
  std::map<base::AccountId, std::deque<Bucket>> Accounts;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_USAGEHISTORY_H
