#include "orders.h"

#include "common/later.h"

#include <utility>

namespace kingcuphub::standin {

namespace {

constexpr std::chrono::milliseconds UnloadPoll(5);
constexpr std::chrono::milliseconds LongestFetch(std::chrono::minutes(10));

http::Response done() {
  return http::jsonResponse(200, R"({"result":"done"})");
}

http::Response notDone(int Status, const std::string &Code,
                       const std::string &Message) {
  nlohmann::json Body = {
      {"result", "not_done"},
      {"error",
       {{"type", "order_refused"}, {"code", Code}, {"message", Message}}}};
  return http::jsonResponse(Status, Body.dump());
}

const std::string &nameOf(const Resident &Subject) {
  return Subject.IsAdapter ? Subject.Adapter : Subject.Model;
}

} // namespace

Orders::Orders(asio::io_context &Loop, const base::Clock &Clock,
               const EngineSettings &Settings, Memory &Residents,
               std::function<bool(const std::string &)> InUse)
    : Loop(Loop), Clock(Clock), Settings(Settings), Residents(Residents),
      InUse(std::move(InUse)), Client(http::makeHttpClient(Loop)) {}

std::optional<Orders::Order> Orders::parse(const nlohmann::json &Body) {
  std::vector<base::SettingsProblem> Problems;
  base::SettingsReader Reader(Body, "", Problems);
  constexpr std::int64_t Most = INT64_MAX;
  Order Out;
  Out.Id = Reader.requiredText("order");
  Out.Kind = Reader.oneOf("kind", "change_role",
                          {"load_model", "unload_model", "load_adapter",
                           "unload_adapter", "change_role"});
  Out.Fencing =
      static_cast<std::uint64_t>(Reader.number("fencing", 0, 0, Most));
  Out.DeadlineMs = Reader.number("deadline_ms", 0, 0, Most);
  Out.Subject.IsAdapter = Out.Kind.ends_with("_adapter");
  Out.Subject.Model = Reader.text("model", "");
  Out.Subject.Version = Reader.text("version", "");
  Out.Subject.Adapter = Reader.text("adapter", "");
  if (!Out.Subject.IsAdapter)
    Out.Subject.Adapter.clear();
  Out.Subject.Accelerator =
      static_cast<std::size_t>(Reader.number("accelerator", 0, 0, Most));
  Out.Subject.Bytes = Reader.number("bytes", 0, 0, Most);
  if (!Problems.empty())
    return std::nullopt;
  return Out;
}

void Orders::handle(const nlohmann::json &Body, http::ResponseWriterPtr Answer,
                    const TargetFaults &Faults) {
  std::optional<Order> Asked = parse(Body);
  if (!Asked)
    return Answer->respond(
        notDone(400, "bad_order", "the order has invalid fields"));
  if (auto Found = this->Seen.find(Asked->Id); Found != this->Seen.end()) {
    if (Found->second.Done)
      return Answer->respond(*Found->second.Done);
    Found->second.Waiting.push_back(std::move(Answer));
    return;
  }
  this->LoadTime = Faults.LoadTime.value_or(this->Settings.LoadTime);
  this->AnswerLost = Faults.AnswerLost;
  this->Seen[Asked->Id].Waiting.push_back(std::move(Answer));
  ++this->Running;
  if (std::optional<http::Response> Refusal = this->check(*Asked))
    return this->finish(Asked->Id, *Refusal);
  this->carryOut(*Asked);
}

std::optional<http::Response> Orders::check(const Order &Asked) {
  if (this->Settings.Fencing && Asked.Fencing < this->HighestFencing) {
    ++this->RefusedFencing;
    return notDone(409, "old_fencing", "a newer lease holder gave orders");
  }
  this->HighestFencing = std::max(this->HighestFencing, Asked.Fencing);
  std::int64_t Now = this->Clock.wallNow().time_since_epoch().count();
  if (Asked.DeadlineMs > 0 && Asked.DeadlineMs < Now)
    return notDone(409, "too_late", "the order's deadline has passed");
  if (!this->Residents.hasAccelerator(Asked.Subject.Accelerator))
    return notDone(404, "no_accelerator", "there is no such accelerator");
  return std::nullopt;
}

void Orders::carryOut(const Order &Asked) {
  if (Asked.Kind.starts_with("load_"))
    return this->load(Asked);
  if (Asked.Kind.starts_with("unload_"))
    return this->unload(Asked);
  this->finish(Asked.Id, done());
}

void Orders::load(const Order &Asked) {
  if (Resident *Old = this->Residents.find(Asked.Subject))
    return this->finish(
        Asked.Id, Old->Ready
                      ? done()
                      : notDone(409, "busy", "it is loaded or unloaded now"));
  if (Asked.Subject.IsAdapter) {
    Resident Base = Asked.Subject;
    Base.IsAdapter = false;
    Base.Adapter.clear();
    Base.Version.clear();
    Resident *Found = this->Residents.find(Base);
    if (Found == nullptr || !Found->Ready)
      return this->finish(
          Asked.Id, notDone(404, "no_model", "its model is not resident"));
  }
  if (!this->Residents.reserve(Asked.Subject)) {
    ++this->RefusedMemory;
    return this->finish(Asked.Id,
                        notDone(507, "no_memory", "there is too little room"));
  }
  this->fetchWeights(Asked);
}

void Orders::fetchWeights(const Order &Asked) {
  if (!this->Settings.WeightStore)
    return runLater(this->Loop, this->LoadTime,
                    [this, Asked] { this->finishLoad(Asked); });
  http::ClientRequest Fetch;
  Fetch.Url = "http://" + this->Settings.WeightStore->text() + "/v1/weights/" +
              nameOf(Asked.Subject) +
              (Asked.Subject.IsAdapter ? "?kind=adapter" : "");
  Fetch.TotalTimeout = LongestFetch;
  this->Client->fetch(Fetch, [this, Asked](const http::TransferResult &,
                                           const http::Response &Got) {
    if (Got.Status == 200)
      return runLater(this->Loop, this->LoadTime,
                      [this, Asked] { this->finishLoad(Asked); });
    this->Residents.release(Asked.Subject);
    this->finish(Asked.Id, notDone(503, "no_weights",
                                   "the weight store gave no weights"));
  });
}

void Orders::finishLoad(const Order &Asked) {
  if (Resident *Loaded = this->Residents.find(Asked.Subject))
    Loaded->Ready = true;
  this->finish(Asked.Id, done());
}

void Orders::unload(const Order &Asked) {
  Resident *Found = this->Residents.find(Asked.Subject);
  if (Found == nullptr || !Found->Ready)
    return this->finish(Asked.Id,
                        notDone(404, "not_resident", "it is not resident"));
  Found->Ready = false;
  this->unloadOnceUnused(Asked);
}

void Orders::unloadOnceUnused(const Order &Asked) {
  if (this->InUse(nameOf(Asked.Subject)))
    return runLater(this->Loop, UnloadPoll,
                    [this, Asked] { this->unloadOnceUnused(Asked); });
  if (Resident *Found = this->Residents.find(Asked.Subject))
    this->Residents.release(Resident(*Found));
  this->finish(Asked.Id, done());
}

void Orders::finish(const std::string &Id, const http::Response &Whole) {
  --this->Running;
  Known &Mine = this->Seen[Id];
  Mine.Done = Whole;
  for (const http::ResponseWriterPtr &Each : std::exchange(Mine.Waiting, {})) {
    if (this->AnswerLost)
      Each->abort();
    else
      Each->respond(Whole);
  }
}

nlohmann::json Orders::refused() const {
  return {{"memory", this->RefusedMemory}, {"fencing", this->RefusedFencing}};
}

} // namespace kingcuphub::standin
