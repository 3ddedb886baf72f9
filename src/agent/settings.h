#ifndef KINGCUPHUB_AGENT_SETTINGS_H
#define KINGCUPHUB_AGENT_SETTINGS_H

/// \file
/// The agent's settings file.

#include "base/ids.h"
#include "base/settings.h"
#include "messaging/messaging.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::agent {

/// One operator of the API.
struct OperatorSettings {
  std::string Name;
  /// base::secureHash of the operator's token.
  std::string TokenHash;
};

/// What the placement may count on; see docs/design/placement.md.
struct PlacementSettings {
  /// False: this instance neither claims the lease nor orders.
  bool Enabled = true;
  /// Tokens a second of one accelerator, and the most of one replica.
  double AcceleratorTokensPerSecond = 2000;
  double ReplicaTokensPerSecond = 1200;
  /// The weight store's limits and the engines'.
  double LoadsPerSecond = 1.5;
  std::int64_t LoadsAtOnce = 2;
  std::int64_t AdapterLoadsAtOnce = 15;
  std::chrono::milliseconds PlanInterval{1000};
  std::chrono::milliseconds ReportLag{5000};
};

struct AgentSettings {
  std::string Deployment;
  base::ZoneId Zone;
  /// As in `http://127.0.0.1:8080`.
  std::string PlatformUrl;
  /// ADDRESS:PORT each; port 0 takes a free one.
  std::string PeerListen;
  std::string LinkListen;
  std::string ApiListen;
  /// Absent where the peers talk in the clear.
  std::optional<messaging::CurveKeys> PeerKeys;
  std::vector<OperatorSettings> Operators;
  std::string LogLevel;
  /// How old the proof that the state is the newest may be.
  std::chrono::milliseconds Freshness{3000};
  /// How often the state is saved in the log.
  std::chrono::milliseconds SnapshotInterval{600000};
  PlacementSettings Placement;
};

AgentSettings parseAgentSettings(base::SettingsReader &Reader);

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_SETTINGS_H
