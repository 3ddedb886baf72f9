#ifndef KINGCUPHUB_SHARES_SHARE_H
#define KINGCUPHUB_SHARES_SHARE_H

/// \file
/// One instance's share of a quantity. Its units are free, used or granted to
/// a gateway, and move between these states. A share never creates units; they
/// are only added from outside.

#include "base/clock.h"
#include "shares/limit.h"

#include <cstdint>
#include <vector>

namespace kingcuphub::shares {

/// The amounts that one transfer moves between two instances.
struct TransferAmounts {
  std::int64_t Free = 0;
  std::int64_t Used = 0;
  std::int64_t RefillMicros = 0;

  bool empty() const {
    return this->Free == 0 && this->Used == 0 && this->RefillMicros == 0;
  }
  bool operator==(const TransferAmounts &) const = default;
};

class Share {
public:
  /// Turns used units into free ones according to the time that has passed.
  /// Elapsed time is reduced by the fraction \p MaxDrift, so that a fast local
  /// clock cannot push the sum over all instances above the refill rate.
  void refill(base::TimePoint Now, double MaxDrift);

  std::int64_t free() const { return this->Free; }
  std::int64_t used() const { return this->Used; }
  std::int64_t granted() const { return this->Granted; }
  std::int64_t voided() const { return this->Voided; }
  std::int64_t refillMicros() const { return this->RefillMicros; }
  /// All units held here, including granted ones.
  std::int64_t units() const {
    return this->Free + this->Used + this->Granted + this->Voided - this->Debt;
  }
  bool empty() const {
    return this->units() == 0 && this->RefillMicros == 0 &&
           this->Granted == 0 && this->Voided == 0;
  }

  /// Grants up to \p Amount free units to a gateway; returns how many.
  std::int64_t grant(std::int64_t Amount);
  /// Granted units were spent: they become used.
  void spend(std::int64_t Amount);
  /// Granted units are returned unspent: they become free.
  void giveBack(std::int64_t Amount);
  /// Frees units that were spent but turned out not to be needed. At most the
  /// units that were spent here and are still used become free: the others may
  /// have been refilled already, and a refund on top of that would exceed the
  /// limit.
  void refund(std::int64_t Amount);
  /// Granted units whose user is lost become used, and free at \p Until.
  void holdLost(std::int64_t Amount, base::TimePoint Until);

  /// Voids every grant. The units count as spent at \p Until, from when on no
  /// gateway can spend them.
  void voidGrants(base::TimePoint Until);

  void add(const TransferAmounts &Moved);
  /// Adds units that were lost elsewhere and may be in use until \p Until.
  void addLost(std::int64_t Units, base::TimePoint Until);
  /// Removes up to the given amounts; returns what was removed. Used units that
  /// are held until a fixed time stay.
  TransferAmounts remove(const TransferAmounts &UpTo);
  /// Scales the share down for a lowered limit. Excess units are taken from the
  /// free and then the used ones; any remaining excess is destroyed when
  /// granted units come back.
  void scale(double UnitsFactor, double RefillFactor);

private:
  struct Hold {
    std::int64_t Units = 0;
    base::TimePoint Until;
  };

  void refillUsed(base::TimePoint Now, double MaxDrift);
  void releaseHolds(base::TimePoint Now);
  void releaseVoids(base::TimePoint Now);
  std::int64_t takeGranted(std::int64_t Amount);
  /// Destroys returned units up to Debt; returns how many of them remain.
  std::int64_t payDebt(std::int64_t Amount);
  void reduceUsed(std::int64_t Amount);

  std::int64_t Free = 0;
  std::int64_t Used = 0;
  /// How many of the used units were spent here.
  std::int64_t OwnUsed = 0;
  std::int64_t Granted = 0;
  /// How many granted units are to be destroyed when they come back.
  std::int64_t Debt = 0;
  /// The sum of the units in VoidedGrants.
  std::int64_t Voided = 0;
  std::int64_t RefillMicros = 0;
  /// Refill that does not make up a whole unit yet; below 1 and below Used.
  double RefillRemainder = 0;
  base::TimePoint RefilledAt{};
  /// Used units that become free at a time.
  std::vector<Hold> Holds;
  /// Voided grants, which become used at a time.
  std::vector<Hold> VoidedGrants;
};

/// \p Amount times \p Factor, rounded down.
std::int64_t scaled(std::int64_t Amount, double Factor);

} // namespace kingcuphub::shares

#endif // KINGCUPHUB_SHARES_SHARE_H
