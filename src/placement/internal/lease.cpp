#include "placement/lease.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::placement {

namespace {

/// Sent records that have not been read back yet; older ones would come too
/// late to extend the lease.
constexpr std::size_t MaxSent = 64;

} // namespace

LeaseManager::LeaseManager(base::InstanceId Self, base::Incarnation Incarnation,
                           LeaseSettings Settings, std::mt19937_64 Random)
    : Self(std::move(Self)), Incarnation(Incarnation), Settings(Settings),
      Random(Random) {
  this->drawClaimDelay();
}

void LeaseManager::drawClaimDelay() {
  std::uniform_int_distribution<std::int64_t> Spread(
      0, this->Settings.ClaimSpread.count());
  this->ClaimDelay = std::chrono::milliseconds(Spread(this->Random));
}

bool LeaseManager::claimedHere() const {
  return this->Lease && !this->Lease->Released &&
         this->Lease->Holder == this->Self &&
         this->Lease->HolderIncarnation == this->Incarnation;
}

void LeaseManager::onLease(const std::string &RecordId, const OrderLog &Log,
                           base::TimePoint Now) {
  bool WasHolder = this->claimedHere();
  this->Lease = Log.lease();
  this->LeaseReadAt = Now;
  if (!this->claimedHere()) {
    this->ValidUntil = {};
    this->drawClaimDelay();
    return;
  }
  if (!WasHolder)
    this->ValidUntil = {};
  auto Own = std::find_if(
      this->Sent.begin(), this->Sent.end(),
      [&](const SentRecord &Each) { return Each.RecordId == RecordId; });
  if (Own == this->Sent.end())
    return;
  this->ValidUntil =
      std::max(this->ValidUntil, Own->SentAt + this->Lease->Duration);
}

void LeaseManager::onLoaded(const OrderLog &Log, base::TimePoint Now) {
  this->Lease = Log.lease();
  this->LeaseReadAt = Now;
  this->ValidUntil = {};
  this->drawClaimDelay();
}

std::optional<AppendLease> LeaseManager::tick(base::TimePoint Now,
                                              bool AtTail) {
  if (this->Releasing)
    return std::nullopt;
  if (this->LastSentAt &&
      Now < *this->LastSentAt + this->Settings.RenewInterval)
    return std::nullopt;
  if (this->claimedHere())
    return this->append(Now, false);
  if (!AtTail)
    return std::nullopt;
  if (this->Lease && !this->Lease->Released &&
      Now < this->LeaseReadAt + this->Lease->Duration + this->Settings.Drift +
                this->ClaimDelay)
    return std::nullopt;
  return this->append(Now, false);
}

std::optional<AppendLease> LeaseManager::release(base::TimePoint Now) {
  this->Releasing = true;
  if (!this->claimedHere())
    return std::nullopt;
  this->ValidUntil = {};
  return this->append(Now, true);
}

AppendLease LeaseManager::append(base::TimePoint Now, bool Release) {
  AppendLease Out;
  Out.RecordId = "lease/" + this->Self.Value + "/" +
                 std::to_string(this->Incarnation.Value) + "/" +
                 std::to_string(this->NextRecord++);
  Out.Body.set_shard(PlacementShard);
  Out.Body.set_holder(this->Self.Value);
  Out.Body.set_incarnation(this->Incarnation.Value);
  Out.Body.set_duration_ms(this->Settings.Duration.count());
  Out.Body.set_release(Release);
  this->LastSentAt = Now;
  if (!Release)
    this->Sent.push_back({Out.RecordId, Now});
  if (this->Sent.size() > MaxSent)
    this->Sent.pop_front();
  return Out;
}

std::optional<base::Offset> LeaseManager::held(base::TimePoint Now) const {
  if (this->Releasing || !this->claimedHere() || Now >= this->ValidUntil)
    return std::nullopt;
  return this->Lease->Fencing;
}

} // namespace kingcuphub::placement
