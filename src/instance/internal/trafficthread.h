#ifndef KINGCUPHUB_INSTANCE_INTERNAL_TRAFFICTHREAD_H
#define KINGCUPHUB_INSTANCE_INTERNAL_TRAFFICTHREAD_H

/// \file
/// The traffic side on its own thread: callers' server and forwarder on one
/// loop. The methods are called on the control thread and hand over by
/// message.

#include "control/trafficport.h"
#include "http/httpserver.h"
#include "instance/settings.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <memory>
#include <thread>

namespace kingcuphub::instance {

class TrafficThread final : public control::TrafficPort {
public:
  TrafficThread(asio::io_context &ControlLoop, const Settings &Options,
                const forwarding::Dialect &Protocol, const base::Clock &Clock,
                metrics::Registry &Metrics, forwarding::ForwarderEvents Events);
  TrafficThread(const TrafficThread &) = delete;
  TrafficThread &operator=(const TrafficThread &) = delete;
  ~TrafficThread() override;

  /// Begins to listen and starts the thread.
  base::Result<void> start();
  /// From now on each answer ends its connection, and what is not answered at
  /// \p CutAt is cut.
  void beginStop(base::TimePoint CutAt);
  void stopAccepting();
  std::size_t openRequests() const { return this->Forwarder->open(); }

  void setCatalog(catalog::CatalogPtr New) override;
  void setCatalogProven(base::TimePoint At) override;
  void setTargetsProven(base::TimePoint At) override;
  void setTargets(catalog::TargetListPtr New) override;
  void setInstances(unsigned Count) override;
  void setHeld(catalog::SharedHeldStatesPtr Held,
               std::map<dispatch::ServiceModel, base::TimePoint> Loading,
               base::TimePoint Until) override;
  void setAdmission(overload::AdmissionLevels New) override;
  void setWallOffset(base::Duration New) override;
  void setFigures(dispatch::FigureTablePtr New, base::TimePoint At) override;
  void setSuspects(dispatch::SuspectParts New) override;
  void onCredits(std::vector<forwarding::CreditAnswer> News) override;
  void changeHolder(
      std::function<void(std::vector<dispatch::UsedAmount>)> Done) override;
  void takeUse(std::function<void(forwarding::TrafficUse)> Done) override;

private:
  void applyLimits(const catalog::RequestLimits &Limits);

  asio::io_context &ControlLoop;
  asio::io_context Loop{1};
  asio::executor_work_guard<asio::io_context::executor_type> Guard;
  const Settings &Options;
  base::MemoryBudgetPtr Memory;
  std::unique_ptr<forwarding::Forwarder> Forwarder;
  std::unique_ptr<http::HttpServer> Server;
  std::thread Thread;
};

} // namespace kingcuphub::instance

#endif // KINGCUPHUB_INSTANCE_INTERNAL_TRAFFICTHREAD_H
