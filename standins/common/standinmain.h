#ifndef KINGCUPHUB_STANDINS_COMMON_STANDINMAIN_H
#define KINGCUPHUB_STANDINS_COMMON_STANDINMAIN_H

/// \file
/// The main function of every stand-in.

#include "base/clock.h"
#include "base/program.h"
#include "standinprocess.h"

#include <utility>

namespace kingcuphub::standin {

/// Reads the settings by \p Read, makes a \p StandIn of them and serves.
template <typename StandIn, typename Settings>
int standinMain(const base::ProgramInfo &Info,
                Settings (*Read)(base::SettingsReader &), int Count,
                char **Args) {
  Settings Options;
  auto Ended = base::readProgramSettings(
      Info, Count, Args, [&Options, Read](base::SettingsReader &Reader) {
        Options = Read(Reader);
      });
  if (Ended)
    return *Ended;
  asio::io_context Loop(1);
  base::SystemClock Clock;
  StandIn Running(Loop, Clock, Options);
  return runProcess(
      Loop, Options.Process,
      {[&Running](const http::Request &Asked, http::ResponseWriterPtr Answer) {
         Running.handle(Asked, std::move(Answer));
       },
       [&Running] { return Running.idle(); }});
}

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_STANDINMAIN_H
