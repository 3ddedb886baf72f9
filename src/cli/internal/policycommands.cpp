#include "base/table.h"
#include "cli/command.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace kingcuphub::cli {

namespace {

constexpr std::string_view PresetPrefix = "PRESET_";

/// `PRESET_PEAK` as `peak`.
std::string presetName(const std::string &Wire) {
  std::string Out =
      Wire.starts_with(PresetPrefix) ? Wire.substr(PresetPrefix.size()) : Wire;
  std::transform(Out.begin(), Out.end(), Out.begin(), ::tolower);
  return Out == "unspecified" || Out.empty() ? "ordinary" : Out;
}

ExitCode showPreset(CommandContext &Context) {
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  std::string Name = presetName(fieldText(*Config, "preset"));
  if (Context.Json)
    Context.Out << nlohmann::json({{"preset", Name}}).dump() << '\n';
  else
    Context.Out << Name << '\n';
  return ExitCode::Ok;
}

ExitCode usePreset(CommandContext &Context) {
  std::string Name = Context.text("preset");
  if (Name != "ordinary" && Name != "peak" && Name != "maintenance")
    return reportUsage(Context, "there is no preset '" + Name +
                                    "'; use ordinary, peak or maintenance");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  std::string Wire = Name;
  std::transform(Wire.begin(), Wire.end(), Wire.begin(), ::toupper);
  return runChange(Context, {{{"preset_use",
                               {{"preset", std::string(PresetPrefix) + Wire}}}},
                             baseOffsetOf(*Config),
                             "preset " + Name,
                             "preset show"});
}

std::set<std::string> zonesOf(const nlohmann::json &Config,
                              const nlohmann::json &Status) {
  std::set<std::string> Out;
  for (const nlohmann::json &Each : listOf(Config, "targets"))
    Out.insert(fieldText(Each, "zone"));
  for (const nlohmann::json &Each : listOf(Config, "zones_out"))
    Out.insert(Each.get<std::string>());
  for (const nlohmann::json &Each : listOf(Status, "instances"))
    Out.insert(fieldText(Each, "zone"));
  Out.insert(fieldText(Status, "zone"));
  Out.erase("");
  return Out;
}

std::string joined(const std::set<std::string> &Names) {
  std::string Out;
  for (const std::string &Each : Names)
    Out += (Out.empty() ? "" : ", ") + Each;
  return Out;
}

ExitCode setZone(CommandContext &Context, bool Out) {
  std::string Zone = Context.text("zone");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  auto Status = Context.Api.get("/v1/status");
  if (!Status)
    return reportError(Context, Status.error());
  std::set<std::string> Known = zonesOf(*Config, *Status);
  if (Known.count(Zone) == 0 && !Context.has("force"))
    return reportUsage(Context, "no target or instance is in a zone '" + Zone +
                                    "'; the zones are " + joined(Known) +
                                    "; --force takes it all the same");
  return runChange(Context, {{{"zone_set", {{"zone", Zone}, {"out", Out}}}},
                             baseOffsetOf(*Config),
                             "zone " + Zone + (Out ? " out" : " in"),
                             "zone list"});
}

ExitCode listZones(CommandContext &Context) {
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  auto Status = Context.Api.get("/v1/status");
  if (!Status)
    return reportError(Context, Status.error());
  const nlohmann::json &ZonesOut = listOf(*Config, "zones_out");
  nlohmann::json Zones = nlohmann::json::array();
  for (const std::string &Zone : zonesOf(*Config, *Status)) {
    const nlohmann::json &Targets = listOf(*Config, "targets");
    auto Count = std::count_if(Targets.begin(), Targets.end(),
                               [&Zone](const nlohmann::json &Each) {
                                 return fieldText(Each, "zone") == Zone;
                               });
    bool Out = std::find(ZonesOut.begin(), ZonesOut.end(),
                         nlohmann::json(Zone)) != ZonesOut.end();
    Zones.push_back({{"zone", Zone}, {"out", Out}, {"targets", Count}});
  }
  if (Context.Json) {
    Context.Out << Zones.dump() << '\n';
    return ExitCode::Ok;
  }
  base::Table Out({"ZONE", "STATE", "TARGETS"});
  for (const nlohmann::json &Each : Zones)
    Out.add({fieldText(Each, "zone"), Each["out"].get<bool>() ? "OUT" : "in",
             fieldText(Each, "targets")});
  Out.print(Context.Out);
  return ExitCode::Ok;
}

void describeForce(cxxopts::Options &Options) {
  Options.add_options()("force", "also a zone that nothing is in");
}

} // namespace

std::vector<Command> policyCommands() {
  return {
      {"preset",
       "show",
       {},
       "show the preset in force",
       {"kingcuphub preset show"},
       {},
       showPreset},
      {"preset",
       "use",
       {"preset"},
       "put a preset in force: ordinary, peak or maintenance",
       {"kingcuphub preset use peak"},
       {},
       usePreset},
      {"zone",
       "out",
       {"zone"},
       "take an availability zone out; it gets no new work",
       {"kingcuphub zone out riga-2"},
       describeForce,
       [](CommandContext &Context) { return setZone(Context, true); }},
      {"zone",
       "in",
       {"zone"},
       "take an availability zone in again",
       {"kingcuphub zone in riga-2"},
       describeForce,
       [](CommandContext &Context) { return setZone(Context, false); }},
      {"zone",
       "list",
       {},
       "list the availability zones",
       {"kingcuphub zone list"},
       {},
       listZones},
  };
}

} // namespace kingcuphub::cli
