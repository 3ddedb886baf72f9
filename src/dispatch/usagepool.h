#ifndef KINGCUPHUB_DISPATCH_USAGEPOOL_H
#define KINGCUPHUB_DISPATCH_USAGEPOOL_H

/// \file
/// Load pattern: the callers of an account with a small burst are spread over
/// all instances, or one account sends many times its rate. The holder of the
/// lease keeps each account's tokens in one pool and hands them to the
/// instances as they ask; what was handed out is spent. A new holder learns
/// from the instances what they have admitted within the window, and hands out
/// no more than the rate until nearly all have told it; for the others a
/// multiple of the mean is assumed. For each instance that has gone silent, the
/// pool's rate is lowered by what such an instance may use on its own (see
/// usageadmission.h). No I/O and no clock.

#include "base/clock.h"
#include "catalog/catalog.h"
#include "dispatch/usagehistory.h"

#include <chrono>
#include <deque>
#include <map>

namespace kingcuphub::dispatch {

/// The part of an account's rate and burst that all instances together may use
/// while none of them reaches the holder.
constexpr double AlonePart = 0.5;

/// What an account may use within a window of this length.
double limitOver(const catalog::Account &Account, base::Duration Window);

struct CreditGrant {
  std::int64_t Amount = 0;
  /// When asking for the rest is worthwhile; 0 if all was granted.
  std::chrono::milliseconds RetryAfter{0};
};

struct UsagePoolSettings {
  /// The limit holds over any span of this length: the rate times the span,
  /// and the burst once. The deployment states it.
  base::Duration Window = std::chrono::seconds(8);
  /// The part of the burst that comes back within a window on top of the rate,
  /// evenly, so that an account which asks for more than its limit is served at
  /// an even pace and not by the window's edge.
  double BurstReturns = 0.9;
  /// What an instance is taken to have admitted before the lease that has not
  /// told it, in parts of the mean of those that have: the balancer brings some
  /// instances twice as many callers as others.
  double UntoldUse = 2;
  /// The part of the instances that has to have told; one of eight may be cut
  /// off.
  double ToldPart = 0.85;
  /// An ask that cannot be met whole is met in part from this amount on: about
  /// one request's tokens, so that no instance sits on less.
  std::int64_t LeastGrant = 1500;
  /// The longest time that an instance is told not to ask again for; and while
  /// a new holder still learns what was admitted before its lease.
  std::chrono::milliseconds LongestRetry{2000};
  std::chrono::milliseconds LongestRetryWhileLearning{50};
  /// How long instances take to tell it: they report several times a second.
  std::chrono::milliseconds LearningFor{1000};
};

class UsagePool {
public:
  explicit UsagePool(UsagePoolSettings Settings) : Settings(Settings) {}

  /// A lease was gained: what was admitted before is not known yet.
  void start(base::TimePoint Now);
  /// Of \p Instances, \p Silent have not been heard of lately.
  void setInstances(unsigned NewInstances, unsigned NewSilent);
  /// What an instance has admitted before this holder handed out anything to
  /// it; each instance tells once. \p Whole: it has run for a whole window.
  void onHistory(const std::vector<UsedAmount> &Used, bool Whole);
  CreditGrant onAsk(const catalog::Account &Account, std::int64_t Amount,
                    base::TimePoint Now);
  void onReturn(const catalog::Account &Account, std::int64_t Amount,
                base::TimePoint Now);

private:
  struct Granted {
    base::TimePoint At;
    double Amount = 0;
  };
  /// Tokens that may be handed out at once, and what was handed out within the
  /// window.
  struct Pool {
    double Level = 0;
    base::TimePoint At;
    std::deque<Granted> InWindow;
    double WindowSum = 0;
    /// What instances have told of the time before the lease, by time.
    std::deque<Granted> Before;
    double BeforeSum = 0;
    /// Whether the level goes by what all have told.
    bool Replayed = false;
  };

  /// Whether enough instances have told of the time before the lease.
  bool isHistoryKnown() const;
  /// What all have admitted before the lease, in parts of what was told.
  double historyScale() const;
  double usedInWindow(const Pool &Of) const;
  /// The level that a pool has come to which was full a window ago.
  double replayedLevel(const Pool &Of, const catalog::Account &Account,
                       base::TimePoint Now) const;
  /// The part of a limit that silent instances do not use on their own.
  double pooledPart() const;
  double wholeRate(const catalog::Account &Account, base::TimePoint Now) const;
  double windowLimit(const catalog::Account &Account) const;
  Pool &refilled(const catalog::Account &Account, base::TimePoint Now);
  std::chrono::milliseconds waitFor(const Pool &Of,
                                    const catalog::Account &Account,
                                    double Amount, base::TimePoint Now) const;

  UsagePoolSettings Settings;
  base::TimePoint StartedAt;
  unsigned Instances = 1;
  unsigned Silent = 0;
  /// Instances that have told of a whole window before the lease.
  unsigned Told = 0;
  std::map<base::AccountId, Pool> Pools;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_USAGEPOOL_H
