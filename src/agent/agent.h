#ifndef KINGCUPHUB_AGENT_AGENT_H
#define KINGCUPHUB_AGENT_AGENT_H

/// \file
/// The agent of one entry instance, from its settings to its end.

#include "agent/settings.h"
#include "base/clock.h"
#include "base/error.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace kingcuphub::agent {

class Agent {
public:
  virtual ~Agent() = default;
  /// `api`, `peer` and `link`, as ADDRESS:PORT.
  virtual std::map<std::string, std::string> endpoints() const = 0;
  /// Graceful: fails readiness, lets every part leave, finishes open changes.
  /// \p Done is called once.
  virtual void stop(std::function<void()> Done) = 0;
};

/// Listens and starts to read the log; all on \p Loop's thread. The arguments
/// outlive the agent.
base::Result<std::unique_ptr<Agent>> startAgent(asio::io_context &Loop,
                                                const base::Clock &Clock,
                                                const AgentSettings &Settings);

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_AGENT_H
