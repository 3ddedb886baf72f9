#ifndef KINGCUPHUB_STANDINS_ENGINE_ORDERS_H
#define KINGCUPHUB_STANDINS_ENGINE_ORDERS_H

/// \file
/// Orders to load and unload models and adapters or to change role.

#include "base/clock.h"
#include "enginesettings.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "memory.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::standin {

class Orders {
public:
  /// \p InUse tells whether a request of the model or adapter still runs.
  Orders(asio::io_context &Loop, const base::Clock &Clock,
         const EngineSettings &Settings, Memory &Residents,
         std::function<bool(const std::string &)> InUse);

  /// Carries out an order; one that was seen before gets its first answer.
  void handle(const nlohmann::json &Body, http::ResponseWriterPtr Answer,
              const TargetFaults &Faults);
  std::size_t running() const { return this->Running; }
  /// Orders refused for lack of memory, and for an old fencing number.
  nlohmann::json refused() const;

private:
  struct Order {
    std::string Id;
    std::string Kind;
    std::uint64_t Fencing = 0;
    std::int64_t DeadlineMs = 0;
    Resident Subject;
  };
  struct Known {
    std::optional<http::Response> Done;
    std::vector<http::ResponseWriterPtr> Waiting;
  };

  static std::optional<Order> parse(const nlohmann::json &Body);
  /// An answer that refuses the order, if it must be refused.
  std::optional<http::Response> check(const Order &Asked);
  void carryOut(const Order &Asked);
  void load(const Order &Asked);
  void fetchWeights(const Order &Asked);
  void finishLoad(const Order &Asked);
  void unload(const Order &Asked);
  void unloadOnceUnused(const Order &Asked);
  void finish(const std::string &Id, const http::Response &Whole);

  asio::io_context &Loop;
  const base::Clock &Clock;
  const EngineSettings &Settings;
  Memory &Residents;
  std::function<bool(const std::string &)> InUse;
  std::unique_ptr<http::HttpClient> Client;
  std::map<std::string, Known> Seen;
  std::uint64_t HighestFencing = 0;
  std::chrono::milliseconds LoadTime{0};
  bool AnswerLost = false;
  std::size_t Running = 0;
  std::int64_t RefusedMemory = 0;
  std::int64_t RefusedFencing = 0;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_ENGINE_ORDERS_H
