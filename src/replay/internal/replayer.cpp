#include "replay/replayer.h"

#include "base/hashing.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace kingcuphub::replay {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds PlayInterval{5};
/// Beyond its deadline, after which a request is given up.
constexpr std::chrono::milliseconds GiveUpAfter{20000};
constexpr std::chrono::milliseconds ApiTimeout{15000};
constexpr std::size_t SecretBytes = 16;
constexpr std::size_t BytesPerToken = 4;
constexpr int OkStatus = 200;
constexpr int UnauthorizedStatus = 401;

/// A prompt of the wanted size that no other request has.
std::string promptOf(const TraceRequest &Of) {
  std::string Out = "request " + std::to_string(Of.Number) + " ";
  Out.resize(std::max(Out.size(), static_cast<std::size_t>(Of.PromptTokens) *
                                      BytesPerToken),
             'x');
  return Out;
}

/// What the stand-in engines generate for a prompt.
std::string expectedText(const std::string &Model, const std::string &Prompt,
                         std::int64_t Tokens) {
  static const char *Digits = "0123456789abcdef";
  std::string Out;
  for (std::int64_t Index = 0; Index < Tokens; ++Index) {
    std::uint64_t Hash = base::stableHash(Model + "\n" + Prompt,
                                          static_cast<std::uint64_t>(Index));
    Out += ' ';
    for (int Shift = 12; Shift >= 0; Shift -= 4)
      Out += Digits[(Hash >> static_cast<unsigned>(Shift)) & 0xFU];
  }
  return Out;
}

std::string textOf(const http::Response &Answer) {
  json Body = json::parse(Answer.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("choices") || Body["choices"].empty())
    return {};
  json Message = Body["choices"][0].value("message", json::object());
  return Message.is_object() ? Message.value("content", "") : "";
}

} // namespace

Replayer::Replayer(asio::io_context &Loop, const base::Clock &Clock,
                   http::HttpClient &Http, const Trace &Of,
                   ReplaySettings Settings)
    : Loop(Loop), Clock(Clock), Http(Http), Of(Of),
      Settings(std::move(Settings)), Timer(Loop),
      Alive(std::make_shared<bool>(true)) {
  for (const TraceTarget &Each : Of.Header.Targets)
    this->Counted.Accelerators += Each.AcceleratorMegaBytes.size();
}

Replayer::~Replayer() { *this->Alive = false; }

void Replayer::start(std::function<void(const Measures &)> Finished) {
  this->Done = std::move(Finished);
  this->configure(0);
}

void Replayer::configure(std::size_t Account) {
  const auto &Accounts = this->Of.Header.Accounts;
  if (this->Settings.Api.empty() || Account == Accounts.size()) {
    this->StartedAt = this->Clock.now();
    return this->playDue();
  }
  const TraceAccount &Each = Accounts[Account];
  json Body = {{"account_put",
                {{"account", Each.Id.Value},
                 {"tokens_per_second", Each.TokensPerSecond},
                 {"burst_tokens", Each.BurstTokens}}}};
  this->change(Body.dump(), [this, Account] { this->configure(Account + 1); });
}

void Replayer::playDue() {
  base::TimePoint Now = this->Clock.now();
  auto Passed =
      std::chrono::duration<double, std::milli>(Now - this->StartedAt) *
      this->Settings.Speed;
  while (this->Next < this->Of.Events.size() &&
         static_cast<double>(timeOf(this->Of.Events[this->Next]).count()) <=
             Passed.count()) {
    const TraceEvent &Event = this->Of.Events[this->Next++];
    std::visit([this](const auto &Each) { this->play(Each); }, Event);
  }
  if (this->Next == this->Of.Events.size())
    return this->finishWhenIdle();
  this->Timer.expires_after(PlayInterval);
  this->Timer.async_wait([this](asio::error_code Failed) {
    if (!Failed)
      this->playDue();
  });
}

const std::string &Replayer::secretOf(const base::KeyId &Key) {
  std::string &Secret = this->Settings.Secrets[Key];
  if (Secret.empty())
    Secret = "kch-" + base::randomHex(SecretBytes);
  return Secret;
}

void Replayer::play(const TraceRequest &Event) {
  http::ClientRequest Request;
  Request.Method = "POST";
  Request.Url =
      "http://" +
      this->Settings
          .Callers[this->NextCaller++ % this->Settings.Callers.size()] +
      "/v1/chat/completions";
  Request.Headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + this->secretOf(Event.Key)}};
  json Body = {{"model", Event.Adapter.empty() ? Event.Model.Value
                                               : Event.Adapter.Value},
               {"messages", {{{"role", "user"}, {"content", promptOf(Event)}}}},
               {"max_tokens", Event.OutputTokens}};
  Request.Body = Body.dump();
  Request.TotalTimeout = Event.Deadline + GiveUpAfter;
  ++this->Running;
  this->Http.fetch(
      std::move(Request),
      [this, Live = this->Alive, &Event, SentAt = this->Clock.now()](
          const http::TransferResult &Result, const http::Response &Answer) {
        if (!*Live)
          return;
        --this->Running;
        this->take(Event, SentAt, Result, Answer);
      });
}

void Replayer::take(const TraceRequest &Asked, base::TimePoint SentAt,
                    const http::TransferResult &Result,
                    const http::Response &Answer) {
  std::string Name = "request " + std::to_string(Asked.Number);
  bool Whole = Result.End == http::TransferEnd::Complete;
  bool NotRun =
      http::findHeader(Answer.Headers, "X-Kingcuphub-Outcome") == "not-run";
  Outcome Was = Outcome::Failed;
  if (Whole && Answer.Status == OkStatus) {
    bool OnTime = this->Clock.now() - SentAt <= Asked.Deadline;
    Was = OnTime ? Outcome::OnTime : Outcome::Late;
    const std::string &Model =
        Asked.Adapter.empty() ? Asked.Model.Value : Asked.Adapter.Value;
    if (textOf(Answer) !=
        expectedText(Model, promptOf(Asked), Asked.OutputTokens)) {
      Was = Outcome::Failed;
      this->Counted.violate(Name + " got an answer that is not its own, whole");
    }
  } else if (Whole && Answer.Status == UnauthorizedStatus) {
    Was = Outcome::Unauthorized;
  } else if (Whole && NotRun) {
    Was = Outcome::Refused;
  }
  if (Asked.Outcome == Expected::Unauthorized && Was != Outcome::Unauthorized)
    this->Counted.violate(Name + " ran or was answered " +
                          std::to_string(Answer.Status) +
                          " although its key is withdrawn");
  if (Asked.Outcome == Expected::Served &&
      (Was == Outcome::Unauthorized || Was == Outcome::Failed))
    this->Counted.violate(Name + " was answered " +
                          std::to_string(Answer.Status) + ", " + Result.Detail);
  this->Counted.count(Asked.Account, Was,
                      Asked.WithinRate && Asked.Outcome == Expected::Served,
                      this->ZoneOut);
}

void Replayer::play(const TraceZone &Event) {
  this->ZoneOut = Event.Out;
  json Body = {{"zone_set", {{"zone", Event.Zone.Value}, {"out", Event.Out}}}};
  this->change(Body.dump(), [] {});
}

void Replayer::play(const TraceKey &Event) {
  json Body = {{"key_withdraw", {{"key", Event.Key.Value}}}};
  if (!Event.Withdrawn)
    Body = {{"key_put",
             {{"key", Event.Key.Value},
              {"account", Event.Account.Value},
              {"secret_hash", base::secureHash(this->secretOf(Event.Key))}}}};
  this->change(Body.dump(), [] {});
}

void Replayer::play(const TracePreset &Event) {
  json Body = {{"preset_use", {{"preset", "PRESET_" + Event.Preset}}}};
  std::string &Name = Body["preset_use"]["preset"].get_ref<std::string &>();
  std::transform(
      Name.begin(), Name.end(), Name.begin(),
      [](unsigned char Each) { return static_cast<char>(std::toupper(Each)); });
  this->change(Body.dump(), [] {});
}

void Replayer::change(const std::string &Body, std::function<void()> Then) {
  if (this->Settings.Api.empty())
    return Then();
  http::ClientRequest Request;
  Request.Method = "POST";
  Request.Url = "http://" + this->Settings.Api + "/v1/changes?wait_ms=10000";
  Request.Headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + this->Settings.Token}};
  Request.Body = Body;
  Request.TotalTimeout = ApiTimeout;
  ++this->Running;
  this->Http.fetch(std::move(Request), [this, Live = this->Alive, Body,
                                        Then = std::move(Then)](
                                           const http::TransferResult &,
                                           const http::Response &Answer) {
    if (!*Live)
      return;
    --this->Running;
    json Said = json::parse(Answer.Body, nullptr, false);
    if (!Said.is_object() || Said.value("outcome", "") != "accepted")
      this->Counted.violate("the change " + Body + " was answered " +
                            std::to_string(Answer.Status) + " " + Answer.Body);
    Then();
  });
}

void Replayer::readMoves(std::function<void()> Then) {
  if (this->Settings.Api.empty())
    return Then();
  http::ClientRequest Request;
  Request.Url = "http://" + this->Settings.Api + "/v1/status";
  Request.Headers = {{"Authorization", "Bearer " + this->Settings.Token}};
  Request.TotalTimeout = ApiTimeout;
  this->Http.fetch(std::move(Request),
                   [this, Live = this->Alive,
                    Then = std::move(Then)](const http::TransferResult &,
                                            const http::Response &Answer) {
                     if (!*Live)
                       return;
                     json Said = json::parse(Answer.Body, nullptr, false);
                     if (Said.is_object() && Said.contains("placement") &&
                         Said["placement"].contains("loads_done"))
                       this->Counted.Moves =
                           Said["placement"]["loads_done"].get<std::uint64_t>();
                     Then();
                   });
}

void Replayer::finishWhenIdle() {
  if (this->Running == 0)
    return this->readMoves([this] { this->Done(this->Counted); });
  this->Timer.expires_after(PlayInterval);
  this->Timer.async_wait([this](asio::error_code Failed) {
    if (!Failed)
      this->finishWhenIdle();
  });
}

} // namespace kingcuphub::replay
