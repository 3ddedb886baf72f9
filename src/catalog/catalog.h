#ifndef KINGCUPHUB_CATALOG_CATALOG_H
#define KINGCUPHUB_CATALOG_CATALOG_H

/// \file
/// One version of the configuration that operators set for the whole
/// deployment: routes, services with their engines and models, client accounts
/// and request limits. Immutable once built.

#include "base/ids.h"
#include "base/units.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kingcuphub::catalog {

using ServiceId = base::TextId<struct ServiceTag>;
/// Increases with each change, but not necessarily by one.
using Version = base::NumberId<struct VersionTag>;

/// Whether and how a route's requests may be retried.
enum class Repetition {
  /// A request may run any number of times.
  Idempotent,
  /// A request runs at most once.
  Never,
  /// Another target may resume a stream after its last complete event.
  Resumable,
};

struct WeightedService {
  ServiceId Service;
  /// Share of the route's requests, relative to the weights of the other
  /// services.
  std::int64_t Weight = 1;
  bool operator==(const WeightedService &) const = default;
};

struct Route {
  base::RouteId Id;
  std::string Host;
  /// Starts and ends with a slash.
  std::string PathPrefix;
  Repetition Repeats = Repetition::Never;
  /// The response is a stream of events.
  bool Streaming = false;
  /// Requests need no API key.
  bool Public = false;
  /// The longest time that a caller may wait for the complete response.
  std::chrono::milliseconds Timeout{30000};
  /// Latency objective for a response, or for the first event of a stream.
  std::chrono::milliseconds Objective{1000};
  /// A stream with a longer gap between two events misses its objective.
  std::chrono::milliseconds PauseObjective{1000};
  /// 0 is the highest priority.
  unsigned Priority = 0;
  /// The most attempts for one request, the first included.
  unsigned MaxAttempts = 1;
  std::vector<WeightedService> Services;
};

struct Model {
  base::ModelId Id;
  double WeightsMb = 0;
  unsigned Adapters = 0;
  double AdapterMb = 0;
  /// Time to load the model from the weight store, from the target's disk and
  /// from the target's memory.
  std::chrono::milliseconds StoreLoad{0};
  std::chrono::milliseconds DiskLoad{0};
  std::chrono::milliseconds MemoryLoad{0};
};

/// Properties shared by all engines of one service.
struct Engine {
  unsigned BatchSlots = 1;
  base::Tokens Memory;
  double WeightsMb = 0;
  unsigned AdapterSlots = 0;
  /// Rate of loads that the weight store supports, over all targets.
  double StoreLoadsPerSecond = 1;
  std::map<base::ModelId, Model> Models;
};

/// How many targets of a service the platform runs when it is asked to.
struct Scaling {
  /// In each availability zone.
  unsigned Min = 0;
  unsigned Max = 0;
  /// Time from an order until a new target serves.
  std::chrono::milliseconds BootTime{0};
};

struct Service {
  ServiceId Id;
  std::string HealthPath;
  /// The most connections that one target accepts from all callers together.
  unsigned MaxConnections = 0;
  /// How long a target is cold after it starts, and how many requests per
  /// second it can handle during that time; 0 if the service has no cold start.
  std::chrono::milliseconds ColdStart{0};
  double ColdRequestsPerSecond = 0;
  std::optional<catalog::Engine> Engine;
  /// Set if the number of its targets may be ordered.
  std::optional<catalog::Scaling> Scaling;
};

struct Account {
  base::AccountId Id;
  /// Overrides the route's priority, if set.
  std::optional<unsigned> Priority;
  /// Rate limit in units per second, and the burst allowed on top of it; 0
  /// means no limit.
  double RatePerSecond = 0;
  double Burst = 0;
  /// The unit is a token; otherwise each request counts as one.
  bool CountsTokens = false;
  /// Tokens charged for a request that does not state how many it uses.
  std::int64_t DefaultTokens = 1;
};

/// Limits on the requests that callers send.
struct RequestLimits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 4U << 20U;
  std::chrono::milliseconds HeaderTimeout{5000};
  std::chrono::milliseconds IdleTimeout{15000};
};

struct Catalog {
  catalog::Version Version;
  std::vector<Route> Routes;
  std::map<ServiceId, Service> Services;
  std::map<base::AccountId, Account> Accounts;
  /// Maps the hash of each API key's secret to the key's account.
  std::unordered_map<std::string, base::AccountId> AccountByKeyHash;
  RequestLimits Limits;

  /// Returns the route of \p Host with the longest matching prefix of \p Path,
  /// or null if there is none.
  const Route *route(std::string_view Host, std::string_view Path) const;
  /// Returns null if the secret is unknown.
  const Account *accountOfSecret(std::string_view Secret) const;
  const Service *service(const ServiceId &Id) const;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

/// Hashes an API key's secret to its key in AccountByKeyHash.
std::string keyHash(std::string_view Secret);

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_CATALOG_H
