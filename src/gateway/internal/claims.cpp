#include "claims.h"

namespace kingcuphub::gateway {

namespace {

delivery::ClaimStatus statusOf(wire::ClaimOutcome Outcome) {
  switch (Outcome) {
  case wire::CLAIM_OUTCOME_GRANTED:
    return delivery::ClaimStatus::Granted;
  case wire::CLAIM_OUTCOME_RUNNING:
    return delivery::ClaimStatus::Running;
  case wire::CLAIM_OUTCOME_STORED:
    return delivery::ClaimStatus::Stored;
  case wire::CLAIM_OUTCOME_MISMATCH:
    return delivery::ClaimStatus::Mismatch;
  case wire::CLAIM_OUTCOME_UNAVAILABLE:
    return delivery::ClaimStatus::Unavailable;
  default:
    return delivery::ClaimStatus::Unknown;
  }
}

std::optional<delivery::Outcome> parseOutcome(const std::string &Name) {
  for (auto Each : {delivery::Outcome::NotRun, delivery::Outcome::Unknown})
    if (delivery::outcomeName(Each) == Name)
      return Each;
  return std::nullopt;
}

delivery::ClaimVerdict parse(const wire::ClaimVerdict &From) {
  delivery::ClaimVerdict Out;
  Out.Status = statusOf(From.outcome());
  Out.RetryAfter = std::chrono::milliseconds(From.retry_after_ms());
  if (From.has_stored())
    Out.Stored = delivery::StoredAnswer{
        static_cast<int>(From.stored().status()), From.stored().content_type(),
        From.stored().body(), parseOutcome(From.stored().outcome())};
  return Out;
}

} // namespace

void Claims::ask(const wire::Claim &Claim, base::Duration Wait, Waiter Done) {
  wire::GatewayMessage Message;
  *Message.mutable_claim_request()->mutable_claim() = Claim;
  Message.mutable_claim_request()->set_wait_ms(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count());
  this->Waiting[Claim.request()] = std::move(Done);
  this->Send(std::move(Message));
}

void Claims::forget(const base::RequestId &Request) {
  this->Waiting.erase(Request.Value);
}

void Claims::onVerdict(const wire::ClaimVerdict &Verdict) {
  auto Node = this->Waiting.extract(Verdict.request());
  if (!Node.empty())
    Node.mapped()(parse(Verdict));
}

void Claims::record(const wire::Claim &Claim,
                    const delivery::StoredAnswer &Result) {
  wire::GatewayMessage Message;
  wire::ClaimResult &To = *Message.mutable_claim_result();
  To.set_account(Claim.account());
  To.set_idempotency_key(Claim.idempotency_key());
  To.set_request(Claim.request());
  To.set_status(static_cast<std::uint32_t>(Result.Status));
  To.set_content_type(Result.ContentType);
  To.set_body(Result.Body);
  if (Result.Known)
    To.set_outcome(std::string(delivery::outcomeName(*Result.Known)));
  this->Send(std::move(Message));
}

} // namespace kingcuphub::gateway
