#include "instance/instance.h"

#include "base/log.h"
#include "trafficthread.h"

#include <asio/steady_timer.hpp>
#include <utility>

namespace kingcuphub::instance {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds StopCheckInterval{50};
/// What the answers of the store and of all engines, which may be asked at
/// once, take together: a fifth of the smallest instance's memory.
constexpr std::size_t MaxControlBytes = 32U << 20U;
/// The time without an open request after which a stopping instance ends.
constexpr milliseconds QuietBeforeEnd{300};

class WholeInstance final : public Instance {
public:
  WholeInstance(asio::io_context &Loop, const Settings &Options,
                Adapter NewSpeaks, const base::Clock &Clock)
      : Loop(Loop), Options(Options), Speaks(std::move(NewSpeaks)),
        Clock(Clock), Http(http::makeHttpClient(Loop, {MaxControlBytes})),
        Store(this->Speaks.MakeStore(Loop, *this->Http, this->Options, Clock)),
        Engines(
            this->Speaks.MakeEngines(Loop, *this->Http, this->Options.lease())),
        Duties(this->Options.Duties && this->Speaks.MakeDuties
                   ? this->Speaks.MakeDuties(*this->Http, *this->Options.Duties)
                   : nullptr),
        Traffic(Loop, this->Options, *this->Speaks.Protocol, Clock,
                this->Metrics,
                {[this] { this->Control->reportSoon(); },
                 [this] { this->Control->reportSoon(); },
                 [this](std::vector<admission::CreditCommand> Commands) {
                   this->Control->onCredit(Commands);
                 }}),
        Timer(Loop) {}

  base::Result<void> start() {
    auto Links = messaging::makeMessaging(this->Loop, std::nullopt);
    if (!Links)
      return tl::unexpected(Links.error());
    this->Messages = std::move(*Links);
    this->Control =
        control::makeControl(this->Loop, this->controlSettings(), *this->Store,
                             *this->Engines, *this->Messages, this->Traffic,
                             this->Clock, this->Metrics, this->Duties.get());
    this->Control->onReady([this] {
      this->Ready = true;
      base::logEvent(base::LogLevel::Info, "ready", {});
    });
    for (const auto &Started :
         {this->Traffic.start(), this->startReadiness(), this->startMetrics()})
      if (!Started)
        return Started;
    this->Control->start();
    return {};
  }

  void reload(const Settings &New) override {
    bool Same = New.Name == this->Options.Name &&
                New.Callers.text() == this->Options.Callers.text() &&
                New.Store.text() == this->Options.Store.text();
    this->Options.Stop = New.Stop;
    base::logEvent(base::LogLevel::Info, "reloaded",
                   {{"needs_restart", !Same}});
  }

  void stop(std::function<void()> Done) override {
    if (this->Stopping)
      return;
    this->Stopping = true;
    this->OnStopped = std::move(Done);
    this->StopAt = this->QuietSince = this->Clock.now();
    base::logEvent(base::LogLevel::Info, "stopping",
                   {{"open_requests", this->Traffic.openRequests()},
                    {"grace_ms", this->Options.Stop.Grace.count()}});
    const StopSettings &How = this->Options.Stop;
    this->Traffic.beginStop(this->StopAt + How.Grace - How.Reserve);
    this->Control->leave();
    this->checkStopped();
  }

private:
  control::ControlSettings controlSettings() const {
    control::ControlSettings Out;
    Out.Self = this->Options.Name;
    Out.Incarnation.Value = static_cast<std::uint64_t>(
        this->Clock.wallNow().time_since_epoch().count());
    Out.LinkEndpoint = "tcp://" + this->Options.Link.text();
    Out.Lease = this->Options.lease();
    Out.Usage.Window = this->Options.UsageWindow;
    Out.Bounds = this->Options.Bounds;
    Out.Outages.Heartbeat = this->Options.TargetHeartbeat;
    if (const auto &Owed = this->Options.Duties; Owed && Owed->ReportsUsage) {
      Out.UsageReports.emplace();
      Out.UsageReports->WindowLength = Owed->UsageWindow;
      Out.UsageReports->SettleAtLatest = Owed->UsageDueAfter / 2;
    }
    if (const auto &Owed = this->Options.Duties; Owed && Owed->OrdersTargets)
      Out.Scaling.emplace();
    return Out;
  }

  base::Result<void> serve(const base::Endpoint &At,
                           http::RequestHandler Handler,
                           std::unique_ptr<http::HttpServer> &To) {
    http::ServerSettings Listen;
    Listen.Address = At.Address;
    Listen.Port = At.Port;
    auto Started =
        http::startHttpServer(this->Loop, Listen, std::move(Handler));
    if (!Started)
      return tl::unexpected(Started.error());
    To = std::move(*Started);
    return {};
  }

  base::Result<void> startReadiness() {
    return this->serve(
        this->Options.Readiness,
        [this](const http::Request &, const http::ResponseWriterPtr &Answer) {
          constexpr int Ok = 200;
          constexpr int Unavailable = 503;
          bool Ready = this->Ready && !this->Stopping;
          Answer->respond({Ready ? Ok : Unavailable, {}, ""});
        },
        this->ReadinessServer);
  }

  base::Result<void> startMetrics() {
    return this->serve(
        this->Options.Metrics,
        [this](const http::Request &, const http::ResponseWriterPtr &Answer) {
          metrics::Source From{"kingcuphub-instance", this->Options.Name.Value,
                               this->Options.Zone};
          Answer->respond(http::jsonResponse(
              200, this->Metrics.json(From, this->Clock).dump()));
        },
        this->MetricsServer);
  }

  void checkStopped() {
    base::TimePoint Now = this->Clock.now();
    const StopSettings &How = this->Options.Stop;
    bool Accepting = Now < this->StopAt + How.AcceptFor;
    if (!Accepting && !std::exchange(this->AcceptingEnded, true))
      this->Traffic.stopAccepting();
    if (Accepting || this->Traffic.openRequests() > 0)
      this->QuietSince = Now;
    bool Quiet = Now >= this->QuietSince + QuietBeforeEnd;
    bool Late = Now >= this->StopAt + How.Grace - How.Reserve;
    if (Quiet || Late) {
      base::logEvent(base::LogLevel::Info, "stopped",
                     {{"cut_requests", this->Traffic.openRequests()}});
      this->OnStopped();
      return;
    }
    this->Timer.expires_after(StopCheckInterval);
    this->Timer.async_wait([this](asio::error_code Failed) {
      if (!Failed)
        this->checkStopped();
    });
  }

  asio::io_context &Loop;
  Settings Options;
  Adapter Speaks;
  const base::Clock &Clock;
  metrics::Registry Metrics;
  std::unique_ptr<http::HttpClient> Http;
  std::unique_ptr<control::ControlStore> Store;
  std::unique_ptr<control::EngineClient> Engines;
  std::unique_ptr<control::DutyClient> Duties;
  std::unique_ptr<messaging::Messaging> Messages;
  TrafficThread Traffic;
  std::unique_ptr<control::Control> Control;
  std::unique_ptr<http::HttpServer> ReadinessServer;
  std::unique_ptr<http::HttpServer> MetricsServer;
  asio::steady_timer Timer;
  std::function<void()> OnStopped;
  base::TimePoint StopAt;
  base::TimePoint QuietSince;
  bool Ready = false;
  bool Stopping = false;
  bool AcceptingEnded = false;
};

} // namespace

base::Result<std::unique_ptr<Instance>>
startInstance(asio::io_context &Loop, const Settings &Options, Adapter Speaks,
              const base::Clock &Clock) {
  auto New =
      std::make_unique<WholeInstance>(Loop, Options, std::move(Speaks), Clock);
  if (auto Started = New->start(); !Started)
    return tl::unexpected(Started.error());
  return std::unique_ptr<Instance>(std::move(New));
}

} // namespace kingcuphub::instance
