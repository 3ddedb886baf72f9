#include "dispatch/coldlimit.h"

#include "base/hashing.h"

#include <algorithm>
#include <limits>

namespace kingcuphub::dispatch {

namespace {

using Seconds = std::chrono::duration<double>;

/// Beyond this number all buckets are dropped. Most of them belong to targets
/// that are warm by then.
constexpr std::size_t MaxBuckets = 4096;

} // namespace

double ColdLimit::ownRate(const Key &BucketKey, double PerSecond) const {
  double Share = this->Settings.UsedFraction * PerSecond /
                 static_cast<double>(std::max(1U, this->Instances));
  if (Share >= 1)
    return Share;
  std::uint64_t Hash = base::stableHash(
      this->Settings.Self.Value + "/" + BucketKey.Target.Value + "/" +
      std::to_string(BucketKey.Lifetime.Value));
  double Position =
      static_cast<double>(Hash) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return Position < Share ? 1 : 0;
}

double ColdLimit::levelAt(const Key &BucketKey, double Rate,
                          base::TimePoint Now) const {
  auto Found = this->Buckets.find(BucketKey);
  if (Found == this->Buckets.end())
    return 1;
  double Refilled =
      Found->second.Level + Rate * Seconds(Now - Found->second.At).count();
  return std::min(Refilled, 1.0);
}

bool ColdLimit::allows(const catalog::Target &Target, double PerSecond,
                       base::TimePoint Now) const {
  Key BucketKey{Target.Entry.Id, Target.Entry.Lifetime};
  double Rate = this->ownRate(BucketKey, PerSecond);
  return Rate > 0 && this->levelAt(BucketKey, Rate, Now) >= 1;
}

void ColdLimit::onSent(const catalog::Target &Target, double PerSecond,
                       base::TimePoint Now) {
  if (this->Buckets.size() > MaxBuckets)
    this->Buckets.clear();
  Key BucketKey{Target.Entry.Id, Target.Entry.Lifetime};
  double Rate = this->ownRate(BucketKey, PerSecond);
  this->Buckets[BucketKey] = {this->levelAt(BucketKey, Rate, Now) - 1, Now};
}

} // namespace kingcuphub::dispatch
