#include "cli/command.h"

#include <fstream>
#include <sstream>

namespace kingcuphub::cli {

namespace {

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::ostringstream Out;
  Out << File.rdbuf();
  return Out.str();
}

catalog::ReadConfiguration readConfiguration(const CommandContext &Context,
                                             const std::string &Path) {
  if (std::optional<std::string> Text = readFile(Path))
    return Context.ReadConfiguration(*Text);
  catalog::ReadConfiguration Out;
  Out.Findings.push_back({catalog::Severity::Error, "file " + Path,
                          "cannot be opened", "check its name and rights"});
  return Out;
}

std::string_view nameOf(catalog::Severity Of) {
  return Of == catalog::Severity::Error ? "error" : "warning";
}

std::string_view nameOf(catalog::ChangeKind Of) {
  switch (Of) {
  case catalog::ChangeKind::Added:
    return "added";
  case catalog::ChangeKind::Removed:
    return "removed";
  case catalog::ChangeKind::Changed:
    return "changed";
  }
  return "";
}

struct Report {
  std::vector<catalog::Finding> Findings;
  std::vector<catalog::Difference> Differences;

  bool hasErrors() const {
    return std::any_of(this->Findings.begin(), this->Findings.end(),
                       [](const catalog::Finding &Each) {
                         return Each.Severity == catalog::Severity::Error;
                       });
  }
};

void printText(const Report &What, std::ostream &Out) {
  for (const catalog::Finding &Each : What.Findings)
    Out << nameOf(Each.Severity) << ": " << Each.Entry << ": " << Each.Problem
        << "; " << Each.Remedy << '\n';
  for (const catalog::Difference &Each : What.Differences)
    Out << nameOf(Each.Kind) << ": " << Each.Entry
        << (Each.Detail.empty() ? "" : ": " + Each.Detail) << '\n';
  if (What.Findings.empty())
    Out << "no problem found\n";
}

void printJson(const Report &What, std::ostream &Out) {
  nlohmann::json Findings = nlohmann::json::array();
  for (const catalog::Finding &Each : What.Findings)
    Findings.push_back({{"severity", nameOf(Each.Severity)},
                        {"entry", Each.Entry},
                        {"problem", Each.Problem},
                        {"remedy", Each.Remedy}});
  nlohmann::json Differences = nlohmann::json::array();
  for (const catalog::Difference &Each : What.Differences)
    Differences.push_back({{"kind", nameOf(Each.Kind)},
                           {"entry", Each.Entry},
                           {"detail", Each.Detail}});
  Out << nlohmann::json({{"findings", Findings}, {"differences", Differences}})
             .dump()
      << '\n';
}

void compare(const CommandContext &Context, const catalog::Catalog &New,
             Report &To) {
  catalog::ReadConfiguration InForce =
      readConfiguration(Context, Context.text("in-force"));
  if (!InForce.Read) {
    To.Findings.insert(To.Findings.end(), InForce.Findings.begin(),
                       InForce.Findings.end());
    return;
  }
  if (New.Version <= InForce.Read->Version)
    To.Findings.push_back(
        {catalog::Severity::Error, "version",
         std::to_string(New.Version.Value) + " is not above " +
             std::to_string(InForce.Read->Version.Value) + " in force",
         "raise it"});
  To.Differences = catalog::compareCatalogs(*InForce.Read, New);
}

ExitCode check(CommandContext &Context) {
  if (!Context.ReadConfiguration)
    return reportUsage(Context, "this build reads no configuration files");
  catalog::ReadConfiguration Read =
      readConfiguration(Context, Context.text("file"));
  Report Out{std::move(Read.Findings), {}};
  if (Read.Read && Context.has("in-force"))
    compare(Context, *Read.Read, Out);
  if (Context.Json)
    printJson(Out, Context.Out);
  else
    printText(Out, Context.Out);
  return Out.hasErrors() ? ExitCode::Failed : ExitCode::Ok;
}

} // namespace

std::vector<Command> checkCommands() {
  return {{"check",
           "",
           {"file"},
           "check a configuration before it is sent: errors, entries that "
           "never match, contradicting limits, differences",
           {"kingcuphub check new.json",
            "kingcuphub check new.json --in-force current.json --json"},
           [](cxxopts::Options &Options) {
             Options.add_options()("in-force", "the version to compare with",
                                   cxxopts::value<std::string>(), "FILE");
           },
           check,
           false}};
}

} // namespace kingcuphub::cli
