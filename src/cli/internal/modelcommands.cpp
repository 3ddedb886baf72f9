#include "base/table.h"
#include "cli/command.h"

namespace kingcuphub::cli {

namespace {

void describeModel(cxxopts::Options &Options) {
  Options.add_options()("version", "the weights' version",
                        cxxopts::value<std::string>()->default_value("1"),
                        "VERSION")("weights", "memory of the weights",
                                   cxxopts::value<std::string>(), "BYTES")(
      "kv", "memory kept for its KV cache",
      cxxopts::value<std::string>()->default_value("0"),
      "BYTES")("adapter", "an adapter with its memory; may be repeated",
               cxxopts::value<std::vector<std::string>>(), "NAME=BYTES");
}

base::Result<nlohmann::json> adapterOf(const std::string &Text) {
  std::size_t Equals = Text.find('=');
  auto Size = Equals == std::string::npos ? std::nullopt
                                          : parseSize(Text.substr(Equals + 1));
  if (!Size || Equals == 0)
    return base::fail(ApiErrc::Refused,
                      "--adapter takes NAME=BYTES, not '" + Text + "'");
  return nlohmann::json{{"adapter", Text.substr(0, Equals)}, {"bytes", *Size}};
}

base::Result<nlohmann::json> modelOf(const CommandContext &Context) {
  auto Weights = parseSize(Context.text("weights"));
  auto Kv = parseSize(Context.text("kv"));
  if (!Weights || *Weights == 0 || !Kv)
    return base::fail(ApiErrc::Refused,
                      "--weights is required; sizes are written as in 14G");
  nlohmann::json Adapters = nlohmann::json::array();
  if (Context.has("adapter"))
    for (const std::string &Each :
         Context.Asked["adapter"].as<std::vector<std::string>>()) {
      auto Adapter = adapterOf(Each);
      if (!Adapter)
        return Adapter;
      Adapters.push_back(*Adapter);
    }
  return nlohmann::json{{"model", Context.text("model")},
                        {"version", Context.text("version")},
                        {"weight_bytes", *Weights},
                        {"kv_reserve_bytes", *Kv},
                        {"adapters", Adapters}};
}

ExitCode add(CommandContext &Context) {
  auto Model = modelOf(Context);
  if (!Model)
    return reportUsage(Context, Model.error().Message);
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  return runChange(Context, {{{"model_put", *Model}},
                             baseOffsetOf(*Config),
                             "model " + Context.text("model"),
                             "model list"});
}

ExitCode deleteModel(CommandContext &Context) {
  std::string Name = Context.text("model");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  if (findNamed(*Config, "models", "model", Name) == nullptr)
    return reportMissing(Context, "model", Name);
  return runChange(Context, {{{"model_delete", {{"model", Name}}}},
                             baseOffsetOf(*Config),
                             "model " + Name,
                             "model list"});
}

std::string adapterNames(const nlohmann::json &Model) {
  std::string Out;
  for (const nlohmann::json &Each : listOf(Model, "adapters"))
    Out += (Out.empty() ? "" : ", ") + fieldText(Each, "adapter");
  return Out.empty() ? "-" : Out;
}

ExitCode list(CommandContext &Context) {
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  const nlohmann::json &Models = listOf(*Config, "models");
  if (Context.Json) {
    Context.Out << Models.dump() << '\n';
    return ExitCode::Ok;
  }
  base::Table Out({"MODEL", "VERSION", "WEIGHTS", "KV", "ADAPTERS"});
  for (const nlohmann::json &Each : Models)
    Out.add({fieldText(Each, "model"), fieldText(Each, "version"),
             fieldText(Each, "weight_bytes"),
             fieldText(Each, "kv_reserve_bytes"), adapterNames(Each)});
  Out.print(Context.Out);
  return ExitCode::Ok;
}

} // namespace

std::vector<Command> modelCommands() {
  return {
      {"model",
       "add",
       {"model"},
       "add a model with its adapters, or change it",
       {"kingcuphub model add sheet-drafts --weights 14G --kv 2G --adapter "
        "riga=200M"},
       describeModel,
       add},
      {"model",
       "delete",
       {"model"},
       "delete a model and its adapters",
       {"kingcuphub model delete sheet-drafts"},
       {},
       deleteModel},
      {"model",
       "list",
       {},
       "list the models",
       {"kingcuphub model list"},
       {},
       list},
  };
}

} // namespace kingcuphub::cli
