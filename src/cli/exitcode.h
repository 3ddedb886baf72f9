#ifndef KINGCUPHUB_CLI_EXITCODE_H
#define KINGCUPHUB_CLI_EXITCODE_H

/// \file
/// The exit codes of `kingcuphub`, as its help documents them.

namespace kingcuphub::cli {

enum class ExitCode {
  Ok = 0,
  /// The change was rejected, or the named thing does not exist.
  Failed = 1,
  /// The command line is wrong; nothing was done.
  Usage = 2,
  /// Not known yet to be accepted; it may take effect later.
  Pending = 3,
  /// Another operator changed the same thing first; nothing was done.
  LostRace = 4,
  /// The operator token is missing or wrong.
  NotAuthorised = 5,
  /// The agent does not answer.
  CannotReach = 6,
  /// Accepted, but some instances lagged until the wait ended.
  NotEverywhere = 7,
};

} // namespace kingcuphub::cli

#endif // KINGCUPHUB_CLI_EXITCODE_H
