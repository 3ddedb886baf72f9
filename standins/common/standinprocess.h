#ifndef KINGCUPHUB_STANDINS_COMMON_STANDINPROCESS_H
#define KINGCUPHUB_STANDINS_COMMON_STANDINPROCESS_H

/// \file
/// What every stand-in process shares: its loop, its HTTP server, the
/// `listening` line and the stop on SIGTERM.

#include "base/endpoint.h"
#include "base/log.h"
#include "http/httpserver.h"

#include <asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcuphub::standin {

/// The settings that every stand-in has.
struct ProcessSettings {
  std::string Name;
  base::Endpoint Listen;
  std::string LogLevel;
};

ProcessSettings readProcessSettings(base::SettingsReader &Reader,
                                    const std::string &DefaultName);

/// What a stand-in plugs into its process.
struct ProcessParts {
  http::RequestHandler Handle;
  /// True where no request is being worked on.
  std::function<bool()> Idle;
};

/// Serves until SIGTERM or SIGINT, then finishes what runs within a bound;
/// the exit code.
int runProcess(asio::io_context &Loop, const ProcessSettings &Settings,
               const ProcessParts &Parts);

/// The body as a JSON object; discarded if it is none.
nlohmann::json parseBody(const std::string &Body);

/// `{"error":{"type","code","message"}}` as OpenAI's services answer.
http::Response errorResponse(int Status, const std::string &Type,
                             const std::string &Code,
                             const std::string &Message);

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_STANDINPROCESS_H
