#ifndef KINGCUPHUB_AGENT_INTERNAL_SNAPSHOTWRITER_H
#define KINGCUPHUB_AGENT_INTERNAL_SNAPSHOTWRITER_H

/// \file
/// Writes snapshots of the `config` and `system` streams well before the
/// records that they cover expire. Any instance may; one that has read a
/// younger snapshot does not.

#include "logconfigfeed.h"
#include "logsystemfeed.h"
#include "periodictimer.h"

#include <map>
#include <random>
#include <string>

namespace kingcuphub::agent {

class SnapshotWriter {
public:
  SnapshotWriter(asio::io_context &Loop, const base::Clock &Clock,
                 std::chrono::milliseconds Interval, LogConfigFeed &Config,
                 LogSystemFeed &System);

  void start() { this->Timer.start(); }
  void stop() { this->Timer.stop(); }

private:
  struct StreamState {
    /// Calendar time of the newest snapshot.
    std::chrono::milliseconds WrittenAt{0};
    /// Own wait beyond the interval, so that few instances write at once.
    std::chrono::milliseconds Delay{0};
    bool Writing = false;
  };

  void onTimer();
  bool due(const StreamState &Of) const;
  void write(const std::string &Stream, base::Offset Covers, std::string State);
  void drawDelay(StreamState &Of);

  const base::Clock &Clock;
  std::chrono::milliseconds Interval;
  LogConfigFeed &Config;
  LogSystemFeed &System;
  std::map<std::string, StreamState> Streams;
  std::mt19937_64 Random;
  PeriodicTimer Timer;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_SNAPSHOTWRITER_H
