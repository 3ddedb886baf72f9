#ifndef KINGCUPHUB_AGENT_GATEWAYS_H
#define KINGCUPHUB_AGENT_GATEWAYS_H

/// \file
/// The agent's side of the link to the gateways of its instance.

#include "agent/claimservice.h"
#include "agent/credit.h"
#include "agent/signal.h"
#include "base/ids.h"
#include "state/freshness.h"

#include <functional>
#include <link.pb.h>
#include <optional>
#include <string>

namespace kingcuphub::agent {

using state::FreshnessProof;

/// Whether gateways may send new work for a model, or an adapter of it, to a
/// target that holds it.
using RouteFilter = std::function<bool(
    const base::TargetId &, const base::ModelId &, const base::AdapterId &)>;

class Gateways {
public:
  virtual ~Gateways() = default;
  /// Replaces the source of credit; \p Source outlives the link.
  virtual void setCreditSource(CreditSource &Source) = 0;
  virtual void setClaimService(ClaimService &Service) = 0;
  /// Replaces the rule that says how fresh the state is.
  virtual void setFreshness(std::function<FreshnessProof()> Rule) = 0;
  /// Leaves out of the reports what \p Filter denies.
  virtual void setRouteFilter(RouteFilter Filter) = 0;
  /// Gateways that have polled lately.
  virtual std::size_t connected() const = 0;
  /// The next offset that the state of every connected gateway has; nothing
  /// where none is connected.
  virtual std::optional<base::Offset> reduced() const = 0;
  /// The latest life of a gateway that has polled; 0 before the first.
  virtual base::Incarnation newestLife() const = 0;

  Signal<wire::DemandReport> OnDemand;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_GATEWAYS_H
