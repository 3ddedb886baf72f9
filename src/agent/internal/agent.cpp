#include "agent/agent.h"

#include "agent/part.h"
#include "base/log.h"
#include "changes.h"
#include "enginereports.h"
#include "gatewaylink.h"
#include "logclaims.h"
#include "logconfigfeed.h"
#include "logsystemfeed.h"
#include "operatorsapi.h"
#include "snapshotwriter.h"

#include <asio/steady_timer.hpp>
#include <optional>
#include <utility>

namespace kingcuphub::agent {

namespace {

/// Bounds a graceful stop.
constexpr std::chrono::milliseconds StopTimeout{10000};
constexpr std::chrono::milliseconds StopCheckInterval{20};
constexpr std::size_t TcpPrefix = sizeof("tcp://") - 1;

/// The listening end of the peers; drops messages until a handler is set.
class PeerListener final : public PeerPort {
public:
  base::Result<void> listen(messaging::Messaging &Messaging,
                            const std::string &Endpoint) {
    auto Made =
        Messaging.serve(Endpoint, [this](const messaging::ClientName &From,
                                         std::string_view Bytes) {
          if (this->Handler)
            this->Handler(From, Bytes);
        });
    if (!Made)
      return tl::unexpected<base::Error>(Made.error());
    this->Server = std::move(*Made);
    return {};
  }

  void setHandler(messaging::MessageServer::Handler New) override {
    this->Handler = std::move(New);
  }
  messaging::MessageServer &server() override { return *this->Server; }

private:
  messaging::MessageServer::Handler Handler;
  std::unique_ptr<messaging::MessageServer> Server;
};

class InstanceReach final : public Reach {
public:
  InstanceReach(const Identity &Self, ConfigFeed &Config)
      : Source([&Self, &Config] {
          return InstanceOffsets{{Self.Instance, Config.config()->Next}};
        }) {}

  void setSource(std::function<InstanceOffsets()> New) override {
    this->Source = std::move(New);
  }
  InstanceOffsets offsets() const override { return this->Source(); }

private:
  std::function<InstanceOffsets()> Source;
};

class LoopAgent final : public Agent {
public:
  LoopAgent(asio::io_context &Loop, const base::Clock &Clock,
            const AgentSettings &Settings,
            std::unique_ptr<messaging::Messaging> PeerMessaging,
            std::unique_ptr<messaging::Messaging> LinkMessaging)
      : Loop(Loop), Clock(Clock), Settings(Settings),
        PeerMessaging(std::move(PeerMessaging)),
        LinkMessaging(std::move(LinkMessaging)),
        Http(http::makeHttpClient(Loop)),
        Log(logservice::makeLogClient(*this->Http, Settings.PlatformUrl)),
        Instances(logservice::makeInstanceListClient(*this->Http,
                                                     Settings.PlatformUrl)),
        Config(Loop, Clock, *this->Log),
        System(Loop, Clock, *this->Log, this->Self),
        Reports(Loop, Clock, *this->Http, this->Config),
        Link(Loop, Clock, this->Self, this->Config, this->Reports),
        Offsets(this->Self, this->Config),
        Claims(Loop, Clock, *this->Log, this->Self),
        Snapshots(Loop, Clock, Settings.SnapshotInterval, this->Config,
                  this->System),
        StopTimer(Loop) {}

  base::Result<void> start() {
    if (auto Bound = this->listen(); !Bound)
      return Bound;
    this->identify();
    this->assemble();
    if (auto Bound = this->Api->listen(this->Settings.ApiListen); !Bound)
      return Bound;
    this->Link.setClaimService(this->Claims);
    this->Link.setFreshness([this] { return this->Freshness->proof(); });
    this->System.OnSnapshot.subscribe(
        [this](const wire::Snapshot &Snapshot,
               const std::chrono::milliseconds &) {
          this->Config.offerSnapshot(Snapshot);
        });
    this->Parts = makeParts(*this->Context);
    for (const std::unique_ptr<AgentPart> &Part : this->Parts)
      Part->start();
    this->Config.start();
    this->System.start();
    this->Reports.start();
    this->Link.start();
    this->Writer->start();
    this->Claims.start();
    this->Snapshots.start();
    return {};
  }

  std::map<std::string, std::string> endpoints() const override {
    std::size_t Colon = this->Settings.ApiListen.rfind(':');
    return {{"api", this->Settings.ApiListen.substr(0, Colon) + ":" +
                        std::to_string(this->Api->port())},
            {"peer", this->Self.Instance.Value},
            {"link", this->Link.endpoint()}};
  }

  void stop(std::function<void()> Done) override {
    if (std::exchange(this->Stopping, true))
      return;
    base::logEvent(base::LogLevel::Info, "stopping");
    this->Api->drain();
    this->PartsLeft = this->Parts.size();
    this->StopBy = this->Clock.now() + StopTimeout;
    for (const std::unique_ptr<AgentPart> &Part : this->Parts)
      Part->stop([this] { --this->PartsLeft; });
    this->finishWhenIdle(std::move(Done));
  }

private:
  base::Result<void> listen() {
    if (auto Bound = this->Peers.listen(*this->PeerMessaging,
                                        "tcp://" + this->Settings.PeerListen);
        !Bound)
      return Bound;
    return this->Link.listen(*this->LinkMessaging,
                             "tcp://" + this->Settings.LinkListen);
  }

  void identify() {
    this->Self.Deployment = this->Settings.Deployment;
    this->Self.Instance = {this->Peers.server().endpoint()};
    this->Self.Life = {static_cast<std::uint64_t>(
        this->Clock.wallNow().time_since_epoch().count())};
    this->Self.Zone = this->Settings.Zone;
    base::startLog("kingcuphub-agent",
                   this->Self.Instance.Value.substr(TcpPrefix),
                   base::parseLogLevel(this->Settings.LogLevel));
  }

  /// Makes what needs to know who this instance is.
  void assemble() {
    this->System.addReducer(this->EpochRecords);
    this->Freshness.emplace(this->Clock, this->Self, this->Settings.Freshness,
                            this->Config, this->EpochRecords, this->System);
    this->Writer.emplace(this->Loop, this->Clock, *this->Log, this->Config,
                         *this->Freshness);
    this->Context.emplace(AgentContext{
        this->Loop, this->Clock, this->Settings, this->Self, *this->Http,
        *this->PeerMessaging, *this->Log, *this->Instances, this->Peers,
        this->Config, this->System, this->Reports, this->Link, this->Offsets,
        this->EpochRecords, *this->Freshness});
    this->Api.emplace(*this->Context, *this->Writer, this->Parts);
  }

  void finishWhenIdle(std::function<void()> Done) {
    bool Idle = this->PartsLeft == 0 && this->Writer->waiting() == 0 &&
                this->Claims.waiting() == 0;
    if (Idle || this->Clock.now() >= this->StopBy) {
      this->halt();
      return Done();
    }
    this->StopTimer.expires_after(StopCheckInterval);
    this->StopTimer.async_wait(
        [this, Done = std::move(Done)](asio::error_code Failed) {
          if (!Failed)
            this->finishWhenIdle(Done);
        });
  }

  void halt() {
    this->Config.stop();
    this->System.stop();
    this->Reports.stop();
    this->Link.stop();
    this->Writer->stop();
    this->Claims.stop();
    this->Snapshots.stop();
    this->Api->stopAccepting();
    this->Api->close();
    base::logEvent(base::LogLevel::Info, "stopped");
  }

  asio::io_context &Loop;
  const base::Clock &Clock;
  const AgentSettings &Settings;
  Identity Self;
  std::unique_ptr<messaging::Messaging> PeerMessaging;
  std::unique_ptr<messaging::Messaging> LinkMessaging;
  std::unique_ptr<http::HttpClient> Http;
  std::unique_ptr<logservice::LogClient> Log;
  std::unique_ptr<logservice::InstanceListClient> Instances;
  PeerListener Peers;
  LogConfigFeed Config;
  LogSystemFeed System;
  EngineReports Reports;
  GatewayLink Link;
  InstanceReach Offsets;
  Epochs EpochRecords;
  LogClaims Claims;
  SnapshotWriter Snapshots;
  std::optional<FreshnessRule> Freshness;
  std::optional<Changes> Writer;
  std::optional<AgentContext> Context;
  std::vector<std::unique_ptr<AgentPart>> Parts;
  std::optional<OperatorsApi> Api;
  asio::steady_timer StopTimer;
  base::TimePoint StopBy;
  std::size_t PartsLeft = 0;
  bool Stopping = false;
};

} // namespace

base::Result<std::unique_ptr<Agent>> startAgent(asio::io_context &Loop,
                                                const base::Clock &Clock,
                                                const AgentSettings &Settings) {
  auto Peers = messaging::makeMessaging(Loop, Settings.PeerKeys);
  if (!Peers)
    return tl::unexpected<base::Error>(Peers.error());
  auto Link = messaging::makeMessaging(Loop, std::nullopt);
  if (!Link)
    return tl::unexpected<base::Error>(Link.error());
  auto Made = std::make_unique<LoopAgent>(Loop, Clock, Settings,
                                          std::move(*Peers), std::move(*Link));
  if (auto Started = Made->start(); !Started)
    return tl::unexpected<base::Error>(Started.error());
  return std::unique_ptr<Agent>(std::move(Made));
}

} // namespace kingcuphub::agent
