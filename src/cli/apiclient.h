#ifndef KINGCUPHUB_CLI_APICLIENT_H
#define KINGCUPHUB_CLI_APICLIENT_H

/// \file
/// Calls to an agent's operators' API that wait for their answer.

#include "base/endpoint.h"
#include "base/error.h"
#include "http/httpclient.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcuphub::cli {

enum class ApiErrc {
  /// No byte of the call can have arrived.
  CannotReach = 1,
  /// The call was sent and its answer did not come.
  NoAnswer,
  NotAuthorised,
  /// The agent refused the call or its answer is no JSON.
  Refused,
};
std::error_code make_error_code(ApiErrc Kind);

/// Which agent to ask, and as whom.
struct ApiAccess {
  base::Endpoint Agent;
  std::string Token;
};

class ApiClient {
public:
  explicit ApiClient(ApiAccess Access);

  base::Result<nlohmann::json> get(const std::string &Path);
  /// \p Wait is what the agent is asked to wait at most.
  base::Result<nlohmann::json> post(const std::string &Path,
                                    const nlohmann::json &Body,
                                    std::chrono::milliseconds Wait);

private:
  base::Result<nlohmann::json> call(http::ClientRequest Request);
  base::Error failure(const http::TransferResult &Result,
                      const http::Response &Whole) const;

  ApiAccess Access;
  asio::io_context Loop;
  std::unique_ptr<http::HttpClient> Client;
};

} // namespace kingcuphub::cli

template <>
struct std::is_error_code_enum<kingcuphub::cli::ApiErrc> : std::true_type {};

#endif // KINGCUPHUB_CLI_APICLIENT_H
