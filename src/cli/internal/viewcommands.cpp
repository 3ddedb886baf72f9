#include "cli/command.h"
#include "cli/statusview.h"

#include <thread>

namespace kingcuphub::cli {

namespace {

constexpr const char *ClearScreen = "\033[H\033[2J";
constexpr int MaxRounds = 1000000000;

ExitCode status(CommandContext &Context) {
  auto Status = Context.Api.get("/v1/status");
  if (!Status)
    return reportError(Context, Status.error());
  if (Context.Json)
    Context.Out << Status->dump() << '\n';
  else
    printStatus(Context.Out, *Status);
  return ExitCode::Ok;
}

/// An agent that does not answer for a while is shown as such and asked on.
ExitCode watch(CommandContext &Context) {
  std::chrono::milliseconds Interval(
      Context.Asked["interval-ms"].as<std::int64_t>());
  auto Rounds = Context.Asked["rounds"].as<std::int64_t>();
  ExitCode Last = ExitCode::Ok;
  for (std::int64_t Round = 0; Round < Rounds; ++Round) {
    if (Round > 0)
      std::this_thread::sleep_for(Interval);
    if (!Context.Json)
      Context.Out << ClearScreen;
    Last = status(Context);
    Context.Out << std::flush;
    if (Last == ExitCode::NotAuthorised)
      return Last;
  }
  return Last;
}

} // namespace

std::vector<Command> viewCommands() {
  return {
      {"status",
       "",
       {},
       "show the deployment at a glance: what needs a hand comes first",
       {"kingcuphub status", "kingcuphub status --json | jq .models"},
       {},
       status},
      {"watch",
       "",
       {},
       "show the status again and again, until Ctrl-C",
       {"kingcuphub watch", "kingcuphub watch --interval-ms 500"},
       [](cxxopts::Options &Options) {
         Options.add_options()(
             "interval-ms", "time between two looks",
             cxxopts::value<std::int64_t>()->default_value("2000"),
             "MS")("rounds", "stop after so many looks",
                   cxxopts::value<std::int64_t>()->default_value(
                       std::to_string(MaxRounds)),
                   "N");
       },
       watch},
  };
}

} // namespace kingcuphub::cli
