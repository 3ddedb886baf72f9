#include "refusal.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace kingcuphub::gateway {

namespace {

constexpr const char *InvalidRequest = "invalid_request_error";

/// Whole seconds, rounded up, at least 1.
std::string retryAfterSeconds(base::Duration Value) {
  auto Seconds = std::chrono::ceil<std::chrono::seconds>(Value).count();
  return std::to_string(std::max<std::int64_t>(Seconds, 1));
}

} // namespace

Refusal badRequest(std::string Code, std::string Message) {
  return {400, InvalidRequest, std::move(Code), std::move(Message)};
}

Refusal invalidKey() {
  return {401, InvalidRequest, "invalid_api_key",
          "The API key is missing, unknown or withdrawn; send a valid one as "
          "'Authorization: Bearer KEY'."};
}

Refusal notFound(std::string Code, std::string Message) {
  return {404, InvalidRequest, std::move(Code), std::move(Message)};
}

Refusal conflict(std::string Code, std::string Message,
                 delivery::Outcome Known) {
  return {409, "conflict_error", std::move(Code), std::move(Message), Known};
}

Refusal rateLimited(std::string Code, std::string Message,
                    base::Duration RetryAfter) {
  return {429,
          "rate_limit_error",
          std::move(Code),
          std::move(Message),
          delivery::Outcome::NotRun,
          RetryAfter};
}

Refusal unavailable(std::string Code, std::string Message,
                    base::Duration RetryAfter) {
  return {503,
          "server_error",
          std::move(Code),
          std::move(Message),
          delivery::Outcome::NotRun,
          RetryAfter};
}

Refusal gatewayFault(int Status, std::string Code, std::string Message,
                     delivery::Outcome Known) {
  return {Status, "server_error", std::move(Code), std::move(Message), Known};
}

std::string errorBody(const Refusal &Why) {
  nlohmann::json Error = {{"type", Why.Type},
                          {"code", Why.Code},
                          {"message", Why.Message},
                          {"param", nullptr}};
  nlohmann::json Body = {{"error", std::move(Error)}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::Response refusalResponse(const Refusal &Why, const base::RequestId &Id) {
  http::Response Out = http::jsonResponse(Why.Status, errorBody(Why));
  Out.Headers.push_back({"X-Request-Id", Id.Value});
  Out.Headers.push_back(
      {"X-Kingcuphub-Outcome", std::string(delivery::outcomeName(Why.Known))});
  if (Why.RetryAfter)
    Out.Headers.push_back({"Retry-After", retryAfterSeconds(*Why.RetryAfter)});
  return Out;
}

http::Response storedResponse(const delivery::StoredAnswer &Stored,
                              const base::RequestId &Id) {
  http::Response Out;
  Out.Status = Stored.Status;
  Out.Body = Stored.Body;
  if (!Stored.ContentType.empty())
    Out.Headers.push_back({"Content-Type", Stored.ContentType});
  Out.Headers.push_back({"X-Request-Id", Id.Value});
  Out.Headers.push_back({"Idempotent-Replayed", "true"});
  if (Stored.Known)
    Out.Headers.push_back({"X-Kingcuphub-Outcome",
                           std::string(delivery::outcomeName(*Stored.Known))});
  return Out;
}

} // namespace kingcuphub::gateway
