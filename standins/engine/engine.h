#ifndef KINGCUPHUB_STANDINS_ENGINE_ENGINE_H
#define KINGCUPHUB_STANDINS_ENGINE_ENGINE_H

/// \file
/// The model engine's stand-in: its calls and its lagging load report.

#include "base/clock.h"
#include "batch.h"
#include "enginesettings.h"
#include "http/httpserver.h"
#include "memory.h"
#include "orders.h"
#include "prefixcache.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcuphub::standin {

class Engine {
public:
  Engine(asio::io_context &Loop, const base::Clock &Clock,
         const EngineSettings &Settings);

  void handle(const http::Request &Asked, http::ResponseWriterPtr Answer);
  bool idle() const;

private:
  struct Report {
    base::TimePoint At;
    nlohmann::json Body;
  };
  using Handler = void (Engine::*)(const http::Request &,
                                   const http::ResponseWriterPtr &);

  void handleCompletion(const http::Request &Asked,
                        const http::ResponseWriterPtr &Answer);
  void handleCancel(const http::Request &Asked,
                    const http::ResponseWriterPtr &Answer);
  void handleLoad(const http::Request &Asked,
                  const http::ResponseWriterPtr &Answer);
  void handleOrder(const http::Request &Asked,
                   const http::ResponseWriterPtr &Answer);
  void handleCacheEvents(const http::Request &Asked,
                         const http::ResponseWriterPtr &Answer);
  void handleExport(const http::Request &Asked,
                    const http::ResponseWriterPtr &Answer);
  void handleImport(const http::Request &Asked,
                    const http::ResponseWriterPtr &Answer);
  void handleLedger(const http::Request &Asked,
                    const http::ResponseWriterPtr &Answer);
  void handleFaults(const http::Request &Asked,
                    const http::ResponseWriterPtr &Answer);
  void recordReport();
  void scheduleReport();

  static const std::map<std::string, Handler> Calls;

  const base::Clock &Clock;
  EngineSettings Settings;
  TargetFaults Faults;
  Memory Residents;
  Batch Requests;
  PrefixCache Cache;
  Orders Changes;
  asio::steady_timer ReportTimer;
  std::deque<Report> Reports;
  std::int64_t Incarnation = 0;
  std::uint64_t ReportSequence = 0;
  /// The request before, whose answer a crossed one is.
  PromptSource Previous;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_ENGINE_ENGINE_H
