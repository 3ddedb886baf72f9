#ifndef KINGCUPHUB_ADMISSION_FAIRQUEUE_H
#define KINGCUPHUB_ADMISSION_FAIRQUEUE_H

/// \file
/// A weighted fair queue of requests that wait for a target: strict priority
/// classes, and within a class start-time fair queueing by client account,
/// measured in tokens. Does no I/O and reads no clock.

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuphub::admission {

/// A waiting request.
struct QueueEntry {
  base::RequestId Request;
  base::AccountId Account;
  double Weight = 1;
  /// 0 is the most urgent class.
  unsigned Priority = 1;
  base::Tokens Cost{1};
  /// What the request waits for, such as a model or a route. Entries of the
  /// same account and pool run in order of arrival.
  std::string Pool;
  base::TimePoint Deadline;
};

class FairQueue {
public:
  void push(QueueEntry Entry);

  /// Removes and returns the next entry in fair order for which \p CanRun is
  /// true; nothing if there is none.
  std::optional<QueueEntry>
  pop(const std::function<bool(const QueueEntry &)> &CanRun);

  /// Removes and returns every entry whose deadline has passed.
  std::vector<QueueEntry> expire(base::TimePoint Now);

  /// Removes a request whose caller has disconnected. Returns false if it is
  /// not waiting.
  bool remove(const base::RequestId &Request);

  std::size_t size() const { return this->Priorities.size(); }
  bool empty() const { return this->Priorities.empty(); }
  /// Returns the total cost of the entries in the pool that are served before a
  /// new entry of \p Priority.
  base::Tokens waitingAhead(const std::string &Pool, unsigned Priority) const;

private:
  using Flow = std::deque<QueueEntry>;

  /// The waiting entries of one account in a class.
  struct AccountFlows {
    /// Virtual time at which the account's next entry starts.
    double Start = 0;
    std::map<std::string, Flow> ByPool;
  };

  struct Class {
    /// The largest start time of the entries taken so far.
    double VirtualTime = 0;
    std::map<base::AccountId, AccountFlows> Accounts;
  };

  QueueEntry take(Class &From, AccountFlows &Flows,
                  std::map<std::string, Flow>::iterator Pool);
  void dropEmpty(Class &From);

  std::map<unsigned, Class> Classes;
  /// The class of each waiting request.
  std::unordered_map<base::RequestId, unsigned> Priorities;
};

} // namespace kingcuphub::admission

#endif // KINGCUPHUB_ADMISSION_FAIRQUEUE_H
