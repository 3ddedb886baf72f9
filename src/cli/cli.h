#ifndef KINGCUPHUB_CLI_CLI_H
#define KINGCUPHUB_CLI_CLI_H

/// \file
/// The operators' client: finds the command, reads its options and runs it.

#include "base/clock.h"
#include "catalog/catalogcheck.h"

#include <functional>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace kingcuphub::cli {

/// Reads and checks the text of a configuration file.
using ConfigurationReader =
    std::function<catalog::ReadConfiguration(std::string_view)>;

/// What the client takes from its surroundings.
struct CliEnvironment {
  const base::Clock &Clock;
  std::ostream &Out;
  std::ostream &Err;
  /// KINGCUPHUB_AGENT and KINGCUPHUB_TOKEN, where they are set.
  std::map<std::string, std::string> Variables;
  /// Empty if no format of configuration files is known.
  ConfigurationReader ReadConfiguration;
};

/// Runs one command line, without the program's name; the exit code.
int runCli(const std::vector<std::string> &Words,
           const CliEnvironment &Environment);

} // namespace kingcuphub::cli

#endif // KINGCUPHUB_CLI_CLI_H
