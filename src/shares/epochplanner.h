#ifndef KINGCUPHUB_SHARES_EPOCHPLANNER_H
#define KINGCUPHUB_SHARES_EPOCHPLANNER_H

/// \file
/// Decides when an instance proposes a new epoch, and which members and
/// witnesses it names. Every instance may propose. Races are harmless: the
/// first record with a given epoch number counts and the others are ignored.

#include "base/clock.h"
#include "membership/membership.h"

#include <optional>
#include <records.pb.h>
#include <vector>

namespace kingcuphub::shares {

using membership::MemberName;

struct EpochPlannerSettings {
  /// The set of live members must have been unchanged for this long.
  base::Duration StablePeriod = std::chrono::milliseconds(1000);
  /// Extra wait per rank. A lower-ranked instance proposes only if those
  /// before it did not, for example because they cannot reach the log.
  base::Duration RankDelay = std::chrono::milliseconds(2000);
  std::size_t WitnessesPerZone = 2;
};

class EpochPlanner {
public:
  EpochPlanner(MemberName Self, EpochPlannerSettings Options)
      : Self(std::move(Self)), Options(Options) {}

  /// Returns the epoch to propose now, if any. \p Live is sorted and contains
  /// Self.
  std::optional<wire::Epoch> plan(const std::vector<MemberName> &Live,
                                  const wire::Epoch &Current,
                                  base::TimePoint Now);

private:
  std::size_t rank(const std::vector<MemberName> &Live) const;

  MemberName Self;
  EpochPlannerSettings Options;
  std::vector<MemberName> LastLive;
  base::TimePoint LiveSince{};
};

/// Chooses up to \p PerZone witnesses in each zone by rendezvous hashing.
std::vector<base::InstanceId>
chooseWitnesses(const std::vector<MemberName> &Members, std::size_t PerZone);

/// Whether \p New is a non-empty epoch with the number after \p Current.
bool follows(const wire::Epoch &New, const wire::Epoch &Current);

} // namespace kingcuphub::shares

#endif // KINGCUPHUB_SHARES_EPOCHPLANNER_H
