#ifndef KINGCUPHUB_STANDINS_PLATFORM_PLATFORM_H
#define KINGCUPHUB_STANDINS_PLATFORM_PLATFORM_H

/// \file
/// The platform as one small process: log, instance list and weight store.

#include "base/clock.h"
#include "common/standinprocess.h"
#include "instancelist.h"
#include "logservice.h"
#include "weightstore.h"

#include <asio/io_context.hpp>

namespace kingcuphub::standin {

struct PlatformSettings {
  ProcessSettings Process;
  LogSettings Log;
  StoreSettings Store;
};

PlatformSettings readPlatformSettings(base::SettingsReader &Reader);

class Platform {
public:
  Platform(asio::io_context &Loop, const base::Clock &Clock,
           const PlatformSettings &Settings);

  void handle(const http::Request &Asked, http::ResponseWriterPtr Answer);
  bool idle() const;

private:
  void handleStream(const http::Request &Asked, http::ResponseWriterPtr Answer);
  void handleInstances(const http::Request &Asked,
                       const http::ResponseWriterPtr &Answer);
  void handleFaults(const http::Request &Asked,
                    const http::ResponseWriterPtr &Answer);

  const base::Clock &Clock;
  LogService Log;
  InstanceList Instances;
  WeightStore Store;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_PLATFORM_PLATFORM_H
