#ifndef KINGCUPHUB_STANDINS_SERVICE_SERVICE_H
#define KINGCUPHUB_STANDINS_SERVICE_SERVICE_H

/// \file
/// A plain service that counts its executions under each idempotency key.

#include "base/clock.h"
#include "common/faults.h"
#include "common/standinprocess.h"

#include <asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

namespace kingcuphub::standin {

struct ServiceSettings {
  ProcessSettings Process;
  TargetFaults Faults;
};

ServiceSettings readServiceSettings(base::SettingsReader &Reader);

class Service {
public:
  Service(asio::io_context &Loop, const base::Clock &Clock,
          const ServiceSettings &Settings);

  void handle(const http::Request &Asked, http::ResponseWriterPtr Answer);
  bool idle() const { return this->Running == 0; }

private:
  struct Execution {
    std::string IdempotencyKey;
    std::string RequestId;
    std::string Path;
    std::int64_t TimeMs = 0;
    bool KeySeen = false;
  };

  void execute(const http::Request &Asked,
               const http::ResponseWriterPtr &Answer);
  http::Response answerTo(const http::Request &Asked);
  std::string ledger() const;

  asio::io_context &Loop;
  const base::Clock &Clock;
  std::string Name;
  TargetFaults Faults;
  std::vector<Execution> Executions;
  std::map<std::string, int> CountByKey;
  /// The answer to the request before.
  http::Response Previous;
  /// Kept open and never answered.
  std::vector<http::ResponseWriterPtr> Silent;
  std::size_t Running = 0;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_SERVICE_SERVICE_H
