#ifndef KINGCUPHUB_AGENT_INTERNAL_LOGTAILER_H
#define KINGCUPHUB_AGENT_INTERNAL_LOGTAILER_H

/// \file
/// Reads one stream of the log from an offset on, in order and without gaps,
/// and follows its tail by long polls.

#include "base/clock.h"
#include "logservice/logclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace kingcuphub::agent {

struct TailerEvents {
  /// The record at the next offset. False stops the tailer.
  std::function<bool(const logservice::LogRecord &)> OnRecord;
  /// After each page's records.
  std::function<void()> OnPage;
  /// The page ended at the tail; its read was sent at the given time.
  std::function<void(base::TimePoint)> OnTail;
  /// The next offset is no longer kept. The tailer has stopped.
  std::function<void(base::Offset First)> OnExpired;
};

class LogTailer {
public:
  /// \p Wait bounds a long poll.
  LogTailer(asio::io_context &Loop, const base::Clock &Clock,
            logservice::LogClient &Log, std::string Stream,
            std::chrono::milliseconds Wait, TailerEvents Events);
  LogTailer(const LogTailer &) = delete;
  LogTailer &operator=(const LogTailer &) = delete;
  ~LogTailer();

  void start(base::Offset From);
  void stop();
  /// Asks at once where the tail is, beside the long poll.
  void confirmTail();
  base::Offset next() const { return this->Next; }
  /// Why the last read failed; empty if it did not.
  const std::string &trouble() const { return this->Trouble; }

private:
  void read();
  void readLater();
  void take(const logservice::LogPage &Page, base::TimePoint SentAt);
  bool takeRecord(const logservice::LogRecord &Record);
  void checkTail(base::Offset Tail, base::TimePoint SentAt);

  const base::Clock &Clock;
  logservice::LogClient &Log;
  std::string Stream;
  std::chrono::milliseconds Wait;
  TailerEvents Events;
  asio::steady_timer Retry;
  std::chrono::milliseconds RetryDelay;
  /// Replaced at each start and stop; an answer to an older read is dropped.
  std::shared_ptr<bool> Run;
  base::Offset Next;
  std::string Trouble;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_LOGTAILER_H
