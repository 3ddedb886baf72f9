#ifndef KINGCUPHUB_GATEWAY_INTERNAL_CLAIMS_H
#define KINGCUPHUB_GATEWAY_INTERNAL_CLAIMS_H

/// \file
/// The claims that this gateway has asked its agent for.

#include "base/ids.h"
#include "delivery/claimgate.h"

#include <functional>
#include <link.pb.h>
#include <map>
#include <utility>

namespace kingcuphub::gateway {

class Claims {
public:
  using Sender = std::function<void(wire::GatewayMessage)>;
  using Waiter = std::function<void(const delivery::ClaimVerdict &)>;

  explicit Claims(Sender Send) : Send(std::move(Send)) {}

  /// Asks for a claim; \p Done is called at most once, unless forgotten.
  void ask(const wire::Claim &Claim, base::Duration Wait, Waiter Done);
  void forget(const base::RequestId &Request);
  void onVerdict(const wire::ClaimVerdict &Verdict);
  /// Has the result of a granted claim stored for later callers.
  void record(const wire::Claim &Claim, const delivery::StoredAnswer &Result);

private:
  Sender Send;
  std::map<std::string, Waiter> Waiting;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_CLAIMS_H
