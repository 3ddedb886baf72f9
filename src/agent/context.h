#ifndef KINGCUPHUB_AGENT_CONTEXT_H
#define KINGCUPHUB_AGENT_CONTEXT_H

/// \file
/// What the parts of the agent share. Everything runs on one loop thread.

#include "agent/configfeed.h"
#include "agent/epochs.h"
#include "agent/freshnessrule.h"
#include "agent/gateways.h"
#include "agent/identity.h"
#include "agent/peerport.h"
#include "agent/reach.h"
#include "agent/settings.h"
#include "agent/systemfeed.h"
#include "agent/targetreports.h"
#include "base/clock.h"
#include "http/httpclient.h"
#include "logservice/instancelist.h"
#include "logservice/logclient.h"
#include "messaging/messaging.h"

#include <asio/io_context.hpp>

namespace kingcuphub::agent {

/// Outlives every part.
struct AgentContext {
  asio::io_context &Loop;
  const base::Clock &Clock;
  const AgentSettings &Settings;
  const Identity &Self;
  http::HttpClient &Http;
  messaging::Messaging &Messaging;
  logservice::LogClient &Log;
  logservice::InstanceListClient &Instances;
  PeerPort &Peers;
  ConfigFeed &Config;
  SystemFeed &System;
  TargetReports &Targets;
  Gateways &GatewayLink;
  Reach &InstanceReach;
  Epochs &EpochRecords;
  FreshnessRule &Freshness;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_CONTEXT_H
