#ifndef KINGCUPHUB_DISPATCH_COLDLIMIT_H
#define KINGCUPHUB_DISPATCH_COLDLIMIT_H

/// \file
/// Limits the request rate that all instances together send to a cold target,
/// without communication between them. The rate is split evenly; if there are
/// more instances than requests per second, a hash of instance and target
/// selects the instances that may send. Matters when a target starts or turns
/// cold while every instance has requests for it. No I/O and no clock.

#include "base/clock.h"
#include "catalog/target.h"

#include <map>

namespace kingcuphub::dispatch {

struct ColdLimitSettings {
  base::InstanceId Self;
  /// Fraction of the configured rate that is used. The margin covers the delay
  /// until instances that join or leave are counted.
  double UsedFraction = 0.9;
};

class ColdLimit {
public:
  explicit ColdLimit(ColdLimitSettings Settings)
      : Settings(std::move(Settings)) {}

  void setInstances(unsigned Count) { this->Instances = Count; }
  /// Returns whether a request may be sent to the target now.
  bool allows(const catalog::Target &Target, double PerSecond,
              base::TimePoint Now) const;
  void onSent(const catalog::Target &Target, double PerSecond,
              base::TimePoint Now);

private:
  struct Key {
    base::TargetId Target;
    catalog::Lifetime Lifetime;
    auto operator<=>(const Key &) const = default;
  };
  struct Bucket {
    double Level = 0;
    base::TimePoint At;
  };

  /// Requests per second that this instance may send.
  double ownRate(const Key &BucketKey, double PerSecond) const;
  double levelAt(const Key &BucketKey, double Rate, base::TimePoint Now) const;

  ColdLimitSettings Settings;
  /// Size of a small deployment, assumed until the actual count is known.
  unsigned Instances = 16;
  std::map<Key, Bucket> Buckets;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_COLDLIMIT_H
