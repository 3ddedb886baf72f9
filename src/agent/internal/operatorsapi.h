#ifndef KINGCUPHUB_AGENT_INTERNAL_OPERATORSAPI_H
#define KINGCUPHUB_AGENT_INTERNAL_OPERATORSAPI_H

/// \file
/// The operators' HTTP API of this instance.

#include "agent/part.h"
#include "changes.h"
#include "http/httpserver.h"

#include <memory>
#include <vector>

namespace kingcuphub::agent {

class OperatorsApi {
public:
  OperatorsApi(AgentContext &Context, Changes &Writer,
               const std::vector<std::unique_ptr<AgentPart>> &Parts);

  base::Result<void> listen(const std::string &Endpoint);
  std::uint16_t port() const { return this->Server->port(); }
  /// `/ready` fails from now on.
  void drain() { this->Draining = true; }
  void stopAccepting() { this->Server->stopAccepting(); }
  void close() { this->Server->close(); }
  void handle(const http::Request &Request,
              const http::ResponseWriterPtr &Writer);

private:
  const OperatorSettings *authenticate(const http::Request &Request) const;
  bool handleOpen(const http::Request &Request,
                  const http::ResponseWriterPtr &Writer) const;
  void handleChange(const http::Request &Request,
                    const http::ResponseWriterPtr &Writer,
                    const OperatorSettings &Author);
  http::Response readiness() const;
  http::Response metrics() const;
  http::Response status() const;
  http::Response reach(const http::Request &Request) const;

  AgentContext &Context;
  Changes &Writer;
  const std::vector<std::unique_ptr<AgentPart>> &Parts;
  std::unique_ptr<http::HttpServer> Server;
  bool Draining = false;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_OPERATORSAPI_H
