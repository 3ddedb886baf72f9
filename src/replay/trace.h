#ifndef KINGCUPHUB_REPLAY_TRACE_H
#define KINGCUPHUB_REPLAY_TRACE_H

/// \file
/// Recorded traces: JSON lines, one event each, in order of time. The format
/// is described in docs/design/traces.md.

#include "base/error.h"
#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace kingcuphub::replay {

enum class TraceErrc { Unreadable = 1, Malformed };
std::error_code make_error_code(TraceErrc Kind);

using TraceTime = std::chrono::milliseconds;

/// One adapter of a model.
struct TraceAdapter {
  base::AdapterId Id;
  std::int64_t MegaBytes = 0;
};

struct TraceModel {
  base::ModelId Id;
  /// Weights and KV reserve.
  std::int64_t WeightMegaBytes = 0;
  std::int64_t KvMegaBytes = 0;
  std::vector<TraceAdapter> Adapters;
};

struct TraceTarget {
  base::TargetId Id;
  base::ZoneId Zone;
  /// A plain service if it has no accelerators.
  std::vector<std::int64_t> AcceleratorMegaBytes;
  bool Fencing = true;
};

struct TraceAccount {
  base::AccountId Id;
  double TokensPerSecond = 0;
  std::int64_t BurstTokens = 0;
};

/// The first line: what the trace was made for.
struct TraceHeader {
  std::string Deployment;
  std::uint64_t Seed = 0;
  TraceTime Length{0};
  std::vector<TraceModel> Models;
  std::vector<TraceTarget> Targets;
  std::vector<TraceAccount> Accounts;
  /// The weight store's limits and the engines'.
  double LoadsPerSecond = 1.5;
  unsigned LoadsAtOnce = 2;
  unsigned AdapterLoadsAtOnce = 15;
};

/// What must become of a request.
enum class Expected {
  /// A whole answer within the deadline, or a refusal that says not-run.
  Served,
  /// Refused, as the key is withdrawn.
  Unauthorized,
  /// Either: the account sends beyond its rate, or its key is changing.
  Any,
};

struct TraceRequest {
  TraceTime At{0};
  std::uint64_t Number = 0;
  base::AccountId Account;
  /// Names the key, not its secret.
  base::KeyId Key;
  base::ModelId Model;
  /// Empty if the model itself is asked.
  base::AdapterId Adapter;
  std::int64_t PromptTokens = 0;
  std::int64_t OutputTokens = 0;
  std::chrono::milliseconds Deadline{0};
  Expected Outcome = Expected::Served;
  /// The account was within its rate when it sent.
  bool WithinRate = true;
};

/// An operator takes a zone out or gives it back.
struct TraceZone {
  TraceTime At{0};
  base::ZoneId Zone;
  bool Out = false;
};

/// An operator gives or withdraws a key.
struct TraceKey {
  TraceTime At{0};
  base::AccountId Account;
  base::KeyId Key;
  bool Withdrawn = false;
};

struct TracePreset {
  TraceTime At{0};
  std::string Preset;
};

using TraceEvent = std::variant<TraceRequest, TraceZone, TraceKey, TracePreset>;

TraceTime timeOf(const TraceEvent &Event);

struct Trace {
  TraceHeader Header;
  std::vector<TraceEvent> Events;
};

void writeTrace(std::ostream &Out, const Trace &Of);
base::Result<Trace> readTrace(std::istream &In);

} // namespace kingcuphub::replay

template <>
struct std::is_error_code_enum<kingcuphub::replay::TraceErrc> : std::true_type {
};

#endif // KINGCUPHUB_REPLAY_TRACE_H
