#ifndef KINGCUPHUB_DISPATCH_USAGESHARES_H
#define KINGCUPHUB_DISPATCH_USAGESHARES_H

/// \file
/// Load pattern: callers of one account are spread unevenly over the instances
/// and move between them. The holder of the lease grants each instance its
/// part of an account's limit by demand. A part that was granted counts until
/// the instance states a smaller one or the grant has lapsed, so that the parts
/// in use never add up to more than the whole, whatever is lost on the way. No
/// I/O and no clock.

#include "dispatch/usagelimit.h"

#include <map>
#include <vector>

namespace kingcuphub::dispatch {

struct UsageSharesSettings {
  /// How long an instance may use a grant after it asked; it counts from
  /// before the question was sent.
  base::Duration GrantLasts = std::chrono::seconds(5);
  /// Added by the holder: clocks differ, and answers are late.
  base::Duration Margin = std::chrono::seconds(1);
  /// Time constant of the demand that parts follow.
  base::Duration Smoothing = std::chrono::seconds(2);
};

struct AccountGrant {
  base::AccountId Account;
  double Part = 0;
};

class UsageShares {
public:
  explicit UsageShares(UsageSharesSettings Settings) : Settings(Settings) {}

  /// Begins anew: grants of a former holder may be in use until they lapse.
  void start(base::TimePoint Now);
  /// Takes what an instance used, and gives its grants from now on.
  std::vector<AccountGrant> onUse(const base::InstanceId &From,
                                  const std::vector<AccountUse> &Use,
                                  base::TimePoint Now);

private:
  struct Share {
    /// Amounts a second that are asked for.
    double Demand = 0;
    base::TimePoint DemandAt;
    /// The part that was last granted, and the part that may be in use.
    double Granted = 0;
    double Committed = 0;
    base::TimePoint CommittedUntil;
  };
  using Shares = std::map<base::InstanceId, Share>;

  double grant(Shares &Of, const base::InstanceId &To, base::TimePoint Now);
  void follow(Share &Of, double Asked, base::TimePoint Now) const;

  UsageSharesSettings Settings;
  base::TimePoint CautiousUntil;
  std::map<base::AccountId, Shares> Accounts;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_USAGESHARES_H
