#include "traffic.h"

#include "base/hashing.h"
#include "base/log.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace kingcuphub::gateway {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds TickInterval{20};
constexpr std::chrono::milliseconds RetryLater{1000};
constexpr std::size_t RequestIdBytes = 12;
constexpr std::size_t MaxIdempotencyKey = 255;
/// Heads of the answers of all calls under way, which are in the tens of
/// thousands.
constexpr std::size_t MaxHeadBytesUnderWay = 256U << 20U;

bool isVisibleAscii(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char Each) { return Each > ' ' && Each < 127; });
}

std::optional<CompletionKind> completionKind(std::string_view Path) {
  if (Path == "/v1/chat/completions")
    return CompletionKind::Chat;
  if (Path == "/v1/completions")
    return CompletionKind::Text;
  return std::nullopt;
}

Refusal wrongMethod(const std::string &Wanted) {
  return {405, "invalid_request_error", "method_not_allowed",
          "This path takes " + Wanted + " only."};
}

Json modelEntry(const std::string &Name, const std::string &Owner) {
  return {
      {"id", Name}, {"object", "model"}, {"created", 0}, {"owned_by", Owner}};
}

} // namespace

Traffic::Traffic(asio::io_context &Loop, const Settings &Options,
                 const base::Clock &Clock,
                 std::function<void(wire::GatewayMessage)> ToAgent)
    : Loop(Loop),
      Timer(Loop), Context{Options,
                           Clock,
                           nullptr,
                           {},
                           Dispatcher({Options.Limits.QueueWait, Options.Zone},
                                      Clock, ToAgent),
                           Claims(ToAgent),
                           delivery::RetryBudget(Options.Retries)},
      Client(http::makeHttpClient(Loop, {MaxHeadBytesUnderWay})) {
  this->Context.Client = this->Client.get();
}

base::Result<void> Traffic::listen() {
  const Limits &Bounds = this->Context.Options.Limits;
  http::ServerSettings Listen;
  Listen.Address = this->Context.Options.ListenAddress;
  Listen.Port = this->Context.Options.ListenPort;
  // Above the limit that the handler answers, the connection ends as well.
  Listen.Limits.MaxBodyBytes = Bounds.BodyBytes * 4;
  Listen.Limits.MaxHeaderBytes = Bounds.HeaderBytes;
  Listen.Limits.ReadTimeout = Bounds.ReadTimeout;
  Listen.Limits.WriteTimeout = Bounds.WriteTimeout;
  auto Started = http::startHttpServer(
      this->Loop, Listen,
      [this](http::Request Asked, const http::ResponseWriterPtr &Answer) {
        this->handle(std::move(Asked), Answer);
      });
  if (!Started)
    return tl::unexpected(Started.error());
  this->Server = std::move(*Started);
  this->tick();
  return {};
}

void Traffic::tick() {
  base::TimePoint Now = this->Context.Clock.now();
  this->Context.Dispatch.onTime();
  for (std::size_t Index = 0; Index < this->Open.size(); ++Index)
    std::visit([Now](const auto &Each) { Each->onTime(Now); },
               Exchange(this->Open[Index]));
  std::erase_if(this->Open, [](const Exchange &One) {
    return std::visit([](const auto &Each) { return Each->finished(); }, One);
  });
  this->Timer.expires_after(TickInterval);
  this->Timer.async_wait([this](asio::error_code Failed) {
    if (!Failed)
      this->tick();
  });
}

void Traffic::close() {
  this->Timer.cancel();
  this->Context.Dispatch.stop();
  for (const Exchange &One : this->Open)
    std::visit([](const auto &Each) { Each->stop(); }, One);
  this->Context.Dispatch.credits().returnAll(this->Context.Clock.now());
  this->Server->close();
}

Traffic::~Traffic() { this->Context.Dispatch.stop(); }

void Traffic::onView(ControlView New) {
  bool Changed = New.Config != this->Context.View.Config;
  this->Context.View = std::move(New);
  this->Context.Dispatch.onGeneration(this->Context.View.CreditGeneration);
  if (Changed)
    this->Context.Dispatch.configure(*this->Context.View.Config);
}

void Traffic::onCredit(const wire::Credit &Credit) {
  this->Context.Dispatch.onCredit(Credit);
}

void Traffic::onVerdict(const wire::ClaimVerdict &Verdict) {
  this->Context.Claims.onVerdict(Verdict);
}

void Traffic::onReports(const wire::TargetReports &Reports) {
  this->Context.Dispatch.onReports(Reports);
}

void Traffic::handle(http::Request Asked,
                     const http::ResponseWriterPtr &Answer) {
  base::RequestId Id{base::randomHex(RequestIdBytes)};
  if (Asked.Path == "/ready" || Asked.Path == "/metrics") {
    http::Response Out =
        Asked.Path == "/ready" ? this->ready() : this->metrics();
    Out.Headers.push_back({"X-Request-Id", Id.Value});
    Answer->respond(Out);
    return;
  }
  if (Asked.Body.size() > this->Context.Options.Limits.BodyBytes)
    this->refuse(Answer,
                 {413, "invalid_request_error", "body_too_large",
                  "The body is over " +
                      std::to_string(this->Context.Options.Limits.BodyBytes) +
                      " bytes; send a shorter one."},
                 Id);
  else if (this->Open.size() >= this->Context.Options.Limits.OpenRequests)
    this->refuse(Answer,
                 unavailable("too_many_requests_open",
                             "This instance serves as many requests as it "
                             "can; repeat the request.",
                             RetryLater),
                 Id);
  else if (!this->Context.View.Config)
    this->refuse(Answer, staleRefusal(this->Context), Id);
  else
    this->dispatch(std::move(Asked), Answer, Id);
}

void Traffic::dispatch(http::Request Asked,
                       const http::ResponseWriterPtr &Answer,
                       const base::RequestId &Id) {
  const state::Config &Config = *this->Context.View.Config;
  if (Asked.Path == "/v1/models" || Asked.Path.rfind("/v1/models/", 0) == 0) {
    this->serveModelList(Asked, Answer, Id);
    return;
  }
  auto Kind = completionKind(Asked.Path);
  if (Kind && Asked.Method != "POST") {
    this->refuse(Answer, wrongMethod("POST"), Id);
    return;
  }
  const state::Route *Found = state::findRoute(Config, Asked.Path);
  if (!Kind && (Found == nullptr || Found->Services.empty())) {
    this->refuse(Answer,
                 notFound("unknown_path",
                          "There is no route for this path; check the path, "
                          "or have an operator add a route."),
                 Id);
    return;
  }
  state::Route Route = Kind ? this->modelRoute(Asked.Path) : *Found;
  auto Who = this->identify(Asked, Route, Id);
  if (!Who)
    this->refuse(Answer, Who.error(), Id);
  else if (Kind)
    this->serveModel(*Kind, std::move(*Who), std::move(Asked), Answer);
  else
    this->serveService(std::move(*Who), std::move(Asked), Answer);
}

state::Route Traffic::modelRoute(const std::string &Path) const {
  const state::Route *Found =
      state::findRoute(*this->Context.View.Config, Path);
  if (Found != nullptr && Found->Services.empty())
    return *Found;
  state::Route Default;
  Default.Id = {"models"};
  Default.PathPrefix = "/v1/";
  Default.Deadline = this->Context.Options.Limits.ModelDeadline;
  return Default;
}

tl::expected<Caller, Refusal>
Traffic::identify(const http::Request &Asked, const state::Route &Route,
                  const base::RequestId &Id) const {
  base::TimePoint Now = this->Context.Clock.now();
  if (!Route.OpenToAll && Now >= this->Context.View.FreshUntil)
    return tl::unexpected(staleRefusal(this->Context));
  auto Found = admission::authorize(*this->Context.View.Config, &Route,
                                    Asked.header("Authorization"));
  if (!Found)
    return tl::unexpected(invalidKey());
  return Caller{Id, std::move(*Found), Route, Now + Route.Deadline};
}

tl::expected<std::optional<wire::Claim>, Refusal>
Traffic::claimOf(const Caller &Who, const http::Request &Asked) const {
  if (Who.Route.Idempotent)
    return std::nullopt;
  std::string_view Key = Asked.header("Idempotency-Key");
  if (Key.empty() || Key.size() > MaxIdempotencyKey || !isVisibleAscii(Key))
    return tl::unexpected(badRequest(
        "idempotency_key_required",
        "Requests on this route run at most once; send an Idempotency-Key "
        "header of 1 to 255 visible ASCII characters, new for each action."));
  wire::Claim Claim;
  // A name that no account can have stands for the callers of an open route.
  Claim.set_account(Who.Route.OpenToAll ? "route:" + Who.Route.Id.Value
                                        : Who.account().Value);
  Claim.set_idempotency_key(std::string(Key));
  Claim.set_request_hash(base::secureHash(Asked.Method + "\n" + Asked.Path +
                                          "?" + Asked.Query + "\n" +
                                          Asked.Body));
  Claim.set_request(Who.Request.Value);
  return Claim;
}

std::optional<Refusal> Traffic::checkCost(const Caller &Who,
                                          base::Tokens Cost) const {
  if (Who.Route.OpenToAll)
    return std::nullopt;
  const auto &Accounts = this->Context.View.Config->Accounts;
  auto Found = Accounts.find(Who.account());
  if (Found == Accounts.end())
    return invalidKey();
  if (Cost <= Found->second.Burst)
    return std::nullopt;
  return badRequest("request_exceeds_burst",
                    "The request may cost " + std::to_string(Cost.Value) +
                        " tokens, the client account's burst is " +
                        std::to_string(Found->second.Burst.Value) +
                        "; lower max_tokens or shorten the prompt.");
}

bool Traffic::knowsModel(const std::string &Name) const {
  const auto &Models = this->Context.View.Config->Models;
  if (Models.count({Name}) != 0)
    return true;
  for (const auto &[Id, Each] : Models)
    for (const state::Adapter &Adapter : Each.Adapters)
      if (Adapter.Id.Value == Name)
        return true;
  return false;
}

void Traffic::serveModel(CompletionKind Kind, Caller Who, http::Request Asked,
                         const http::ResponseWriterPtr &Answer) {
  auto Parsed = parseCompletion(Kind, Asked.Body, this->Context.Options.Limits);
  if (!Parsed)
    return this->refuse(Answer, Parsed.error(), Who.Request);
  if (!this->knowsModel(Parsed->Model))
    return this->refuse(
        Answer,
        notFound("model_not_found", "There is no model '" + Parsed->Model +
                                        "'; list them by GET /v1/models."),
        Who.Request);
  if (auto Why =
          this->checkCost(Who, Parsed->PromptTokens + Parsed->OutputTokens))
    return this->refuse(Answer, *Why, Who.Request);
  auto Claim = this->claimOf(Who, Asked);
  if (!Claim)
    return this->refuse(Answer, Claim.error(), Who.Request);
  auto New = std::make_shared<ModelExchange>(this->Context, std::move(Who),
                                             std::move(*Parsed),
                                             std::move(*Claim), Answer);
  this->Open.emplace_back(New);
  New->start();
}

void Traffic::serveService(Caller Who, http::Request Asked,
                           const http::ResponseWriterPtr &Answer) {
  if (auto Why = this->checkCost(Who, Who.Route.Cost))
    return this->refuse(Answer, *Why, Who.Request);
  auto Claim = this->claimOf(Who, Asked);
  if (!Claim)
    return this->refuse(Answer, Claim.error(), Who.Request);
  auto New = std::make_shared<ServiceExchange>(this->Context, std::move(Who),
                                               std::move(Asked),
                                               std::move(*Claim), Answer);
  this->Open.emplace_back(New);
  New->start();
}

void Traffic::serveModelList(const http::Request &Asked,
                             const http::ResponseWriterPtr &Answer,
                             const base::RequestId &Id) {
  if (Asked.Method != "GET")
    return this->refuse(Answer, wrongMethod("GET"), Id);
  state::Route Route = this->modelRoute(Asked.Path);
  if (auto Who = this->identify(Asked, Route, Id); !Who)
    return this->refuse(Answer, Who.error(), Id);
  Json Data = Json::array();
  for (const auto &[Name, Each] : this->Context.View.Config->Models) {
    Data.push_back(modelEntry(Name.Value, "kingcuphub"));
    for (const state::Adapter &Adapter : Each.Adapters)
      Data.push_back(modelEntry(Adapter.Id.Value, Name.Value));
  }
  Json Body = {{"object", "list"}, {"data", Data}};
  constexpr std::string_view OnePrefix = "/v1/models/";
  if (Asked.Path.size() > OnePrefix.size()) {
    std::string Name = Asked.Path.substr(OnePrefix.size());
    auto Found = std::find_if(Data.begin(), Data.end(), [&](const Json &One) {
      return One["id"] == Name;
    });
    if (Found == Data.end())
      return this->refuse(Answer,
                          notFound("model_not_found",
                                   "There is no such model; list them by "
                                   "GET /v1/models."),
                          Id);
    Body = *Found;
  }
  http::Response Out = http::jsonResponse(200, Body.dump());
  Out.Headers.push_back({"X-Request-Id", Id.Value});
  Answer->respond(Out);
}

std::string Traffic::whyNotReady() const {
  if (this->Draining)
    return "draining: the instance is leaving";
  if (!this->Context.View.Config ||
      this->Context.Clock.now() >= this->Context.View.FreshUntil)
    return "state not fresh: " + this->Context.View.Reason;
  return {};
}

http::Response Traffic::ready() const {
  std::string Why = this->whyNotReady();
  Json Body = {{"ready", Why.empty()}, {"reason", Why}};
  return http::jsonResponse(Why.empty() ? 200 : 503, Body.dump());
}

http::Response Traffic::metrics() {
  metrics::Registry &Metrics = this->Context.Metrics;
  auto Set = [&Metrics](const char *Name, std::uint64_t Value) {
    Metrics.counter(Name).set(static_cast<std::int64_t>(Value));
  };
  Set("open_requests", this->Open.size());
  Set("open_connections", this->Server->openConnections());
  Set("waiting_requests", this->Context.Dispatch.waiting());
  Set("retries", this->Context.Budget.taken());
  Set("retries_over_budget", this->Context.Budget.refused());
  std::string Instance =
      this->Context.Options.ListenAddress + ":" + std::to_string(this->port());
  nlohmann::json Body =
      Metrics.json({"kingcuphub-gateway", Instance, this->Context.Options.Zone},
                   this->Context.Clock);
  return http::jsonResponse(200, Body.dump());
}

void Traffic::refuse(const http::ResponseWriterPtr &Answer, const Refusal &Why,
                     const base::RequestId &Id) {
  countRefusal(this->Context.Metrics, "", Why);
  base::logEvent(base::LogLevel::Info, "request_refused",
                 {{"request", Id.Value}, {"code", Why.Code}});
  Answer->respond(refusalResponse(Why, Id));
}

} // namespace kingcuphub::gateway
