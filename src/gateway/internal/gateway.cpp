#include "gateway/gateway.h"

#include "agentlink.h"
#include "base/log.h"
#include "traffic.h"

#include <asio/steady_timer.hpp>
#include <utility>

namespace kingcuphub::gateway {

namespace {

constexpr std::chrono::milliseconds DrainCheckInterval{20};
/// How long a kept connection may stay idle once everything is answered.
constexpr std::chrono::milliseconds IdleGrace{500};

class WholeGateway final : public Gateway {
public:
  WholeGateway(asio::io_context &Loop, const Settings &Options,
               const base::Clock &Clock)
      : Options(Options), Clock(Clock), Timer(Loop),
        Serving(Loop, Options, Clock,
                [this](wire::GatewayMessage Message) {
                  this->Link.send(std::move(Message));
                }),
        Link(Loop, Options, Clock, this->callbacks()) {}

  WholeGateway(const WholeGateway &) = delete;
  WholeGateway &operator=(const WholeGateway &) = delete;
  ~WholeGateway() override {
    *this->Alive = false;
    this->Link.stop();
  }

  base::Result<void> start() {
    if (auto Listening = this->Serving.listen(); !Listening)
      return Listening;
    return this->Link.start();
  }

  std::string endpoint() const override {
    return this->Options.ListenAddress + ":" +
           std::to_string(this->Serving.port());
  }

  std::size_t openRequests() const override {
    return this->Serving.openRequests();
  }

  void drain(std::function<void()> Done) override {
    if (this->OnDrained)
      return;
    this->OnDrained = std::move(Done);
    base::logEvent(base::LogLevel::Info, "draining",
                   {{"open_requests", this->Serving.openRequests()}});
    base::TimePoint Now = this->Clock.now();
    this->GraceEnd = Now + this->Options.Drain.BalancerGrace;
    this->BoundEnd = Now + this->Options.Drain.Bound;
    this->Serving.startDraining();
    this->Link.setDraining();
    this->checkDrained();
  }

private:
  AgentCallbacks callbacks() {
    AgentCallbacks Out;
    Out.OnView = [this, Live = this->Alive](ControlView New) {
      if (*Live)
        this->Serving.onView(std::move(New));
    };
    Out.OnCredit = [this, Live = this->Alive](const wire::Credit &Credit) {
      if (*Live)
        this->Serving.onCredit(Credit);
    };
    Out.OnVerdict = [this,
                     Live = this->Alive](const wire::ClaimVerdict &Verdict) {
      if (*Live)
        this->Serving.onVerdict(Verdict);
    };
    Out.OnReports = [this,
                     Live = this->Alive](const wire::TargetReports &Reports) {
      if (*Live)
        this->Serving.onReports(Reports);
    };
    return Out;
  }

  void checkDrained() {
    base::TimePoint Now = this->Clock.now();
    if (Now >= this->GraceEnd && !std::exchange(this->Stopped, true))
      this->Serving.stopAccepting();
    if (this->isDrained(Now)) {
      this->finish();
      return;
    }
    this->Timer.expires_after(DrainCheckInterval);
    this->Timer.async_wait([this](asio::error_code Failed) {
      if (!Failed)
        this->checkDrained();
    });
  }

  bool isDrained(base::TimePoint Now) {
    if (Now >= this->BoundEnd)
      return true;
    if (!this->Stopped || this->Serving.openRequests() > 0) {
      this->IdleSince = Now;
      return false;
    }
    return this->Serving.openConnections() == 0 ||
           Now >= this->IdleSince + IdleGrace;
  }

  void finish() {
    base::logEvent(base::LogLevel::Info, "drained",
                   {{"cut_requests", this->Serving.openRequests()}});
    this->Serving.close();
    this->Link.stop();
    this->OnDrained();
  }

  const Settings &Options;
  const base::Clock &Clock;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  asio::steady_timer Timer;
  Traffic Serving;
  AgentLink Link;
  std::function<void()> OnDrained;
  base::TimePoint GraceEnd;
  base::TimePoint BoundEnd;
  base::TimePoint IdleSince;
  bool Stopped = false;
};

} // namespace

base::Result<std::unique_ptr<Gateway>> startGateway(asio::io_context &Loop,
                                                    const Settings &Options,
                                                    const base::Clock &Clock) {
  auto Made = std::make_unique<WholeGateway>(Loop, Options, Clock);
  if (auto Started = Made->start(); !Started)
    return tl::unexpected(Started.error());
  return std::unique_ptr<Gateway>(std::move(Made));
}

} // namespace kingcuphub::gateway
