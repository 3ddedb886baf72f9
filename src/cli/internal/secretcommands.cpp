#include "base/hashing.h"
#include "cli/command.h"
#include "messaging/messaging.h"

namespace kingcuphub::cli {

namespace {

constexpr std::size_t TokenBytes = 24;

ExitCode peerKeys(CommandContext &Context) {
  messaging::CurveKeys Keys = messaging::makeCurveKeys();
  Context.Out << nlohmann::json(
                     {{"public_key", Keys.Public}, {"secret_key", Keys.Secret}})
                     .dump()
              << '\n';
  return ExitCode::Ok;
}

ExitCode operatorToken(CommandContext &Context) {
  std::string Token = base::randomHex(TokenBytes);
  Context.Out << nlohmann::json({{"name", Context.text("name")},
                                 {"token", Token},
                                 {"token_hash", base::secureHash(Token)}})
                     .dump()
              << '\n';
  return ExitCode::Ok;
}

} // namespace

std::vector<Command> secretCommands() {
  return {
      {"peer-keys",
       "",
       {},
       "make the key pair that a deployment's agents share, as JSON",
       {"kingcuphub peer-keys"},
       {},
       peerKeys,
       false},
      {"operator-token",
       "",
       {"name"},
       "make a token for an operator and its hash for the agents' settings",
       {"kingcuphub operator-token ilze"},
       {},
       operatorToken,
       false},
  };
}

} // namespace kingcuphub::cli
