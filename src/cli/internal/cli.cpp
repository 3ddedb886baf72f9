#include "cli/cli.h"

#include "cli/command.h"

#include <algorithm>
#include <fstream>
#include <optional>

namespace kingcuphub::cli {

namespace {

constexpr std::int64_t DefaultWaitSeconds = 10;
constexpr std::int64_t LongestWaitSeconds = 600;

constexpr const char *SettingsHelp =
    "\nThe agent and the operator:\n"
    "  --agent ADDRESS:PORT   or KINGCUPHUB_AGENT; any instance will do\n"
    "  --token-file FILE      or the token itself in KINGCUPHUB_TOKEN\n";

constexpr const char *ExitHelp =
    "\nExit codes:\n"
    "  0  done, and in force on every instance\n"
    "  1  rejected, or the named thing does not exist\n"
    "  2  wrong command line; nothing was done\n"
    "  3  pending: not known yet to be accepted, may still take effect\n"
    "  4  lost a race to another operator; nothing was done\n"
    "  5  the operator token is missing or wrong\n"
    "  6  the agent cannot be reached\n"
    "  7  accepted, but not in force everywhere within --wait-seconds\n";

void printOverview(std::ostream &Out) {
  Out << "kingcuphub: operates a deployment through any of its agents\n\n"
         "usage: kingcuphub COMMAND [OPTIONS]\n\n";
  std::size_t Widest = 0;
  for (const Command &Each : allCommands())
    Widest = std::max(Widest, Each.name().size());
  for (const Command &Each : allCommands())
    Out << "  " << Each.name()
        << std::string(Widest - Each.name().size() + 2, ' ') << Each.Summary
        << '\n';
  Out << "\n`kingcuphub COMMAND --help` shows a command's options and "
         "examples.\n"
      << SettingsHelp << ExitHelp;
}

cxxopts::Options optionsOf(const Command &Each) {
  cxxopts::Options Options(Each.usage(), Each.Summary);
  Options.add_options()("agent", "the agent to ask",
                        cxxopts::value<std::string>(), "ADDRESS:PORT")(
      "token-file", "file with the operator's token",
      cxxopts::value<std::string>(), "FILE")("json", "output for scripts")(
      "wait-seconds", "how long to wait until a change is in force",
      cxxopts::value<std::int64_t>()->default_value(
          std::to_string(DefaultWaitSeconds)),
      "N")("help", "print this text");
  if (Each.Describe)
    Each.Describe(Options);
  for (const std::string &Argument : Each.Arguments)
    Options.add_options("arguments")(Argument, "",
                                     cxxopts::value<std::string>());
  Options.parse_positional(Each.Arguments);
  Options.positional_help("");
  return Options;
}

void printHelp(std::ostream &Out, const Command &Each) {
  Out << optionsOf(Each).help({""}) << "\nExamples:\n";
  for (const std::string &Example : Each.Examples)
    Out << "  " << Example << '\n';
  Out << SettingsHelp << ExitHelp;
}

const Command *findCommand(const std::vector<std::string> &Words) {
  for (const Command &Each : allCommands()) {
    if (Words.front() != Each.Group)
      continue;
    if (Each.Verb.empty() || (Words.size() > 1 && Words[1] == Each.Verb))
      return &Each;
  }
  return nullptr;
}

int unknownCommand(const std::vector<std::string> &Words,
                   const CliEnvironment &Environment) {
  std::string Verbs;
  for (const Command &Each : allCommands())
    if (Each.Group == Words.front())
      Verbs += (Verbs.empty() ? "" : ", ") + Each.Verb;
  if (Verbs.empty())
    Environment.Err << "kingcuphub: there is no command '" << Words.front()
                    << "'; see kingcuphub --help\n";
  else
    Environment.Err << "kingcuphub: `" << Words.front()
                    << "` takes one of: " << Verbs << '\n';
  return static_cast<int>(ExitCode::Usage);
}

std::string variable(const CliEnvironment &Environment, const char *Name) {
  auto Found = Environment.Variables.find(Name);
  return Found == Environment.Variables.end() ? "" : Found->second;
}

/// The token, or nothing where its file cannot be read.
std::optional<std::string> readToken(const cxxopts::ParseResult &Asked,
                                     const CliEnvironment &Environment) {
  if (Asked.count("token-file") == 0)
    return variable(Environment, "KINGCUPHUB_TOKEN");
  std::ifstream File(Asked["token-file"].as<std::string>());
  std::string Token;
  if (!std::getline(File, Token))
    return std::nullopt;
  return Token;
}

base::Result<ApiAccess> readAccess(const cxxopts::ParseResult &Asked,
                                   const CliEnvironment &Environment) {
  std::string Text = Asked.count("agent") != 0
                         ? Asked["agent"].as<std::string>()
                         : variable(Environment, "KINGCUPHUB_AGENT");
  auto Agent = base::parseEndpoint(Text);
  if (!Agent)
    return base::fail(ApiErrc::CannotReach,
                      "no agent is named; give --agent ADDRESS:PORT or set "
                      "KINGCUPHUB_AGENT to an agent's `api` endpoint");
  auto Token = readToken(Asked, Environment);
  if (!Token)
    return base::fail(ApiErrc::NotAuthorised,
                      "the token file cannot be read; check --token-file");
  return ApiAccess{*Agent, *Token};
}

int failUsage(const CliEnvironment &Environment, const std::string &Problem,
              const Command &Each) {
  Environment.Err << "kingcuphub: " << Problem << "; see kingcuphub "
                  << Each.name() << " --help\n";
  return static_cast<int>(ExitCode::Usage);
}

int runCommand(const Command &Each, const cxxopts::ParseResult &Asked,
               const CliEnvironment &Environment) {
  for (const std::string &Argument : Each.Arguments)
    if (Asked.count(Argument) == 0 || Asked[Argument].as<std::string>().empty())
      return failUsage(Environment, "usage: " + Each.usage(), Each);
  if (!Asked.unmatched().empty())
    return failUsage(Environment,
                     "'" + Asked.unmatched().front() + "' is too much", Each);
  auto WaitSeconds = Asked["wait-seconds"].as<std::int64_t>();
  if (WaitSeconds < 0 || WaitSeconds > LongestWaitSeconds)
    return failUsage(Environment, "--wait-seconds takes 0 to 600", Each);
  base::Result<ApiAccess> Access = ApiAccess{};
  if (Each.NeedsAgent)
    Access = readAccess(Asked, Environment);
  if (!Access && Access.error().Code == ApiErrc::CannotReach)
    return failUsage(Environment, Access.error().Message, Each);
  if (!Access) {
    Environment.Err << "kingcuphub: " << Access.error().Message << '\n';
    return static_cast<int>(ExitCode::NotAuthorised);
  }
  ApiClient Api(*Access);
  CommandContext Context{Asked,
                         Api,
                         Environment.Clock,
                         Environment.Out,
                         Environment.Err,
                         Asked.count("json") != 0,
                         std::chrono::seconds(WaitSeconds),
                         Environment.ReadConfiguration};
  return static_cast<int>(Each.Run(Context));
}

} // namespace

int runCli(const std::vector<std::string> &Words,
           const CliEnvironment &Environment) {
  if (Words.empty() || Words.front() == "--help" || Words.front() == "help") {
    printOverview(Words.empty() ? Environment.Err : Environment.Out);
    return static_cast<int>(Words.empty() ? ExitCode::Usage : ExitCode::Ok);
  }
  const Command *Found = findCommand(Words);
  if (Found == nullptr)
    return unknownCommand(Words, Environment);
  std::vector<const char *> Args = {"kingcuphub"};
  std::size_t NameWords = Found->Verb.empty() ? 1 : 2;
  for (std::size_t Word = NameWords; Word < Words.size(); ++Word)
    Args.push_back(Words[Word].c_str());
  try {
    cxxopts::Options Options = optionsOf(*Found);
    cxxopts::ParseResult Asked =
        Options.parse(static_cast<int>(Args.size()), Args.data());
    if (Asked.count("help") != 0) {
      printHelp(Environment.Out, *Found);
      return static_cast<int>(ExitCode::Ok);
    }
    return runCommand(*Found, Asked, Environment);
  } catch (const cxxopts::exceptions::exception &Problem) {
    return failUsage(Environment, Problem.what(), *Found);
  }
}

} // namespace kingcuphub::cli
