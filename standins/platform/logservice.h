#ifndef KINGCUPHUB_STANDINS_PLATFORM_LOGSERVICE_H
#define KINGCUPHUB_STANDINS_PLATFORM_LOGSERVICE_H

/// \file
/// The platform's log over HTTP: appends at a limited rate, reads that wait
/// for a record, and the faults of both.

#include "base/clock.h"
#include "http/httpserver.h"
#include "logstream.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace kingcuphub::standin {

struct LogSettings {
  std::int64_t AppendsPerSecond = 400;
  std::chrono::milliseconds Retention{std::chrono::hours(24)};
};

/// What goes wrong at present.
struct LogFaults {
  bool Out = false;
  std::int64_t AppendAnswersLost = 0;
  std::chrono::milliseconds Delay{0};
};

class LogService {
public:
  LogService(asio::io_context &Loop, const base::Clock &Clock,
             LogSettings Settings);

  void append(const std::string &Stream, std::string Data,
              http::ResponseWriterPtr Answer);
  void read(const std::string &Stream, const http::Request &Asked,
            http::ResponseWriterPtr Answer);
  void setFaults(const LogFaults &New);
  const LogFaults &faults() const { return this->Faults; }
  void expireBefore(const std::string &Stream, std::uint64_t Offset);
  /// Appends that have not been answered yet.
  std::size_t pendingAppends() const { return this->Pending; }

private:
  struct Waiter {
    std::string Stream;
    std::uint64_t From = 0;
    std::size_t Max = 0;
    http::ResponseWriterPtr Answer;
    std::unique_ptr<asio::steady_timer> Limit;
  };

  void appendNow(const std::string &Stream, std::string Data,
                 const http::ResponseWriterPtr &Answer);
  void answerRead(const std::string &Stream, std::uint64_t From,
                  std::size_t Max, const http::ResponseWriterPtr &Answer);
  void wait(const std::string &Stream, std::uint64_t From, std::size_t Max,
            std::chrono::milliseconds Longest, http::ResponseWriterPtr Answer);
  void wakeWaiters();
  void expire();
  /// When the next append may take effect, which is then taken.
  base::TimePoint takeAppendSlot();

  asio::io_context &Loop;
  const base::Clock &Clock;
  LogSettings Settings;
  LogFaults Faults;
  std::map<std::string, LogStream> Streams;
  std::list<Waiter> Waiters;
  base::TimePoint NextAppend;
  std::size_t Pending = 0;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_PLATFORM_LOGSERVICE_H
