#ifndef KINGCUPHUB_DISPATCH_USAGEHISTORY_H
#define KINGCUPHUB_DISPATCH_USAGEHISTORY_H

/// \file
/// What an instance has admitted of each account within the window of its
/// limit. A new holder learns it from all instances and goes on where the
/// former one has ended. No I/O and no clock.

#include "base/clock.h"
#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace kingcuphub::dispatch {

/// An amount that requests of an account were admitted with, until when.
struct UsedAmount {
  base::AccountId Account;
  std::int64_t Amount = 0;
  base::TimePoint At;
};

/// The end of the part of the window that \p At belongs to. Time is divided
/// alike everywhere, so that few parts describe what many instances have
/// admitted.
base::TimePoint endOfPart(base::TimePoint At);

class UsageHistory {
public:
  explicit UsageHistory(base::Duration Window) : Window(Window) {}

  /// A negative amount takes back what was admitted and has not run.
  void add(const base::AccountId &Account, std::int64_t Amount,
           base::TimePoint Now);
  /// All of the window, the oldest first.
  std::vector<UsedAmount> used(base::TimePoint Now) const;

private:
  /// What was admitted in a part of the window that ends at \c End.
  struct Part {
    base::TimePoint End;
    std::int64_t Amount = 0;
  };

  base::Duration Window;
  std::map<base::AccountId, std::deque<Part>> Accounts;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_USAGEHISTORY_H
