#include "enginereports.h"

#include <utility>

namespace kingcuphub::agent {

namespace {

constexpr std::chrono::milliseconds AskInterval{500};
constexpr std::chrono::milliseconds AskTimeout{1000};
constexpr int OkStatus = 200;

} // namespace

EngineReports::EngineReports(asio::io_context &Loop, const base::Clock &Clock,
                             http::HttpClient &Http, ConfigFeed &Config)
    : Clock(Clock), Http(Http), Config(Config),
      Alive(std::make_shared<bool>(true)),
      Timer(Loop, AskInterval, [this] { this->askAll(); }) {}

EngineReports::~EngineReports() { *this->Alive = false; }

void EngineReports::start() { this->Timer.start(); }

void EngineReports::stop() { this->Timer.stop(); }

void EngineReports::askAll() {
  state::ConfigPtr Current = this->Config.config();
  std::erase_if(this->Latest, [&Current](const auto &Each) {
    return Current->Targets.count(Each.first) == 0;
  });
  for (const auto &[Id, Target] : Current->Targets)
    if (Target.Kind == state::TargetKind::Engine)
      this->ask(Target);
}

void EngineReports::ask(const state::Target &Target) {
  if (!this->Asking.insert(Target.Id).second)
    return;
  http::ClientRequest Request;
  Request.Url = "http://" + Target.Address + "/v1/load";
  Request.ConnectTimeout = AskTimeout;
  Request.TotalTimeout = AskTimeout;
  this->Http.fetch(std::move(Request),
                   [this, Live = this->Alive, Id = Target.Id,
                    AskedAt = this->Clock.now()](const http::TransferResult &,
                                                 const http::Response &Answer) {
                     if (!*Live)
                       return;
                     this->Asking.erase(Id);
                     this->take(Id, AskedAt, Answer);
                   });
}

void EngineReports::take(const base::TargetId &Target, base::TimePoint AskedAt,
                         const http::Response &Answer) {
  if (this->Config.config()->Targets.count(Target) == 0)
    return;
  LatestReport &Kept = this->Latest[Target];
  Kept.Target = Target;
  Kept.Reachable = false;
  if (Answer.Status == OkStatus) {
    auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
    if (auto Load = parseLoadReport(Body)) {
      Kept.Load = std::move(*Load);
      Kept.AskedAt = AskedAt;
      Kept.Reachable = true;
    }
  }
  this->OnReport.notify(Kept);
}

} // namespace kingcuphub::agent
