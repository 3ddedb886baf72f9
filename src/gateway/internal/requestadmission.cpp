#include "requestadmission.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::gateway {

namespace {

constexpr std::chrono::milliseconds RetryLater{1000};

Refusal claimRefusal(const delivery::ClaimRefused &Why) {
  using delivery::ClaimStatus;
  switch (Why.Why) {
  case ClaimStatus::Running:
    return conflict("request_in_progress",
                    "A request with this Idempotency-Key is running or its "
                    "result is not known; ask again later with the same key.",
                    Why.Known);
  case ClaimStatus::Mismatch:
    return conflict("idempotency_key_reused",
                    "This Idempotency-Key belongs to a different request; "
                    "use a new key for a new request.",
                    Why.Known);
  case ClaimStatus::Unavailable:
    return unavailable("claim_unavailable",
                       "The request could not be registered to run at most "
                       "once; repeat it with the same Idempotency-Key.",
                       std::max<base::Duration>(Why.RetryAfter, RetryLater));
  default:
    return gatewayFault(504, "claim_unknown",
                        "It is not known whether the request was registered; "
                        "ask again with the same Idempotency-Key.",
                        Why.Known);
  }
}

Refusal refusalOf(const OverRate &Why) {
  return rateLimited("rate_limit_exceeded",
                     "The client account is over its rate; repeat the "
                     "request after the time in Retry-After.",
                     Why.RetryAfter);
}

Refusal refusalOf(const Overloaded &Why) {
  return unavailable("overloaded",
                     "Every target that can serve the request was busy until "
                     "its deadline; repeat it after the time in Retry-After.",
                     Why.RetryAfter);
}

Refusal refusalOf(const NoTarget &Why) {
  return unavailable("no_target",
                     "No live target holds the model or serves the route; "
                     "repeat the request after the time in Retry-After.",
                     Why.RetryAfter);
}

/// The result of a claim whose request was never sent.
Refusal spentKey() {
  return unavailable("idempotency_key_spent",
                     "The request under this Idempotency-Key was not run; "
                     "repeat it with a new key.",
                     RetryLater);
}

} // namespace

Refusal staleRefusal(const TrafficContext &Context) {
  return unavailable("state_not_fresh",
                     "This instance cannot show that its keys and rates are "
                     "the newest (" +
                         Context.View.Reason +
                         "); repeat the request, another instance may "
                         "take it.",
                     RetryLater);
}

std::optional<Refusal> whyNotStart(const TrafficContext &Context,
                                   const Caller &Who) {
  if (Who.Route.OpenToAll)
    return std::nullopt;
  if (Context.Clock.now() >= Context.View.FreshUntil)
    return staleRefusal(Context);
  if (Context.View.Config->Keys.count(*Who.Identity.Key) == 0)
    return invalidKey();
  return std::nullopt;
}

bool isTargetFailure(int Status) { return Status == 429 || Status >= 500; }

Refusal failureRefusal(const delivery::FailCall &Failure) {
  using delivery::CallFailure;
  std::string Code(delivery::failureName(Failure.Kind));
  if (Failure.Kind == CallFailure::DeadlinePassed)
    return gatewayFault(504, Code,
                        "The route's deadline passed; ask for less, or have "
                        "an operator raise the deadline.",
                        Failure.Known);
  if (Failure.Kind == CallFailure::Cut)
    return gatewayFault(502, Code,
                        "The target's answer broke off and could not be "
                        "resumed; repeat the request if a second run is "
                        "harmless.",
                        Failure.Known);
  Refusal Out = unavailable(Code,
                            "No target can take the request now; repeat it "
                            "after the time in Retry-After.",
                            RetryLater);
  Out.Known = Failure.Known;
  return Out;
}

RequestAdmission::RequestAdmission(TrafficContext &Context, const Caller &Who,
                                   base::Tokens Cost, routing::RouteQuery Query,
                                   std::optional<wire::Claim> Claim)
    : Context(Context), Who(Who), Cost(Cost), Claim(std::move(Claim)),
      Query(std::move(Query)) {}

RequestAdmission::~RequestAdmission() {
  this->Context.Dispatch.remove(this->Who.Request);
  this->Context.Claims.forget(this->Who.Request);
}

void RequestAdmission::start(AdmissionCallbacks NewCallbacks) {
  this->Callbacks = std::move(NewCallbacks);
  DispatchRequest Request;
  Request.Id = this->Who.Request;
  Request.Priority = this->Who.Route.Priority;
  Request.Cost = this->Cost;
  Request.Deadline = this->Who.Deadline;
  Request.Query = this->Query;
  const auto &Accounts = this->Context.View.Config->Accounts;
  if (auto Found = Accounts.find(this->Who.account()); Found != Accounts.end())
    Request.Account = Found->second;
  this->Context.Dispatch.submit(
      std::move(Request),
      {[this](std::optional<CreditTaken> Taken, TargetLease Place) {
         this->onDispatched(std::move(Taken), std::move(Place));
       },
       [this](const DispatchRefusal &Why) { this->onDispatchRefused(Why); }});
}

void RequestAdmission::onDispatched(std::optional<CreditTaken> Taken,
                                    TargetLease Place) {
  this->Tokens = std::move(Taken);
  this->Lease.emplace(std::move(Place));
  if (auto Why = whyNotStart(this->Context, this->Who))
    this->Callbacks.OnRefused(*Why);
  else if (this->Claim)
    this->askClaim();
  else
    this->Callbacks.OnAdmitted();
}

void RequestAdmission::onDispatchRefused(const DispatchRefusal &Why) {
  this->Callbacks.OnRefused(
      std::visit([](const auto &Each) { return refusalOf(Each); }, Why));
}

bool RequestAdmission::isPlaceUsable() const {
  const state::Config &Config = *this->Context.View.Config;
  if (!this->Lease)
    return false;
  auto Found = Config.Targets.find(this->Lease->target());
  return Found != Config.Targets.end() && !Found->second.Leaving &&
         Config.ZonesOut.count(Found->second.Zone) == 0;
}

std::optional<TargetLease> RequestAdmission::takeLease() {
  bool Usable = this->isPlaceUsable();
  auto Held = std::exchange(this->Lease, std::nullopt);
  if (Usable)
    return Held;
  // The target has begun to leave while the claim was asked for.
  Held.reset();
  if (auto Other = this->chooseAgain({}))
    return this->Context.Dispatch.lease(*Other);
  return std::nullopt;
}

std::optional<base::TargetId>
RequestAdmission::chooseAgain(const std::set<base::TargetId> &Exclude) {
  routing::RouteQuery Again = this->Query;
  Again.Exclude = Exclude;
  return this->Context.Dispatch.chooseAgain(std::move(Again));
}

void RequestAdmission::askClaim() {
  base::TimePoint Now = this->Context.Clock.now();
  base::Duration Wait = std::max<base::Duration>(this->Who.Deadline - Now, {});
  this->Gate.onAsked(this->Who.Deadline);
  this->Context.Claims.ask(*this->Claim, Wait,
                           [this](const delivery::ClaimVerdict &Verdict) {
                             this->decide(this->Gate.onVerdict(Verdict));
                           });
}

void RequestAdmission::onTime(base::TimePoint Now) {
  this->decide(this->Gate.onTime(Now));
}

void RequestAdmission::decide(const delivery::ClaimDecision &Decision) {
  if (std::holds_alternative<delivery::ClaimGranted>(Decision))
    this->onGranted();
  else if (const auto *Stored = std::get_if<delivery::StoredAnswer>(&Decision))
    this->Callbacks.OnStored(*Stored);
  else if (const auto *Why = std::get_if<delivery::ClaimRefused>(&Decision))
    this->Callbacks.OnRefused(claimRefusal(*Why));
}

void RequestAdmission::onGranted() {
  auto Why = whyNotStart(this->Context, this->Who);
  if (!Why) {
    this->Callbacks.OnAdmitted();
    return;
  }
  // Later callers under the key are told that it was not run, not why this
  // caller could not.
  this->Gate.close();
  Refusal Spent = spentKey();
  this->record(
      {Spent.Status, "application/json", errorBody(Spent), Spent.Known});
  this->Callbacks.OnRefused(*Why);
}

bool RequestAdmission::takeSend() {
  return !this->Claim || this->Gate.takeSend();
}

void RequestAdmission::settle(base::Tokens Used) {
  this->Context.Dispatch.remove(this->Who.Request);
  this->Lease.reset();
  if (auto Taken = std::exchange(this->Tokens, std::nullopt))
    this->Context.Dispatch.credits().unspend(*Taken, (this->Cost - Used).Value);
}

void RequestAdmission::record(const delivery::StoredAnswer &Result) {
  if (this->Claim && this->Gate.holdsClaim())
    this->Context.Claims.record(*this->Claim, Result);
}

} // namespace kingcuphub::gateway
