#ifndef KINGCUPHUB_AGENT_IDENTITY_H
#define KINGCUPHUB_AGENT_IDENTITY_H

/// \file
/// Who this agent is to its peers.

#include "base/ids.h"

#include <string>

namespace kingcuphub::agent {

struct Identity {
  std::string Deployment;
  /// The peer endpoint, as in tcp://ADDRESS:PORT.
  base::InstanceId Instance;
  base::Incarnation Life;
  base::ZoneId Zone;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_IDENTITY_H
