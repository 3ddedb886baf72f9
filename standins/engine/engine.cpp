#include "engine.h"

#include "base/hashing.h"

#include <cstdlib>
#include <utility>

namespace kingcuphub::standin {

namespace {

constexpr std::chrono::milliseconds ReportInterval(20);

void answerJson(const http::ResponseWriterPtr &Answer,
                const nlohmann::json &Body) {
  Answer->respond(http::jsonResponse(200, Body.dump()));
}

std::string requestIdOf(const http::Request &Asked) {
  nlohmann::json Body = parseBody(Asked.Body);
  if (!Body.is_object() || !Body.contains("request_id") ||
      !Body["request_id"].is_string())
    return "";
  return Body["request_id"].get<std::string>();
}

} // namespace

const std::map<std::string, Engine::Handler> Engine::Calls = {
    {"POST /v1/chat/completions", &Engine::handleCompletion},
    {"POST /v1/completions", &Engine::handleCompletion},
    {"POST /v1/cancel", &Engine::handleCancel},
    {"GET /v1/load", &Engine::handleLoad},
    {"POST /v1/orders", &Engine::handleOrder},
    {"GET /v1/cache-events", &Engine::handleCacheEvents},
    {"POST /v1/kv/export", &Engine::handleExport},
    {"POST /v1/kv/import", &Engine::handleImport},
    {"GET /admin/ledger", &Engine::handleLedger},
    {"POST /admin/faults", &Engine::handleFaults},
};

Engine::Engine(asio::io_context &Loop, const base::Clock &Clock,
               const EngineSettings &Settings)
    : Clock(Clock), Settings(Settings), Faults(Settings.Faults),
      Residents(this->Settings), Requests(Loop, Clock, this->Settings),
      Cache(this->Settings),
      Changes(Loop, Clock, this->Settings, this->Residents,
              [this](const std::string &Model) {
                return this->Requests.uses(Model);
              }),
      ReportTimer(Loop),
      Incarnation(Clock.wallNow().time_since_epoch().count()) {
  this->recordReport();
  this->scheduleReport();
}

bool Engine::idle() const {
  return this->Requests.running() == 0 && this->Requests.waiting() == 0 &&
         this->Changes.running() == 0;
}

void Engine::handle(const http::Request &Asked,
                    http::ResponseWriterPtr Answer) {
  if (auto Found = Calls.find(Asked.Method + " " + Asked.Path);
      Found != Calls.end())
    return (this->*Found->second)(Asked, Answer);
  Answer->respond(
      errorResponse(404, "not_found", "no_such_path", "no such call"));
}

void Engine::handleCompletion(const http::Request &Asked,
                              const http::ResponseWriterPtr &Answer) {
  auto Parsed = parseCompletion(Asked, parseBody(Asked.Body));
  if (!Parsed)
    return Answer->respond(errorResponse(400, "invalid_request_error",
                                         "bad_body", "send a model and text"));
  TargetFaults Active = takeFaults(this->Faults);
  if (Active.Refuse)
    return Answer->respond(errorResponse(503, "unavailable", "not_run",
                                         "refused without running"));
  if (!this->Residents.serves(Parsed->Source.Model))
    return Answer->respond(errorResponse(404, "not_found", "model_not_found",
                                         "the model is not resident"));
  PromptSource Before = std::exchange(this->Previous, Parsed->Source);
  this->Cache.store(this->Clock.now(), Parsed->Source.Model,
                    Parsed->Source.Prompt);
  PromptSource Shown = Active.CrossAnswers ? Before : Parsed->Source;
  this->Requests.add(
      std::make_shared<Generation>(*std::move(Parsed), Shown, Active, Answer));
}

void Engine::handleCancel(const http::Request &Asked,
                          const http::ResponseWriterPtr &Answer) {
  bool Found = this->Requests.cancel(requestIdOf(Asked));
  answerJson(Answer, {{"result", Found ? "cancelled" : "not_running"}});
}

void Engine::recordReport() {
  nlohmann::json Body = this->Residents.report();
  Body["incarnation"] = this->Incarnation;
  Body["sequence"] = ++this->ReportSequence;
  Body["running"] = this->Requests.running();
  Body["waiting"] = this->Requests.waiting();
  Body["cold"] = this->Requests.cold();
  this->Reports.push_back({this->Clock.now(), std::move(Body)});
}

void Engine::scheduleReport() {
  this->ReportTimer.expires_after(ReportInterval);
  this->ReportTimer.async_wait([this](std::error_code Failure) {
    if (Failure)
      return;
    this->recordReport();
    base::TimePoint Seen = this->Clock.now() - this->Faults.ReportLag.value_or(
                                                   this->Settings.ReportLag);
    while (this->Reports.size() > 1 && this->Reports[1].At <= Seen)
      this->Reports.pop_front();
    this->scheduleReport();
  });
}

void Engine::handleLoad(const http::Request &,
                        const http::ResponseWriterPtr &Answer) {
  auto Lag = this->Faults.ReportLag.value_or(this->Settings.ReportLag);
  if (Lag.count() == 0) {
    this->recordReport();
    return answerJson(Answer, this->Reports.back().Body);
  }
  answerJson(Answer, this->Reports.front().Body);
}

void Engine::handleOrder(const http::Request &Asked,
                         const http::ResponseWriterPtr &Answer) {
  this->Changes.handle(parseBody(Asked.Body), Answer, takeFaults(this->Faults));
}

void Engine::handleCacheEvents(const http::Request &Asked,
                               const http::ResponseWriterPtr &Answer) {
  std::uint64_t From =
      std::strtoull(Asked.parameter("from").c_str(), nullptr, 10);
  answerJson(Answer, this->Cache.events(this->Clock.now(), From));
}

void Engine::handleExport(const http::Request &Asked,
                          const http::ResponseWriterPtr &Answer) {
  const Generation *Found = this->Requests.find(requestIdOf(Asked));
  if (Found == nullptr)
    return Answer->respond(errorResponse(404, "not_found", "no_such_request",
                                         "the request does not run here"));
  nlohmann::json Content = {{"model", Found->asked().Source.Model},
                            {"prompt", Found->asked().Source.Prompt},
                            {"tokens", Found->made()}};
  answerJson(Answer, {{"blob", base::toBase64(Content.dump())}});
}

void Engine::handleImport(const http::Request &Asked,
                          const http::ResponseWriterPtr &Answer) {
  nlohmann::json Body = parseBody(Asked.Body);
  std::string Blob = Body.is_object() ? Body.value("blob", "") : "";
  nlohmann::json Content = parseBody(base::fromBase64(Blob));
  if (!Content.is_object())
    return Answer->respond(errorResponse(400, "invalid_request", "bad_blob",
                                         "send a blob of an export"));
  this->Cache.store(this->Clock.now(), Content.value("model", ""),
                    Content.value("prompt", ""));
  answerJson(Answer, {{"result", "done"}});
}

void Engine::handleLedger(const http::Request &,
                          const http::ResponseWriterPtr &Answer) {
  nlohmann::json Out = this->Requests.ledger().json();
  Out["max_used_bytes"] = this->Residents.mostUsed();
  Out["orders_refused"] = this->Changes.refused();
  answerJson(Answer, Out);
}

void Engine::handleFaults(const http::Request &Asked,
                          const http::ResponseWriterPtr &Answer) {
  nlohmann::json Body = parseBody(Asked.Body);
  std::vector<base::SettingsProblem> Problems;
  base::SettingsReader Reader(Body, "", Problems);
  TargetFaults New = readFaults(Reader, this->Faults);
  Reader.finish();
  if (!Body.is_object() || !Problems.empty())
    return Answer->respond(
        errorResponse(400, "invalid_request", "bad_fault",
                      base::settingsError(Problems).Message));
  this->Faults = New;
  this->Requests.setFaults(New);
  answerJson(Answer, {{"result", "done"}});
}

} // namespace kingcuphub::standin
