#include "state/claims.h"

#include "state/configreducer.h"

#include <algorithm>

namespace kingcuphub::state {

using std::chrono::milliseconds;

ClaimKey keyOf(const wire::Claim &Claim) {
  return {{Claim.account()}, Claim.idempotency_key()};
}

ClaimsReducer::ClaimsReducer(ClaimLimits Limits) : Limits(Limits) {}

bool ClaimsReducer::reduce(std::string_view Bytes) {
  wire::Record Record;
  if (!Record.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())) ||
      Record.id().empty())
    return true;
  if (Record.format_version() > RecordFormatVersion)
    return false;
  milliseconds At(Record.time_ms());
  this->updateLatestTimes(Record.author(), At);
  At = std::max(At, this->SecondLatest.second);
  this->expire();
  for (const wire::Claim &Each : Record.claim_batch().claims())
    this->apply(Each, Record.id(), At);
  for (const wire::ClaimResult &Each : Record.claim_batch().results())
    this->apply(Each);
  this->dropBodies();
  return true;
}

const ClaimEntry *ClaimsReducer::find(const ClaimKey &Key) const {
  auto Found = this->Entries.find(Key);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

void ClaimsReducer::apply(const wire::Claim &Claim, const std::string &RecordId,
                          milliseconds At) {
  ClaimEntry New;
  New.Request = {Claim.request()};
  New.RequestHash = Claim.request_hash();
  New.RecordId = RecordId;
  New.ClaimedAt = At;
  ClaimKey Key = keyOf(Claim);
  if (this->Entries.try_emplace(Key, std::move(New)).second)
    this->ClaimOrder.emplace_back(At, std::move(Key));
}

void ClaimsReducer::apply(const wire::ClaimResult &Result) {
  ClaimKey Key{{Result.account()}, Result.idempotency_key()};
  auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end() || Found->second.Result ||
      Found->second.Request.Value != Result.request())
    return;
  Found->second.Result = Result;
  this->ResultBytes += Result.body().size();
  this->BodyOrder.push_back(std::move(Key));
}

void ClaimsReducer::updateLatestTimes(const std::string &Author,
                                      milliseconds At) {
  if (Author == this->Latest.first) {
    this->Latest.second = std::max(this->Latest.second, At);
    return;
  }
  if (Author == this->SecondLatest.first || At > this->SecondLatest.second)
    this->SecondLatest = {Author, std::max(At, this->SecondLatest.second)};
  if (this->SecondLatest.second > this->Latest.second)
    std::swap(this->Latest, this->SecondLatest);
}

void ClaimsReducer::expire() {
  while (!this->ClaimOrder.empty()) {
    const auto &[ClaimedAt, Key] = this->ClaimOrder.front();
    if (ClaimedAt + this->Limits.Window >= this->SecondLatest.second)
      return;
    auto Found = this->Entries.find(Key);
    if (Found->second.Result)
      this->ResultBytes -= Found->second.Result->body().size();
    this->Entries.erase(Found);
    this->ClaimOrder.pop_front();
  }
}

void ClaimsReducer::dropBodies() {
  while (this->ResultBytes > this->Limits.MaxResultBytes) {
    auto Found = this->Entries.find(this->BodyOrder.front());
    this->BodyOrder.pop_front();
    if (Found == this->Entries.end() || !Found->second.Result)
      continue;
    this->ResultBytes -= Found->second.Result->body().size();
    Found->second.Result->clear_body();
    Found->second.BodyDropped = true;
  }
}

} // namespace kingcuphub::state
