/// \file
/// kingcuphub-instance: an entry instance in one process, on the users'
/// platform.

#include "adapter.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/program.h"
#include "instance/instance.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <pthread.h>
#include <string>

namespace {

using namespace kingcuphub;

constexpr const char *ProgramName = "kingcuphub-instance";

/// Blocks the signals that the instance acts on. Their default action would end
/// a process that gets one before its handlers are set. Threads that are
/// started meanwhile leave them to the main thread.
class BlockedSignals {
public:
  BlockedSignals() {
    sigset_t Set;
    sigemptyset(&Set);
    for (int Number : {SIGTERM, SIGINT, SIGHUP})
      sigaddset(&Set, Number);
    pthread_sigmask(SIG_BLOCK, &Set, &this->Before);
  }
  BlockedSignals(const BlockedSignals &) = delete;
  BlockedSignals &operator=(const BlockedSignals &) = delete;
  ~BlockedSignals() { this->release(); }

  void release() { pthread_sigmask(SIG_SETMASK, &this->Before, nullptr); }

private:
  sigset_t Before{};
};

/// Acts on signals until the instance has stopped.
class Signals {
public:
  Signals(asio::io_context &Loop, instance::Instance &Running,
          std::string FileName)
      : Loop(Loop), Running(Running), FileName(std::move(FileName)),
        Raw(Loop, SIGTERM, SIGINT, SIGHUP) {
    this->wait();
  }

private:
  void wait() {
    this->Raw.async_wait([this](asio::error_code Failed, int Number) {
      if (Failed)
        return;
      if (Number == SIGHUP)
        this->reload();
      else
        this->Running.stop([this] { this->Loop.stop(); });
      this->wait();
    });
  }

  void reload() {
    instance::Settings New;
    auto Read = base::readSettingsFile(this->FileName,
                                       [&New](base::SettingsReader &Reader) {
                                         New = instance::parseSettings(Reader);
                                       });
    if (Read)
      this->Running.reload(New);
    else
      base::logEvent(base::LogLevel::Error, "settings-rejected",
                     {{"why", Read.error().Message}});
  }

  asio::io_context &Loop;
  instance::Instance &Running;
  std::string FileName;
  asio::signal_set Raw;
};

int serve(const instance::Settings &Options, const std::string &FileName,
          BlockedSignals &Blocked) {
  base::startLog(ProgramName, Options.Name.Value, Options.Level,
                 base::LogOutput::StandardOutput);
  base::BootClock Clock;
  asio::io_context Loop(1);
  auto Started =
      instance::startInstance(Loop, Options, platform::makeAdapter(), Clock);
  if (!Started) {
    base::logEvent(base::LogLevel::Error, "not-started",
                   {{"why", Started.error().Message}});
    std::cerr << ProgramName << ": " << Started.error().Message << "\n";
    base::finishLog();
    return base::ExitFailed;
  }
  base::logEvent(base::LogLevel::Info, "started",
                 {{"zone", Options.Zone.Value},
                  {"callers", Options.Callers.text()},
                  {"store", Options.Store.text()}});
  Signals Watched(Loop, **Started, FileName);
  Blocked.release();
  Loop.run();
  Started->reset();
  base::finishLog();
  return base::ExitOk;
}

} // namespace

int main(int Count, char **Words) {
  BlockedSignals Blocked;
  std::signal(SIGPIPE, SIG_IGN);
  // The platform tells the settings file in the environment only.
  std::string FileName;
  std::vector<const char *> Args(Words, Words + Count);
  if (const char *Told = platform::settingsPath();
      Told != nullptr && Count == 1) {
    FileName = Told;
    Args.insert(Args.end(), {"--config", FileName.c_str()});
  }
  for (std::size_t Index = 0; Index + 1 < Args.size(); ++Index)
    if (std::string(Args[Index]) == "--config")
      FileName = Args[Index + 1];
  instance::Settings Options;
  auto Ended = base::readProgramSettings(
      {ProgramName,
       "Takes callers' requests and places models, in one process.",
       instance::exampleSettings()},
      static_cast<int>(Args.size()), Args.data(),
      [&Options](base::SettingsReader &Reader) {
        Options = instance::parseSettings(Reader);
      });
  return Ended ? *Ended : serve(Options, FileName, Blocked);
}
