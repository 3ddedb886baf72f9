#ifndef KINGCUPHUB_GATEWAY_INTERNAL_MODELEXCHANGE_H
#define KINGCUPHUB_GATEWAY_INTERNAL_MODELEXCHANGE_H

/// \file
/// One caller's completion from its admission to its answer: carries out what
/// delivery::ModelCall decides.

#include "completionrequest.h"
#include "completionresponse.h"
#include "delivery/modelcall.h"
#include "requestadmission.h"
#include "requestmeter.h"
#include "targetplace.h"
#include "trafficcontext.h"

#include <memory>
#include <optional>

namespace kingcuphub::gateway {

class ModelExchange : public std::enable_shared_from_this<ModelExchange> {
public:
  ModelExchange(TrafficContext &Context, Caller Who, CompletionRequest Request,
                std::optional<wire::Claim> Claim,
                http::ResponseWriterPtr Answer);

  /// Reserves the tokens and starts the call.
  void start();
  void onTime(base::TimePoint Now);
  /// True once nothing is left to be done, on the engine's side either.
  bool finished() const { return this->Done && !this->Transfer; }
  /// Ends what still runs, truthfully; the process is about to exit.
  void stop();

private:
  void onAdmitted();
  void onCallerGone();
  void run(delivery::CallCommands Commands);
  void carryOut(const delivery::StartAttempt &Start);
  void carryOut(const delivery::AbandonAttempt &Abandon);
  void carryOut(delivery::DeliverToken &Token);
  void carryOut(delivery::DeliverEnd &End);
  void carryOut(delivery::DeliverRejection &Rejection);
  void carryOut(const delivery::FailCall &Failure);
  http::TransferCallbacks callbacksOf(const base::RequestId &Attempt);
  http::ClientRequest engineRequest(const delivery::StartAttempt &Start,
                                    const state::Target &Target) const;
  routing::RequestEnd endOf(const http::TransferResult &Result) const;
  void endAttempt(routing::RequestEnd How);
  void beginStream();
  void deliverStored(const delivery::StoredAnswer &Stored);
  void refuse(const Refusal &Why);
  void finish(base::Tokens Used, RequestResult Result, std::string_view How);

  TrafficContext &Context;
  Caller Who;
  CompletionRequest Request;
  http::ResponseWriterPtr Answer;
  CompletionResponse Composer;
  RequestAdmission Admission;
  TargetPlace Place;
  RequestMeter Meter;
  delivery::ModelCall Call;
  std::optional<http::TransferId> Transfer;
  std::int64_t Delivered = 0;
  base::TimePoint AttemptAt;
  base::TimePoint DoneAt;
  bool SeenToken = false;
  bool CallerGone = false;
  bool Streaming = false;
  bool Done = false;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_MODELEXCHANGE_H
