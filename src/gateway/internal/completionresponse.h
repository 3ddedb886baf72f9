#ifndef KINGCUPHUB_GATEWAY_INTERNAL_COMPLETIONRESPONSE_H
#define KINGCUPHUB_GATEWAY_INTERNAL_COMPLETIONRESPONSE_H

/// \file
/// What a caller of a completion gets: the engine's chunks under the request's
/// own id, or one whole answer assembled from them.

#include "base/clock.h"
#include "base/ids.h"
#include "completionrequest.h"
#include "delivery/answerassembler.h"

#include <nlohmann/json.hpp>
#include <string>

namespace kingcuphub::gateway {

class CompletionResponse {
public:
  CompletionResponse(const CompletionRequest &Request,
                     const base::RequestId &Id, base::WallTime Now);

  /// Adds a chunk to the whole answer.
  void add(const nlohmann::json &Chunk);
  /// A chunk as a server-sent event under the request's id.
  std::string event(nlohmann::json Chunk) const;
  /// The closing events of a stream.
  std::string endEvents(const delivery::WholeAnswer &End) const;
  /// The whole answer as one JSON text; add() has seen every chunk.
  std::string whole(const delivery::WholeAnswer &End) const;

private:
  void addToolCalls(const nlohmann::json &Calls);
  nlohmann::json choice(const delivery::WholeAnswer &End) const;

  CompletionKind Kind;
  std::string Model;
  std::string Id;
  std::int64_t Created;
  bool IncludeUsage;
  std::string Text;
  nlohmann::json ToolCalls = nlohmann::json::array();
};

/// A server-sent event that carries \p Data.
std::string sseEvent(const std::string &Data);

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_COMPLETIONRESPONSE_H
