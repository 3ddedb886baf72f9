#include "trafficthread.h"

#include <asio/post.hpp>
#include <utility>

namespace kingcuphub::instance {

namespace {

forwarding::ForwarderSettings forwarderSettings(const Settings &Options,
                                                base::MemoryBudgetPtr Memory) {
  forwarding::ForwarderSettings Out;
  Out.Selector.Zone = Options.Zone;
  Out.Selector.Cold.Self = Options.Name;
  Out.Quarantine.Self = Options.Name;
  Out.Retries = Options.Repeats;
  Out.Sampling = Options.Sampling;
  if (Options.Duties && Options.Duties->ReportsUsage)
    Out.CountWindow = Options.Duties->UsageWindow;
  Out.Usage.Window = Options.UsageWindow;
  Out.CatalogProofFor = Options.CatalogProofFor;
  Out.Memory = std::move(Memory);
  return Out;
}

} // namespace

TrafficThread::TrafficThread(asio::io_context &ControlLoop,
                             const Settings &Options,
                             const forwarding::Dialect &Protocol,
                             const base::Clock &Clock,
                             metrics::Registry &Metrics,
                             forwarding::ForwarderEvents Events)
    : ControlLoop(ControlLoop), Guard(asio::make_work_guard(this->Loop)),
      Options(Options), Memory(std::make_shared<base::MemoryBudget>(
                            base::memoryLimits(Options.Memory))),
      Forwarder(forwarding::makeForwarder(
          this->Loop, forwarderSettings(Options, this->Memory), Protocol, Clock,
          Metrics)) {
  this->Forwarder->setEvents(
      {[this, Events] { asio::post(this->ControlLoop, Events.OnWanted); },
       [this, Events] {
         asio::post(this->ControlLoop, Events.OnCrashEvidence);
       },
       [this, Events](std::vector<admission::CreditCommand> Commands) {
         asio::post(this->ControlLoop,
                    [Events, Commands = std::move(Commands)]() mutable {
                      Events.OnCredit(std::move(Commands));
                    });
       }});
}

TrafficThread::~TrafficThread() {
  this->Loop.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

base::Result<void> TrafficThread::start() {
  http::ServerSettings Listen;
  Listen.Address = this->Options.Callers.Address;
  Listen.Port = this->Options.Callers.Port;
  Listen.Memory = {this->Memory,
                   [this](const http::Request &Head, http::MemoryRefusal Why) {
                     return this->Forwarder->refuseForMemory(Head, Why);
                   }};
  auto Started = http::startHttpServer(
      this->Loop, Listen,
      [this](http::Request Asked, http::ResponseWriterPtr Answer) {
        this->Forwarder->handle(std::move(Asked), std::move(Answer));
      });
  if (!Started)
    return tl::unexpected(Started.error());
  this->Server = std::move(*Started);
  this->Thread = std::thread([this] { this->Loop.run(); });
  return {};
}

void TrafficThread::beginStop(base::TimePoint CutAt) {
  asio::post(this->Loop, [this, CutAt] {
    this->Server->endKeptConnections();
    this->Forwarder->stopBy(CutAt);
  });
}

void TrafficThread::stopAccepting() {
  asio::post(this->Loop, [this] {
    this->Forwarder->refuseNew();
    this->Server->stopAccepting();
  });
}

void TrafficThread::applyLimits(const catalog::RequestLimits &Limits) {
  http::CallerLimits New;
  New.MaxBodyBytes = Limits.MaxBodyBytes;
  New.MaxHeaderBytes = Limits.MaxHeaderBytes;
  New.ReadTimeout = Limits.HeaderTimeout;
  New.IdleTimeout = Limits.IdleTimeout;
  this->Server->setLimits(New);
}

void TrafficThread::setCatalog(catalog::CatalogPtr New) {
  asio::post(this->Loop, [this, New = std::move(New)] {
    this->applyLimits(New->Limits);
    this->Forwarder->setCatalog(New);
  });
}

void TrafficThread::setCatalogProven(base::TimePoint At) {
  asio::post(this->Loop, [this, At] { this->Forwarder->setCatalogProven(At); });
}

void TrafficThread::setTargets(catalog::TargetListPtr New) {
  asio::post(this->Loop, [this, New = std::move(New)] {
    this->Forwarder->setTargets(New);
  });
}

void TrafficThread::setTargetsProven(base::TimePoint At) {
  asio::post(this->Loop, [this, At] { this->Forwarder->setTargetsProven(At); });
}

void TrafficThread::setInstances(unsigned Count) {
  asio::post(this->Loop,
             [this, Count] { this->Forwarder->setInstances(Count); });
}

void TrafficThread::setHeld(
    catalog::SharedHeldStatesPtr Held,
    std::map<dispatch::ServiceModel, base::TimePoint> Loading,
    base::TimePoint Until) {
  asio::post(this->Loop, [this, Held = std::move(Held),
                          Loading = std::move(Loading), Until] {
    this->Forwarder->setLoading(Loading);
    this->Forwarder->setHeld(Held, Until);
  });
}

void TrafficThread::setAdmission(overload::AdmissionLevels New) {
  asio::post(this->Loop, [this, New = std::move(New)] {
    this->Forwarder->setAdmission(New);
  });
}

void TrafficThread::setWallOffset(base::Duration New) {
  asio::post(this->Loop, [this, New] { this->Forwarder->setWallOffset(New); });
}

void TrafficThread::setFigures(dispatch::FigureTablePtr New,
                               base::TimePoint At) {
  asio::post(this->Loop, [this, New = std::move(New), At] {
    this->Forwarder->setFigures(*New, At);
  });
}

void TrafficThread::setSuspects(dispatch::SuspectParts New) {
  asio::post(this->Loop, [this, New = std::move(New)] {
    this->Forwarder->setSuspects(New);
  });
}

void TrafficThread::onCredits(std::vector<forwarding::CreditAnswer> News) {
  asio::post(this->Loop, [this, News = std::move(News)] {
    this->Forwarder->onCredits(News);
  });
}

void TrafficThread::changeHolder(
    std::function<void(std::vector<dispatch::UsedAmount>)> Done) {
  asio::post(this->Loop, [this, Done = std::move(Done)] {
    asio::post(this->ControlLoop,
               [Done, Used = this->Forwarder->changeHolder()]() mutable {
                 Done(std::move(Used));
               });
  });
}

void TrafficThread::takeUse(std::function<void(forwarding::TrafficUse)> Done) {
  asio::post(this->Loop, [this, Done = std::move(Done)] {
    asio::post(this->ControlLoop,
               [Done, Use = this->Forwarder->takeUse()]() mutable {
                 Done(std::move(Use));
               });
  });
}

} // namespace kingcuphub::instance
