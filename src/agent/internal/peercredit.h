#ifndef KINGCUPHUB_AGENT_INTERNAL_PEERCREDIT_H
#define KINGCUPHUB_AGENT_INTERNAL_PEERCREDIT_H

/// \file
/// The gateway's credit out of this instance's shares. A demand that lacks
/// waits a moment for what is asked of peers.

#include "agent/credit.h"
#include "base/clock.h"
#include "shares/shares.h"

#include <functional>
#include <list>

namespace kingcuphub::agent {

class PeerCredit final : public CreditSource {
public:
  using CarryOut = std::function<void(const shares::Commands &)>;

  PeerCredit(const base::Clock &Clock, shares::Shares &Part, CarryOut Execute)
      : Clock(Clock), Part(Part), Execute(std::move(Execute)) {}

  void request(const CreditDemand &Demand, Done OnGrant) override;
  void giveBack(const CreditRefund &Refund) override;
  bool usable() const override { return this->Part.usable(this->Clock.now()); }
  std::uint64_t generation() const override { return this->Part.generation(); }

  /// Units have come in.
  void onAvailable(const base::QuantityId &Quantity);
  /// Answers the demands that have waited for too long.
  void onTimer();

private:
  struct Waiting {
    CreditDemand Demand;
    Done OnGrant;
    base::TimePoint Until;
  };

  bool tryGrant(const Waiting &Each, bool Last);

  const base::Clock &Clock;
  shares::Shares &Part;
  CarryOut Execute;
  std::list<Waiting> Queue;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_PEERCREDIT_H
