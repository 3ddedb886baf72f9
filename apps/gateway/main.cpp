/// \file
/// kingcuphub-gateway: takes callers' requests on an entry instance.

#include "base/clock.h"
#include "base/log.h"
#include "base/program.h"
#include "gateway/gateway.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace {

using namespace kingcuphub;

constexpr const char *ProgramName = "kingcuphub-gateway";

int serve(const gateway::Settings &Options) {
  base::SystemClock Clock;
  asio::io_context Loop(1);
  auto Started = gateway::startGateway(Loop, Options, Clock);
  if (!Started) {
    std::cerr << ProgramName << ": " << Started.error().Message << "\n";
    return base::ExitFailed;
  }
  std::string Endpoint = (*Started)->endpoint();
  base::startLog(ProgramName, Endpoint, Options.Level);
  base::printListening({{"callers", Endpoint}});
  asio::signal_set Signals(Loop, SIGTERM, SIGINT);
  Signals.async_wait([&](asio::error_code Failed, int) {
    if (!Failed)
      (*Started)->drain([&Loop] { Loop.stop(); });
  });
  Loop.run();
  return base::ExitOk;
}

} // namespace

int main(int Count, char **Words) {
  std::signal(SIGPIPE, SIG_IGN);
  gateway::Settings Options;
  auto Ended = base::readProgramSettings(
      {ProgramName,
       "Takes callers' requests and brings them to targets.",
       {{"deployment", "example"},
        {"zone", "zone-a"},
        {"agent_link", "tcp://127.0.0.1:7000"}}},
      Count, Words, [&Options](base::SettingsReader &Reader) {
        Options = gateway::parseSettings(Reader);
      });
  return Ended ? *Ended : serve(Options);
}
