#include "base/table.h"
#include "cli/command.h"

namespace kingcuphub::cli {

namespace {

void describeRate(cxxopts::Options &Options) {
  Options.add_options()("rate", "tokens a second, over all instances",
                        cxxopts::value<double>(),
                        "TOKENS")("burst", "tokens that may be used at once",
                                  cxxopts::value<std::int64_t>(), "TOKENS")(
      "weight", "its part of a contended system; 1 is ordinary",
      cxxopts::value<double>(), "WEIGHT");
}

/// Puts the options that are given over the account's present values.
nlohmann::json withRate(const CommandContext &Context, nlohmann::json Account) {
  if (Context.has("rate"))
    Account["tokens_per_second"] = Context.Asked["rate"].as<double>();
  if (Context.has("burst"))
    Account["burst_tokens"] = Context.Asked["burst"].as<std::int64_t>();
  if (Context.has("weight"))
    Account["weight"] = Context.Asked["weight"].as<double>();
  return Account;
}

ExitCode putAccount(CommandContext &Context, const nlohmann::json &Config,
                    const nlohmann::json &Account) {
  std::string Name = Account["account"];
  return runChange(Context, {{{"account_put", Account}},
                             baseOffsetOf(Config),
                             "account " + Name,
                             "account show " + Name});
}

ExitCode create(CommandContext &Context) {
  std::string Name = Context.text("account");
  if (!Context.has("rate") || !Context.has("burst"))
    return reportUsage(Context, "--rate and --burst are required");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  if (findNamed(*Config, "accounts", "account", Name) != nullptr) {
    Context.Err << "kingcuphub: account '" << Name
                << "' exists; change it with `kingcuphub account set-rate "
                << Name << "`\n";
    return ExitCode::Failed;
  }
  return putAccount(Context, *Config,
                    withRate(Context, {{"account", Name}, {"weight", 1.0}}));
}

ExitCode setRate(CommandContext &Context) {
  std::string Name = Context.text("account");
  if (!Context.has("rate") && !Context.has("burst") && !Context.has("weight"))
    return reportUsage(Context, "give --rate, --burst or --weight");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  const nlohmann::json *Now = findNamed(*Config, "accounts", "account", Name);
  if (Now == nullptr)
    return reportMissing(Context, "account", Name);
  return putAccount(Context, *Config, withRate(Context, *Now));
}

ExitCode deleteAccount(CommandContext &Context) {
  std::string Name = Context.text("account");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  if (findNamed(*Config, "accounts", "account", Name) == nullptr)
    return reportMissing(Context, "account", Name);
  return runChange(Context, {{{"account_delete", {{"account", Name}}}},
                             baseOffsetOf(*Config),
                             "account " + Name,
                             "account list"});
}

std::string keyCount(const nlohmann::json &Config, const std::string &Account) {
  std::size_t Count = 0;
  for (const nlohmann::json &Key : listOf(Config, "keys"))
    Count += fieldText(Key, "account") == Account ? 1 : 0;
  return std::to_string(Count);
}

void printAccounts(CommandContext &Context, const nlohmann::json &Config,
                   const nlohmann::json &Accounts) {
  base::Table Out({"ACCOUNT", "TOKENS/S", "BURST", "WEIGHT", "KEYS"});
  for (const nlohmann::json &Each : Accounts)
    Out.add({fieldText(Each, "account"), fieldText(Each, "tokens_per_second"),
             fieldText(Each, "burst_tokens"), fieldText(Each, "weight"),
             keyCount(Config, fieldText(Each, "account"))});
  Out.print(Context.Out);
}

ExitCode list(CommandContext &Context) {
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  const nlohmann::json &Accounts = listOf(*Config, "accounts");
  if (Context.Json)
    Context.Out << Accounts.dump() << '\n';
  else
    printAccounts(Context, *Config, Accounts);
  return ExitCode::Ok;
}

ExitCode show(CommandContext &Context) {
  std::string Name = Context.text("account");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  const nlohmann::json *Found = findNamed(*Config, "accounts", "account", Name);
  if (Found == nullptr)
    return reportMissing(Context, "account", Name);
  if (Context.Json)
    Context.Out << Found->dump() << '\n';
  else
    printAccounts(Context, *Config, nlohmann::json::array({*Found}));
  return ExitCode::Ok;
}

} // namespace

std::vector<Command> accountCommands() {
  return {
      {"account",
       "create",
       {"account"},
       "create a client account with its rate and burst",
       {"kingcuphub account create acme --rate 500 --burst 5000"},
       describeRate,
       create},
      {"account",
       "list",
       {},
       "list the client accounts",
       {"kingcuphub account list", "kingcuphub account list --json"},
       {},
       list},
      {"account",
       "show",
       {"account"},
       "show one client account",
       {"kingcuphub account show acme"},
       {},
       show},
      {"account",
       "set-rate",
       {"account"},
       "change a client account's rate, burst or weight",
       {"kingcuphub account set-rate acme --rate 800",
        "kingcuphub account set-rate acme --rate 800 --burst 8000"},
       describeRate,
       setRate},
      {"account",
       "delete",
       {"account"},
       "delete a client account; its keys stop working",
       {"kingcuphub account delete acme"},
       {},
       deleteAccount},
  };
}

} // namespace kingcuphub::cli
