#include "base/log.h"

#include "base/clock.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <utility>

namespace kingcuphub::base {

namespace {

/// Lines that wait to be written: some seconds of a busy instance.
constexpr int BufferedLines = 2048;

struct LogIdentity {
  std::string Program;
  std::string Instance;
};

LogIdentity &identity() {
  static LogIdentity Current;
  return Current;
}

log4cxx::LevelPtr levelOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warn:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

const char *nameOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warn:
    return "warn";
  case LogLevel::Error:
    return "error";
  }
  return "info";
}

log4cxx::LoggerPtr &logger() {
  static log4cxx::LoggerPtr Current;
  return Current;
}

} // namespace

void startLog(std::string Program, std::string Instance, LogLevel Least,
              LogOutput Output) {
  identity() = {std::move(Program), std::move(Instance)};
  auto Layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  auto Console = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, Output == LogOutput::StandardOutput
                  ? log4cxx::ConsoleAppender::getSystemOut()
                  : log4cxx::ConsoleAppender::getSystemErr());
  auto Appender = std::make_shared<log4cxx::AsyncAppender>();
  Appender->addAppender(Console);
  Appender->setBufferSize(BufferedLines);
  Appender->setBlocking(false);
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(Appender);
  logger() = log4cxx::Logger::getRootLogger();
  logger()->setLevel(levelOf(Least));
}

void finishLog() { log4cxx::BasicConfigurator::resetConfiguration(); }

LogLevel parseLogLevel(std::string_view Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warn")
    return LogLevel::Warn;
  if (Name == "error")
    return LogLevel::Error;
  return LogLevel::Info;
}

void logEvent(LogLevel Level, std::string_view Event,
              const nlohmann::json &Fields) {
  const log4cxx::LoggerPtr &Root = logger();
  if (!Root || !Root->isEnabledFor(levelOf(Level)))
    return;
  nlohmann::json Line = {
      {"time_ms", SystemClock().wallNow().time_since_epoch().count()},
      {"level", nameOf(Level)},
      {"program", identity().Program},
      {"instance", identity().Instance},
      {"event", Event}};
  if (Fields.is_object())
    Line.update(Fields);
  Root->forcedLog(
      levelOf(Level),
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace kingcuphub::base
