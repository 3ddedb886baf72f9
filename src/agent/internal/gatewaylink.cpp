#include "gatewaylink.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::agent {

namespace {

constexpr std::chrono::milliseconds ReportInterval{500};
/// A gateway polls four times a second; one that does not is gone.
constexpr std::chrono::milliseconds SilentAfter{5000};
constexpr std::chrono::milliseconds CreditRetryAfter{200};
constexpr std::chrono::milliseconds ClaimRetryAfter{1000};

std::chrono::milliseconds millisBetween(base::TimePoint From,
                                        base::TimePoint To) {
  return std::chrono::ceil<std::chrono::milliseconds>(To - From);
}

void fill(wire::TargetReport &To, const LatestReport &From, base::TimePoint Now,
          const RouteFilter &MayRoute) {
  To.set_target(From.Target.Value);
  To.set_incarnation(From.Load.Life.Value);
  To.set_sequence(From.Load.Sequence);
  To.set_age_ms(millisBetween(From.AskedAt, Now).count());
  To.set_running(From.Load.Running);
  To.set_waiting(From.Load.Waiting);
  To.set_cold(From.Load.Cold);
  To.set_reachable(From.Reachable);
  for (const ResidentModel &Each : From.Load.Models)
    if (!MayRoute || MayRoute(From.Target, Each.Model, {}))
      To.add_models(Each.Model.Value);
  for (const ResidentAdapter &Each : From.Load.Adapters)
    if (!MayRoute || MayRoute(From.Target, Each.Model, Each.Adapter))
      To.add_adapters(Each.Adapter.Value);
  for (base::Bytes Each : From.Load.Used)
    To.add_used_bytes(Each.Value);
}

} // namespace

GatewayLink::GatewayLink(asio::io_context &Loop, const base::Clock &Clock,
                         const Identity &Self, ConfigFeed &Config,
                         TargetReports &Reports)
    : Clock(Clock), Self(Self), Config(Config), Reports(Reports),
      Alive(std::make_shared<bool>(true)),
      ReportTimer(Loop, ReportInterval, [this] { this->sendReports(); }) {
  this->Freshness = [] {
    return FreshnessProof{std::nullopt, "the agent is starting; wait"};
  };
  Config.OnChanged.subscribe([this](const state::ConfigPtr &New) {
    this->SavedValid = false;
    wire::AgentMessage Message;
    Message.mutable_state_notice()->set_config_offset(New->Next.Value);
    this->sendToAll(Message);
  });
}

GatewayLink::~GatewayLink() { *this->Alive = false; }

base::Result<void> GatewayLink::listen(messaging::Messaging &Messaging,
                                       const std::string &Endpoint) {
  auto Made = Messaging.serve(
      Endpoint, [this](const ClientName &From, std::string_view Bytes) {
        this->onMessage(From, Bytes);
      });
  if (!Made)
    return tl::unexpected<base::Error>(Made.error());
  this->Server = std::move(*Made);
  return {};
}

void GatewayLink::start() { this->ReportTimer.start(); }

void GatewayLink::stop() { this->ReportTimer.stop(); }

void GatewayLink::setCreditSource(CreditSource &Source) {
  this->Credits = &Source;
}

void GatewayLink::setClaimService(ClaimService &Service) {
  this->Claims = &Service;
}

void GatewayLink::setFreshness(std::function<FreshnessProof()> Rule) {
  this->Freshness = std::move(Rule);
}

void GatewayLink::onMessage(const ClientName &From, std::string_view Bytes) {
  wire::GatewayMessage Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    base::logEvent(base::LogLevel::Warn, "gateway_message_malformed");
    return;
  }
  switch (Message.body_case()) {
  case wire::GatewayMessage::kPoll:
    return this->onPoll(From, Message.poll());
  case wire::GatewayMessage::kCreditRequest:
    return this->onCredit(From, Message.credit_request());
  case wire::GatewayMessage::kCreditReturn:
    return this->onRefund(Message.credit_return());
  case wire::GatewayMessage::kClaimRequest:
    return this->onClaim(From, Message.claim_request());
  case wire::GatewayMessage::kClaimResult:
    if (this->Claims != nullptr)
      this->Claims->store(Message.claim_result());
    return;
  case wire::GatewayMessage::kDemand:
    return this->OnDemand.notify(Message.demand());
  case wire::GatewayMessage::BODY_NOT_SET:
    return;
  }
}

void GatewayLink::onPoll(const ClientName &From, const wire::Poll &Poll) {
  base::TimePoint Now = this->Clock.now();
  this->PolledAt[From] = {Now, {Poll.has_state() ? Poll.config_offset() : 0}};
  this->NewestLife.Value =
      std::max(this->NewestLife.Value, Poll.gateway_incarnation());
  wire::AgentMessage Message;
  wire::PollReply &Reply = *Message.mutable_poll_reply();
  Reply.set_nonce(Poll.nonce());
  Reply.set_agent_incarnation(this->Self.Life.Value);
  FreshnessProof Proof = this->Freshness();
  // A gateway that can get no credit would refuse callers that are within
  // their rate; without proof it is not ready and gets none.
  if (Proof.At && this->Credits != nullptr && !this->Credits->usable())
    Proof = {{}, "this instance is in no epoch yet and has no shares"};
  Reply.set_proof_age_ms(Proof.At ? millisBetween(*Proof.At, Now).count() : -1);
  Reply.set_reason(Proof.Reason);
  if (this->Credits != nullptr)
    Reply.set_credit_generation(this->Credits->generation());
  std::uint64_t Next = this->Config.config()->Next.Value;
  if (!Poll.has_state() || Poll.config_offset() < Next)
    *Reply.mutable_state() = this->stateForGateways();
  this->send(From, Message);
}

const wire::ConfigState &GatewayLink::stateForGateways() {
  if (std::exchange(this->SavedValid, true))
    return this->Saved;
  this->Saved = this->Config.save();
  this->Saved.clear_changes();
  this->Saved.clear_recent_records();
  return this->Saved;
}

void GatewayLink::onCredit(const ClientName &From,
                           const wire::CreditRequest &Asked) {
  auto Answer = [this, Live = this->Alive, From,
                 Asked](const CreditGrant &Grant) {
    if (!*Live)
      return;
    wire::AgentMessage Message;
    wire::Credit &Out = *Message.mutable_credit();
    Out.set_quantity(Asked.quantity());
    Out.set_request(Asked.request());
    Out.set_amount(Grant.Amount);
    Out.set_retry_after_ms(Grant.RetryAfter.count());
    Out.set_generation(Grant.Generation);
    this->send(From, Message);
  };
  if (this->Credits == nullptr)
    return Answer({0, CreditRetryAfter, 0});
  this->Credits->request(
      {{Asked.quantity()}, Asked.amount(), Asked.spent(), Asked.generation()},
      Answer);
}

void GatewayLink::onRefund(const wire::CreditReturn &Refund) {
  if (this->Credits != nullptr)
    this->Credits->giveBack({{Refund.quantity()},
                             Refund.amount(),
                             Refund.spent(),
                             Refund.generation()});
}

void GatewayLink::onClaim(const ClientName &From,
                          const wire::ClaimRequest &Asked) {
  auto Answer = [this, Live = this->Alive,
                 From](const wire::ClaimVerdict &Verdict) {
    if (!*Live)
      return;
    wire::AgentMessage Message;
    *Message.mutable_claim_verdict() = Verdict;
    this->send(From, Message);
  };
  if (this->Claims != nullptr)
    return this->Claims->claim(
        Asked.claim(), std::chrono::milliseconds(Asked.wait_ms()), Answer);
  wire::ClaimVerdict Verdict;
  Verdict.set_request(Asked.claim().request());
  Verdict.set_outcome(wire::CLAIM_OUTCOME_UNAVAILABLE);
  Verdict.set_reason("the agent is starting; try again");
  Verdict.set_retry_after_ms(ClaimRetryAfter.count());
  Answer(Verdict);
}

void GatewayLink::sendReports() {
  this->forgetSilent();
  base::TimePoint Now = this->Clock.now();
  wire::AgentMessage Message;
  wire::TargetReports &Out = *Message.mutable_target_reports();
  for (const auto &[Id, Each] : this->Reports.latest())
    fill(*Out.add_reports(), Each, Now, this->MayRoute);
  this->sendToAll(Message);
}

std::optional<base::Offset> GatewayLink::reduced() const {
  std::optional<base::Offset> Least;
  for (const auto &[Name, Last] : this->PolledAt)
    Least = std::min(Least.value_or(Last.Next), Last.Next);
  return Least;
}

void GatewayLink::forgetSilent() {
  base::TimePoint Oldest = this->Clock.now() - SilentAfter;
  std::erase_if(this->PolledAt,
                [Oldest](const auto &Each) { return Each.second.At < Oldest; });
}

void GatewayLink::send(const ClientName &To,
                       const wire::AgentMessage &Message) {
  if (this->Server)
    this->Server->send(To, Message.SerializeAsString());
}

void GatewayLink::sendToAll(const wire::AgentMessage &Message) {
  for (const auto &[Name, PolledAt] : this->PolledAt)
    this->send(Name, Message);
}

} // namespace kingcuphub::agent
