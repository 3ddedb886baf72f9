/// \file
/// kingcuphub: the operators' command line client.

#include "cli/cli.h"
#include "manifestcheck.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

int main(int Count, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  kingcuphub::base::SystemClock Clock;
  kingcuphub::cli::CliEnvironment Environment{
      Clock, std::cout, std::cerr, {}, kingcuphub::platform::checkManifest};
  for (const char *Name : {"KINGCUPHUB_AGENT", "KINGCUPHUB_TOKEN"})
    if (const char *Value = std::getenv(Name))
      Environment.Variables[Name] = Value;
  return kingcuphub::cli::runCli({Args + 1, Args + Count}, Environment);
}
