/// \file
/// kingcuphub-replay: makes traces and replays them.

#include "http/httpclient.h"
#include "replay/generator.h"
#include "replay/replayer.h"

#include <asio/io_context.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace {

using namespace kingcuphub;

constexpr int UsageStatus = 2;

int fail(const std::string &Message) {
  std::cerr << "kingcuphub-replay: " << Message << "\n";
  return UsageStatus;
}

int generate(const cxxopts::ParseResult &Parsed, const std::string &Name) {
  auto Kind = replay::parseDeploymentKind(Name);
  if (!Kind)
    return fail("there is no deployment '" + Name +
                "'; use zemgale or soyapath");
  replay::GeneratorSettings Settings{
      Parsed["seed"].as<std::uint64_t>(),
      std::chrono::seconds(Parsed["seconds"].as<int>()),
      Parsed["scale"].as<double>()};
  replay::writeTrace(std::cout, replay::generate(*Kind, Settings));
  return 0;
}

int play(const cxxopts::ParseResult &Parsed, const std::string &FileName) {
  std::ifstream In(FileName);
  if (!In)
    return fail(FileName + " cannot be read; make it with 'generate'");
  auto Trace = replay::readTrace(In);
  if (!Trace)
    return fail(FileName + ": " + Trace.error().Message);
  if (Parsed.count("callers") == 0)
    return fail("say where the callers' ports are: --callers ADDRESS:PORT");
  replay::ReplaySettings Settings;
  Settings.Callers = Parsed["callers"].as<std::vector<std::string>>();
  Settings.Api = Parsed["api"].as<std::string>();
  Settings.Token = Parsed["token"].as<std::string>();
  Settings.Speed = Parsed["speed"].as<double>();
  asio::io_context Loop;
  base::SystemClock Clock;
  // The answers of a whole trace's calls under way.
  constexpr std::size_t MaxBytesUnderWay = 1U << 30U;
  auto Http = http::makeHttpClient(Loop, {MaxBytesUnderWay});
  replay::Replayer Player(Loop, Clock, *Http, *Trace, Settings);
  int Status = 0;
  Player.start([&](const replay::Measures &Counted) {
    if (Parsed.count("json") != 0)
      std::cout << Counted.json().dump(2) << "\n";
    else
      std::cout << Counted.text();
    Status = Counted.Violations == 0 ? 0 : 1;
    Loop.stop();
  });
  Loop.run();
  return Status;
}

int run(int Count, char **Arguments) {
  cxxopts::Options Options("kingcuphub-replay", "makes and replays traces");
  Options.add_options()("command", "generate or replay",
                        cxxopts::value<std::string>()->default_value(""))(
      "subject", "zemgale, soyapath, or a trace file",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "of the generator",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "length of the trace",
      cxxopts::value<int>()->default_value("60"))(
      "scale", "of the demand", cxxopts::value<double>()->default_value("1"))(
      "callers", "ADDRESS:PORT of callers' ports",
      cxxopts::value<std::vector<std::string>>())(
      "api", "ADDRESS:PORT of an agent's API",
      cxxopts::value<std::string>()->default_value(""))(
      "token", "an operator's token",
      cxxopts::value<std::string>()->default_value(""))(
      "speed", "trace seconds in a second",
      cxxopts::value<double>()->default_value("1"))("json", "print JSON")(
      "help", "print this text");
  Options.parse_positional({"command", "subject"});
  Options.positional_help("generate zemgale|soyapath, or replay FILE");
  auto Parsed = Options.parse(Count, Arguments);
  std::string Command = Parsed["command"].as<std::string>();
  std::string Subject = Parsed["subject"].as<std::string>();
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return 0;
  }
  if (Command == "generate")
    return generate(Parsed, Subject);
  if (Command == "replay")
    return play(Parsed, Subject);
  return fail("say 'generate zemgale', 'generate soyapath' or 'replay FILE'");
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const std::exception &Failed) {
    return fail(std::string(Failed.what()) + "; see --help");
  }
}
