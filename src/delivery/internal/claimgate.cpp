#include "delivery/claimgate.h"

namespace kingcuphub::delivery {

void ClaimGate::onAsked(base::TimePoint NewGiveUpAt) {
  if (this->State != Stage::Idle)
    return;
  this->State = Stage::Asked;
  this->GiveUpAt = NewGiveUpAt;
}

ClaimDecision ClaimGate::refuse(const ClaimVerdict &Verdict, Outcome Known) {
  this->State = Stage::Closed;
  return ClaimRefused{Verdict.Status, Known, Verdict.RetryAfter};
}

ClaimDecision ClaimGate::onVerdict(const ClaimVerdict &Verdict) {
  if (this->State != Stage::Asked)
    return ClaimUnchanged{};
  switch (Verdict.Status) {
  case ClaimStatus::Granted:
    this->State = Stage::Granted;
    this->Held = true;
    return ClaimGranted{};
  case ClaimStatus::Stored:
    if (!Verdict.Stored)
      return this->refuse(Verdict, Outcome::Unknown);
    this->State = Stage::Closed;
    return *Verdict.Stored;
  case ClaimStatus::Mismatch:
  case ClaimStatus::Unavailable:
    return this->refuse(Verdict, Outcome::NotRun);
  case ClaimStatus::Running:
  case ClaimStatus::Unknown:
    return this->refuse(Verdict, Outcome::Unknown);
  }
  return ClaimUnchanged{};
}

ClaimDecision ClaimGate::onTime(base::TimePoint Now) {
  if (this->State != Stage::Asked || Now < this->GiveUpAt)
    return ClaimUnchanged{};
  return this->refuse({ClaimStatus::Unknown, std::nullopt, {}},
                      Outcome::Unknown);
}

bool ClaimGate::takeSend() {
  if (this->State != Stage::Granted)
    return false;
  this->State = Stage::Sent;
  return true;
}

void ClaimGate::onNotSent() {
  if (this->State == Stage::Sent)
    this->State = Stage::Granted;
}

} // namespace kingcuphub::delivery
