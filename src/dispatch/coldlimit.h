#ifndef KINGCUPHUB_DISPATCH_COLDLIMIT_H
#define KINGCUPHUB_DISPATCH_COLDLIMIT_H

/// \file
/// Load pattern: a target starts, or turns cold, while every instance has
/// requests for it. Bounds what all instances together send to a cold target
/// in a second without a word between them: the bound is split evenly, and
/// where there are more instances than requests a second, a hash of instance
/// and target picks those that may send. No I/O and no clock.

#include "base/clock.h"
#include "catalog/target.h"

#include <map>

namespace kingcuphub::dispatch {

struct ColdLimitSettings {
  base::InstanceId Self;
  /// The part of the stated rate that is used, as instances that come and go
  /// are counted late.
  double UsedPart = 0.9;
};

class ColdLimit {
public:
  explicit ColdLimit(ColdLimitSettings Settings)
      : Settings(std::move(Settings)) {}

  void setInstances(unsigned Count) { this->Instances = Count; }
  /// Whether a request may go to the target now.
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

  /// Requests a second that this instance may send.
  double ownRate(const Key &Of, double PerSecond) const;
  double levelAt(const Key &Of, double Rate, base::TimePoint Now) const;

  ColdLimitSettings Settings;
  /// Until it is known, as many as a small deployment has.
  unsigned Instances = 16;
  std::map<Key, Bucket> Buckets;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_COLDLIMIT_H
