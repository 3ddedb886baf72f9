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

double ColdLimit::ownRate(const Key &Of, double PerSecond) const {
  double Share = this->Settings.UsedPart * PerSecond /
                 static_cast<double>(std::max(1U, this->Instances));
  if (Share >= 1)
    return Share;
  std::uint64_t Draw =
      base::stableHash(this->Settings.Self.Value + "/" + Of.Target.Value + "/" +
                       std::to_string(Of.Lifetime.Value));
  double Part = static_cast<double>(Draw) /
                static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return Part < Share ? 1 : 0;
}

double ColdLimit::levelAt(const Key &Of, double Rate,
                          base::TimePoint Now) const {
  auto Found = this->Buckets.find(Of);
  if (Found == this->Buckets.end())
    return 1;
  double Refilled =
      Found->second.Level + Rate * Seconds(Now - Found->second.At).count();
  return std::min(Refilled, 1.0);
}

bool ColdLimit::allows(const catalog::Target &Target, double PerSecond,
                       base::TimePoint Now) const {
  Key Of{Target.Entry.Id, Target.Entry.Lifetime};
  double Rate = this->ownRate(Of, PerSecond);
  return Rate > 0 && this->levelAt(Of, Rate, Now) >= 1;
}

void ColdLimit::onSent(const catalog::Target &Target, double PerSecond,
                       base::TimePoint Now) {
  if (this->Buckets.size() > MaxBuckets)
    this->Buckets.clear();
  Key Of{Target.Entry.Id, Target.Entry.Lifetime};
  double Rate = this->ownRate(Of, PerSecond);
  this->Buckets[Of] = {this->levelAt(Of, Rate, Now) - 1, Now};
}

} // namespace kingcuphub::dispatch
