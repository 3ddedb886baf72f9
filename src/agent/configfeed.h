#ifndef KINGCUPHUB_AGENT_CONFIGFEED_H
#define KINGCUPHUB_AGENT_CONFIGFEED_H

/// \file
/// The `config` stream as this agent has reduced it.

#include "agent/signal.h"
#include "base/clock.h"
#include "state/configreducer.h"

#include <optional>

namespace kingcuphub::agent {

/// What the reducer said of one record.
struct ReducedRecord {
  base::Offset At;
  std::string RecordId;
  state::Verdict Verdict;
};

class ConfigFeed {
public:
  virtual ~ConfigFeed() = default;
  /// Never null; empty until the first records are reduced.
  virtual state::ConfigPtr config() const = 0;
  /// False once a record of a newer format was met.
  virtual bool readable() const = 0;
  /// When the last read that reached the log's tail was sent.
  virtual std::optional<base::TimePoint> provenAt() const = 0;
  /// The state as peers and snapshots carry it.
  virtual wire::ConfigState save() const = 0;

  /// After one or more records were reduced.
  Signal<state::ConfigPtr> OnChanged;
  /// For every reduced record, in log order.
  Signal<ReducedRecord> OnReduced;
  /// After each read that reached the log's tail: when it was sent.
  Signal<base::TimePoint> OnTail;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_CONFIGFEED_H
