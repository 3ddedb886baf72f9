#include "platform.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace kingcuphub::standin {

namespace {

constexpr std::string_view StreamPrefix = "/v1/streams/";
constexpr std::string_view StreamSuffix = "/records";
constexpr std::string_view WeightsPrefix = "/v1/weights/";
constexpr std::int64_t MostAppendsPerSecond = 1000000;
constexpr std::chrono::milliseconds LeastRetention(1);
constexpr std::chrono::milliseconds LongestRetention(std::chrono::hours(8760));

void answerOk(const http::ResponseWriterPtr &Answer) {
  Answer->respond(http::jsonResponse(200, R"({"result":"done"})"));
}

void answerBadRequest(const http::ResponseWriterPtr &Answer) {
  Answer->respond(errorResponse(400, "invalid_request", "bad_body",
                                "send a JSON object with known fields"));
}

} // namespace

PlatformSettings readPlatformSettings(base::SettingsReader &Reader) {
  PlatformSettings Out;
  Out.Process = readProcessSettings(Reader, "platform");
  Reader.object("log", [&Out](base::SettingsReader &Log) {
    Out.Log.AppendsPerSecond =
        Log.number("appends_per_second", Out.Log.AppendsPerSecond, 1,
                   MostAppendsPerSecond);
    Out.Log.Retention = Log.millis("retention_ms", Out.Log.Retention,
                                   LeastRetention, LongestRetention);
  });
  Reader.object("store", [&Out](base::SettingsReader &Store) {
    Out.Store = readStoreSettings(Store);
  });
  return Out;
}

Platform::Platform(asio::io_context &Loop, const base::Clock &Clock,
                   const PlatformSettings &Settings)
    : Clock(Clock), Log(Loop, Clock, Settings.Log),
      Store(Loop, Clock, Settings.Store) {}

bool Platform::idle() const {
  return this->Log.pendingAppends() == 0 && this->Store.running() == 0;
}

void Platform::handle(const http::Request &Asked,
                      http::ResponseWriterPtr Answer) {
  std::string_view Path = Asked.Path;
  if (Path.starts_with(StreamPrefix) && Path.ends_with(StreamSuffix))
    return this->handleStream(Asked, std::move(Answer));
  if (Path == "/v1/instances" || Path == "/admin/instances")
    return this->handleInstances(Asked, Answer);
  if (Path.starts_with(WeightsPrefix) && Asked.Method == "GET")
    return this->Store.fetch(Asked, std::move(Answer));
  if (Path == "/admin/faults" && Asked.Method == "POST")
    return this->handleFaults(Asked, Answer);
  Answer->respond(
      errorResponse(404, "not_found", "no_such_path", "no such call"));
}

void Platform::handleStream(const http::Request &Asked,
                            http::ResponseWriterPtr Answer) {
  std::string Name = Asked.Path.substr(StreamPrefix.size(),
                                       Asked.Path.size() - StreamPrefix.size() -
                                           StreamSuffix.size());
  if (Asked.Method == "POST")
    return this->Log.append(Name, Asked.Body, std::move(Answer));
  this->Log.read(Name, Asked, std::move(Answer));
}

void Platform::handleInstances(const http::Request &Asked,
                               const http::ResponseWriterPtr &Answer) {
  base::TimePoint Now = this->Clock.now();
  if (Asked.Method == "GET")
    return Answer->respond(
        http::jsonResponse(200, this->Instances.visible(Now).dump()));
  nlohmann::json List = parseBody(Asked.Body);
  if (!List.is_object() || !List.contains("instances"))
    return answerBadRequest(Answer);
  this->Instances.set(Now, std::move(List));
  answerOk(Answer);
}

void Platform::handleFaults(const http::Request &Asked,
                            const http::ResponseWriterPtr &Answer) {
  nlohmann::json Body = parseBody(Asked.Body);
  if (!Body.is_object())
    return answerBadRequest(Answer);
  std::vector<base::SettingsProblem> Problems;
  base::SettingsReader Reader(Body, "", Problems);
  constexpr std::int64_t Most = 1000000000;
  LogFaults New = this->Log.faults();
  New.Out = Reader.flag("log_out", New.Out);
  New.AppendAnswersLost =
      Reader.number("append_answer_lost", New.AppendAnswersLost, 0, Most);
  New.Delay = std::chrono::milliseconds(
      Reader.number("log_delay_ms", New.Delay.count(), 0, Most));
  Reader.object("expire_before", [this, &Body](base::SettingsReader &Streams) {
    if (!Body.contains("expire_before"))
      return;
    for (const auto &[Name, Offset] : Body["expire_before"].items())
      this->Log.expireBefore(
          Name, static_cast<std::uint64_t>(Streams.number(Name, 0, 0, Most)));
  });
  if (Body.contains("instances_lag_ms"))
    this->Instances.setLag(std::chrono::milliseconds(
        Reader.number("instances_lag_ms", 0, 0, Most)));
  if (Body.contains("store_down"))
    this->Store.setDown(Reader.flag("store_down", false));
  if (Body.contains("store_rate"))
    this->Store.setRate(Reader.real("store_rate", 1, 0, Most));
  Reader.finish();
  this->Log.setFaults(New);
  if (!Problems.empty())
    return Answer->respond(
        errorResponse(400, "invalid_request", "bad_fault",
                      base::settingsError(Problems).Message));
  answerOk(Answer);
}

} // namespace kingcuphub::standin
