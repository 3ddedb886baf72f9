#ifndef KINGCUPHUB_GATEWAY_INTERNAL_AGENTLINK_H
#define KINGCUPHUB_GATEWAY_INTERNAL_AGENTLINK_H

/// \file
/// The control thread: the messages between the gateway and its agent. What
/// the agent says is handed to the traffic thread's loop.

#include "base/clock.h"
#include "base/error.h"
#include "gateway/settings.h"
#include "messaging/messaging.h"
#include "prooftracker.h"
#include "state/configreducer.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <link.pb.h>
#include <memory>
#include <string>
#include <thread>

namespace kingcuphub::gateway {

/// What the traffic thread knows of the control state.
struct ControlView {
  /// Null before the first state.
  state::ConfigPtr Config;
  /// Keyed routes are served before this.
  base::TimePoint FreshUntil;
  /// Credit of another generation is void.
  std::uint64_t CreditGeneration = 0;
  /// Why there is no newer proof, for the operator.
  std::string Reason = "no state from the agent yet";
};

/// Called on the traffic loop.
struct AgentCallbacks {
  std::function<void(ControlView)> OnView;
  std::function<void(wire::Credit)> OnCredit;
  std::function<void(wire::ClaimVerdict)> OnVerdict;
  std::function<void(wire::TargetReports)> OnReports;
};

class AgentLink {
public:
  AgentLink(asio::io_context &Traffic, const Settings &Settings,
            const base::Clock &Clock, AgentCallbacks Callbacks);
  AgentLink(const AgentLink &) = delete;
  AgentLink &operator=(const AgentLink &) = delete;
  ~AgentLink();

  /// Connects and starts the control thread.
  base::Result<void> start();
  /// Sends from any thread.
  void send(wire::GatewayMessage Message);
  /// Says in every poll from now on that the gateway is leaving.
  void setDraining();
  /// Ends the thread; nothing is sent or reported afterwards.
  void stop();

private:
  void poll();
  void schedulePoll();
  void receive(std::string_view Bytes);
  void takeReply(const wire::PollReply &Reply);
  bool takeState(const wire::ConfigState &State);
  void publish();
  template <typename Message>
  void hand(std::function<void(Message)> AgentCallbacks::*To, Message What);

  asio::io_context &Traffic;
  const Settings &Options;
  const base::Clock &Clock;
  /// Outlives the link in what it has handed to the traffic loop.
  std::shared_ptr<const AgentCallbacks> Callbacks;
  asio::io_context Loop;
  asio::steady_timer PollTimer;
  std::unique_ptr<messaging::Messaging> Context;
  std::unique_ptr<messaging::MessageClient> Client;
  std::thread Thread;
  ProofTracker Proof;
  ControlView View;
  std::uint64_t Incarnation = 0;
  bool Draining = false;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_AGENTLINK_H
