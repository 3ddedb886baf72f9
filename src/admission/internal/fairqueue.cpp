#include "admission/fairqueue.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::admission {

void FairQueue::push(QueueEntry Entry) {
  Class &Into = this->Classes[Entry.Priority];
  auto [Found, New] = Into.Accounts.try_emplace(Entry.Account);
  // An account that was idle starts at the current virtual time: it gets no
  // credit for the time in which it was idle.
  if (New)
    Found->second.Start = Into.VirtualTime;
  this->Priorities[Entry.Request] = Entry.Priority;
  Flow &Waiting = Found->second.ByPool[Entry.Pool];
  Waiting.push_back(std::move(Entry));
}

QueueEntry FairQueue::take(Class &From, AccountFlows &Flows,
                           std::map<std::string, Flow>::iterator Pool) {
  QueueEntry Entry = std::move(Pool->second.front());
  Pool->second.pop_front();
  if (Pool->second.empty())
    Flows.ByPool.erase(Pool);
  From.VirtualTime = std::max(From.VirtualTime, Flows.Start);
  Flows.Start += static_cast<double>(Entry.Cost.Value) / Entry.Weight;
  this->Priorities.erase(Entry.Request);
  return Entry;
}

std::optional<QueueEntry>
FairQueue::pop(const std::function<bool(const QueueEntry &)> &CanRun) {
  for (auto &[Priority, Each] : this->Classes) {
    std::vector<std::pair<double, AccountFlows *>> Order;
    for (auto &[Account, Flows] : Each.Accounts)
      if (!Flows.ByPool.empty())
        Order.emplace_back(Flows.Start, &Flows);
    std::stable_sort(Order.begin(), Order.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.first < Right.first;
                     });
    for (auto &[Start, Flows] : Order)
      for (auto Pool = Flows->ByPool.begin(); Pool != Flows->ByPool.end();
           ++Pool)
        if (CanRun(Pool->second.front())) {
          QueueEntry Entry = this->take(Each, *Flows, Pool);
          this->dropEmpty(Each);
          return Entry;
        }
  }
  return std::nullopt;
}

std::vector<QueueEntry> FairQueue::expire(base::TimePoint Now) {
  std::vector<QueueEntry> Out;
  for (auto &[Priority, Each] : this->Classes) {
    for (auto &[Account, Flows] : Each.Accounts)
      for (auto Pool = Flows.ByPool.begin(); Pool != Flows.ByPool.end();) {
        Flow &Waiting = Pool->second;
        auto Late = std::stable_partition(
            Waiting.begin(), Waiting.end(),
            [Now](const QueueEntry &Entry) { return Entry.Deadline > Now; });
        std::move(Late, Waiting.end(), std::back_inserter(Out));
        Waiting.erase(Late, Waiting.end());
        Pool = Waiting.empty() ? Flows.ByPool.erase(Pool) : std::next(Pool);
      }
    this->dropEmpty(Each);
  }
  for (const QueueEntry &Entry : Out)
    this->Priorities.erase(Entry.Request);
  return Out;
}

bool FairQueue::remove(const base::RequestId &Request) {
  auto Known = this->Priorities.find(Request);
  if (Known == this->Priorities.end())
    return false;
  Class &From = this->Classes[Known->second];
  this->Priorities.erase(Known);
  for (auto &[Account, Flows] : From.Accounts)
    for (auto Pool = Flows.ByPool.begin(); Pool != Flows.ByPool.end(); ++Pool) {
      Flow &Waiting = Pool->second;
      auto Found = std::find_if(Waiting.begin(), Waiting.end(),
                                [&Request](const QueueEntry &Entry) {
                                  return Entry.Request == Request;
                                });
      if (Found == Waiting.end())
        continue;
      Waiting.erase(Found);
      if (Waiting.empty())
        Flows.ByPool.erase(Pool);
      this->dropEmpty(From);
      return true;
    }
  return false;
}

base::Tokens FairQueue::waitingAhead(const std::string &Pool,
                                     unsigned Priority) const {
  base::Tokens Sum;
  for (const auto &[Class, Each] : this->Classes) {
    if (Class > Priority)
      break;
    for (const auto &[Account, Flows] : Each.Accounts)
      if (auto Found = Flows.ByPool.find(Pool); Found != Flows.ByPool.end())
        for (const QueueEntry &Entry : Found->second)
          Sum += Entry.Cost;
  }
  return Sum;
}

/// Removes idle accounts whose past use no longer matters. An account ahead of
/// the virtual time is kept, so that it gains nothing by briefly leaving the
/// queue.
void FairQueue::dropEmpty(Class &From) {
  bool Idle = true;
  for (auto Each = From.Accounts.begin(); Each != From.Accounts.end();) {
    bool Empty = Each->second.ByPool.empty();
    Idle = Idle && Empty;
    bool Erase = Empty && Each->second.Start <= From.VirtualTime;
    Each = Erase ? From.Accounts.erase(Each) : std::next(Each);
  }
  if (Idle)
    From = Class{};
}

} // namespace kingcuphub::admission
