#ifndef KINGCUPHUB_GATEWAY_INTERNAL_SERVICEEXCHANGE_H
#define KINGCUPHUB_GATEWAY_INTERNAL_SERVICEEXCHANGE_H

/// \file
/// One caller's call of a plain service from its admission to its answer:
/// carries out what delivery::ServiceCall decides.

#include "delivery/servicecall.h"
#include "requestadmission.h"
#include "requestmeter.h"
#include "targetplace.h"
#include "trafficcontext.h"

#include <memory>
#include <optional>

namespace kingcuphub::gateway {

class ServiceExchange : public std::enable_shared_from_this<ServiceExchange> {
public:
  ServiceExchange(TrafficContext &Context, Caller Who, http::Request Request,
                  std::optional<wire::Claim> Claim,
                  http::ResponseWriterPtr Answer);

  void start();
  void onTime(base::TimePoint Now);
  bool finished() const { return this->Done; }
  /// Ends what still runs, truthfully; the process is about to exit.
  void stop();

private:
  void onAdmitted();
  void onCallerGone();
  void run(delivery::ServiceCommands Commands);
  void carryOut(const delivery::StartServiceAttempt &Start);
  void carryOut(const delivery::DropServiceAttempt &Drop);
  void carryOut(delivery::DeliverResponse &Deliver);
  void carryOut(const delivery::FailCall &Failure);
  void onData(const base::RequestId &Attempt, std::string_view Bytes);
  void onDone(const base::RequestId &Attempt, const delivery::AttemptEnd &End);
  http::ClientRequest serviceRequest(const delivery::StartServiceAttempt &Start,
                                     const state::Target &Target) const;
  http::TransferCallbacks callbacksOf(const base::RequestId &Attempt);
  void endAttempt(routing::RequestEnd How);
  void deliverStored(const delivery::StoredAnswer &Stored);
  void refuse(const Refusal &Why);
  void recordFailure(const Refusal &Why);
  void finish(RequestResult Result, std::string_view How);

  TrafficContext &Context;
  Caller Who;
  http::Request Request;
  http::ResponseWriterPtr Answer;
  RequestAdmission Admission;
  TargetPlace Place;
  RequestMeter Meter;
  delivery::ServiceCall Call;
  http::Response Collected;
  std::optional<http::TransferId> Transfer;
  bool Done = false;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_SERVICEEXCHANGE_H
