#ifndef KINGCUPHUB_REPLAY_GENERATOR_H
#define KINGCUPHUB_REPLAY_GENERATOR_H

/// \file
/// Makes traces of the two deployments at their sizes of today. The same
/// seed and length give the same trace on every machine.

#include "replay/trace.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace kingcuphub::replay {

struct GeneratorSettings {
  std::uint64_t Seed = 1;
  std::chrono::seconds Length{3600};
  /// Scales the demand; 1 keeps the accelerators busy at the peaks.
  double Scale = 1;
};

/// A deployment whose traces can be made.
enum class DeploymentKind { Zemgale, Soyapath };

std::optional<DeploymentKind> parseDeploymentKind(std::string_view Name);

/// The deployment without its traffic.
TraceHeader deploymentOf(DeploymentKind Kind);

/// Tokens a second that each model is asked for, in a second of a trace.
using DemandCurve = std::function<std::vector<double>(std::chrono::seconds At)>;

/// The demand that a trace of the kind follows; its length scales the day.
DemandCurve demandOf(DeploymentKind Kind, const GeneratorSettings &Settings);

Trace generate(DeploymentKind Kind, const GeneratorSettings &Settings);

} // namespace kingcuphub::replay

#endif // KINGCUPHUB_REPLAY_GENERATOR_H
