#include "base/table.h"
#include "cli/command.h"

namespace kingcuphub::cli {

namespace {

void describeRoute(cxxopts::Options &Options) {
  Options.add_options()("prefix", "the paths that it takes, as in /v1/",
                        cxxopts::value<std::string>(), "PATH")(
      "service", "a target that serves it; may be repeated; none for models",
      cxxopts::value<std::vector<std::string>>(),
      "TARGET")("open", "open to all, without a key")(
      "non-idempotent", "a call must run at most once; needs Idempotency-Key")(
      "priority", "0 is the most urgent class",
      cxxopts::value<std::int64_t>()->default_value("1"),
      "CLASS")("deadline-ms", "how long a call may take",
               cxxopts::value<std::int64_t>()->default_value("30000"), "MS")(
      "cost", "tokens of a call that does not say",
      cxxopts::value<std::int64_t>()->default_value("1"), "TOKENS");
}

ExitCode add(CommandContext &Context) {
  std::string Prefix = Context.text("prefix");
  if (Prefix.empty() || Prefix.front() != '/')
    return reportUsage(Context, "--prefix must be a path, as in /v1/");
  nlohmann::json Services = nlohmann::json::array();
  if (Context.has("service"))
    Services = Context.Asked["service"].as<std::vector<std::string>>();
  nlohmann::json Route = {
      {"route", Context.text("route")},
      {"path_prefix", Prefix},
      {"services", Services},
      {"open_to_all", Context.has("open")},
      {"idempotent", !Context.has("non-idempotent")},
      {"priority", Context.Asked["priority"].as<std::int64_t>()},
      {"deadline_ms", Context.Asked["deadline-ms"].as<std::int64_t>()},
      {"cost_tokens", Context.Asked["cost"].as<std::int64_t>()}};
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  return runChange(Context, {{{"route_put", Route}},
                             baseOffsetOf(*Config),
                             "route " + Context.text("route"),
                             "route list"});
}

ExitCode deleteRoute(CommandContext &Context) {
  std::string Name = Context.text("route");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  if (findNamed(*Config, "routes", "route", Name) == nullptr)
    return reportMissing(Context, "route", Name);
  return runChange(Context, {{{"route_delete", {{"route", Name}}}},
                             baseOffsetOf(*Config),
                             "route " + Name,
                             "route list"});
}

std::string servicesOf(const nlohmann::json &Route) {
  std::string Out;
  for (const nlohmann::json &Each : listOf(Route, "services"))
    Out += (Out.empty() ? "" : ", ") + Each.get<std::string>();
  return Out.empty() ? "models" : Out;
}

ExitCode list(CommandContext &Context) {
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  const nlohmann::json &Routes = listOf(*Config, "routes");
  if (Context.Json) {
    Context.Out << Routes.dump() << '\n';
    return ExitCode::Ok;
  }
  base::Table Out({"ROUTE", "PREFIX", "TO", "OPEN", "AT MOST ONCE", "PRIORITY",
                   "DEADLINE MS", "COST"});
  for (const nlohmann::json &Each : Routes)
    Out.add({fieldText(Each, "route"), fieldText(Each, "path_prefix"),
             servicesOf(Each),
             fieldText(Each, "open_to_all") == "true" ? "yes" : "no",
             fieldText(Each, "idempotent") == "true" ? "no" : "yes",
             fieldText(Each, "priority"), fieldText(Each, "deadline_ms"),
             fieldText(Each, "cost_tokens")});
  Out.print(Context.Out);
  return ExitCode::Ok;
}

} // namespace

std::vector<Command> routeCommands() {
  return {
      {"route",
       "add",
       {"route"},
       "add a route to models or plain services, or change it",
       {"kingcuphub route add chat --prefix /v1/ --deadline-ms 20000",
        "kingcuphub route add issue --prefix /certificates/ --service sheets "
        "--non-idempotent"},
       describeRoute,
       add},
      {"route",
       "delete",
       {"route"},
       "delete a route",
       {"kingcuphub route delete issue"},
       {},
       deleteRoute},
      {"route",
       "list",
       {},
       "list the routes",
       {"kingcuphub route list"},
       {},
       list},
  };
}

} // namespace kingcuphub::cli
