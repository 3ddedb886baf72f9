#ifndef KINGCUPHUB_GATEWAY_INTERNAL_TRAFFIC_H
#define KINGCUPHUB_GATEWAY_INTERNAL_TRAFFIC_H

/// \file
/// The traffic thread: takes callers' requests, finds out who asks and by
/// which route, and drives the exchanges that answer them.

#include "modelexchange.h"
#include "serviceexchange.h"
#include "trafficcontext.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace kingcuphub::gateway {

class Traffic {
public:
  Traffic(asio::io_context &Loop, const Settings &Options,
          const base::Clock &Clock,
          std::function<void(wire::GatewayMessage)> ToAgent);

  Traffic(const Traffic &) = delete;
  Traffic &operator=(const Traffic &) = delete;
  ~Traffic();

  base::Result<void> listen();
  std::uint16_t port() const { return this->Server->port(); }

  void onView(ControlView New);
  void onCredit(const wire::Credit &Credit);
  void onVerdict(const wire::ClaimVerdict &Verdict);
  void onReports(const wire::TargetReports &Reports);

  /// Readiness fails from now on; requests are still taken.
  void startDraining() { this->Draining = true; }
  void stopAccepting() { this->Server->stopAccepting(); }
  std::size_t openRequests() const { return this->Open.size(); }
  std::size_t openConnections() const {
    return this->Server->openConnections();
  }
  /// Ends what still runs, hands the credits back and closes.
  void close();

private:
  using Exchange = std::variant<std::shared_ptr<ModelExchange>,
                                std::shared_ptr<ServiceExchange>>;

  void tick();
  void handle(http::Request Asked, const http::ResponseWriterPtr &Answer);
  void dispatch(http::Request Asked, const http::ResponseWriterPtr &Answer,
                const base::RequestId &Id);
  void serveModel(CompletionKind Kind, Caller Who, http::Request Asked,
                  const http::ResponseWriterPtr &Answer);
  void serveService(Caller Who, http::Request Asked,
                    const http::ResponseWriterPtr &Answer);
  void serveModelList(const http::Request &Asked,
                      const http::ResponseWriterPtr &Answer,
                      const base::RequestId &Id);
  http::Response ready() const;
  http::Response metrics();
  /// Why the instance is not ready; empty if it is.
  std::string whyNotReady() const;

  tl::expected<Caller, Refusal> identify(const http::Request &Asked,
                                         const state::Route &Route,
                                         const base::RequestId &Id) const;
  state::Route modelRoute(const std::string &Path) const;
  tl::expected<std::optional<wire::Claim>, Refusal>
  claimOf(const Caller &Who, const http::Request &Asked) const;
  std::optional<Refusal> checkCost(const Caller &Who, base::Tokens Cost) const;
  bool knowsModel(const std::string &Name) const;
  void refuse(const http::ResponseWriterPtr &Answer, const Refusal &Why,
              const base::RequestId &Id);

  asio::io_context &Loop;
  asio::steady_timer Timer;
  TrafficContext Context;
  std::unique_ptr<http::HttpClient> Client;
  std::unique_ptr<http::HttpServer> Server;
  std::vector<Exchange> Open;
  bool Draining = false;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_TRAFFIC_H
