#ifndef KINGCUPHUB_CLI_CHANGE_H
#define KINGCUPHUB_CLI_CHANGE_H

/// \file
/// One change of the configuration: it is accepted first, and then in force
/// on every instance, within a bounded wait.

#include "base/clock.h"
#include "cli/apiclient.h"
#include "cli/exitcode.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace kingcuphub::cli {

/// What is to be changed.
struct Change {
  /// The record's body, as in `{"preset_use":{...}}`.
  nlohmann::json Body;
  /// The configuration that the operator looked at.
  std::uint64_t BaseOffset = 0;
  /// For the report, as in `account acme`.
  std::string Subject;
  /// How to look at what it has become, as in `account show acme`.
  std::string LookCommand;
};

enum class ChangeState { Accepted, Rejected, LostRace, Pending };

/// What became of a change.
struct ChangeReport {
  ChangeState State = ChangeState::Pending;
  std::uint64_t Offset = 0;
  std::string Record;
  std::string Why;
  std::string Winner;
  /// Whom acceptance waits for, where it is pending.
  std::vector<std::string> WaitingFor;
  std::vector<std::string> InForce;
  std::vector<std::string> Lagging;
};

/// Sends the change and waits until it is in force everywhere, at most
/// \p Wait in all.
base::Result<ChangeReport> submitChange(ApiClient &Api,
                                        const base::Clock &Clock,
                                        const Change &Wanted,
                                        std::chrono::milliseconds Wait);

ExitCode exitCodeOf(const ChangeReport &Report);
/// What happened and what to do next, for a person.
void printReport(std::ostream &Out, const Change &Wanted,
                 const ChangeReport &Report);
nlohmann::json reportJson(const ChangeReport &Report);

} // namespace kingcuphub::cli

#endif // KINGCUPHUB_CLI_CHANGE_H
