#include "operatorsapi.h"

#include "apijson.h"
#include "base/hashing.h"
#include "base/log.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace kingcuphub::agent {

namespace {

constexpr std::chrono::milliseconds DefaultWait{5000};
constexpr std::chrono::milliseconds MaxWait{60000};
constexpr std::string_view BearerPrefix = "Bearer ";

/// A whole number of the query; \p Default where there is none.
std::uint64_t numberOf(const http::Request &Request, std::string_view Name,
                       std::uint64_t Default) {
  std::string Text = Request.parameter(Name);
  std::uint64_t Value = 0;
  auto [End, Failed] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool Whole = Failed == std::errc() && End == Text.data() + Text.size();
  return Whole && !Text.empty() ? Value : Default;
}

std::chrono::milliseconds waitOf(const http::Request &Request) {
  std::uint64_t Asked = numberOf(Request, "wait_ms", DefaultWait.count());
  return std::min(std::chrono::milliseconds(std::min<std::uint64_t>(
                      Asked, static_cast<std::uint64_t>(MaxWait.count()))),
                  MaxWait);
}

http::Response jsonText(const nlohmann::json &Body) {
  return http::jsonResponse(
      200, Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

OperatorsApi::OperatorsApi(AgentContext &Context, Changes &Writer,
                           const std::vector<std::unique_ptr<AgentPart>> &Parts)
    : Context(Context), Writer(Writer), Parts(Parts) {}

base::Result<void> OperatorsApi::listen(const std::string &Endpoint) {
  std::size_t Colon = Endpoint.rfind(':');
  http::ServerSettings Settings;
  Settings.Address = Endpoint.substr(0, Colon);
  Settings.Port =
      static_cast<std::uint16_t>(std::stoul(Endpoint.substr(Colon + 1)));
  auto Made = http::startHttpServer(
      this->Context.Loop, Settings,
      [this](http::Request Request, const http::ResponseWriterPtr &Answer) {
        this->handle(Request, Answer);
      });
  if (!Made)
    return tl::unexpected<base::Error>(Made.error());
  this->Server = std::move(*Made);
  return {};
}

const OperatorSettings *
OperatorsApi::authenticate(const http::Request &Request) const {
  std::string_view Header = Request.header("Authorization");
  if (Header.substr(0, BearerPrefix.size()) != BearerPrefix)
    return nullptr;
  std::string Hash = base::secureHash(Header.substr(BearerPrefix.size()));
  const OperatorSettings *Found = nullptr;
  for (const OperatorSettings &Each : this->Context.Settings.Operators)
    if (base::equalConstantTime(Each.TokenHash, Hash))
      Found = &Each;
  return Found;
}

void OperatorsApi::handle(const http::Request &Request,
                          const http::ResponseWriterPtr &Answer) {
  if (this->handleOpen(Request, Answer))
    return;
  const OperatorSettings *Author = this->authenticate(Request);
  if (Author == nullptr)
    return Answer->respond(http::jsonResponse(
        401, errorJson("unauthorized",
                       "send Authorization: Bearer with the token of an "
                       "operator of this deployment")));
  bool IsGet = Request.Method == "GET";
  if (IsGet && Request.Path == "/v1/status")
    return Answer->respond(this->status());
  if (IsGet && Request.Path == "/v1/config")
    return Answer->respond(
        http::jsonResponse(200, configJson(this->Context.Config)));
  if (IsGet && Request.Path == "/v1/reach")
    return Answer->respond(this->reach(Request));
  if (Request.Method == "POST" && Request.Path == "/v1/changes")
    return this->handleChange(Request, Answer, *Author);
  Answer->respond(http::jsonResponse(
      404, errorJson("not_found",
                     "there is no such call; use GET /v1/status, /v1/config, "
                     "/v1/reach or POST /v1/changes")));
}

bool OperatorsApi::handleOpen(const http::Request &Request,
                              const http::ResponseWriterPtr &Answer) const {
  if (Request.Method != "GET")
    return false;
  if (Request.Path == "/ready") {
    Answer->respond(this->readiness());
    return true;
  }
  if (Request.Path == "/metrics") {
    Answer->respond(this->metrics());
    return true;
  }
  return false;
}

void OperatorsApi::handleChange(const http::Request &Request,
                                const http::ResponseWriterPtr &Answer,
                                const OperatorSettings &Author) {
  auto Record = parseChange(Request.Body);
  if (!Record)
    return Answer->respond(http::jsonResponse(
        400, errorJson("malformed_change", Record.error().Message)));
  if (this->Draining)
    return Answer->respond(http::jsonResponse(
        503, errorJson("stopping", "this instance is stopping and has changed "
                                   "nothing; ask another one")));
  Record->set_author(Author.Name);
  if (Record->base_offset() == 0)
    Record->set_base_offset(this->Context.Config.config()->Next.Value);
  base::logEvent(base::LogLevel::Info, "change_submitted",
                 {{"record", Record->id()},
                  {"object", state::objectOf(*Record)},
                  {"operator", Author.Name}});
  this->Writer.submit(std::move(*Record), waitOf(Request),
                      [Answer](const ChangeAnswer &Outcome) {
                        Answer->respond(jsonText(changeJson(Outcome)));
                      });
}

http::Response OperatorsApi::readiness() const {
  FreshnessProof Proof = this->Context.Freshness.proof();
  bool Ready = !this->Draining && Proof.At.has_value();
  std::string Why = this->Draining ? "stopping" : Proof.Reason;
  http::Response Out = jsonText({{"ready", Ready}, {"why", Why}});
  Out.Status = Ready ? 200 : 503;
  return Out;
}

http::Response OperatorsApi::metrics() const {
  nlohmann::json Counters = nlohmann::json::array();
  auto Add = [&Counters](const char *Name, std::uint64_t Value) {
    Counters.push_back({{"name", Name},
                        {"labels", nlohmann::json::object()},
                        {"value", Value}});
  };
  messaging::TrafficCount Peers = this->Context.Peers.server().traffic();
  Add("config_offset", this->Context.Config.config()->Next.Value);
  Add("system_offset", this->Context.System.next().Value);
  Add("peer_messages_in", Peers.MessagesIn);
  Add("peer_bytes_in", Peers.BytesIn);
  Add("peer_keys_refused", this->Context.Messaging.refusedKeys());
  std::size_t Accelerators = 0;
  for (const auto &[Id, Target] : this->Context.Config.config()->Targets)
    Accelerators += Target.Accelerators.size();
  Add("accelerators", Accelerators);
  return jsonText(
      {{"program", "kingcuphub-agent"},
       {"instance", this->Context.Self.Instance.Value},
       {"zone", this->Context.Self.Zone.Value},
       {"time_ms", this->Context.Clock.wallNow().time_since_epoch().count()},
       {"counters", Counters},
       {"histograms", nlohmann::json::array()},
       {"windows", nlohmann::json::array()}});
}

http::Response OperatorsApi::status() const {
  nlohmann::json Out =
      statusJson(this->Context, this->Context.Freshness.proof());
  for (const std::unique_ptr<AgentPart> &Part : this->Parts)
    Out[std::string(Part->name())] = Part->status();
  return jsonText(Out);
}

http::Response OperatorsApi::reach(const http::Request &Request) const {
  std::uint64_t Offset = numberOf(Request, "offset", 0);
  nlohmann::json InForce = nlohmann::json::array();
  nlohmann::json Lagging = nlohmann::json::array();
  for (const auto &[Instance, Next] : this->Context.InstanceReach.offsets())
    (Next.Value > Offset ? InForce : Lagging).push_back(Instance.Value);
  return jsonText({{"in_force", InForce}, {"lagging", Lagging}});
}

} // namespace kingcuphub::agent
