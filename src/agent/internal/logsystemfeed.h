#ifndef KINGCUPHUB_AGENT_INTERNAL_LOGSYSTEMFEED_H
#define KINGCUPHUB_AGENT_INTERNAL_LOGSYSTEMFEED_H

/// \file
/// The SystemFeed that reads and writes the platform's log.

#include "agent/identity.h"
#include "agent/systemfeed.h"
#include "logtailer.h"
#include "periodictimer.h"
#include "recordappender.h"

#include <vector>

namespace kingcuphub::agent {

class LogSystemFeed final : public SystemFeed {
public:
  LogSystemFeed(asio::io_context &Loop, const base::Clock &Clock,
                logservice::LogClient &Log, const Identity &Self);

  void start();
  void stop();

  /// The state as snapshots and peers carry it.
  wire::SystemState save() const;
  /// Replaces the state by a newer one and reads on from there; fails on
  /// content that no reducer would make.
  base::Result<void> load(const wire::SystemState &Saved);
  /// False while the state is not known.
  bool readable() const { return this->Phase == ReadPhase::Reduce; }
  /// Why the stream is not read; empty if it is.
  std::string trouble() const;

  /// Every valid snapshot that is read, of whichever stream.
  Signal<wire::Snapshot, std::chrono::milliseconds> OnSnapshot;

  void addReducer(SystemReducer &Part) override;
  void append(wire::Record Record, AppendDone Done) override;
  void confirmTail() override { this->Tailer.confirmTail(); }
  base::Offset next() const override { return this->Tailer.next(); }
  std::optional<base::TimePoint> provenAt() const override {
    return this->ProvenAt;
  }

private:
  /// Records of a stream whose beginning is gone are only looked through for
  /// a snapshot.
  enum class ReadPhase { Reduce, FindSnapshot, Unreadable };

  bool take(const logservice::LogRecord &Read);
  void takeSnapshot(const wire::Record &Record);
  void onTail(base::TimePoint SentAt);
  void onExpired(base::Offset First);

  const base::Clock &Clock;
  const Identity &Self;
  ReadPhase Phase = ReadPhase::Reduce;
  /// The newest snapshot that was found.
  std::optional<wire::SystemState> Found;
  base::Offset FirstKept;
  std::vector<SystemReducer *> Parts;
  std::optional<base::TimePoint> ProvenAt;
  RecordAppender Appender;
  LogTailer Tailer;
  PeriodicTimer GiveUp;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_LOGSYSTEMFEED_H
