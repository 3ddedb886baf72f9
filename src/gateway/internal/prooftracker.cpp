#include "prooftracker.h"

#include <algorithm>

namespace kingcuphub::gateway {

std::uint64_t ProofTracker::onPoll(base::TimePoint Now) {
  while (!this->SentAt.empty() &&
         this->SentAt.begin()->second + this->Bound < Now)
    this->SentAt.erase(this->SentAt.begin());
  this->SentAt[++this->LastNonce] = Now;
  return this->LastNonce;
}

void ProofTracker::onReply(std::uint64_t Nonce,
                           std::optional<base::Duration> Age) {
  auto Found = this->SentAt.find(Nonce);
  if (Found == this->SentAt.end())
    return;
  base::TimePoint Sent = Found->second;
  this->SentAt.erase(Found);
  if (!Age || *Age < base::Duration::zero())
    return;
  base::TimePoint New = Sent - *Age + this->Bound;
  this->Until = std::max(this->Until.value_or(New), New);
}

} // namespace kingcuphub::gateway
