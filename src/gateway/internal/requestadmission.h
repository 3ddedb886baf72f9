#ifndef KINGCUPHUB_GATEWAY_INTERNAL_REQUESTADMISSION_H
#define KINGCUPHUB_GATEWAY_INTERNAL_REQUESTADMISSION_H

/// \file
/// What every request passes before a target sees it: the account's tokens, a
/// place at a target, the key once more, and the claim where the route may
/// not be repeated.

#include "delivery/claimgate.h"
#include "refusal.h"
#include "trafficcontext.h"

#include <functional>
#include <optional>

namespace kingcuphub::gateway {

struct AdmissionCallbacks {
  /// The request may run at the place that takeLease() gives:
  /// RequestAdmission::takeSend() before each sending.
  std::function<void()> OnAdmitted;
  /// The first request under the key has this answer.
  std::function<void(const delivery::StoredAnswer &)> OnStored;
  std::function<void(const Refusal &)> OnRefused;
};

class RequestAdmission {
public:
  /// \p Claim is set where the route may not be repeated.
  RequestAdmission(TrafficContext &Context, const Caller &Who,
                   base::Tokens Cost, routing::RouteQuery Query,
                   std::optional<wire::Claim> Claim);
  RequestAdmission(const RequestAdmission &) = delete;
  RequestAdmission &operator=(const RequestAdmission &) = delete;
  ~RequestAdmission();

  /// Calls one of \p Callbacks, at once or later.
  void start(AdmissionCallbacks Callbacks);
  void onTime(base::TimePoint Now);
  /// Whether the request may be sent now: always for one that may be
  /// repeated, once for one under a claim.
  bool takeSend();
  /// The sending has provably not let a byte out.
  void onNotSent() { this->Gate.onNotSent(); }
  /// The place that the request was dispatched to; once.
  std::optional<TargetLease> takeLease();
  /// A target for one more attempt.
  std::optional<base::TargetId>
  chooseAgain(const std::set<base::TargetId> &Exclude);
  /// Gives back what the request has not used.
  void settle(base::Tokens Used);
  /// Has the result kept for later callers if the claim is held.
  void record(const delivery::StoredAnswer &Result);
  /// Whether the call goes on without its caller, as others may ask for its
  /// result.
  bool outlivesCaller() const { return this->Claim.has_value(); }
  base::Tokens cost() const { return this->Cost; }

private:
  void onDispatched(std::optional<CreditTaken> Taken, TargetLease Place);
  void onDispatchRefused(const DispatchRefusal &Why);
  /// Whether the place that is held may still be used.
  bool isPlaceUsable() const;
  void askClaim();
  void decide(const delivery::ClaimDecision &Decision);
  void onGranted();
  void onClaimRefused(const delivery::ClaimRefused &Why);

  TrafficContext &Context;
  const Caller &Who;
  base::Tokens Cost;
  std::optional<wire::Claim> Claim;
  AdmissionCallbacks Callbacks;
  delivery::ClaimGate Gate;
  routing::RouteQuery Query;
  std::optional<CreditTaken> Tokens;
  std::optional<TargetLease> Lease;
};

/// Why a caller may not start anything, or nothing if it may.
std::optional<Refusal> whyNotStart(const TrafficContext &Context,
                                   const Caller &Who);

/// The refusal where the state's proof is too old.
Refusal staleRefusal(const TrafficContext &Context);

/// Whether an answer of this status counts against its target.
bool isTargetFailure(int Status);

/// What a caller is told of a failed call.
Refusal failureRefusal(const delivery::FailCall &Failure);

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_REQUESTADMISSION_H
