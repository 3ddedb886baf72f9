#ifndef KINGCUPHUB_INSTANCE_SETTINGS_H
#define KINGCUPHUB_INSTANCE_SETTINGS_H

/// \file
/// The settings file of an instance that carries traffic and control in one
/// process.

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/settings.h"
#include "control/changebounds.h"
#include "dispatch/retrybudget.h"
#include "pacing/targetsample.h"
#include "residency/capacity.h"
#include "residency/holderlease.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace kingcuphub::instance {

/// How a graceful stop goes.
struct StopSettings {
  /// From the signal until the process is killed.
  std::chrono::milliseconds Grace{8000};
  /// How long new connections are still taken: the balancer asks once a second
  /// and passes an instance over after two misses.
  std::chrono::milliseconds AcceptFor{3000};
  /// What is kept back of the grace for the end itself.
  std::chrono::milliseconds Reserve{400};
};

/// Calls to the platform that the lease holder owes.
struct DutySettings {
  base::Endpoint Address;
  /// Whether the use of each window is reported.
  bool ReportsUsage = false;
  /// Whether the number of targets is ordered.
  bool OrdersTargets = false;
  std::chrono::milliseconds UsageWindow{5000};
  /// How long after its end a window's report is due.
  std::chrono::milliseconds UsageDueAfter{10000};
};

struct Settings {
  base::InstanceId Name;
  base::ZoneId Zone;
  base::Endpoint Callers;
  base::Endpoint Readiness;
  base::Endpoint Metrics;
  /// Where other instances reach this one.
  base::Endpoint Link;
  /// The platform's store.
  base::Endpoint Store;
  residency::Capacity Capacity;
  /// Bytes of memory with which the process is ended by its platform.
  std::size_t Memory = 256U << 20U;
  StopSettings Stop;
  dispatch::RetryBudgetSettings Repeats;
  /// How long the holder's lease lasts: short, as nobody gives orders between
  /// a holder's death and its end, and long against a slow answer of the store.
  std::chrono::milliseconds Lease{1800};
  /// Minimum time between two orders of an instance if another one may have
  /// ordered in between: the deployment's bound on holders that alternate.
  std::chrono::milliseconds OrderTurn{3000};
  /// Within which changes have to be in force.
  control::ChangeBounds Bounds;
  /// How often a target writes its entry.
  std::chrono::milliseconds TargetHeartbeat{1200};
  /// How long a catalog goes on to deny routes and keys after it was the newest
  /// for certain: within the time in which a change has to be in force.
  std::chrono::milliseconds CatalogProofFor{1800};
  /// The span over which accounts' limits hold.
  std::chrono::milliseconds UsageWindow{8000};
  std::optional<DutySettings> Duties;
  /// Of which targets all instances together learn the load and the speed.
  pacing::SamplingMode Sampling = pacing::SamplingMode::WhereSlownessIsStated;
  base::LogLevel Level = base::LogLevel::Info;

  residency::HolderLeaseSettings lease() const;
};

/// Reads the settings; problems are left in \p Reader.
Settings parseSettings(base::SettingsReader &Reader);

/// Values of the fields that have no default.
nlohmann::json exampleSettings();

} // namespace kingcuphub::instance

#endif // KINGCUPHUB_INSTANCE_SETTINGS_H
