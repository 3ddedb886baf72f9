#ifndef KINGCUPHUB_BASE_PROGRAM_H
#define KINGCUPHUB_BASE_PROGRAM_H

/// \file
/// The command line that every long-running program shares: `--config`,
/// `--check`, `--print-defaults` and `--help`, and the line that it prints
/// once it listens.

#include "base/settings.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace kingcuphub::base {

/// How a program introduces itself in `--help`.
struct ProgramInfo {
  std::string Name;
  std::string Summary;
  /// Values of the fields that have no default, for `--print-defaults`.
  nlohmann::json Example = nlohmann::json::object();
};

/// Exit codes of the programs.
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// Reads the command line and the settings file, and calls \p Parse with a
/// reader of it. Gives the exit code where nothing is left to do: after
/// `--help`, `--check`, `--print-defaults` or a reported problem.
std::optional<int>
readProgramSettings(const ProgramInfo &Info, int Count, const char *const *Args,
                    const std::function<void(SettingsReader &)> &Parse);

/// Prints the `listening` line with each endpoint as `ADDRESS:PORT`.
void printListening(const std::map<std::string, std::string> &Endpoints);

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_PROGRAM_H
