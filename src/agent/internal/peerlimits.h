#ifndef KINGCUPHUB_AGENT_INTERNAL_PEERLIMITS_H
#define KINGCUPHUB_AGENT_INTERNAL_PEERLIMITS_H

/// \file
/// The limits that the configuration sets, handed to the shares in the order
/// of the changes.

#include "agent/configfeed.h"
#include "shares/shares.h"

#include <map>

namespace kingcuphub::agent {

class PeerLimits {
public:
  PeerLimits(const ConfigFeed &Config, shares::Shares &Part)
      : Config(Config), Part(Part) {}

  /// Looks for limits that have changed.
  void update(base::TimePoint Now);

private:
  using Limits = std::map<base::QuantityId, shares::Limit>;

  Limits current() const;

  const ConfigFeed &Config;
  shares::Shares &Part;
  Limits Known;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_PEERLIMITS_H
