#include "peercredit.h"

#include <algorithm>

namespace kingcuphub::agent {

namespace {

/// Some round trips to peers.
constexpr std::chrono::milliseconds MaxWait{50};

} // namespace

void PeerCredit::request(const CreditDemand &Demand, Done OnGrant) {
  base::TimePoint Now = this->Clock.now();
  if (Demand.Generation == this->Part.generation())
    this->Part.spend(Demand.Quantity, Demand.Spent, Now);
  Waiting Each{Demand, std::move(OnGrant), Now + MaxWait};
  if (!this->tryGrant(Each, false))
    this->Queue.push_back(std::move(Each));
}

void PeerCredit::giveBack(const CreditRefund &Refund) {
  if (Refund.Generation != this->Part.generation())
    return;
  base::TimePoint Now = this->Clock.now();
  // Units that were reported as spent are no longer granted; what has been
  // refilled of them since must not come back on top.
  if (Refund.Spent < 0)
    return this->Part.refund(Refund.Quantity, -Refund.Spent, Now);
  this->Part.spend(Refund.Quantity, Refund.Spent, Now);
  this->Part.giveBack(Refund.Quantity, Refund.Amount, Now);
}

void PeerCredit::onAvailable(const base::QuantityId &Quantity) {
  this->Queue.remove_if([&](const Waiting &Each) {
    return Each.Demand.Quantity == Quantity && this->tryGrant(Each, false);
  });
}

void PeerCredit::onTimer() {
  base::TimePoint Now = this->Clock.now();
  this->Queue.remove_if([&](const Waiting &Each) {
    return this->tryGrant(Each, Now >= Each.Until);
  });
}

bool PeerCredit::tryGrant(const Waiting &Each, bool Last) {
  shares::Commands Out;
  shares::Grant Given = this->Part.take(
      Each.Demand.Quantity, Each.Demand.Amount, this->Clock.now(), Out);
  this->Execute(Out);
  if (Given.Amount == 0 && !Last)
    return false;
  Each.OnGrant({Given.Amount,
                std::chrono::ceil<std::chrono::milliseconds>(Given.RetryAfter),
                this->Part.generation()});
  return true;
}

} // namespace kingcuphub::agent
