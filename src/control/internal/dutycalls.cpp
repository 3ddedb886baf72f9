#include "dutycalls.h"

namespace kingcuphub::control {

std::string_view dutyAnswerName(DutyAnswer Answer) {
  switch (Answer) {
  case DutyAnswer::Accepted:
    return "accepted";
  case DutyAnswer::Fenced:
    return "fenced";
  case DutyAnswer::NotCarriedOut:
    return "not-carried-out";
  case DutyAnswer::Unknown:
    return "unknown";
  }
  return "unknown";
}

bool DutyCalls::maySend(const DutyCall &What) const {
  return this->Lease.orderToken(What.Subject, this->Clock.now()) == What.Token;
}

void DutyCalls::onSent(const DutyCall &What) {
  this->Lease.onOrderSent(What.Subject, {}, this->Clock.now());
}

void DutyCalls::onAnswer(const DutyCall &What, DutyAnswer Answer,
                         std::optional<residency::FencingToken> Current) {
  base::TimePoint Now = this->Clock.now();
  this->Metrics
      .counter("duties", {{"duty", std::string(What.Duty)},
                          {"answer", std::string(dutyAnswerName(Answer))}})
      .add();
  this->Lease.onOrderEnded(What.Subject);
  if (Answer == DutyAnswer::Unknown)
    this->Lease.onOrderCut(What.Subject, Now);
  else
    this->Lease.onOrderSettled(What.Subject, Now);
  if (Answer == DutyAnswer::Fenced && What.Token == Current)
    this->Lease.onFenced();
}

} // namespace kingcuphub::control
