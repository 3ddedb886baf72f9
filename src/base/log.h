#ifndef KINGCUPHUB_BASE_LOG_H
#define KINGCUPHUB_BASE_LOG_H

/// \file
/// Structured logs: one JSON line an event, through log4cxx. Lines are written
/// by a thread of their own from a bounded buffer; where it is full, lines are
/// dropped and counted, and no caller ever waits. Never pass a key, a secret or
/// a prompt as a field.

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace kingcuphub::base {

enum class LogLevel { Debug, Info, Warn, Error };

enum class LogOutput { StandardError, StandardOutput };

/// Sets up the process's log; \p Program and \p Instance stand in each line.
void startLog(std::string Program, std::string Instance, LogLevel Least,
              LogOutput Output = LogOutput::StandardError);
/// Writes what is buffered, before the process ends.
void finishLog();

/// Reads `debug`, `info`, `warn` or `error`; anything else is Info.
LogLevel parseLogLevel(std::string_view Name);

/// Writes one event with its fields.
void logEvent(LogLevel Level, std::string_view Event,
              const nlohmann::json &Fields = nlohmann::json::object());

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_LOG_H
