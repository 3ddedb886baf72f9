#ifndef KINGCUPHUB_DISPATCH_USAGEADMISSION_H
#define KINGCUPHUB_DISPATCH_USAGEADMISSION_H

/// \file
/// An instance's side of the client accounts' rate limits. Requests take credit
/// granted by the lease holder, wait briefly while more credit is requested,
/// and are refused with the actual retry time if it cannot be had in time.
/// While the holder does not answer, the instance admits requests within a
/// small fraction of the limit of its own. No I/O and no clock.
///
/// With a hundred instances that each see an occasional request of an account,
/// credit held in advance must stay a small fraction of the account's limit,
/// and unneeded credit is returned at once. Otherwise the limit would be tied
/// up in amounts too small for the next request. While an account is far below
/// its limit, instances hold more, and overdraw if the holder answers late.
///
/// Load pattern: an account at many times its limit keeps the holder's machine
/// busy, so that its answers to all accounts come seconds late.

#include "admission/creditbook.h"
#include "admission/ratelimitqueue.h"
#include "catalog/catalog.h"
#include "dispatch/usagehistory.h"
#include "dispatch/usagepool.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace kingcuphub::dispatch {

struct UsageAdmissionSettings {
  /// The instance counts as isolated from the holder if it has heard nothing
  /// from it for longer than this.
  base::Duration IsolatedAfter = std::chrono::milliseconds(400);
  /// The time span over which limits apply; set by the deployment.
  base::Duration Window = std::chrono::seconds(8);
  /// What was used in the last seconds is held in advance, if that is allowed.
  /// Credit requests time out late, so that they are repeated only if the
  /// answer is lost: if it is merely late, the repetition is granted as well.
  /// Idle credit is returned early, as other instances can use it.
  admission::CreditBookSettings Book{std::chrono::milliseconds(2000),
                                     std::chrono::milliseconds(2000),
                                     std::chrono::milliseconds(300)};
  /// The holder is late if a request for credit is unanswered for this long.
  std::chrono::milliseconds LateAfter{100};
  /// Fraction of the limit of an account far below it that all instances
  /// together may overdraw while the holder is late.
  double OverdraftFraction = 0.15;
  /// How long credit of an earlier holder is kept: until the new one has
  /// collected what was admitted before.
  std::chrono::milliseconds CarryOverFor{1000};
};

/// Why an instance lacks credit of an account.
enum class CreditShortage {
  /// The holder has refused: the account is at its limit.
  Exhausted,
  /// The holder has not answered yet.
  Unanswered,
  /// The holder has answered nothing at all for a while.
  Isolated,
};

/// As in a log line.
std::string_view creditShortageName(CreditShortage Why);

struct CreditStanding {
  CreditShortage Why = CreditShortage::Unanswered;
  std::int64_t Held = 0;
  /// Time since the holder's last answer on the account, if there was one, and
  /// since its last answer of any kind.
  std::optional<base::Duration> SinceGrant;
  base::Duration SinceContact{0};
};

class UsageAdmission {
public:
  explicit UsageAdmission(UsageAdmissionSettings Settings)
      : Settings(Settings), Book(Settings.Book), Waiting(this->Book),
        History(Settings.Window) {}

  void setInstances(unsigned Count) { this->Instances = Count; }
  /// Adds a request, which tick() decides; the next call does if enough credit
  /// is held.
  void add(const catalog::Account &Account, admission::TokenWait Wait,
           base::TimePoint Now);
  void remove(const base::RequestId &Request);
  /// Charges an admitted request once more, for example for a retry. The
  /// balance may become negative.
  void charge(const catalog::Account &Account, std::int64_t Amount,
              base::TimePoint Now);
  /// Returns the tokens of a request that has certainly not run.
  void putBack(const admission::TokensTaken &Taken, base::TimePoint Now);
  /// Returns how long the answer has taken, unless a later request is pending.
  std::optional<base::Duration> onCredit(const base::AccountId &Account,
                                         const CreditGrant &Grant,
                                         std::uint64_t Request,
                                         base::TimePoint Now);
  /// The lease has a new holder. Returns what was admitted within the window,
  /// and the credit that is kept until the new holder grants some.
  std::vector<UsedAmount> onNewHolder(base::TimePoint Now);
  /// The holder has sent an answer of any kind.
  void onContact(base::TimePoint Now) { this->ContactAt = Now; }

  std::vector<admission::TokenOutcome> tick(base::TimePoint Now);
  /// Credit to request from the holder and to return to it.
  std::vector<admission::CreditCommand> takeCommands(base::TimePoint Now);
  bool hasWaiting() const { return this->Waiting.size() > 0; }
  /// What is known of an account whose request was refused; for the log.
  CreditStanding standing(const base::AccountId &Account,
                          base::TimePoint Now) const;

private:
  /// What the holder's last answer said of an account.
  struct LastAnswer {
    /// The account was far below its limit.
    bool IsAmple = false;
    /// How much this instance may overdraw while the holder is late.
    std::int64_t Overdraft = 0;
    /// Until when credit was refused, in part or entirely.
    base::TimePoint RefusedUntil;
    base::TimePoint At;
  };
  struct LocalBucket {
    double Level = 0;
    base::TimePoint At;
    bool Started = false;
  };

  bool isIsolated(base::TimePoint Now) const;
  /// Whether the holder has not answered a request for the account's credit in
  /// time, or nothing at all.
  bool isHolderLate(const base::QuantityId &Quantity,
                    base::TimePoint Now) const;
  /// Allows overdrafts where the holder is late.
  void updateOverdrafts(base::TimePoint Now);
  bool takeIsolated(const catalog::Account &Account, std::int64_t Amount,
                    base::TimePoint Now);

  UsageAdmissionSettings Settings;
  admission::CreditBook Book;
  admission::RateLimitQueue Waiting;
  UsageHistory History;
  /// Size of a small deployment, assumed until the actual count is known.
  unsigned Instances = 16;
  base::TimePoint ContactAt;
  std::map<base::AccountId, LocalBucket> LocalBuckets;
  std::map<base::AccountId, LastAnswer> LastAnswers;
  std::vector<admission::TokenOutcome> Decided;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_USAGEADMISSION_H
