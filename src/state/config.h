#ifndef KINGCUPHUB_STATE_CONFIG_H
#define KINGCUPHUB_STATE_CONFIG_H

/// \file
/// The configuration set by operators, as all modules read it. The reducer
/// (state/configreducer.h) creates it; it is never modified in place.

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuphub::state {

struct Account {
  base::AccountId Id;
  base::TokenRate Rate;
  base::Tokens Burst;
  /// Weight in fair queueing; 1 is the default.
  double Weight = 1;
};

struct Key {
  base::KeyId Id;
  base::AccountId Account;
  /// base::secureHash of the secret.
  std::string SecretHash;
};

enum class Preset { Ordinary, Peak, Maintenance };

std::string_view presetName(Preset Value);
std::optional<Preset> parsePreset(std::string_view Name);

enum class TargetKind { Engine, Service };

struct Target {
  base::TargetId Id;
  /// ADDRESS:PORT with a numeric IP address.
  std::string Address;
  base::ZoneId Zone;
  TargetKind Kind = TargetKind::Engine;
  /// Whether it refuses orders with an outdated fencing token.
  bool Fencing = true;
  /// The memory size of each accelerator.
  std::vector<base::Bytes> Accelerators;
  /// Maximum concurrent requests while cold, and when warm.
  base::Slots ColdSlots{1};
  base::Slots WarmSlots{64};
  /// Draining: it takes no new work.
  bool Leaving = false;
};

struct Route {
  base::RouteId Id;
  std::string PathPrefix;
  /// The service targets that serve the route; empty for a route to models.
  std::vector<base::TargetId> Services;
  bool OpenToAll = false;
  bool Idempotent = true;
  /// The priority class; 0 is the most urgent.
  unsigned Priority = 1;
  std::chrono::milliseconds Deadline{30000};
  /// The cost of a call if the request does not specify one.
  base::Tokens Cost{1};
};

struct Adapter {
  base::AdapterId Id;
  base::Bytes Size;
};

struct Model {
  base::ModelId Id;
  std::string Version;
  base::Bytes Weights;
  base::Bytes KvReserve;
  std::vector<Adapter> Adapters;
};

/// The whole configuration at one offset of the `config` stream.
struct Config {
  /// The offset of the next record to reduce.
  base::Offset Next;
  std::map<base::AccountId, Account> Accounts;
  std::map<base::KeyId, Key> Keys;
  std::set<base::KeyId> WithdrawnKeys;
  Preset ActivePreset = Preset::Ordinary;
  std::set<base::ZoneId> ZonesOut;
  std::map<base::TargetId, Target> Targets;
  std::map<base::RouteId, Route> Routes;
  std::map<base::ModelId, Model> Models;
};

using ConfigPtr = std::shared_ptr<const Config>;

/// The key with \p SecretHash, compared in constant time; null if there is none
/// or it was withdrawn.
const Key *findKeyByHash(const Config &State, std::string_view SecretHash);

/// The route with the longest path prefix that matches \p Path; null if none
/// does.
const Route *findRoute(const Config &State, std::string_view Path);

} // namespace kingcuphub::state

#endif // KINGCUPHUB_STATE_CONFIG_H
