#ifndef KINGCUPHUB_CLI_COMMAND_H
#define KINGCUPHUB_CLI_COMMAND_H

/// \file
/// What a command of the client is, and what it works with.

#include "base/clock.h"
#include "cli/apiclient.h"
#include "cli/change.h"
#include "cli/cli.h"
#include "cli/exitcode.h"

#include <chrono>
#include <cxxopts.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace kingcuphub::cli {

/// What a running command reads and writes.
struct CommandContext {
  const cxxopts::ParseResult &Asked;
  ApiClient &Api;
  const base::Clock &Clock;
  std::ostream &Out;
  std::ostream &Err;
  /// Output for scripts.
  bool Json = false;
  std::chrono::milliseconds Wait{0};
  const ConfigurationReader &ReadConfiguration;

  /// The value of a positional argument or an option.
  std::string text(const std::string &Name) const;
  bool has(const std::string &Name) const;
};

/// One command, as in `account create`.
struct Command {
  /// `account`, or the whole name where there is no verb.
  std::string Group;
  std::string Verb;
  /// Names of the positional arguments, all required.
  std::vector<std::string> Arguments;
  std::string Summary;
  /// Complete command lines.
  std::vector<std::string> Examples;
  /// Adds the command's own options; may be empty.
  std::function<void(cxxopts::Options &)> Describe;
  std::function<ExitCode(CommandContext &)> Run;
  /// False for a command that asks no agent.
  bool NeedsAgent = true;

  std::string name() const;
  std::string usage() const;
};

/// Every command of the client, in the order of its help.
const std::vector<Command> &allCommands();

/// The groups of commands, each from its own source file.
std::vector<Command> accountCommands();
std::vector<Command> keyCommands();
std::vector<Command> policyCommands();
std::vector<Command> targetCommands();
std::vector<Command> modelCommands();
std::vector<Command> routeCommands();
std::vector<Command> viewCommands();
std::vector<Command> checkCommands();
std::vector<Command> secretCommands();

/// Reports an error of the API; its exit code.
ExitCode reportError(CommandContext &Context, const base::Error &Problem);
/// Reports that a named thing does not exist.
ExitCode reportMissing(CommandContext &Context, const std::string &Kind,
                       const std::string &Name);
/// Reports a wrong value on the command line.
ExitCode reportUsage(CommandContext &Context, const std::string &Problem);
/// Submits a change and reports what became of it; \p Extra is added to the
/// output for scripts.
ExitCode runChange(CommandContext &Context, const Change &Wanted,
                   const nlohmann::json &Extra = nlohmann::json::object());

/// The reduced configuration as the agent shows it.
base::Result<nlohmann::json> readConfig(CommandContext &Context);
std::uint64_t baseOffsetOf(const nlohmann::json &Config);
/// The member of a list whose \p Field is \p Name; null if none.
const nlohmann::json *findNamed(const nlohmann::json &Config,
                                const std::string &List,
                                const std::string &Field,
                                const std::string &Name);
/// A list of the configuration; empty if absent.
const nlohmann::json &listOf(const nlohmann::json &Config,
                             const std::string &List);
/// A member as text, whether it is a number or a string.
std::string fieldText(const nlohmann::json &Object, const std::string &Name);
/// A number with an optional binary suffix K, M, G or T.
std::optional<std::int64_t> parseSize(const std::string &Text);

} // namespace kingcuphub::cli

#endif // KINGCUPHUB_CLI_COMMAND_H
