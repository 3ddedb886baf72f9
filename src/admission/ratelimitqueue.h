#ifndef KINGCUPHUB_ADMISSION_RATELIMITQUEUE_H
#define KINGCUPHUB_ADMISSION_RATELIMITQUEUE_H

/// \file
/// Queues requests that wait for rate-limit tokens of their client account, in
/// order of arrival. A request that cannot be admitted in time is refused
/// immediately, with the time after which the tokens will be available. Does no
/// I/O and reads no clock.

#include "admission/creditbook.h"
#include "base/error.h"
#include "state/config.h"

#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace kingcuphub::admission {

/// A request that waits for tokens.
struct TokenWait {
  base::RequestId Request;
  base::AccountId Account;
  base::Tokens Cost{1};
  /// The latest time at which the request may start.
  base::TimePoint StartBy;
};

struct TokensTaken {
  base::RequestId Request;
  base::AccountId Account;
  base::Tokens Cost{0};
};
/// The request was refused; the caller may retry after RetryAfter.
struct TokensRefused {
  base::RequestId Request;
  std::chrono::milliseconds RetryAfter{0};
};
using TokenOutcome = std::variant<TokensTaken, TokensRefused>;

class RateLimitQueue {
public:
  explicit RateLimitQueue(CreditBook &Book) : Book(Book) {}

  /// Adds a request; tick() returns its outcome.
  void add(const state::Account &Account, TokenWait Wait, base::TimePoint Now);
  /// Removes a request whose caller has disconnected.
  void remove(const base::RequestId &Request);
  /// Returns the outcome of each request that can be decided now.
  std::vector<TokenOutcome> tick(base::TimePoint Now);
  std::size_t size() const;

private:
  struct AccountQueue {
    double PerSecond = 1;
    std::int64_t Burst = 1;
    std::deque<TokenWait> Waiting;
  };

  void decide(const base::AccountId &Account, AccountQueue &Each,
              base::TimePoint Now, std::vector<TokenOutcome> &Out);
  std::chrono::milliseconds refillTime(const base::QuantityId &Quantity,
                                       const AccountQueue &Each,
                                       std::int64_t Amount,
                                       base::TimePoint Now) const;

  CreditBook &Book;
  std::map<base::AccountId, AccountQueue> Queues;
};

} // namespace kingcuphub::admission

#endif // KINGCUPHUB_ADMISSION_RATELIMITQUEUE_H
