#ifndef KINGCUPHUB_AGENT_INTERNAL_ENGINEREPORTS_H
#define KINGCUPHUB_AGENT_INTERNAL_ENGINEREPORTS_H

/// \file
/// Asks each model engine for its load report at an interval.

#include "agent/configfeed.h"
#include "agent/targetreports.h"
#include "http/httpclient.h"
#include "periodictimer.h"

#include <memory>
#include <set>

namespace kingcuphub::agent {

class EngineReports final : public TargetReports {
public:
  EngineReports(asio::io_context &Loop, const base::Clock &Clock,
                http::HttpClient &Http, ConfigFeed &Config);
  EngineReports(const EngineReports &) = delete;
  EngineReports &operator=(const EngineReports &) = delete;
  ~EngineReports() override;

  void start();
  void stop();
  const std::map<base::TargetId, LatestReport> &latest() const override {
    return this->Latest;
  }

private:
  void askAll();
  void ask(const state::Target &Target);
  void take(const base::TargetId &Target, base::TimePoint AskedAt,
            const http::Response &Answer);

  const base::Clock &Clock;
  http::HttpClient &Http;
  ConfigFeed &Config;
  std::map<base::TargetId, LatestReport> Latest;
  std::set<base::TargetId> Asking;
  std::shared_ptr<bool> Alive;
  PeriodicTimer Timer;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_ENGINEREPORTS_H
