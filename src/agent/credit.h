#ifndef KINGCUPHUB_AGENT_CREDIT_H
#define KINGCUPHUB_AGENT_CREDIT_H

/// \file
/// Where the gateway link gets credit for the quantities that are limited
/// over all instances, as in `account/ID/tokens`.

#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <functional>

namespace kingcuphub::agent {

/// A gateway's demand for more of one quantity.
struct CreditDemand {
  base::QuantityId Quantity;
  std::int64_t Amount = 0;
  /// Units of earlier credits that were spent and not yet reported so.
  std::int64_t Spent = 0;
  /// The generation of those credits.
  std::uint64_t Generation = 0;
};

struct CreditGrant {
  /// Deducted from this instance's share; 0 if there is none.
  std::int64_t Amount = 0;
  /// With no amount: when to ask again.
  std::chrono::milliseconds RetryAfter{0};
  std::uint64_t Generation = 0;
};

/// Credit that a gateway gives back unspent.
struct CreditRefund {
  base::QuantityId Quantity;
  std::int64_t Amount = 0;
  std::int64_t Spent = 0;
  std::uint64_t Generation = 0;
};

class CreditSource {
public:
  using Done = std::function<void(CreditGrant)>;

  virtual ~CreditSource() = default;
  /// Grants up to the asked amount, now or after an exchange with peers.
  virtual void request(const CreditDemand &Demand, Done OnGrant) = 0;
  virtual void giveBack(const CreditRefund &Refund) = 0;
  /// Whether any credit can be granted now.
  virtual bool usable() const = 0;
  /// Credits of another generation are void.
  virtual std::uint64_t generation() const = 0;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_CREDIT_H
