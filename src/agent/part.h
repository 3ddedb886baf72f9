#ifndef KINGCUPHUB_AGENT_PART_H
#define KINGCUPHUB_AGENT_PART_H

/// \file
/// A part of the agent with a life of its own: membership, shares, placement,
/// claims. makeParts() (internal/parts.cpp) lists them.

#include "agent/context.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace kingcuphub::agent {

class AgentPart {
public:
  virtual ~AgentPart() = default;
  /// Names the part in the status.
  virtual std::string_view name() const = 0;
  /// Called once, before the first record is read.
  virtual void start() = 0;
  /// Leaves in good order; \p Done is called once, also if nothing is to be
  /// done.
  virtual void stop(std::function<void()> Done) = 0;
  /// For the operators, under the part's name.
  virtual nlohmann::json status() const = 0;
};

/// Every part, in the order of their start.
std::vector<std::unique_ptr<AgentPart>> makeParts(AgentContext &Context);

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_PART_H
