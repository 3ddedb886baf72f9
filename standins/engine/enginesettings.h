#ifndef KINGCUPHUB_STANDINS_ENGINE_ENGINESETTINGS_H
#define KINGCUPHUB_STANDINS_ENGINE_ENGINESETTINGS_H

/// \file
/// The settings of the model engine's stand-in.

#include "common/faults.h"
#include "common/standinprocess.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::standin {

/// A model that is resident from the start.
struct ResidentModel {
  std::string Model;
  std::string Version;
  std::size_t Accelerator = 0;
  std::int64_t Bytes = 0;
};

/// An adapter that is resident from the start.
struct ResidentAdapter {
  std::string Adapter;
  std::string Model;
  std::size_t Accelerator = 0;
  std::int64_t Bytes = 0;
};

struct EngineSettings {
  ProcessSettings Process;
  /// Whether it refuses orders with an old fencing number.
  bool Fencing = true;
  std::vector<std::int64_t> AcceleratorBytes;
  /// Requests that run at once; the others wait by priority.
  std::int64_t BatchSlots = 64;
  /// Requests in flight that it bears while cold.
  std::int64_t ColdSlots = 2;
  /// Time from the start until it is warm.
  std::chrono::milliseconds ColdTime{0};
  /// How many times slower a token is while cold.
  double ColdSlowdown = 4;
  std::chrono::milliseconds TokenTime{1};
  std::chrono::milliseconds LoadTime{10};
  std::chrono::milliseconds ReportLag{200};
  /// Prompt prefixes that the cache has room for.
  std::int64_t CachePrefixes = 256;
  /// Every so many cache events one is missing; 0 is never.
  std::int64_t CacheEventGap = 0;
  std::chrono::milliseconds CacheEventLag{100};
  /// Where weights come from, as `ADDRESS:PORT`; none if empty.
  std::optional<base::Endpoint> WeightStore;
  std::vector<ResidentModel> Models;
  std::vector<ResidentAdapter> Adapters;
  TargetFaults Faults;
};

EngineSettings readEngineSettings(base::SettingsReader &Reader);

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_ENGINE_ENGINESETTINGS_H
