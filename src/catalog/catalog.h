#ifndef KINGCUPHUB_CATALOG_CATALOG_H
#define KINGCUPHUB_CATALOG_CATALOG_H

/// \file
/// What operators state about a deployment as a whole, one version at a time:
/// routes, services with their engines and models, client accounts, limits for
/// callers. Immutable once built.

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
/// Rises with each change; not by one.
using Version = base::NumberId<struct VersionTag>;

/// What may be repeated of a route's requests.
enum class Repetition {
  /// A request may run any number of times.
  Idempotent,
  /// A request runs at most once.
  Never,
  /// A stream that another target may take up after its last whole event.
  Resumable,
};

struct ServicePart {
  ServiceId Service;
  /// Its part of the route's requests, relative to the others'.
  std::int64_t Weight = 1;
};

struct Route {
  base::RouteId Id;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  Repetition Repeats = Repetition::Never;
  /// Answered by a series of events.
  bool Streaming = false;
  /// Open to all: no key is needed.
  bool Public = false;
  /// The longest that the operator lets a caller wait for the whole answer.
  std::chrono::milliseconds Timeout{30000};
  /// An answer, or a stream's first event, within this time is on time.
  std::chrono::milliseconds Objective{1000};
  /// A pause between events above this makes a stream late.
  std::chrono::milliseconds PauseObjective{1000};
  /// 0 is the most urgent.
  unsigned Rank = 0;
  /// Targets that may run one request.
  unsigned MaxTargets = 1;
  std::vector<ServicePart> Services;
};

struct Model {
  base::ModelId Id;
  double WeightsMb = 0;
  unsigned Adapters = 0;
  double AdapterMb = 0;
  /// Time of a load from the weight store, from a target's disk, and from its
  /// memory.
  std::chrono::milliseconds StoreLoad{0};
  std::chrono::milliseconds DiskLoad{0};
  std::chrono::milliseconds MemoryLoad{0};
};

/// What the engines of one service are like.
struct Engine {
  unsigned BatchSlots = 1;
  base::Tokens Memory;
  double WeightsMb = 0;
  unsigned AdapterSlots = 0;
  /// Loads that the weight store bears, over all targets.
  double StoreLoadsPerSecond = 1;
  std::map<base::ModelId, Model> Models;
};

struct Service {
  ServiceId Id;
  std::string HealthPath;
  /// Connections that one target takes from all callers together.
  unsigned MaxConnections = 0;
  /// How long a target is cold after its start, and the requests a second
  /// that it bears meanwhile; 0 if the service has no cold start.
  std::chrono::milliseconds ColdStart{0};
  double ColdPerSecond = 0;
  std::optional<catalog::Engine> Engine;
};

struct Account {
  base::AccountId Id;
  /// Goes before the route's, if given.
  std::optional<unsigned> Rank;
  /// Amounts a second, and the burst on top; no limit if 0.
  double RatePerSecond = 0;
  double Burst = 0;
  /// Amounts are tokens; else each request counts as one.
  bool CountsTokens = false;
  /// What a request counts as that states no tokens.
  std::int64_t PlainTokens = 1;
};

/// What callers may send.
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
  /// The account of each key, by the hash of its secret.
  std::unordered_map<std::string, base::AccountId> AccountByKeyHash;
  RequestLimits Limits;

  /// The route of the host with the longest prefix of \p Path; null if none.
  const Route *route(std::string_view Host, std::string_view Path) const;
  /// Null for an unknown secret.
  const Account *accountOfSecret(std::string_view Secret) const;
  const Service *service(const ServiceId &Id) const;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

/// The hash that AccountByKeyHash is looked up by.
std::string keyHash(std::string_view Secret);

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_CATALOG_H
