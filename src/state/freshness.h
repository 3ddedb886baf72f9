#ifndef KINGCUPHUB_STATE_FRESHNESS_H
#define KINGCUPHUB_STATE_FRESHNESS_H

/// \file
/// Decides whether the reduced configuration is proven to be the newest, and
/// whether a change can be reported as accepted.
///
/// Freshness is proven by an own read of the log's tail, or by exchanges with a
/// majority of an epoch's witnesses, each of which reports the highest version
/// that it knows. A change is acknowledged once a majority of the witnesses of
/// every epoch that may still be in use knows it. Any two majorities intersect,
/// so an instance whose proof is younger than the acknowledgement has the
/// change.
///
/// A witness vouches for one epoch at a time. It vouches for a new epoch only
/// after a read of the `config` stream's tail that was sent after it had read
/// the epoch: by then it has every change that was accepted without the new
/// epoch's witnesses.

#include "base/clock.h"
#include "base/ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::state {

/// One incarnation of an instance. A later incarnation has none of the state of
/// an earlier one.
struct Witness {
  base::InstanceId Instance;
  base::Incarnation Life;

  auto operator<=>(const Witness &) const = default;
};

struct WitnessSet {
  base::EpochNumber Epoch;
  std::vector<Witness> Members;
};

/// The state that a peer reported in answer to a message of this instance.
struct PeerAnswer {
  Witness Peer;
  /// When this instance sent its message.
  base::TimePoint AskedAt;
  /// The highest next offset that the peer has reduced or learned of.
  base::Offset Known;
  /// The epoch that the peer vouches for.
  base::EpochNumber Vouched;
};

/// The time at which the state was proven to be the newest, or the reason why
/// there is no valid proof.
struct FreshnessProof {
  std::optional<base::TimePoint> At;
  std::string Reason;
};

class Freshness {
public:
  Freshness(Witness Self, base::Duration Bound);

  /// The next offset of the reduced configuration.
  void setReduced(base::Offset Next);
  /// A peer reported a configuration with this next offset.
  void learnOffset(base::Offset Next);
  /// A read of the `config` stream that was sent at \p SentAt reached the tail,
  /// and all its records are reduced.
  void onConfigTail(base::TimePoint SentAt);
  /// An epoch was reduced. Called in the order of the `system` stream.
  void onEpoch(WitnessSet Epoch, base::TimePoint Now);
  void onAnswer(const PeerAnswer &Answer);
  /// This incarnation of an instance has certainly ended.
  void onEnded(const Witness &Ended);

  /// The values that this instance reports to its peers.
  base::Offset known() const { return this->Known; }
  base::EpochNumber vouched() const { return this->Vouched; }
  /// The witnesses of the newest epoch.
  std::vector<Witness> witnesses() const;

  FreshnessProof proof(base::TimePoint Now) const;
  /// The witnesses whose acknowledgement of the change before \p Next is
  /// missing; empty once a majority in every epoch has acknowledged it. The
  /// caller must have read the tail of the `system` stream after it read the
  /// change back.
  std::vector<base::InstanceId> waitingFor(base::Offset Next) const;

private:
  struct PeerState {
    base::TimePoint AskedAt;
    base::Offset Known;
    base::EpochNumber Vouched;
    bool Ended = false;
  };

  const PeerState *findPeer(const Witness &Of) const;
  std::optional<base::TimePoint> vouchedSince(const Witness &By,
                                              base::EpochNumber Epoch,
                                              base::TimePoint Now) const;
  std::optional<base::TimePoint> provenBy(const WitnessSet &Set,
                                          base::TimePoint Now) const;
  bool acknowledges(const Witness &By, base::EpochNumber Epoch,
                    base::Offset Next) const;
  std::string reason(base::TimePoint Now) const;

  Witness Self;
  base::Duration Bound;
  base::Offset Reduced;
  base::Offset Known;
  base::EpochNumber Vouched;
  std::optional<base::TimePoint> TailReadAt;
  /// When the newest epoch was read.
  base::TimePoint EpochReadAt;
  /// The latest epochs, oldest first.
  std::vector<WitnessSet> Epochs;
  std::map<Witness, PeerState> Peers;
};

/// How many of \p Count are a majority.
constexpr std::size_t majorityOf(std::size_t Count) { return Count / 2 + 1; }

} // namespace kingcuphub::state

#endif // KINGCUPHUB_STATE_FRESHNESS_H
