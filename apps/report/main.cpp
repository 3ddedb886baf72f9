/// \file
/// kingcuphub-report: service-level burn over all instances.

#include "base/program.h"
#include "report/collect.h"
#include "report/views.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace kingcuphub;

namespace {

constexpr const char *ProgramName = "kingcuphub-report";
constexpr const char *Examples =
    "\nExamples:\n"
    "  kingcuphub-report --from 10.0.0.5:8000 --from 10.0.0.6:8000\n"
    "  kingcuphub-report --config report.json --png burn.png\n"
    "  kingcuphub-report --config report.json --json | jq .measures\n"
    "\nExit codes: 0 every source answered, 1 some did not, 2 usage\n";

int fail(const std::string &Problem, int Code) {
  std::cerr << ProgramName << ": " << Problem << '\n';
  return Code;
}

cxxopts::Options describe() {
  cxxopts::Options Options(ProgramName,
                           "Shows the service-level burn over all instances.");
  Options.add_options()("config", "sources and objectives as JSON",
                        cxxopts::value<std::string>(), "FILE")(
      "from", "a gateway's `callers` or an agent's `api` endpoint; repeated",
      cxxopts::value<std::vector<std::string>>(),
      "ADDRESS:PORT")("json", "output for scripts")(
      "svg", "draw the burn", cxxopts::value<std::string>(),
      "FILE")("png", "draw the burn", cxxopts::value<std::string>(),
              "FILE")("check", "validate the settings and exit")(
      "print-defaults", "print every setting with its default and exit")(
      "help", "print this text and exit");
  return Options;
}

/// Reads the settings; the exit code where there is nothing left to do.
std::optional<int> readSettings(const cxxopts::ParseResult &Asked,
                                report::ReportSettings &Out) {
  std::vector<const char *> Words = {ProgramName};
  std::string FileName;
  if (Asked.count("config") != 0) {
    FileName = Asked["config"].as<std::string>();
    Words.push_back("--config");
    Words.push_back(FileName.c_str());
  }
  if (Asked.count("check") != 0)
    Words.push_back("--check");
  if (Asked.count("print-defaults") != 0)
    Words.push_back("--print-defaults");
  if (Words.size() == 1)
    return std::nullopt;
  return base::readProgramSettings({ProgramName, ""},
                                   static_cast<int>(Words.size()), Words.data(),
                                   [&Out](base::SettingsReader &Reader) {
                                     Out = report::readReportSettings(Reader);
                                   });
}

int draw(const report::BurnReport &Report, const cxxopts::ParseResult &Asked) {
  for (auto [Name, Format] : {std::pair("svg", report::PlotFormat::Svg),
                              std::pair("png", report::PlotFormat::Png)}) {
    if (Asked.count(Name) == 0)
      continue;
    auto Drawn =
        report::drawPlot(Report, Format, Asked[Name].as<std::string>());
    if (!Drawn)
      return fail(Drawn.error().Message, base::ExitFailed);
  }
  return base::ExitOk;
}

int run(const cxxopts::ParseResult &Asked) {
  report::ReportSettings Settings;
  if (auto Ended = readSettings(Asked, Settings))
    return *Ended;
  if (Asked.count("from") != 0)
    for (const std::string &Text :
         Asked["from"].as<std::vector<std::string>>()) {
      auto Source = base::parseEndpoint(Text);
      if (!Source)
        return fail("--from takes an IP number and a port, not '" + Text + "'",
                    base::ExitUsage);
      Settings.Sources.push_back(*Source);
    }
  if (Settings.Sources.empty())
    return fail("no source is named; give --from ADDRESS:PORT or `sources` in "
                "--config",
                base::ExitUsage);
  report::Collection Found = report::collect(Settings.Sources);
  report::BurnReport Report = report::makeReport(Found.Snapshots, Settings);
  Report.Missing = Found.Missing;
  if (Asked.count("json") != 0)
    std::cout << report::toJson(Report).dump() << '\n';
  else
    report::printText(std::cout, Report);
  if (int Code = draw(Report, Asked); Code != base::ExitOk)
    return Code;
  return Found.Missing.empty() ? base::ExitOk : base::ExitFailed;
}

} // namespace

int main(int Count, char **Args) {
  try {
    cxxopts::Options Options = describe();
    cxxopts::ParseResult Asked = Options.parse(Count, Args);
    if (Asked.count("help") == 0)
      return run(Asked);
    std::cout << Options.help() << Examples;
    return base::ExitOk;
  } catch (const cxxopts::exceptions::exception &Problem) {
    return fail(std::string(Problem.what()) + "; see --help", base::ExitUsage);
  }
}
