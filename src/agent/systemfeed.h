#ifndef KINGCUPHUB_AGENT_SYSTEMFEED_H
#define KINGCUPHUB_AGENT_SYSTEMFEED_H

/// \file
/// The `system` stream: epochs, leases, orders and snapshots. Each module
/// reduces its own records through a SystemReducer; the feed reads the stream,
/// saves and restores all of them, and appends.

#include "agent/signal.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

#include <functional>
#include <optional>
#include <records.pb.h>
#include <string>
#include <string_view>

namespace kingcuphub::agent {

/// The part of the stream's state that one module keeps. It is deterministic:
/// the same prefix gives every instance the same state.
class SystemReducer {
public:
  virtual ~SystemReducer() = default;
  /// Names the part in snapshots; never changes.
  virtual std::string_view name() const = 0;
  /// Called for every record of the stream, in order.
  virtual void reduce(base::Offset At, const wire::Record &Record) = 0;
  virtual std::string save() const = 0;
  /// Replaces the state; false on bytes that save() would not make.
  virtual bool load(std::string_view Saved) = 0;
};

class SystemFeed {
public:
  using AppendDone = std::function<void(base::Result<base::Offset>)>;

  virtual ~SystemFeed() = default;
  /// Before start; \p Part outlives the feed.
  virtual void addReducer(SystemReducer &Part) = 0;
  /// Appends a record whose body is set; the rest is filled in here. \p Done
  /// comes once the record is read back at its offset, or with Unavailable
  /// once it is certain that it never will be, or with AnswerLost where its
  /// fate is not known in time.
  virtual void append(wire::Record Record, AppendDone Done) = 0;
  /// Asks at once where the log's tail is; provenAt() moves if it is reached.
  virtual void confirmTail() = 0;
  /// The offset of the next record to reduce.
  virtual base::Offset next() const = 0;
  /// When the last read that reached the log's tail was sent.
  virtual std::optional<base::TimePoint> provenAt() const = 0;

  /// For every record, after all parts have reduced it.
  Signal<base::Offset, wire::Record> OnRecord;
  /// After the state was replaced by a snapshot: the next offset.
  Signal<base::Offset> OnLoaded;
  /// After each read that reached the log's tail.
  Signal<base::Offset> OnTail;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_SYSTEMFEED_H
