#include "service.h"

#include "common/later.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace kingcuphub::standin {

ServiceSettings readServiceSettings(base::SettingsReader &Reader) {
  ServiceSettings Out;
  Out.Process = readProcessSettings(Reader, "service");
  Reader.object("faults", [&Out](base::SettingsReader &Faults) {
    Out.Faults = readFaults(Faults, {});
  });
  return Out;
}

Service::Service(asio::io_context &Loop, const base::Clock &Clock,
                 const ServiceSettings &Settings)
    : Loop(Loop), Clock(Clock), Name(Settings.Process.Name),
      Faults(Settings.Faults) {}

void Service::handle(const http::Request &Asked,
                     http::ResponseWriterPtr Answer) {
  if (Asked.Path == "/admin/ledger")
    return Answer->respond(http::jsonResponse(200, this->ledger()));
  if (Asked.Path != "/admin/faults")
    return this->execute(Asked, Answer);
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
  Answer->respond(http::jsonResponse(200, R"({"result":"done"})"));
}

void Service::execute(const http::Request &Asked,
                      const http::ResponseWriterPtr &Answer) {
  TargetFaults Active = takeFaults(this->Faults);
  if (Active.Refuse)
    return Answer->respond(errorResponse(503, "unavailable", "not_run",
                                         "refused without running"));
  http::Response Whole = this->answerTo(Asked);
  http::Response Before = std::exchange(this->Previous, Whole);
  if (Active.CrossAnswers)
    Whole = std::move(Before);
  ++this->Running;
  runLater(this->Loop, Active.Delay, [this, Active, Whole, Answer] {
    --this->Running;
    if (Active.AnswerLost || Active.DropAfterTokens >= 0)
      return Answer->abort();
    if (Active.SilentAfterTokens < 0)
      return Answer->respond(Whole);
    this->Silent.push_back(Answer);
  });
}

http::Response Service::answerTo(const http::Request &Asked) {
  Execution New;
  New.IdempotencyKey = Asked.header("Idempotency-Key");
  New.RequestId = Asked.header("X-Request-Id");
  New.Path = Asked.Path;
  New.TimeMs = this->Clock.wallNow().time_since_epoch().count();
  New.KeySeen = !Asked.header("Authorization").empty();
  int Count =
      New.IdempotencyKey.empty() ? 1 : ++this->CountByKey[New.IdempotencyKey];
  nlohmann::json Body = {
      {"service", this->Name}, {"path", New.Path}, {"executions", Count}};
  http::Response Out = http::jsonResponse(200, Body.dump());
  if (!New.RequestId.empty())
    Out.Headers.push_back({"X-Request-Id", New.RequestId});
  this->Executions.push_back(std::move(New));
  return Out;
}

std::string Service::ledger() const {
  nlohmann::json Out = {{"executions", nlohmann::json::array()}};
  for (const Execution &Each : this->Executions)
    Out["executions"].push_back({{"idempotency_key", Each.IdempotencyKey},
                                 {"request_id", Each.RequestId},
                                 {"path", Each.Path},
                                 {"time_ms", Each.TimeMs},
                                 {"key_seen", Each.KeySeen}});
  return Out.dump();
}

} // namespace kingcuphub::standin
