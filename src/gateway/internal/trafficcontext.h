#ifndef KINGCUPHUB_GATEWAY_INTERNAL_TRAFFICCONTEXT_H
#define KINGCUPHUB_GATEWAY_INTERNAL_TRAFFICCONTEXT_H

/// \file
/// What every request of the traffic thread works with.

#include "admission/authorizer.h"
#include "agentlink.h"
#include "base/clock.h"
#include "claims.h"
#include "delivery/retrybudget.h"
#include "dispatcher.h"
#include "gateway/settings.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "metrics/registry.h"

#include <asio/io_context.hpp>
#include <memory>

namespace kingcuphub::gateway {

struct TrafficContext {
  const Settings &Options;
  const base::Clock &Clock;
  http::HttpClient *Client = nullptr;
  ControlView View = {};
  Dispatcher Dispatch;
  gateway::Claims Claims;
  delivery::RetryBudget Budget;
  metrics::Registry Metrics = {};
};

/// Who asks, and by which route.
struct Caller {
  base::RequestId Request;
  /// No account on a route that is open to all.
  admission::Caller Identity;
  state::Route Route;
  base::TimePoint Deadline;

  base::AccountId account() const {
    return this->Identity.Account.value_or(base::AccountId{});
  }
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_TRAFFICCONTEXT_H
