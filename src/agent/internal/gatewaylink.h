#ifndef KINGCUPHUB_AGENT_INTERNAL_GATEWAYLINK_H
#define KINGCUPHUB_AGENT_INTERNAL_GATEWAYLINK_H

/// \file
/// Serves the gateways of this instance: state with proof of freshness,
/// credit, claims and the targets' reports.

#include "agent/configfeed.h"
#include "agent/gateways.h"
#include "agent/identity.h"
#include "agent/targetreports.h"
#include "messaging/messaging.h"
#include "periodictimer.h"

#include <map>
#include <memory>

namespace kingcuphub::agent {

class GatewayLink final : public Gateways {
public:
  GatewayLink(asio::io_context &Loop, const base::Clock &Clock,
              const Identity &Self, ConfigFeed &Config, TargetReports &Reports);
  GatewayLink(const GatewayLink &) = delete;
  GatewayLink &operator=(const GatewayLink &) = delete;
  ~GatewayLink() override;

  /// Binds the link's endpoint; called before start().
  base::Result<void> listen(messaging::Messaging &Messaging,
                            const std::string &Endpoint);
  std::string endpoint() const { return this->Server->endpoint(); }
  void start();
  void stop();

  void setCreditSource(CreditSource &Source) override;
  void setClaimService(ClaimService &Service) override;
  void setFreshness(std::function<FreshnessProof()> Rule) override;
  void setRouteFilter(RouteFilter Filter) override {
    this->MayRoute = std::move(Filter);
  }
  std::size_t connected() const override { return this->PolledAt.size(); }
  std::optional<base::Offset> reduced() const override;
  base::Incarnation newestLife() const override { return this->NewestLife; }

private:
  using ClientName = messaging::ClientName;

  struct LastPoll {
    base::TimePoint At;
    /// The next offset that the gateway's state has.
    base::Offset Next;
  };

  void onMessage(const ClientName &From, std::string_view Bytes);
  void onPoll(const ClientName &From, const wire::Poll &Poll);
  void onCredit(const ClientName &From, const wire::CreditRequest &Asked);
  void onRefund(const wire::CreditReturn &Refund);
  void onClaim(const ClientName &From, const wire::ClaimRequest &Asked);
  const wire::ConfigState &stateForGateways();
  void sendReports();
  void forgetSilent();
  void send(const ClientName &To, const wire::AgentMessage &Message);
  void sendToAll(const wire::AgentMessage &Message);

  const base::Clock &Clock;
  const Identity &Self;
  ConfigFeed &Config;
  TargetReports &Reports;
  std::function<FreshnessProof()> Freshness;
  RouteFilter MayRoute;
  CreditSource *Credits = nullptr;
  ClaimService *Claims = nullptr;
  std::unique_ptr<messaging::MessageServer> Server;
  std::map<ClientName, LastPoll> PolledAt;
  base::Incarnation NewestLife;
  wire::ConfigState Saved;
  bool SavedValid = false;
  std::shared_ptr<bool> Alive;
  PeriodicTimer ReportTimer;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_GATEWAYLINK_H
