#ifndef KINGCUPHUB_DISPATCH_USAGEADMISSION_H
#define KINGCUPHUB_DISPATCH_USAGEADMISSION_H

/// \file
/// An instance's side of the accounts' limits: requests take credit that the
/// holder has handed over, wait a moment where more is being asked for, and are
/// refused with the true time where it is not to be had. While the holder does
/// not answer, the instance goes by a small part of the limit on its own. No
/// I/O and no clock.
///
/// Load pattern: a hundred instances each get a request of an account now and
/// then. What all of them together hold ahead of need is a small part of its
/// limit, and what is not needed goes back at once; else an account's limit
/// lies idle in parts too small for its next request.

#include "admission/creditbook.h"
#include "admission/ratelimitqueue.h"
#include "catalog/catalog.h"
#include "dispatch/usagehistory.h"
#include "dispatch/usagepool.h"

#include <map>
#include <vector>

namespace kingcuphub::dispatch {

struct UsageAdmissionSettings {
  /// Without an answer for this long while one is waited for, the instance is
  /// on its own.
  base::Duration AloneAfter = std::chrono::milliseconds(400);
  /// The span over which limits hold; the deployment states it.
  base::Duration Window = std::chrono::seconds(8);
  /// The part of a limit that all instances together may hold ahead of need.
  double AheadPart = 0.05;
  /// An ask is repeated only where its answer is lost: one that is late would
  /// be granted twice. What was not needed is of use to others at once.
  admission::CreditBookSettings Book{std::chrono::milliseconds(200),
                                     std::chrono::milliseconds(400),
                                     std::chrono::milliseconds(300)};
};

class UsageAdmission {
public:
  explicit UsageAdmission(UsageAdmissionSettings Settings)
      : Settings(Settings), Book(Settings.Book), Line(this->Book),
        History(Settings.Window) {}

  void setInstances(unsigned Count) { this->Instances = Count; }
  /// \p Wait is decided by tick(), at once where credit is at hand.
  void add(const catalog::Account &Account, admission::TokenWait Wait,
           base::TimePoint Now);
  void remove(const base::RequestId &Request);
  /// Takes, also into debt, what a request that was admitted needs again.
  void charge(const catalog::Account &Account, std::int64_t Amount,
              base::TimePoint Now);
  /// Puts back what was taken for a request that has certainly not run.
  void putBack(const catalog::Account &Account, std::int64_t Amount,
               base::TimePoint Now);
  void onCredit(const base::AccountId &Account, const CreditGrant &Grant,
                std::uint64_t Request, base::TimePoint Now);
  /// Another holder hands out credit from now on; what the former one handed
  /// out counts no more. Returns what was admitted within the window.
  std::vector<UsedAmount> onNewHolder(base::TimePoint Now);
  /// The holder has answered anything at all.
  void onContact(base::TimePoint Now) { this->ContactAt = Now; }

  std::vector<admission::TokenOutcome> tick(base::TimePoint Now);
  /// What to ask the holder for, and to return to it.
  std::vector<admission::CreditCommand> takeCommands(base::TimePoint Now);
  bool waits() const { return this->Line.size() > 0; }

private:
  struct Alone {
    double Level = 0;
    base::TimePoint At;
    bool Started = false;
  };

  bool isAlone(base::TimePoint Now) const;
  bool takeAlone(const catalog::Account &Account, std::int64_t Amount,
                 base::TimePoint Now);

  UsageAdmissionSettings Settings;
  admission::CreditBook Book;
  admission::RateLimitQueue Line;
  UsageHistory History;
  /// Until it is known, as many as a small deployment has.
  unsigned Instances = 16;
  base::TimePoint ContactAt;
  std::map<base::AccountId, Alone> Own;
  std::vector<admission::TokenOutcome> Decided;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_USAGEADMISSION_H
