#include "base/program.h"

#include <cxxopts.hpp>
#include <iostream>

namespace kingcuphub::base {

namespace {

cxxopts::Options describe(const ProgramInfo &Info) {
  cxxopts::Options Options(Info.Name, Info.Summary);
  Options.add_options()("config", "JSON settings file",
                        cxxopts::value<std::string>(),
                        "FILE")("check", "validate the settings and exit")(
      "print-defaults", "print every setting with its default and exit")(
      "help", "print this text and exit");
  return Options;
}

int printDefaults(const ProgramInfo &Info,
                  const std::function<void(SettingsReader &)> &Parse) {
  std::vector<SettingsProblem> Problems;
  SettingsReader Reader(Info.Example, "", Problems);
  Parse(Reader);
  std::cout << Reader.effective().dump(2) << '\n';
  return ExitOk;
}

int usage(const ProgramInfo &Info, const std::string &Problem) {
  std::cerr << Info.Name << ": " << Problem << "; see " << Info.Name
            << " --help\n";
  return ExitUsage;
}

std::optional<int>
readFile(const ProgramInfo &Info, const std::string &FileName,
         const std::function<void(SettingsReader &)> &Parse) {
  auto Read = readSettingsFile(FileName, Parse);
  if (Read)
    return std::nullopt;
  std::cerr << Info.Name << ": " << Read.error().Message << '\n';
  return ExitUsage;
}

} // namespace

std::optional<int>
readProgramSettings(const ProgramInfo &Info, int Count, const char *const *Args,
                    const std::function<void(SettingsReader &)> &Parse) {
  try {
    cxxopts::Options Options = describe(Info);
    cxxopts::ParseResult Asked = Options.parse(Count, Args);
    if (Asked.count("help") != 0) {
      std::cout << Options.help();
      return ExitOk;
    }
    if (Asked.count("print-defaults") != 0)
      return printDefaults(Info, Parse);
    if (Asked.count("config") == 0)
      return usage(Info, "--config FILE is missing");
    auto FileName = Asked["config"].as<std::string>();
    if (auto Code = readFile(Info, FileName, Parse))
      return Code;
    if (Asked.count("check") == 0)
      return std::nullopt;
    std::cout << FileName << ": valid\n";
    return ExitOk;
  } catch (const std::exception &Problem) {
    return usage(Info, Problem.what());
  }
}

void printListening(const std::map<std::string, std::string> &Endpoints) {
  nlohmann::json Line = {{"event", "listening"}, {"endpoints", Endpoints}};
  std::cout << Line.dump() << std::endl;
}

} // namespace kingcuphub::base
