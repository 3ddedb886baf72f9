#include "requestcost.h"

#include <algorithm>

namespace kingcuphub::forwarding {

namespace {

/// Engine time of a prompt token and of a generated token in a typical batch.
constexpr double PromptTokenMillis = 0.03;
constexpr double OutputTokenMillis = 0.25;
constexpr double PlainRequestMillis = 10;
/// Within a rank, requests with an objective of at least this are less urgent.
constexpr std::chrono::milliseconds RelaxedObjective{1000};
constexpr unsigned RelaxedUrgency = 3;
constexpr unsigned UrgencyPerRank = 2;
constexpr unsigned MaxUrgency = 9;

} // namespace

std::int64_t tokenCost(const dispatch::RequestFacts &Request,
                       const catalog::Account &Account) {
  if (!Account.CountsTokens)
    return 1;
  if (!Request.PromptTokens)
    return Account.DefaultTokens;
  return (*Request.PromptTokens + Request.MaxOutputTokens).Value;
}

double engineMillis(const dispatch::RequestFacts &Request) {
  if (!Request.PromptTokens)
    return PlainRequestMillis;
  return static_cast<double>(Request.PromptTokens->Value) * PromptTokenMillis +
         static_cast<double>(Request.MaxOutputTokens.Value) * OutputTokenMillis;
}

unsigned urgencyOf(const catalog::Route &Route,
                   const catalog::Account *Account) {
  unsigned Rank = Route.Priority;
  if (Account != nullptr)
    Rank = Account->Priority.value_or(Rank);
  unsigned Relaxed = Route.Objective >= RelaxedObjective ? RelaxedUrgency : 0;
  return std::min(MaxUrgency, Rank * UrgencyPerRank + Relaxed);
}

} // namespace kingcuphub::forwarding
