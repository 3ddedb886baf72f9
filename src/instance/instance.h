#ifndef KINGCUPHUB_INSTANCE_INSTANCE_H
#define KINGCUPHUB_INSTANCE_INSTANCE_H

/// \file
/// One instance as a process: the traffic side on a thread of its own, the
/// control side on the loop that is given. What speaks the deployment's
/// protocols is passed in.

#include "control/control.h"
#include "forwarding/dialect.h"
#include "http/httpclient.h"
#include "instance/settings.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace kingcuphub::instance {

/// Makes what speaks the deployment's protocols, on the control loop.
struct Adapter {
  std::unique_ptr<forwarding::Dialect> Protocol;
  std::function<std::unique_ptr<control::ControlStore>(
      asio::io_context &, http::HttpClient &, const Settings &,
      const base::Clock &)>
      MakeStore;
  /// The bounds of orders are those of the lease.
  std::function<std::unique_ptr<control::EngineClient>(
      asio::io_context &, http::HttpClient &,
      const residency::HolderLeaseSettings &)>
      MakeEngines;
  std::function<std::unique_ptr<control::DutyClient>(http::HttpClient &,
                                                     const DutySettings &)>
      MakeDuties;
};

class Instance {
public:
  virtual ~Instance() = default;
  /// Takes in settings that were read again; what cannot change in a running
  /// process is logged and left.
  virtual void reload(const Settings &New) = 0;
  /// Fails readiness, finishes what runs and calls \p Done, within the grace.
  virtual void stop(std::function<void()> Done) = 0;
};

base::Result<std::unique_ptr<Instance>> startInstance(asio::io_context &Loop,
                                                      const Settings &Options,
                                                      Adapter Speaks,
                                                      const base::Clock &Clock);

} // namespace kingcuphub::instance

#endif // KINGCUPHUB_INSTANCE_INSTANCE_H
