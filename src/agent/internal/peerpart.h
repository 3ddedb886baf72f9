#ifndef KINGCUPHUB_AGENT_INTERNAL_PEERPART_H
#define KINGCUPHUB_AGENT_INTERNAL_PEERPART_H

/// \file
/// Wires membership, freshness, epochs and shares into the agent: carries
/// their messages to peers, proposes epochs, and gives the gateway its credit
/// and its proof of freshness.

#include "agent/part.h"
#include "membership/membership.h"
#include "peercredit.h"
#include "peerlimits.h"
#include "peerlinks.h"
#include "periodictimer.h"
#include "shares/agreement.h"
#include "shares/epochplanner.h"
#include "shares/shares.h"
#include "state/freshness.h"

#include <memory>
#include <set>

namespace kingcuphub::agent {

class PeerPart final : public AgentPart {
public:
  explicit PeerPart(AgentContext &Context);
  PeerPart(const PeerPart &) = delete;
  PeerPart &operator=(const PeerPart &) = delete;
  ~PeerPart() override;

  std::string_view name() const override { return "peers"; }
  void start() override;
  void stop(std::function<void()> Done) override;
  nlohmann::json status() const override;

private:
  void onMessage(const messaging::ClientName *Client, std::string_view Bytes);
  bool refused(const wire::PeerMessage &Message);
  void carryOut(const membership::Commands &All,
                const messaging::ClientName *Client);
  void carryOut(const shares::Commands &All);
  void noteAnswer(const wire::PeerMessage &Message);
  void noteMember(const membership::MemberChanged &Change);

  void tick();
  void listInstances();
  void onEpoch(const wire::Epoch &New, const wire::Epoch &Former);
  void onConfig();
  void propose();
  void proveShares();
  void agree();
  void pollWitnesses();
  void watchGateways();
  void finishStop();
  std::optional<base::TimePoint> witnessesProveEpoch() const;
  std::optional<shares::AgreedVersions>
  knownBy(const membership::MemberName &Name) const;
  bool logFresh() const;
  base::Offset inForce() const;
  InstanceOffsets offsets() const;

  AgentContext &Context;
  membership::MemberName Self;
  membership::Membership Members;
  state::Freshness &Fresh;
  shares::Shares Part;
  shares::Agreement Agreement;
  shares::EpochPlanner Planner;
  Epochs &EpochRecords;
  PeerLinks Links;
  PeerLimits Limits;
  PeerCredit Credit;
  shares::AgreedVersions Agreed;
  std::set<base::InstanceId> Listed;
  std::optional<base::TimePoint> ListedAt;
  base::TimePoint StartedAt;
  base::TimePoint StopBy;
  bool Proposing = false;
  bool HadGateway = false;
  /// The gateway whose credits are counted.
  base::Incarnation GatewayLife;
  std::uint64_t RefusedMessages = 0;
  std::function<void()> Stopped;
  std::shared_ptr<bool> Alive;
  PeriodicTimer TickTimer;
  PeriodicTimer ListTimer;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_PEERPART_H
