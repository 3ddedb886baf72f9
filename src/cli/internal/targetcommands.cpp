#include "base/endpoint.h"
#include "base/table.h"
#include "cli/command.h"

#include <algorithm>

namespace kingcuphub::cli {

namespace {

void describeTarget(cxxopts::Options &Options) {
  Options.add_options()("address", "where it listens, by IP number",
                        cxxopts::value<std::string>(), "ADDRESS:PORT")(
      "zone", "its availability zone", cxxopts::value<std::string>(), "ZONE")(
      "kind", "engine or service",
      cxxopts::value<std::string>()->default_value("engine"),
      "KIND")("ignores-fencing", "it takes orders with an old fencing number")(
      "memory", "memory of each accelerator, as in 80G,80G",
      cxxopts::value<std::vector<std::string>>(),
      "BYTES,...")("cold-slots", "requests that it bears while cold",
                   cxxopts::value<std::int64_t>()->default_value("2"), "N")(
      "warm-slots", "requests that it bears when warm",
      cxxopts::value<std::int64_t>()->default_value("64"), "N");
}

/// The record's body; an error's text where an option is wrong.
base::Result<nlohmann::json> targetOf(const CommandContext &Context) {
  auto Wrong = [](const std::string &Text) {
    return base::fail(ApiErrc::Refused, Text);
  };
  std::string Address = Context.text("address");
  if (!base::parseEndpoint(Address))
    return Wrong("--address must be an IP number and a port, as in "
                 "10.0.0.7:8000");
  if (!Context.has("zone"))
    return Wrong("--zone is required");
  std::string Kind = Context.text("kind");
  if (Kind != "engine" && Kind != "service")
    return Wrong("--kind must be engine or service");
  nlohmann::json Memory = nlohmann::json::array();
  if (Context.has("memory"))
    for (const std::string &Each :
         Context.Asked["memory"].as<std::vector<std::string>>()) {
      auto Size = parseSize(Each);
      if (!Size || *Size == 0)
        return Wrong("--memory takes sizes as in 80G,80G, not '" + Each + "'");
      Memory.push_back(*Size);
    }
  if (Kind == "engine" && Memory.empty())
    return Wrong("--memory is required for an engine");
  return nlohmann::json{
      {"target", Context.text("target")},
      {"address", Address},
      {"zone", Context.text("zone")},
      {"kind", Kind == "engine" ? "TARGET_KIND_ENGINE" : "TARGET_KIND_SERVICE"},
      {"fencing", !Context.has("ignores-fencing")},
      {"accelerator_bytes", Memory},
      {"cold_slots", Context.Asked["cold-slots"].as<std::int64_t>()},
      {"warm_slots", Context.Asked["warm-slots"].as<std::int64_t>()}};
}

ExitCode add(CommandContext &Context) {
  auto Target = targetOf(Context);
  if (!Target)
    return reportUsage(Context, Target.error().Message);
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  return runChange(Context, {{{"target_put", *Target}},
                             baseOffsetOf(*Config),
                             "target " + Context.text("target"),
                             "target list"});
}

ExitCode leave(CommandContext &Context) {
  std::string Name = Context.text("target");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  if (findNamed(*Config, "targets", "target", Name) == nullptr)
    return reportMissing(Context, "target", Name);
  return runChange(Context, {{{"target_leave", {{"target", Name}}}},
                             baseOffsetOf(*Config),
                             "target " + Name,
                             "target list"});
}

bool isLeaving(const nlohmann::json &Config, const std::string &Name) {
  const nlohmann::json &Leaving = listOf(Config, "leaving_targets");
  return std::find(Leaving.begin(), Leaving.end(), nlohmann::json(Name)) !=
         Leaving.end();
}

ExitCode list(CommandContext &Context) {
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  nlohmann::json Targets = listOf(*Config, "targets");
  for (nlohmann::json &Each : Targets)
    Each["leaving"] = isLeaving(*Config, fieldText(Each, "target"));
  if (Context.Json) {
    Context.Out << Targets.dump() << '\n';
    return ExitCode::Ok;
  }
  base::Table Out({"TARGET", "KIND", "ZONE", "ADDRESS", "ACCELERATORS",
                   "FENCING", "STATE"});
  for (const nlohmann::json &Each : Targets)
    Out.add({fieldText(Each, "target"),
             fieldText(Each, "kind") == "TARGET_KIND_SERVICE" ? "service"
                                                              : "engine",
             fieldText(Each, "zone"), fieldText(Each, "address"),
             std::to_string(listOf(Each, "accelerator_bytes").size()),
             fieldText(Each, "fencing") == "true" ? "yes" : "ignores",
             Each["leaving"].get<bool>() ? "LEAVING" : "in use"});
  Out.print(Context.Out);
  return ExitCode::Ok;
}

} // namespace

std::vector<Command> targetCommands() {
  return {
      {"target",
       "add",
       {"target"},
       "add a target, or take a leaving one into use again",
       {"kingcuphub target add e1 --address 10.0.0.7:8000 --zone riga-1 "
        "--memory 80G,80G",
        "kingcuphub target add sheets --kind service --address "
        "10.0.0.9:8000 --zone riga-1"},
       describeTarget,
       add},
      {"target",
       "leave",
       {"target"},
       "let a target finish what it has and take no new work",
       {"kingcuphub target leave e1"},
       {},
       leave},
      {"target",
       "list",
       {},
       "list the targets",
       {"kingcuphub target list"},
       {},
       list},
  };
}

} // namespace kingcuphub::cli
