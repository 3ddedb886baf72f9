#include "agent/settings.h"

#include "base/endpoint.h"

namespace kingcuphub::agent {

namespace {

constexpr std::size_t HashDigits = 64;
constexpr std::size_t KeyCharacters = 40;
constexpr std::chrono::milliseconds MinFreshness{1000};
constexpr std::chrono::milliseconds MaxFreshness{60000};
constexpr std::chrono::milliseconds MinSnapshotInterval{1000};
constexpr std::chrono::milliseconds MaxSnapshotInterval{3600000};

constexpr std::chrono::milliseconds MinPlanInterval{100};
constexpr double MostTokensPerSecond = 1e9;
constexpr std::int64_t MostLoads = 10000;

std::string listenText(base::SettingsReader &Reader) {
  return base::readEndpoint(Reader, "listen", "127.0.0.1:0").text();
}

void checkKey(base::SettingsReader &Reader, const char *Name,
              const std::string &Key) {
  if (!Key.empty() && Key.size() != KeyCharacters)
    Reader.problem(Name, std::to_string(Key.size()) + " characters",
                   "write a CURVE key of 40 Z85 characters");
}

void readPeer(base::SettingsReader &Reader, AgentSettings &To) {
  To.PeerListen = listenText(Reader);
  messaging::CurveKeys Keys;
  Keys.Public = Reader.text("public_key", "");
  Keys.Secret = Reader.text("secret_key", "");
  checkKey(Reader, "public_key", Keys.Public);
  checkKey(Reader, "secret_key", Keys.Secret);
  if (Keys.Public.empty() != Keys.Secret.empty())
    Reader.problem(Keys.Public.empty() ? "public_key" : "secret_key", "nothing",
                   "give both keys of the pair or neither");
  if (!Keys.Public.empty())
    To.PeerKeys = Keys;
}

void readOperator(base::SettingsReader &Reader, AgentSettings &To) {
  OperatorSettings New;
  New.Name = Reader.requiredText("name");
  New.TokenHash = Reader.requiredText("token_hash");
  if (!New.TokenHash.empty() && New.TokenHash.size() != HashDigits)
    Reader.problem("token_hash",
                   std::to_string(New.TokenHash.size()) + " characters",
                   "write the 64 hex digits of the token's BLAKE2b hash");
  To.Operators.push_back(New);
}

void readPlacement(base::SettingsReader &Reader, PlacementSettings &To) {
  To.Enabled = Reader.flag("enabled", To.Enabled);
  To.AcceleratorTokensPerSecond =
      Reader.real("accelerator_tokens_per_second",
                  To.AcceleratorTokensPerSecond, 1, MostTokensPerSecond);
  To.ReplicaTokensPerSecond =
      Reader.real("replica_tokens_per_second", To.ReplicaTokensPerSecond, 1,
                  MostTokensPerSecond);
  To.LoadsPerSecond =
      Reader.real("loads_per_second", To.LoadsPerSecond, 0, MostLoads);
  To.LoadsAtOnce = Reader.number("loads_at_once", To.LoadsAtOnce, 1, MostLoads);
  To.AdapterLoadsAtOnce = Reader.number("adapter_loads_at_once",
                                        To.AdapterLoadsAtOnce, 1, MostLoads);
  To.PlanInterval = Reader.millis("plan_interval_ms", To.PlanInterval,
                                  MinPlanInterval, MaxFreshness);
  To.ReportLag = Reader.millis("report_lag_ms", To.ReportLag,
                               std::chrono::milliseconds(0), MaxFreshness);
}

} // namespace

AgentSettings parseAgentSettings(base::SettingsReader &Reader) {
  AgentSettings To;
  To.Deployment = Reader.requiredText("deployment");
  To.Zone = {Reader.requiredText("zone")};
  To.PlatformUrl = Reader.requiredText("platform_url");
  if (!To.PlatformUrl.empty() && To.PlatformUrl.rfind("http://", 0) != 0)
    Reader.problem("platform_url", '"' + To.PlatformUrl + '"',
                   "write http://ADDRESS:PORT");
  Reader.object("peer",
                [&To](base::SettingsReader &Peer) { readPeer(Peer, To); });
  Reader.object("link", [&To](base::SettingsReader &Link) {
    To.LinkListen = listenText(Link);
  });
  Reader.object("api", [&To](base::SettingsReader &Api) {
    To.ApiListen = listenText(Api);
    Api.objects("operators", [&To](base::SettingsReader &Operator) {
      readOperator(Operator, To);
    });
  });
  To.LogLevel =
      Reader.oneOf("log_level", "info", {"debug", "info", "warn", "error"});
  To.Freshness =
      Reader.millis("freshness_ms", To.Freshness, MinFreshness, MaxFreshness);
  To.SnapshotInterval =
      Reader.millis("snapshot_interval_ms", To.SnapshotInterval,
                    MinSnapshotInterval, MaxSnapshotInterval);
  Reader.object("placement", [&To](base::SettingsReader &Placement) {
    readPlacement(Placement, To.Placement);
  });
  return To;
}

} // namespace kingcuphub::agent
