#ifndef KINGCUPHUB_GATEWAY_GATEWAY_H
#define KINGCUPHUB_GATEWAY_GATEWAY_H

/// \file
/// A whole gateway: the control thread with the link to its agent, and the
/// traffic on the caller's loop.

#include "base/clock.h"
#include "base/error.h"
#include "gateway/settings.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace kingcuphub::gateway {

class Gateway {
public:
  virtual ~Gateway() = default;
  /// Where callers reach it, as ADDRESS:PORT.
  virtual std::string endpoint() const = 0;
  /// Starts the graceful stop; \p Done is called once nothing is left.
  virtual void drain(std::function<void()> Done) = 0;
  /// Callers' requests that are not yet answered to the end.
  virtual std::size_t openRequests() const = 0;
};

/// Starts a gateway; \p Loop, \p Clock and \p Options outlive it.
base::Result<std::unique_ptr<Gateway>> startGateway(asio::io_context &Loop,
                                                    const Settings &Options,
                                                    const base::Clock &Clock);

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_GATEWAY_H
