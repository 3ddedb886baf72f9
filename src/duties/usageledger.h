#ifndef KINGCUPHUB_DUTIES_USAGELEDGER_H
#define KINGCUPHUB_DUTIES_USAGELEDGER_H

/// \file
/// The reports of use that the lease holder owes the platform: one for each
/// window, with one set of counts whoever sends it.
///
/// Load pattern: holders change in series and answers of the platform are lost,
/// while two reports of one window with different counts must never be
/// accepted. The counts of a window are settled once, written into the state
/// that the lease's record carries, and sent only after that record was
/// appended; a later holder finds them there and sends the same. No I/O and no
/// clock.

#include "duties/window.h"

#include <optional>
#include <set>
#include <vector>

namespace kingcuphub::duties {

struct UsageReport {
  WindowId Window;
  BegunCounts Counts;
  /// The platform has accepted it.
  bool Accepted = false;
  bool operator==(const UsageReport &) const = default;
};

/// What the record of the lease carries for the next holder.
struct UsageState {
  std::vector<UsageReport> Reports;
  /// No window up to here may be settled any more: it was, or an earlier holder
  /// may have sent a report of it that was lost.
  WindowId SettledThrough;
  bool operator==(const UsageState &) const = default;
};

struct UsageLedgerSettings {
  std::chrono::milliseconds WindowLength{5000};
  /// A window is settled this long after its end at the earliest: requests that
  /// began at its end have been counted by then.
  std::chrono::milliseconds SettleAfter{600};
  /// And at the latest, whoever has not reported by then.
  std::chrono::milliseconds SettleAtLatest{5000};
  /// Reports are kept for this long after the window's end: until no other
  /// report of it can be of use.
  std::chrono::milliseconds KeepFor{40000};
  /// Minimum time between two attempts to send one report.
  std::chrono::milliseconds RetryAfter{700};
};

class UsageLedger {
public:
  explicit UsageLedger(UsageLedgerSettings Settings) : Settings(Settings) {}

  /// Starts as a new holder with what the record of the lease has. With
  /// \p MayBeIncomplete, an earlier holder may have sent reports that the
  /// record lacks, so that no window is reported that has begun before.
  void start(UsageState Inherited, WallMillis Now,
             bool MayBeIncomplete = false);
  /// Handles an instance's complete counts of the windows up to \p Through, of
  /// which \p Begun has those it has not been told are known.
  void onCounts(const base::InstanceId &From, WindowId Through,
                const std::map<WindowId, BegunCounts> &Begun);
  /// Settles windows that are due, and drops old ones. \p Instances: those that
  /// are expected to report, or none if that is not known yet. Returns whether
  /// state() has changed.
  bool settle(const std::optional<std::set<base::InstanceId>> &Instances,
              WallMillis Now);
  const std::vector<UsageReport> &reports() const { return this->Reports; }
  /// What the record of the lease has to carry.
  UsageState state() const { return {this->Reports, this->SettledThrough}; }
  /// Handles that a record with \p Stored was appended under this holder's
  /// lease.
  void onStored(const std::vector<UsageReport> &Stored);
  /// The oldest report that is stored, not accepted and not under way, if one
  /// may be sent now.
  std::optional<UsageReport> takeDue(WallMillis Now);
  /// Handles the end of a call; not accepted means refused or unknown.
  void onSent(WindowId Window, bool Accepted);

private:
  UsageReport *find(WindowId Window);
  void settleWindow(WindowId Window);
  bool isComplete(const std::optional<std::set<base::InstanceId>> &Instances,
                  WindowId Window) const;

  UsageLedgerSettings Settings;
  std::vector<UsageReport> Reports;
  std::set<WindowId> Stored;
  /// Counts of windows that are not settled, by instance.
  std::map<WindowId, std::map<base::InstanceId, BegunCounts>> Open;
  std::map<base::InstanceId, WindowId> Complete;
  bool Started = false;
  /// The first window that is worth a report.
  WindowId From;
  WindowId SettledThrough;
  std::map<WindowId, WallMillis> SentAt;
  std::set<WindowId> UnderWay;
};

} // namespace kingcuphub::duties

#endif // KINGCUPHUB_DUTIES_USAGELEDGER_H
