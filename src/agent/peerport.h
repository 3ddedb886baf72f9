#ifndef KINGCUPHUB_AGENT_PEERPORT_H
#define KINGCUPHUB_AGENT_PEERPORT_H

/// \file
/// The agent's listening end for messages of other agents.

#include "messaging/messaging.h"

namespace kingcuphub::agent {

class PeerPort {
public:
  virtual ~PeerPort() = default;
  /// Replaces the handler of messages that peers send.
  virtual void setHandler(messaging::MessageServer::Handler Handler) = 0;
  /// For answers and traffic counts.
  virtual messaging::MessageServer &server() = 0;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_PEERPORT_H
