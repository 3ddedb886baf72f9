#ifndef KINGCUPHUB_MEMBERSHIP_MEMBERSHIP_H
#define KINGCUPHUB_MEMBERSHIP_MEMBERSHIP_H

/// \file
/// Detects which instances of the deployment are alive. Each instance sends
/// heartbeats to a few random peers per period. A peer that does not answer is
/// first suspected and only later declared dead; changes of status are gossiped
/// with the heartbeats. The cost per instance does not depend on the number of
/// instances.
///
/// Membership does no I/O and reads no clock: the caller passes in messages and
/// the time, and executes the returned commands.

#include "base/clock.h"
#include "base/ids.h"

#include <chrono>
#include <map>
#include <optional>
#include <peer.pb.h>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace kingcuphub::membership {

using namespace std::chrono_literals;

enum class MemberStatus { Alive, Suspect, Dead, Left };

std::string_view statusName(MemberStatus Status);

/// One incarnation of an instance, and its availability zone.
struct MemberName {
  base::InstanceId Instance;
  base::Incarnation Incarnation;
  base::ZoneId Zone;

  auto operator<=>(const MemberName &) const = default;
};

MemberName parseMember(const wire::Member &From);
wire::Member toWire(const MemberName &From);

struct Settings {
  /// Number of random peers that are sent a heartbeat each period.
  std::size_t Fanout = 3;
  base::Duration Period = 1s;
  /// An unanswered heartbeat is resent on a new connection after this time; its
  /// receiver is suspected after twice this time.
  base::Duration AnswerTimeout = 700ms;
  /// A suspect that is not heard from within this time is declared dead.
  base::Duration SuspicionTime = 2500ms;
  /// Peers that died or left are forgotten after this time.
  base::Duration ForgetAfter = 60s;
  /// The most news entries in one message.
  std::size_t MaxNews = 6;
  /// How often the peers of setPolled() are sent a heartbeat, in addition to
  /// the random ones.
  base::Duration PolledPeriod = 1s;
};

/// Sends \p Message to \p To.
struct SendHeartbeat {
  base::InstanceId To;
  wire::PeerMessage Message;
};
/// Answers the sender of the message that was just received, on the connection
/// that the message arrived on.
struct Answer {
  base::InstanceId To;
  wire::PeerMessage Message;
};
/// Replaces the connection to \p To with a new one before the next command.
struct Reconnect {
  base::InstanceId To;
};
/// A member joined, changed its status or began a new incarnation.
struct MemberChanged {
  MemberName Member;
  MemberStatus Status = MemberStatus::Alive;
};
using Command = std::variant<SendHeartbeat, Answer, Reconnect, MemberChanged>;
using Commands = std::vector<Command>;

/// The versions sent with every heartbeat and answer.
struct Versions {
  /// The highest known next offset of the `config` stream.
  base::Offset Config;
  /// The epoch that the sender itself attests.
  base::EpochNumber Epoch;
  /// The next offset that the sender itself has yet to reduce.
  base::Offset Reduced;

  auto operator<=>(const Versions &) const = default;
};

/// An entry of the platform's instance list.
struct ListedInstance {
  base::InstanceId Instance;
  base::ZoneId Zone;
  bool Leaving = false;
};

/// What is known about one member.
struct MemberView {
  MemberName Name;
  MemberStatus Status = MemberStatus::Alive;
  /// When the most recent heartbeat that it answered was sent.
  std::optional<base::TimePoint> ExchangedAt;
  /// The versions in the last message received directly from it.
  Versions ReportedVersions;
};

class Membership {
public:
  Membership(MemberName Self, std::string Deployment, Settings Options,
             std::mt19937_64 Random);

  /// Sends the heartbeats that are due and checks timeouts; call it every 100
  /// to 200 ms.
  Commands tick(base::TimePoint Now);
  /// Processes a heartbeat, an answer to one or a leave message; ignores other
  /// messages.
  Commands receive(const wire::PeerMessage &Message, base::TimePoint Now);
  /// Sets the platform's instance list, which may be out of date: it names
  /// instances to contact but does not show that they are alive.
  void setListed(std::vector<ListedInstance> Listed);
  /// Sets the peers that are sent a heartbeat each PolledPeriod, because the
  /// freshness check needs their answers.
  void setPolled(std::set<base::InstanceId> Polled);
  /// Sets the versions that this instance sends. The config offset sent is the
  /// highest known, be it from this instance or from a peer.
  void setVersions(Versions Own);
  /// Tells some random live peers that this instance is leaving; sends nothing
  /// afterwards.
  Commands leave();

  const MemberName &self() const { return this->Self; }
  /// The versions that this instance sends.
  Versions versions() const { return this->SentVersions; }
  /// All known peers, including dead ones, without this instance.
  std::vector<MemberView> peers() const;
  /// This instance and all alive and suspect peers, sorted by name.
  std::vector<MemberName> live() const;
  const MemberView *find(const base::InstanceId &Instance) const;

private:
  struct Probe {
    std::uint64_t Nonce = 0;
    base::TimePoint SentAt;
    bool Resent = false;
  };
  struct Peer {
    MemberView View;
    std::uint64_t Refutation = 0;
    base::TimePoint ChangedAt;
    std::optional<Probe> Pending;
    std::optional<base::TimePoint> LastPolledAt;
    /// How many more times the news of this peer's status is sent.
    unsigned RemainingSends = 0;
  };
  struct MemberUpdate {
    MemberName Member;
    MemberStatus Status = MemberStatus::Alive;
    std::uint64_t Refutation = 0;
  };

  wire::PeerMessage envelope() const;
  template <typename Body> void writeVersions(Body &To) const;
  void addNews(const base::InstanceId &Receiver,
               google::protobuf::RepeatedPtrField<wire::MemberNews> &To);
  static void
  addNewsOf(const Peer &Which,
            google::protobuf::RepeatedPtrField<wire::MemberNews> &To);
  void discountPause(base::TimePoint Now);
  void addOwnNews(google::protobuf::RepeatedPtrField<wire::MemberNews> &To);
  void probe(Peer &To, base::TimePoint Now, Commands &Out);
  void sendProbe(Peer &To, Commands &Out);
  void checkProbes(base::TimePoint Now, Commands &Out);
  void checkSuspects(base::TimePoint Now, Commands &Out);
  void probePolled(base::TimePoint Now, Commands &Out);
  void probeRandom(base::TimePoint Now, Commands &Out);
  void probeListed(Commands &Out);
  void applyUpdate(const MemberUpdate &News, base::TimePoint Now,
                   Commands &Out);
  void onDirectMessage(const MemberName &From, std::uint64_t Refutation,
                       base::TimePoint Now, Commands &Out);
  void setStatus(Peer &Which, MemberStatus Status, base::TimePoint Now,
                 Commands &Out);
  void refute(const MemberUpdate &News);
  void
  applyNews(const google::protobuf::RepeatedPtrField<wire::MemberNews> &News,
            base::TimePoint Now, Commands &Out);
  void answer(const wire::PeerMessage &Message, Commands &Out);
  void onAnswer(const MemberName &From, const wire::HeartbeatAck &Body);
  void recordVersions(const MemberName &From, const Versions &Reported);
  unsigned newsSendCount() const;
  std::vector<base::InstanceId> livePeers() const;

  MemberName Self;
  std::string Deployment;
  Settings Options;
  std::mt19937_64 Random;
  std::map<base::InstanceId, Peer> Peers;
  std::vector<ListedInstance> Listed;
  /// Listed instances that were contacted and are not known to be alive.
  std::set<base::InstanceId> ContactedListed;
  std::set<base::InstanceId> Polled;
  Versions SentVersions;
  std::uint64_t OwnRefutation = 0;
  unsigned OwnRemainingSends = 0;
  std::uint64_t NextNonce = 1;
  std::optional<base::TimePoint> LastRoundAt;
  std::optional<base::TimePoint> LastTickAt;
  /// The peers that remain to be probed in the current pass over all peers.
  std::vector<base::InstanceId> ProbeQueue;
  bool HasLeft = false;
};

} // namespace kingcuphub::membership

#endif // KINGCUPHUB_MEMBERSHIP_MEMBERSHIP_H
