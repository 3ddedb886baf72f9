#ifndef KINGCUPHUB_AGENT_FRESHNESSRULE_H
#define KINGCUPHUB_AGENT_FRESHNESSRULE_H

/// \file
/// The freshness of this agent's state, kept up to date from its feeds. The
/// membership part tells it of every answered heartbeat, and sends known() and
/// vouched() with its own.

#include "agent/configfeed.h"
#include "agent/epochs.h"
#include "agent/identity.h"
#include "base/clock.h"
#include "state/freshness.h"

#include <vector>

namespace kingcuphub::agent {

class FreshnessRule {
public:
  FreshnessRule(const base::Clock &Clock, const Identity &Self,
                base::Duration Bound, ConfigFeed &Config, Epochs &EpochRecords,
                SystemFeed &System);

  /// What is known of the peers goes in here.
  state::Freshness &decision() { return this->Decision; }
  const state::Freshness &decision() const { return this->Decision; }
  state::FreshnessProof proof() const;

  /// Asks for what acknowledges a change that was read back now.
  void confirm() { this->System.confirmTail(); }
  /// On whom the change before \p Next waits, which was read back at
  /// \p ReducedAt; empty once it may be reported accepted.
  std::vector<std::string> waitingFor(base::Offset Next,
                                      base::TimePoint ReducedAt) const;

  /// The tail of the `system` stream was read.
  Signal<base::Offset> OnConfirmed;

private:
  const base::Clock &Clock;
  ConfigFeed &Config;
  SystemFeed &System;
  state::Freshness Decision;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_FRESHNESSRULE_H
