#include "requestmeter.h"

#include <utility>

namespace kingcuphub::gateway {

namespace {

const char *nameOf(RequestResult Result) {
  switch (Result) {
  case RequestResult::Answered:
    return "answered";
  case RequestResult::Rejected:
    return "rejected";
  case RequestResult::OverRate:
    return "over_rate";
  case RequestResult::Refused:
    return "refused";
  case RequestResult::Broken:
    return "broken";
  case RequestResult::CallerGone:
    return "caller_gone";
  }
  return "unknown";
}

} // namespace

RequestResult resultOf(const Refusal &Why) {
  if (Why.Status == 429)
    return RequestResult::OverRate;
  if (Why.Status < 500)
    return RequestResult::Rejected;
  return Why.Known == delivery::Outcome::NotRun ? RequestResult::Refused
                                                : RequestResult::Broken;
}

void countRefusal(metrics::Registry &Metrics, const std::string &Account,
                  const Refusal &Why) {
  Metrics.counter("refusals", {{"code", Why.Code}}).add();
  if (resultOf(Why) == RequestResult::Refused)
    Metrics.counter("refused_within_rate", {{"account", Account}}).add();
}

RequestMeter::RequestMeter(metrics::Registry &Metrics, metrics::Labels By,
                           base::TimePoint Start)
    : Metrics(Metrics), By(std::move(By)),
      FirstToken(Metrics.histogram("first_token_ms", this->By)),
      Gap(Metrics.histogram("token_gap_ms", this->By)), Last(Start) {}

void RequestMeter::onToken(base::TimePoint Now) {
  base::Duration Since = Now - std::exchange(this->Last, Now);
  bool First = !std::exchange(this->SeenToken, true);
  (First ? this->FirstToken : this->Gap).add(Since);
  this->Late = this->Late || Since > (First ? FirstTokenBound : GapBound);
}

bool RequestMeter::isGood(RequestResult Result) const {
  return Result == RequestResult::Answered && !this->Late;
}

void RequestMeter::onEnd(base::TimePoint Now, RequestResult Result) {
  metrics::Labels Labels = this->By;
  Labels["result"] = nameOf(Result);
  this->Metrics.counter("requests", Labels).add();
  bool Counts = Result == RequestResult::Answered ||
                Result == RequestResult::Refused ||
                Result == RequestResult::Broken;
  if (Counts)
    this->Metrics.window("service_level", this->By)
        .add(Now, this->isGood(Result));
}

} // namespace kingcuphub::gateway
