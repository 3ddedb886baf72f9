#ifndef KINGCUPHUB_PLACEMENT_LEDGER_H
#define KINGCUPHUB_PLACEMENT_LEDGER_H

/// \file
/// Accounts for the memory of every accelerator. An order with an unknown
/// outcome counts as both done and not done: a load reserves its memory, an
/// unload frees none, and the replica counts as confirmed in neither case. An
/// order is admitted only if resident plus reserved memory cannot exceed the
/// accelerator's size.

#include "placement/types.h"

#include <map>
#include <optional>
#include <vector>

namespace kingcuphub::placement {

struct LedgerSettings {
  /// The content of a report is at most this much older than its request.
  base::Duration ReportLag = std::chrono::seconds(5);
  /// Added to an order's deadline to cover clock drift and network delay.
  base::Duration ExpiryMargin = std::chrono::seconds(2);
};

/// An item that is resident on an accelerator.
struct Resident {
  base::Bytes Size;
  /// False while an order that removes it may have been carried out.
  bool Confirmed = true;
};

/// An order whose effect the ledger still accounts for.
struct OpenOrder {
  Order What;
  /// No copy of the order reaches the engine after this, except from a former
  /// holder that was paused before it sent one.
  base::TimePoint ExpiresAt;
  std::optional<OrderAnswer> Answer;
  /// Set if the engine has restarted since: a late copy of the order would be
  /// carried out again, whatever the earlier incarnation answered.
  bool EngineRestarted = false;

  /// Whether the order's effect on memory is not known yet.
  bool unsettled() const { return !this->Answer || this->EngineRestarted; }
};

class Ledger {
public:
  explicit Ledger(LedgerSettings Settings = {}) : Settings(Settings) {}

  /// Adds a target or changes its sizes.
  void setTarget(const base::TargetId &Id, bool HonoursFencing,
                 const std::vector<base::Bytes> &Sizes);
  /// Forgets a target that will never be sent an order again.
  void removeTarget(const base::TargetId &Id);

  /// Sets the claim under which this ledger's owner holds the lease. Orders of
  /// an earlier claim may have been sent until just before \p Now, when this
  /// claim was read, so their expiry counts from then.
  void setHolder(base::Offset Fencing, base::TimePoint Now);

  /// Checks whether the order may be issued: its target must be known and not
  /// restarted, unsettled orders must not block it, and it must not overcommit
  /// memory.
  base::Result<void> check(const Order &New, base::TimePoint Now) const;
  /// Starts to account for an order: before its intent is appended, or when the
  /// intent is read from the log. Repeating it only extends the expiry.
  void begin(const Order &New, base::TimePoint Now);
  /// Extends the order's expiry for a copy that is sent, or still under way, at
  /// \p Now.
  void extend(const OrderId &Id, base::TimePoint Now);
  /// Makes the order one to the engine's current incarnation, before a copy of
  /// it is sent there.
  void rebindToIncarnation(const OrderId &Id, base::TimePoint Now);
  /// Removes an order that was not and will never be sent.
  void abandon(const OrderId &Id);
  /// Applies a definite answer to the order.
  void answer(const OrderId &Id, OrderAnswer Answer, base::Offset AnswerFencing,
              base::TimePoint Now);
  /// Applies a report and settles the open orders that its content is newer
  /// than. Reports of earlier incarnations or with an older sequence number are
  /// ignored.
  void report(const MemoryReport &Report);
  /// Removes settled orders of which no late copy can reach the engine.
  void expire(base::TimePoint Now);

  bool knows(const base::TargetId &Id) const;
  std::optional<base::Incarnation> incarnation(const base::TargetId &Id) const;
  base::Bytes size(const AcceleratorId &Id) const;
  /// Resident plus reserved memory.
  base::Bytes charged(const AcceleratorId &Id) const;
  base::Bytes free(const AcceleratorId &Id) const;
  /// Free memory once the open unloads are confirmed.
  base::Bytes expectedFree(const AcceleratorId &Id) const;
  std::vector<AcceleratorId> accelerators() const;
  /// Items that are resident, or may still be while they are unloaded. Items
  /// that are only being loaded are left out.
  const std::map<Item, Resident> &residents(const AcceleratorId &Id) const;
  const std::map<OrderId, OpenOrder> &orders() const { return this->Orders; }
  /// Unsettled orders of a target.
  std::vector<const OpenOrder *> unsettled(const base::TargetId &Id) const;
  /// The order while it is unsettled; null afterwards.
  const OpenOrder *findUnsettled(const OrderId &Id) const;
  bool honoursFencing(const base::TargetId &Id) const;
  bool hasOpenOrder(const AcceleratorId &Where, const Item &What) const;

private:
  struct Accelerator {
    base::Bytes Size;
    std::map<Item, Resident> Items;
    /// When an order on the item was last begun or answered. Reports whose
    /// content may be older do not change the item.
    std::map<Item, base::TimePoint> TouchedAt;
    /// Used memory beyond the items that the report lists.
    base::Bytes Unattributed;
    base::Bytes RoleSize;
  };
  struct TargetState {
    bool HonoursFencing = true;
    std::optional<base::Incarnation> Incarnation;
    std::uint64_t Sequence = 0;
    std::vector<Accelerator> Accelerators;
    /// The newest fencing number under which the engine has answered, and when.
    /// An engine that honours fencing refuses older ones from then on.
    base::Offset AnsweredFencing;
    base::TimePoint AnsweredAt;
  };

  Accelerator *find(const AcceleratorId &Id);
  const Accelerator *find(const AcceleratorId &Id) const;
  base::Result<void> checkTarget(const Order &New,
                                 const TargetState &State) const;
  base::Result<void> checkOpenOrders(const Order &New, const TargetState &State,
                                     base::TimePoint Now) const;
  base::Bytes chargedWith(const AcceleratorId &Id, const Order *New) const;
  std::vector<const OpenOrder *> ordersOf(const base::TargetId &Id) const;
  void drop(const OrderId &Id);
  void applyOrder(const Order &What, base::TimePoint Now);
  void settle(const MemoryReport &Report, const TargetState &State);
  bool isNewer(const MemoryReport &Report, const OpenOrder &Open,
               const TargetState &State) const;
  void startIncarnation(TargetState &State, const MemoryReport &Report);
  void updateItems(TargetState &State, const MemoryReport &Report);
  void updateConfirmed(const AcceleratorId &Where, const Item &What);

  LedgerSettings Settings;
  std::optional<base::Offset> HolderFencing;
  std::map<base::TargetId, TargetState> Targets;
  std::map<OrderId, OpenOrder> Orders;
  /// Ids of each target's open orders, so that lookups need not scan them all.
  std::map<base::TargetId, std::vector<OrderId>> OrdersByTarget;
};

} // namespace kingcuphub::placement

#endif // KINGCUPHUB_PLACEMENT_LEDGER_H
