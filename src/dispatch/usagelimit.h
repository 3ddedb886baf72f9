#ifndef KINGCUPHUB_DISPATCH_USAGELIMIT_H
#define KINGCUPHUB_DISPATCH_USAGELIMIT_H

/// \file
/// Load pattern: a client account sends many times its rate, through a few of
/// the instances. Each instance admits by its own part of the account's rate
/// and burst; the parts of all instances add up to at most the whole. A part is
/// a base that every instance always has, so that one that is cut off still
/// serves, and a grant that follows demand (see usageshares.h). No I/O and no
/// clock.

#include "base/clock.h"
#include "catalog/catalog.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace kingcuphub::dispatch {

/// The part of every account's limit that is split evenly without a grant;
/// the rest is granted by demand.
constexpr double BasePart = 0.3;

/// What an instance used and was asked for since the last time it told.
struct AccountUse {
  base::AccountId Account;
  /// Amounts that were asked for, admitted or not.
  double Asked = 0;
  /// The granted part that the instance goes by.
  double GrantedPart = 0;
};

class UsageLimit {
public:
  /// From here on, as many instances share the base.
  void setInstances(unsigned Count) { this->Instances = Count; }
  void setGrant(const base::AccountId &Account, double Part,
                base::TimePoint ValidUntil);
  /// Takes \p Amount from the account's part; if there is not enough, nothing
  /// is taken and the time is given after which there will be.
  std::optional<std::chrono::milliseconds>
  take(const catalog::Account &Account, double Amount, base::TimePoint Now);
  /// Takes \p Amount, also into debt: a request that was admitted runs again.
  void charge(const catalog::Account &Account, double Amount);
  /// Puts back what was taken for a request that has certainly not run.
  void putBack(const catalog::Account &Account, double Amount);
  std::vector<AccountUse> takeUse(base::TimePoint Now);

private:
  struct Bucket {
    /// In amounts; at most the part of the burst.
    double Level = 0;
    base::TimePoint At;
    bool Started = false;
    double Granted = 0;
    base::TimePoint GrantedUntil;
    double Asked = 0;
  };

  double basePart() const;
  double partOf(const Bucket &Of, base::TimePoint Now) const;
  void refill(Bucket &Of, const catalog::Account &Account,
              base::TimePoint Now) const;

  /// Until it is known, as many as a small deployment has.
  unsigned Instances = 16;
  std::map<base::AccountId, Bucket> Buckets;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_USAGELIMIT_H
