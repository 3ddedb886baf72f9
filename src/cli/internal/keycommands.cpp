#include "base/hashing.h"
#include "base/table.h"
#include "cli/command.h"

namespace kingcuphub::cli {

namespace {

constexpr std::size_t SecretBytes = 24;
constexpr std::size_t KeyNameBytes = 4;
constexpr const char *SecretPrefix = "kch-";

/// The secret goes to the operator unless the key certainly does not exist.
bool mayExist(ExitCode Code) {
  return Code == ExitCode::Ok || Code == ExitCode::NotEverywhere ||
         Code == ExitCode::Pending;
}

ExitCode create(CommandContext &Context) {
  std::string Account = Context.text("account");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  if (findNamed(*Config, "accounts", "account", Account) == nullptr)
    return reportMissing(Context, "account", Account);
  std::string Name = Context.has("name")
                         ? Context.text("name")
                         : Account + "-" + base::randomHex(KeyNameBytes);
  std::string Secret = SecretPrefix + base::randomHex(SecretBytes);
  Change Wanted{{{"key_put",
                  {{"key", Name},
                   {"account", Account},
                   {"secret_hash", base::secureHash(Secret)}}}},
                baseOffsetOf(*Config),
                "key " + Name,
                "key list"};
  ExitCode Code =
      runChange(Context, Wanted, {{"key", Name}, {"secret", Secret}});
  if (!Context.Json && mayExist(Code))
    Context.Out << "secret: " << Secret
                << "\nit is shown this once and kept nowhere; hand it to the "
                   "account's owner\n";
  return Code;
}

ExitCode list(CommandContext &Context) {
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  std::string Account = Context.text("account");
  nlohmann::json Keys = nlohmann::json::array();
  for (const nlohmann::json &Each : listOf(*Config, "keys"))
    if (Account.empty() || fieldText(Each, "account") == Account)
      Keys.push_back({{"key", Each["key"]}, {"account", Each["account"]}});
  if (Context.Json) {
    Context.Out << Keys.dump() << '\n';
    return ExitCode::Ok;
  }
  base::Table Out({"KEY", "ACCOUNT"});
  for (const nlohmann::json &Each : Keys)
    Out.add({fieldText(Each, "key"), fieldText(Each, "account")});
  Out.print(Context.Out);
  return ExitCode::Ok;
}

ExitCode withdraw(CommandContext &Context) {
  std::string Name = Context.text("key");
  auto Config = readConfig(Context);
  if (!Config)
    return reportError(Context, Config.error());
  if (findNamed(*Config, "keys", "key", Name) == nullptr)
    return reportMissing(Context, "key", Name);
  return runChange(Context, {{{"key_withdraw", {{"key", Name}}}},
                             baseOffsetOf(*Config),
                             "key " + Name,
                             "key list"});
}

} // namespace

std::vector<Command> keyCommands() {
  return {
      {"key",
       "create",
       {"account"},
       "create a key for a client account; prints its secret once",
       {"kingcuphub key create acme", "kingcuphub key create acme --name ci"},
       [](cxxopts::Options &Options) {
         Options.add_options()("name", "the key's public name; made if absent",
                               cxxopts::value<std::string>(), "KEY");
       },
       create},
      {"key",
       "list",
       {},
       "list the keys that work, without their secrets",
       {"kingcuphub key list", "kingcuphub key list --account acme"},
       [](cxxopts::Options &Options) {
         Options.add_options()("account", "only this client account's",
                               cxxopts::value<std::string>(), "ACCOUNT");
       },
       list},
      {"key",
       "withdraw",
       {"key"},
       "withdraw a key for good; it stops working within seconds",
       {"kingcuphub key withdraw acme-1f2e3d4c"},
       {},
       withdraw},
  };
}

} // namespace kingcuphub::cli
