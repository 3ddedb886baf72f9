#include "cli/command.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace kingcuphub::cli {

std::string CommandContext::text(const std::string &Name) const {
  const cxxopts::OptionValue &Found = this->Asked[Name];
  return Found.count() == 0 && !Found.has_default() ? ""
                                                    : Found.as<std::string>();
}

bool CommandContext::has(const std::string &Name) const {
  return this->Asked.count(Name) != 0;
}

std::string Command::name() const {
  return this->Verb.empty() ? this->Group : this->Group + " " + this->Verb;
}

std::string Command::usage() const {
  std::string Out = "kingcuphub " + this->name();
  for (const std::string &Each : this->Arguments) {
    std::string Upper = Each;
    std::transform(Upper.begin(), Upper.end(), Upper.begin(), ::toupper);
    Out += " " + Upper;
  }
  return Out;
}

const std::vector<Command> &allCommands() {
  static const std::vector<Command> All = [] {
    std::vector<Command> Out;
    for (auto Group : {viewCommands, policyCommands, accountCommands,
                       keyCommands, targetCommands, modelCommands,
                       routeCommands, secretCommands, checkCommands})
      for (Command &Each : Group())
        Out.push_back(std::move(Each));
    return Out;
  }();
  return All;
}

ExitCode reportError(CommandContext &Context, const base::Error &Problem) {
  Context.Err << "kingcuphub: " << Problem.Message << '\n';
  if (Problem.Code == ApiErrc::CannotReach || Problem.Code == ApiErrc::NoAnswer)
    return ExitCode::CannotReach;
  return Problem.Code == ApiErrc::NotAuthorised ? ExitCode::NotAuthorised
                                                : ExitCode::Failed;
}

ExitCode reportMissing(CommandContext &Context, const std::string &Kind,
                       const std::string &Name) {
  Context.Err << "kingcuphub: there is no " << Kind << " '" << Name
              << "'; see `kingcuphub " << Kind << " list`\n";
  return ExitCode::Failed;
}

ExitCode reportUsage(CommandContext &Context, const std::string &Problem) {
  Context.Err << "kingcuphub: " << Problem << '\n';
  return ExitCode::Usage;
}

ExitCode runChange(CommandContext &Context, const Change &Wanted,
                   const nlohmann::json &Extra) {
  auto Report = submitChange(Context.Api, Context.Clock, Wanted, Context.Wait);
  if (!Report)
    return reportError(Context, Report.error());
  ExitCode Code = exitCodeOf(*Report);
  if (Context.Json) {
    nlohmann::json Out = reportJson(*Report);
    Out.update(Extra);
    Context.Out << Out.dump() << '\n';
    return Code;
  }
  printReport(Code == ExitCode::Ok ? Context.Out : Context.Err, Wanted,
              *Report);
  return Code;
}

base::Result<nlohmann::json> readConfig(CommandContext &Context) {
  return Context.Api.get("/v1/config");
}

std::uint64_t baseOffsetOf(const nlohmann::json &Config) {
  std::string Text = fieldText(Config, "next_offset");
  std::uint64_t Out = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Out;
}

const nlohmann::json &listOf(const nlohmann::json &Config,
                             const std::string &List) {
  static const nlohmann::json None = nlohmann::json::array();
  auto Found = Config.find(List);
  return Found == Config.end() || !Found->is_array() ? None : *Found;
}

const nlohmann::json *findNamed(const nlohmann::json &Config,
                                const std::string &List,
                                const std::string &Field,
                                const std::string &Name) {
  for (const nlohmann::json &Each : listOf(Config, List))
    if (fieldText(Each, Field) == Name)
      return &Each;
  return nullptr;
}

std::string fieldText(const nlohmann::json &Object, const std::string &Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || Found->is_null())
    return "";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

std::optional<std::int64_t> parseSize(const std::string &Text) {
  constexpr std::string_view Suffixes = "KMGT";
  constexpr unsigned BitsPerSuffix = 10;
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Problem] = std::from_chars(Text.data(), End, Value);
  if (Problem != std::errc() || Value < 0)
    return std::nullopt;
  if (Stop == End)
    return Value;
  std::size_t Place = Suffixes.find(*Stop);
  if (Place == std::string_view::npos || Stop + 1 != End)
    return std::nullopt;
  unsigned Bits = BitsPerSuffix * static_cast<unsigned>(Place + 1);
  if (Value > (INT64_MAX >> Bits))
    return std::nullopt;
  return Value << Bits;
}

} // namespace kingcuphub::cli
