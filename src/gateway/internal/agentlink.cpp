#include "agentlink.h"

#include "base/log.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <utility>

namespace kingcuphub::gateway {

namespace {

constexpr std::chrono::milliseconds PollInterval{250};

} // namespace

AgentLink::AgentLink(asio::io_context &Traffic, const Settings &Settings,
                     const base::Clock &Clock, AgentCallbacks Callbacks)
    : Traffic(Traffic), Options(Settings), Clock(Clock),
      Callbacks(std::make_shared<AgentCallbacks>(std::move(Callbacks))),
      PollTimer(this->Loop), Proof(Settings.Limits.Freshness),
      Incarnation(static_cast<std::uint64_t>(
          Clock.wallNow().time_since_epoch().count())) {}

AgentLink::~AgentLink() { this->stop(); }

base::Result<void> AgentLink::start() {
  auto Made = messaging::makeMessaging(this->Loop, std::nullopt);
  if (!Made)
    return tl::unexpected(Made.error());
  this->Context = std::move(*Made);
  auto Connected = this->Context->connect(
      this->Options.AgentLink,
      [this](std::string_view Bytes) { this->receive(Bytes); });
  if (!Connected)
    return tl::unexpected(Connected.error());
  this->Client = std::move(*Connected);
  this->Thread = std::thread([this] {
    auto Guard = asio::make_work_guard(this->Loop);
    this->schedulePoll();
    this->Loop.run();
  });
  return {};
}

void AgentLink::stop() {
  if (!this->Thread.joinable())
    return;
  // From the loop, so that what was sent before has been queued.
  asio::post(this->Loop, [this] { this->Loop.stop(); });
  this->Thread.join();
}

void AgentLink::send(wire::GatewayMessage Message) {
  asio::post(this->Loop, [this, Message = std::move(Message)] {
    this->Client->send(Message.SerializeAsString());
  });
}

void AgentLink::setDraining() {
  asio::post(this->Loop, [this] {
    this->Draining = true;
    this->poll();
  });
}

void AgentLink::schedulePoll() {
  this->poll();
  this->PollTimer.expires_after(PollInterval);
  this->PollTimer.async_wait([this](asio::error_code Failed) {
    if (!Failed)
      this->schedulePoll();
  });
}

void AgentLink::poll() {
  wire::GatewayMessage Message;
  wire::Poll &Poll = *Message.mutable_poll();
  Poll.set_nonce(this->Proof.onPoll(this->Clock.now()));
  Poll.set_gateway_incarnation(this->Incarnation);
  Poll.set_has_state(this->View.Config != nullptr);
  if (this->View.Config)
    Poll.set_config_offset(this->View.Config->Next.Value);
  Poll.set_draining(this->Draining);
  this->Client->send(Message.SerializeAsString());
}

void AgentLink::receive(std::string_view Bytes) {
  wire::AgentMessage Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    base::logEvent(base::LogLevel::Warn, "agent_message_malformed");
    return;
  }
  switch (Message.body_case()) {
  case wire::AgentMessage::kPollReply:
    return this->takeReply(Message.poll_reply());
  case wire::AgentMessage::kStateNotice:
    return this->poll();
  case wire::AgentMessage::kCredit:
    return this->hand(&AgentCallbacks::OnCredit,
                      std::move(*Message.mutable_credit()));
  case wire::AgentMessage::kClaimVerdict:
    return this->hand(&AgentCallbacks::OnVerdict,
                      std::move(*Message.mutable_claim_verdict()));
  case wire::AgentMessage::kTargetReports:
    return this->hand(&AgentCallbacks::OnReports,
                      std::move(*Message.mutable_target_reports()));
  default:
    return;
  }
}

void AgentLink::takeReply(const wire::PollReply &Reply) {
  if (Reply.has_state() && !this->takeState(Reply.state()))
    return;
  if (!this->View.Config)
    return;
  std::optional<base::Duration> Age;
  if (Reply.proof_age_ms() >= 0)
    Age = std::chrono::milliseconds(Reply.proof_age_ms());
  this->Proof.onReply(Reply.nonce(), Age);
  this->View.CreditGeneration = Reply.credit_generation();
  this->View.Reason =
      Age ? "the agent has not answered in time" : Reply.reason();
  this->publish();
}

bool AgentLink::takeState(const wire::ConfigState &State) {
  state::ConfigReducer Reducer;
  if (auto Loaded = Reducer.load(State); !Loaded) {
    base::logEvent(base::LogLevel::Error, "state_refused",
                   {{"why", Loaded.error().Message}});
    return false;
  }
  // A restarted agent may still be behind; the state never goes back.
  if (this->View.Config && Reducer.config()->Next < this->View.Config->Next)
    return false;
  this->View.Config = Reducer.config();
  return true;
}

void AgentLink::publish() {
  if (auto Until = this->Proof.freshUntil())
    this->View.FreshUntil = *Until;
  this->hand(&AgentCallbacks::OnView, ControlView(this->View));
}

template <typename Message>
void AgentLink::hand(std::function<void(Message)> AgentCallbacks::*To,
                     Message What) {
  asio::post(this->Traffic,
             [Shared = this->Callbacks, To, What = std::move(What)]() mutable {
               ((*Shared).*To)(std::move(What));
             });
}

} // namespace kingcuphub::gateway
