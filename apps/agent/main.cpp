/// \file
/// kingcuphub-agent: keeps the control state of one entry instance.

#include "agent/agent.h"
#include "base/program.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

using namespace kingcuphub;

namespace {

const base::ProgramInfo Info = {
    "kingcuphub-agent",
    "Keeps the control state of one entry instance.",
    {{"deployment", "example"},
     {"zone", "zone-a"},
     {"platform_url", "http://127.0.0.1:8080"}}};

int run(const agent::AgentSettings &Settings) {
  asio::io_context Loop(1);
  base::SystemClock Clock;
  auto Running = agent::startAgent(Loop, Clock, Settings);
  if (!Running) {
    std::cerr << Info.Name << ": " << Running.error().Message << '\n';
    return base::ExitFailed;
  }
  asio::signal_set Signals(Loop, SIGTERM, SIGINT);
  Signals.async_wait([&](asio::error_code Failed, int) {
    if (!Failed)
      (*Running)->stop([&Loop] { Loop.stop(); });
  });
  base::printListening((*Running)->endpoints());
  Loop.run();
  return base::ExitOk;
}

} // namespace

int main(int Count, char **Args) {
  agent::AgentSettings Settings;
  auto Code = base::readProgramSettings(
      Info, Count, Args, [&Settings](base::SettingsReader &Reader) {
        Settings = agent::parseAgentSettings(Reader);
      });
  return Code ? *Code : run(Settings);
}
