#include "common/standinprocess.h"

#include "base/program.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <iostream>

namespace kingcuphub::standin {

namespace {

constexpr std::chrono::milliseconds IdlePoll(20);
constexpr std::chrono::milliseconds LongestDrain(5000);
constexpr std::size_t MaxBodyBytes = 64U << 20U;

/// Ends the loop once nothing runs any more, or the bound has passed.
class Drain {
public:
  Drain(asio::io_context &Loop, http::HttpServer &Server,
        const ProcessParts &Parts)
      : Loop(Loop), Server(Server), Parts(Parts), Timer(Loop) {}

  void begin() {
    this->Server.stopAccepting();
    this->poll();
  }

private:
  void poll() {
    if (this->Parts.Idle() || this->Waited >= LongestDrain) {
      this->Server.close();
      this->Loop.stop();
      return;
    }
    this->Waited += IdlePoll;
    this->Timer.expires_after(IdlePoll);
    this->Timer.async_wait([this](std::error_code Failure) {
      if (!Failure)
        this->poll();
    });
  }

  asio::io_context &Loop;
  http::HttpServer &Server;
  const ProcessParts &Parts;
  asio::steady_timer Timer;
  std::chrono::milliseconds Waited{0};
};

} // namespace

ProcessSettings readProcessSettings(base::SettingsReader &Reader,
                                    const std::string &DefaultName) {
  ProcessSettings Out;
  Out.Name = Reader.text("name", DefaultName);
  Out.Listen = base::readEndpoint(Reader, "listen", "127.0.0.1:0");
  Out.LogLevel =
      Reader.oneOf("log_level", "warn", {"debug", "info", "warn", "error"});
  return Out;
}

int runProcess(asio::io_context &Loop, const ProcessSettings &Settings,
               const ProcessParts &Parts) {
  base::startLog("standin", Settings.Name,
                 base::parseLogLevel(Settings.LogLevel));
  http::ServerSettings Server;
  Server.Address = Settings.Listen.Address;
  Server.Port = Settings.Listen.Port;
  Server.Limits.MaxBodyBytes = MaxBodyBytes;
  auto Started = http::startHttpServer(Loop, Server, Parts.Handle);
  if (!Started) {
    std::cerr << Started.error().Message << '\n';
    return base::ExitFailed;
  }
  Drain Ending(Loop, **Started, Parts);
  asio::signal_set Signals(Loop, SIGTERM, SIGINT);
  Signals.async_wait([&Ending](std::error_code Failure, int) {
    if (!Failure)
      Ending.begin();
  });
  base::Endpoint Bound{Settings.Listen.Address, (*Started)->port()};
  base::printListening({{"http", Bound.text()}});
  Loop.run();
  return base::ExitOk;
}

nlohmann::json parseBody(const std::string &Body) {
  nlohmann::json Parsed = nlohmann::json::parse(Body, nullptr, false);
  return Parsed.is_object()
             ? Parsed
             : nlohmann::json(nlohmann::json::value_t::discarded);
}

http::Response errorResponse(int Status, const std::string &Type,
                             const std::string &Code,
                             const std::string &Message) {
  nlohmann::json Body = {
      {"error", {{"type", Type}, {"code", Code}, {"message", Message}}}};
  return http::jsonResponse(Status, Body.dump());
}

} // namespace kingcuphub::standin
