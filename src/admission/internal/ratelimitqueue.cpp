#include "admission/ratelimitqueue.h"

#include <algorithm>
#include <cmath>

namespace kingcuphub::admission {

namespace {

constexpr double MillisPerSecond = 1000;
/// A gateway holds tokens for this many requests in reserve, provided that the
/// account's burst is at least MinBurstPerReserve times as large.
constexpr std::int64_t ReserveRequests = 2;
constexpr std::int64_t MinBurstPerReserve = 256;

} // namespace

void RateLimitQueue::add(const state::Account &Account, TokenWait Wait,
                         base::TimePoint) {
  AccountQueue &Each = this->Queues[Account.Id];
  Each.PerSecond = Account.Rate.PerSecond;
  Each.Burst = Account.Burst.Value;
  std::int64_t Reserve = ReserveRequests * Wait.Cost.Value;
  bool Small = Reserve * MinBurstPerReserve <= Each.Burst;
  this->Book.setReserve(accountTokens(Account.Id), Small ? Reserve : 0);
  Each.Waiting.push_back(std::move(Wait));
}

void RateLimitQueue::remove(const base::RequestId &Request) {
  for (auto &[Account, Each] : this->Queues)
    std::erase_if(Each.Waiting, [&Request](const TokenWait &Wait) {
      return Wait.Request == Request;
    });
}

std::size_t RateLimitQueue::size() const {
  std::size_t Sum = 0;
  for (const auto &[Account, Each] : this->Queues)
    Sum += Each.Waiting.size();
  return Sum;
}

std::vector<TokenOutcome> RateLimitQueue::tick(base::TimePoint Now) {
  std::vector<TokenOutcome> Out;
  for (auto Each = this->Queues.begin(); Each != this->Queues.end();) {
    this->decide(Each->first, Each->second, Now, Out);
    Each = Each->second.Waiting.empty() ? this->Queues.erase(Each)
                                        : std::next(Each);
  }
  return Out;
}

std::chrono::milliseconds
RateLimitQueue::refillTime(const base::QuantityId &Quantity,
                           const AccountQueue &Each, std::int64_t Amount,
                           base::TimePoint Now) const {
  auto Refill = std::chrono::milliseconds(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(std::max<std::int64_t>(Amount, 0)) /
                Each.PerSecond * MillisPerSecond)));
  auto RetryAt = this->Book.retryAt(Quantity, Amount);
  if (!RetryAt || *RetryAt <= Now)
    return Refill;
  return std::max(Refill,
                  std::chrono::ceil<std::chrono::milliseconds>(*RetryAt - Now));
}

void RateLimitQueue::decide(const base::AccountId &Account, AccountQueue &Each,
                            base::TimePoint Now,
                            std::vector<TokenOutcome> &Out) {
  base::QuantityId Quantity = accountTokens(Account);
  while (!Each.Waiting.empty() &&
         this->Book.take(Quantity, Each.Waiting.front().Cost.Value, Now)) {
    const TokenWait &Next = Each.Waiting.front();
    Out.push_back(TokensTaken{Next.Request, Account, Next.Cost});
    Each.Waiting.pop_front();
  }
  std::int64_t Ahead = 0;
  std::int64_t Held = this->Book.held(Quantity);
  std::deque<TokenWait> Kept;
  for (TokenWait &Wait : Each.Waiting) {
    std::int64_t Missing = Ahead + Wait.Cost.Value - Held;
    // Until the agent refuses, a whole burst may still be available.
    bool Refused = this->Book.retryAt(Quantity, Missing).has_value();
    auto MinDelay =
        Refused ? this->refillTime(Quantity, Each, Missing, Now)
                : this->refillTime(Quantity, Each, Missing - Each.Burst, Now);
    bool InTime = Wait.Cost.Value <= Each.Burst && Now < Wait.StartBy &&
                  Now + MinDelay <= Wait.StartBy;
    if (InTime) {
      Ahead += Wait.Cost.Value;
      Kept.push_back(std::move(Wait));
      continue;
    }
    auto RetryAfter = this->refillTime(Quantity, Each, Missing, Now);
    Out.push_back(TokensRefused{Wait.Request, RetryAfter});
  }
  Each.Waiting = std::move(Kept);
  this->Book.setWanted(Quantity, Ahead);
}

} // namespace kingcuphub::admission
