#include "instance/settings.h"

#include <algorithm>

namespace kingcuphub::instance {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ShortestGrace{1000};
constexpr milliseconds LongestGrace{600000};
constexpr milliseconds ShortestLease{500};
constexpr milliseconds LongestLease{60000};
constexpr milliseconds ShortestWindow{1000};
constexpr milliseconds ShortestHeartbeat{100};
constexpr milliseconds LongestHeartbeat{60000};
/// One renewal may fail before the lease lapses.
constexpr int RenewalsPerLease = 3;
constexpr milliseconds LongestWindow{600000};
constexpr double MostRepeats = 1e6;
constexpr double LeastProcessor = 0.01;
constexpr double MostProcessor = 1024;
constexpr double LeastLink = 0.1;
constexpr double MostLink = 1e6;
constexpr std::int64_t LeastMegabytes = 64;
constexpr std::int64_t MostMegabytes = 1 << 20;
constexpr std::size_t Megabyte = 1U << 20U;

base::Endpoint requiredEndpoint(base::SettingsReader &Reader,
                                const std::string &Name) {
  if (!Reader.has(Name))
    Reader.problem(Name, "nothing", "write ADDRESS:PORT");
  return base::readEndpoint(Reader, Name, "127.0.0.1:0");
}

void readDuties(base::SettingsReader &Reader, DutySettings &To) {
  constexpr const char *Usage = "usage";
  constexpr const char *Scaling = "scaling";
  To.Address = requiredEndpoint(Reader, "address");
  std::vector<std::string> Calls = Reader.texts("calls");
  To.ReportsUsage = std::find(Calls.begin(), Calls.end(), Usage) != Calls.end();
  To.OrdersTargets =
      std::find(Calls.begin(), Calls.end(), Scaling) != Calls.end();
  To.UsageWindow = Reader.millis("usage_window_ms", To.UsageWindow,
                                 ShortestWindow, LongestWindow);
  To.UsageDueAfter = Reader.millis("usage_due_after_ms", To.UsageDueAfter,
                                   ShortestWindow, LongestWindow);
}

pacing::SamplingMode readSampling(base::SettingsReader &Reader) {
  std::string Text =
      Reader.oneOf("target_figures", "stated", {"off", "stated", "all"});
  if (Text == "off")
    return pacing::SamplingMode::Off;
  return Text == "all" ? pacing::SamplingMode::All
                       : pacing::SamplingMode::WhereSlownessIsStated;
}

void readStop(base::SettingsReader &Reader, StopSettings &To) {
  To.Grace = Reader.millis("grace_ms", To.Grace, ShortestGrace, LongestGrace);
  To.AcceptFor = Reader.millis("accept_for_ms", To.AcceptFor, milliseconds(0),
                               LongestGrace);
  To.Reserve =
      Reader.millis("reserve_ms", To.Reserve, milliseconds(0), LongestGrace);
  if (To.AcceptFor + To.Reserve >= To.Grace)
    Reader.problem("accept_for_ms", std::to_string(To.AcceptFor.count()),
                   "leave time between it and grace_ms less reserve_ms");
}

void readRepeats(base::SettingsReader &Reader,
                 dispatch::RetryBudgetSettings &To) {
  To.Ratio = Reader.real("ratio", To.Ratio, 0, 1);
  To.Extra = Reader.real("extra", To.Extra, 0, MostRepeats);
  auto Default = std::chrono::duration_cast<milliseconds>(To.Window);
  To.Window =
      Reader.millis("window_ms", Default, ShortestWindow, LongestWindow);
}

void readCapacity(base::SettingsReader &Reader, Settings &To) {
  residency::Capacity &Hardware = To.Capacity;
  Hardware.Processor = Reader.real("processor", Hardware.Processor,
                                   LeastProcessor, MostProcessor);
  Hardware.Link = Reader.real("link_mbps", Hardware.Link, LeastLink, MostLink);
  std::int64_t Megabytes = Reader.number(
      "memory_mb", static_cast<std::int64_t>(To.Memory / Megabyte),
      LeastMegabytes, MostMegabytes);
  To.Memory = static_cast<std::size_t>(Megabytes) * Megabyte;
}

} // namespace

residency::HolderLeaseSettings Settings::lease() const {
  residency::HolderLeaseSettings Out;
  Out.Duration = this->Lease;
  Out.RenewEvery = this->Lease / RenewalsPerLease;
  Out.OrderTurn = this->OrderTurn;
  Out.Handicap = residency::claimHandicap(this->Capacity);
  return Out;
}

Settings parseSettings(base::SettingsReader &Reader) {
  Settings Out;
  Out.Name.Value = Reader.requiredText("name");
  Out.Zone.Value = Reader.requiredText("zone");
  Out.Callers = requiredEndpoint(Reader, "callers");
  Out.Readiness = requiredEndpoint(Reader, "readiness");
  Out.Metrics = requiredEndpoint(Reader, "metrics");
  Out.Link = requiredEndpoint(Reader, "link");
  Out.Store = requiredEndpoint(Reader, "store");
  Out.Lease = Reader.millis("lease_ms", Out.Lease, ShortestLease, LongestLease);
  if (!Out.lease().leavesTimeForOrders())
    Reader.problem("lease_ms", std::to_string(Out.Lease.count()),
                   "too short for an order to arrive between two renewals");
  Out.OrderTurn = Reader.millis("order_turn_ms", Out.OrderTurn, milliseconds(0),
                                LongestLease);
  Out.UsageWindow = Reader.millis("usage_window_ms", Out.UsageWindow,
                                  ShortestWindow, LongestWindow);
  // A change is in force when its caller's request has come in, some network
  // time after it was sent.
  constexpr milliseconds OnItsWay{200};
  Out.Bounds.Catalog =
      Reader.millis("catalog_applies_within_ms", Out.Bounds.Catalog,
                    ShortestWindow, LongestWindow);
  Out.CatalogProofFor = Out.Bounds.Catalog - OnItsWay;
  Out.Bounds.Leaving =
      Reader.millis("leaving_applies_within_ms", Out.Bounds.Leaving,
                    ShortestWindow, LongestWindow);
  Out.TargetHeartbeat =
      Reader.millis("target_heartbeat_ms", Out.TargetHeartbeat,
                    ShortestHeartbeat, LongestHeartbeat);
  Out.Sampling = readSampling(Reader);
  Out.Level = base::parseLogLevel(
      Reader.oneOf("log_level", "info", {"debug", "info", "warn", "error"}));
  Reader.object("capacity", [&Out](base::SettingsReader &Nested) {
    readCapacity(Nested, Out);
  });
  if (Reader.has("duties"))
    Reader.object("duties", [&Out](base::SettingsReader &Nested) {
      readDuties(Nested, Out.Duties.emplace());
    });
  Reader.object("stop", [&Out](base::SettingsReader &Nested) {
    readStop(Nested, Out.Stop);
  });
  Reader.object("repeats", [&Out](base::SettingsReader &Nested) {
    readRepeats(Nested, Out.Repeats);
  });
  return Out;
}

nlohmann::json exampleSettings() {
  return {{"name", "instance-1"},        {"zone", "zone-a"},
          {"callers", "127.0.0.1:8080"}, {"readiness", "127.0.0.1:8081"},
          {"metrics", "127.0.0.1:8082"}, {"link", "127.0.0.1:7600"},
          {"store", "127.0.0.1:9000"}};
}

} // namespace kingcuphub::instance
