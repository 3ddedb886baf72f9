#ifndef KINGCUPHUB_DISPATCH_USAGEPOOL_H
#define KINGCUPHUB_DISPATCH_USAGEPOOL_H

/// \file
/// The lease holder's side of the client accounts' rate limits. It keeps each
/// account's tokens in one pool and grants them to the instances on request;
/// granted tokens count as spent. This serves accounts with a small burst whose
/// callers are spread over all instances, and bounds accounts that send many
/// times their rate.
///
/// A new holder collects from the instances what they have admitted within the
/// window, and refills pools at no more than the rate until nearly all have
/// reported or a window has passed; for the missing ones a multiple of the mean
/// is assumed. For each silent instance the pools' rate and window limit are
/// lowered by what an isolated instance may use (see usageadmission.h). No I/O
/// and no clock.

#include "base/clock.h"
#include "catalog/catalog.h"
#include "dispatch/usagehistory.h"

#include <chrono>
#include <deque>
#include <map>

namespace kingcuphub::dispatch {

/// Fraction of an account's rate and burst that all instances together may use
/// while none of them reaches the holder.
constexpr double IsolatedFraction = 0.5;

/// The amount that an account may use within a window of this length.
double limitOver(const catalog::Account &Account, base::Duration Window);

/// Fraction of an account's limit that all instances together may hold in
/// advance of its use, unless the account is far below its limit.
constexpr double AheadFraction = 0.05;
/// The same for an account that is far below its limit.
constexpr double AmpleAheadFraction = 0.25;
/// An instance that the holder has not heard for this long counts as silent: it
/// may be disconnected and use its isolated part of the limits.
constexpr std::chrono::milliseconds SilentAfter{1000};

/// An instance's request for credit.
struct CreditRequest {
  std::int64_t Amount = 0;
  /// The part that waiting requests need.
  std::int64_t Needed = 0;
};

struct CreditGrant {
  std::int64_t Amount = 0;
  /// When to request the rest; 0 if all was granted.
  std::chrono::milliseconds RetryAfter{0};
  /// The account is far below its limit: the instance may hold more in advance,
  /// each amount for this long from when it was requested. Otherwise 0.
  std::chrono::milliseconds KeepFor{0};
};

struct UsagePoolSettings {
  /// The limit applies to any time span of this length: the rate times the
  /// span plus one burst. Set by the deployment.
  base::Duration Window = std::chrono::seconds(8);
  /// Fraction of the burst that is refilled within a window on top of the rate,
  /// evenly, so that an account above its limit is served at an even pace
  /// instead of in bursts as the window moves.
  double BurstRefillFraction = 0.9;
  /// Amount assumed for an instance that has not reported what it admitted
  /// before the lease, as a multiple of the mean of those that have. The
  /// balancer sends some instances twice as many callers as others.
  double UnreportedUseFactor = 2;
  /// Fraction of the instances that must have reported; one of eight may be
  /// unreachable.
  double MinReportedFraction = 0.85;
  /// The smallest partial grant: about the tokens of one request, so that no
  /// instance holds an amount too small to use.
  std::int64_t MinGrant = 1500;
  /// The longest retry time given to an instance, normally and while a new
  /// holder still collects what was admitted before its lease.
  std::chrono::milliseconds LongestRetry{2000};
  std::chrono::milliseconds LongestRetryWhileLearning{50};
  /// How long collecting takes; instances report several times a second.
  std::chrono::milliseconds LearningFor{1000};
  /// How long instances may hold credit of an account that is far below its
  /// limit: longer than a busy machine takes to answer.
  std::chrono::milliseconds KeepFor{2500};
  /// An account is far below its limit while these fractions of its burst and
  /// of its limit over the window are left after a grant.
  double AmpleBurstFraction = 0.5;
  double AmpleLimitFraction = 0.2;
  /// The holder has stood still if tick() was not called for this long. It
  /// takes as long again at most until what waited is handled.
  std::chrono::milliseconds StallThreshold{200};
};

class UsagePool {
public:
  explicit UsagePool(UsagePoolSettings Settings) : Settings(Settings) {}

  /// The lease was acquired; what was admitted before is not known yet.
  void start(base::TimePoint Now);
  /// Called several times a second. After a gap, pools hold what has been
  /// refilled meanwhile on top of their burst, for the requests that waited.
  void tick(base::TimePoint Now);
  /// How long the holder has just stood still, if it is still catching up;
  /// nobody was heard meanwhile.
  base::Duration recentStall(base::TimePoint Now) const;
  /// Of \p NewInstances instances, \p NewSilent have not reported recently.
  void setInstances(unsigned NewInstances, unsigned NewSilent);
  /// Adds what an instance admitted before this holder granted it anything;
  /// called once per instance. \p Whole states that the instance has run for a
  /// whole window.
  void onHistory(const std::vector<UsedAmount> &Used, bool Whole);
  CreditGrant onAsk(const catalog::Account &Account, CreditRequest Request,
                    base::TimePoint Now);
  void onReturn(const catalog::Account &Account, std::int64_t Amount,
                base::TimePoint Now);

private:
  struct Granted {
    /// When it was granted, or the latest time at which it may be used if it
    /// may be kept.
    base::TimePoint At;
    double Amount = 0;
  };
  /// Tokens that may be granted now, and the grants within the window.
  struct Pool {
    double Level = 0;
    base::TimePoint At;
    /// Ordered by time.
    std::deque<Granted> InWindow;
    double WindowSum = 0;
    /// Amounts that instances reported for the time before the lease, ordered
    /// by time.
    std::deque<Granted> BeforeLease;
    double BeforeLeaseSum = 0;
    /// Whether the level accounts for all reports so far.
    bool Replayed = false;
  };

  /// Whether enough instances have reported on the time before the lease.
  bool isHistoryKnown() const;
  /// Estimated amount that all instances admitted before the lease, as a
  /// multiple of what was reported.
  double historyScale() const;
  double usedInWindow(const Pool &AccountPool) const;
  /// The present level of a pool that was full one window before the lease,
  /// after all known uses since.
  double replayedLevel(const Pool &AccountPool, const catalog::Account &Account,
                       base::TimePoint Now) const;
  /// Fraction of a limit that is left to the pool after the share of silent
  /// instances.
  double pooledFraction() const;
  double refillRate(const catalog::Account &Account, base::TimePoint Now) const;
  double maxLevel(const catalog::Account &Account, base::TimePoint Now) const;
  double windowLimit(const catalog::Account &Account) const;
  Pool &refill(const catalog::Account &Account, base::TimePoint Now);
  static void addGranted(Pool &AccountPool, std::int64_t Amount,
                         base::TimePoint At);
  std::chrono::milliseconds retryDelay(const Pool &AccountPool,
                                       const catalog::Account &Account,
                                       double Amount,
                                       base::TimePoint Now) const;

  UsagePoolSettings Settings;
  base::TimePoint StartedAt;
  base::TimePoint TickedAt;
  /// The length and the end of the last stall.
  base::Duration Stall{0};
  base::TimePoint StallEnd;
  unsigned Instances = 1;
  unsigned Silent = 0;
  /// Instances that have reported on a whole window before the lease.
  unsigned ReportedInstances = 0;
  std::map<base::AccountId, Pool> Pools;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_USAGEPOOL_H
