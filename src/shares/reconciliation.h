#ifndef KINGCUPHUB_SHARES_RECONCILIATION_H
#define KINGCUPHUB_SHARES_RECONCILIATION_H

/// \file
/// A primary holder's sum of what the members of an epoch hold, from their
/// confirmations. Units that are missing from the limit were lost with an
/// instance or in transit. They are reissued once no gateway can still spend
/// them.

#include "membership/membership.h"
#include "shares/share.h"

#include <map>
#include <optional>
#include <peer.pb.h>
#include <set>

namespace kingcuphub::shares {

using membership::MemberName;

/// The number and members of an epoch, parsed from the `system` stream.
struct EpochView {
  base::EpochNumber Number;
  std::set<MemberName> Members;

  bool contains(const MemberName &Which) const {
    return this->Members.count(Which) != 0;
  }
};

EpochView parseEpoch(const wire::Epoch &From);

/// What one member held of one quantity when it entered the new epoch.
struct HeldPart {
  std::int64_t Units = 0;
  /// How many of the units were free.
  std::int64_t Free = 0;
  std::int64_t RefillMicros = 0;
};
using HeldParts = std::map<base::QuantityId, HeldPart>;

class Reconciliation {
public:
  Reconciliation() = default;
  Reconciliation(EpochView Current, const EpochView &Former);

  /// Records a member's confirmation; only its first one counts.
  void confirm(const MemberName &By, HeldParts Held);
  /// Whether all members of both the former and this epoch have confirmed.
  bool allRemainingConfirmed() const;
  /// Whether the members that this epoch left out have confirmed as well.
  bool allConfirmed() const;
  /// What the members of both epochs held of a quantity.
  HeldPart sumOfRemaining(const base::QuantityId &Quantity) const;
  /// Free units that departed members have released by confirming.
  std::int64_t freeOfDeparted(const base::QuantityId &Quantity) const;
  HeldPart heldBy(const MemberName &Member,
                  const base::QuantityId &Quantity) const;
  /// Whether no epoch came before this one.
  bool isFirst() const { return this->IsFirst; }

private:
  std::set<MemberName> Remaining;
  std::set<MemberName> Departed;
  std::map<MemberName, HeldParts> Confirmed;
  bool IsFirst = false;
};

} // namespace kingcuphub::shares

#endif // KINGCUPHUB_SHARES_RECONCILIATION_H
