#ifndef KINGCUPHUB_SHARES_AGREEMENT_H
#define KINGCUPHUB_SHARES_AGREEMENT_H

/// \file
/// Tracks the epoch and configuration that every instance with a fresh proof
/// is certain to know. A version is agreed once a majority of the witnesses
/// has it, in every epoch whose witnesses can still prove freshness.

#include "shares/shares.h"

#include <deque>
#include <functional>
#include <records.pb.h>

namespace kingcuphub::shares {

/// Returns the versions that a witness is known to have, or nullopt if none
/// are known. For a witness that is certainly dead it returns the highest
/// versions, because a dead witness can no longer prove freshness to anyone.
using KnownBy =
    std::function<std::optional<AgreedVersions>(const MemberName &)>;

class Agreement {
public:
  /// Adds an epoch; \p Former is the one before it. Called in log order.
  void learnEpoch(const wire::Epoch &New, const wire::Epoch &Former);
  /// Recomputes the agreed versions from what each witness has now.
  AgreedVersions update(const KnownBy &Known);

private:
  struct WitnessGroup {
    base::EpochNumber Number;
    std::vector<MemberName> Members;
  };

  static WitnessGroup parseWitnesses(const wire::Epoch &From);
  static AgreedVersions versionsOfMajority(const WitnessGroup &Of,
                                           const KnownBy &Known);

  /// The newest agreed epoch and all later ones, oldest first.
  std::deque<WitnessGroup> OpenEpochs;
  AgreedVersions Agreed;
};

} // namespace kingcuphub::shares

#endif // KINGCUPHUB_SHARES_AGREEMENT_H
