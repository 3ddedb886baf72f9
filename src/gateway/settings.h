#ifndef KINGCUPHUB_GATEWAY_SETTINGS_H
#define KINGCUPHUB_GATEWAY_SETTINGS_H

/// \file
/// The gateway's settings file.

#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/settings.h"
#include "delivery/modelcall.h"
#include "delivery/retrybudget.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcuphub::gateway {

/// Bounds on what one caller may ask for and how long it may take.
struct Limits {
  std::size_t BodyBytes = 4U << 20U;
  std::size_t HeaderBytes = 16U << 10U;
  /// Bytes that a slow caller may leave unread before it is dropped.
  std::size_t UnsentBytes = 1U << 20U;
  std::size_t OpenRequests = 4096;
  std::int64_t OutputTokens = 32768;
  std::chrono::milliseconds ReadTimeout{10000};
  std::chrono::milliseconds WriteTimeout{10000};
  /// The longest wait for the account's tokens.
  std::chrono::milliseconds QueueWait{2000};
  /// The oldest proof of freshness that keyed routes are served by.
  std::chrono::milliseconds Freshness{3000};
  /// The deadline of model routes that the configuration does not name.
  std::chrono::milliseconds ModelDeadline{30000};
  std::chrono::milliseconds ConnectTimeout{1000};
};

/// How a graceful stop goes.
struct DrainSettings {
  /// How long new requests are still taken, so that the balancer can notice.
  std::chrono::milliseconds BalancerGrace{5000};
  /// The longest time from the signal to the exit.
  std::chrono::milliseconds Bound{120000};
};

struct Settings {
  std::string Deployment;
  base::ZoneId Zone;
  std::string ListenAddress = "127.0.0.1";
  std::uint16_t ListenPort = 0;
  std::string AgentLink;
  base::LogLevel Level = base::LogLevel::Info;
  gateway::Limits Limits;
  delivery::ModelCallSettings Calls;
  delivery::RetryBudgetSettings Retries;
  DrainSettings Drain;
};

/// Reads the settings; problems are left in \p Reader.
Settings parseSettings(base::SettingsReader &Reader);

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_SETTINGS_H
