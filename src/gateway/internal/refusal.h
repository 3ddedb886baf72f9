#ifndef KINGCUPHUB_GATEWAY_INTERNAL_REFUSAL_H
#define KINGCUPHUB_GATEWAY_INTERNAL_REFUSAL_H

/// \file
/// Answers of the gateway's own: refusals in OpenAI's error shape.

#include "base/clock.h"
#include "base/ids.h"
#include "delivery/claimgate.h"
#include "delivery/outcome.h"
#include "http/httpmessage.h"

#include <optional>
#include <string>

namespace kingcuphub::gateway {

/// Why a request is refused and what its caller can do about it.
struct Refusal {
  int Status = 500;
  /// As in `invalid_request_error`.
  std::string Type;
  std::string Code;
  std::string Message;
  delivery::Outcome Known = delivery::Outcome::NotRun;
  std::optional<base::Duration> RetryAfter;
};

Refusal badRequest(std::string Code, std::string Message);
Refusal invalidKey();
Refusal notFound(std::string Code, std::string Message);
Refusal conflict(std::string Code, std::string Message,
                 delivery::Outcome Known);
Refusal rateLimited(std::string Code, std::string Message,
                    base::Duration RetryAfter);
Refusal unavailable(std::string Code, std::string Message,
                    base::Duration RetryAfter);
Refusal gatewayFault(int Status, std::string Code, std::string Message,
                     delivery::Outcome Known);

/// `{"error":{...}}`.
std::string errorBody(const Refusal &Why);

/// The whole response, with its headers.
http::Response refusalResponse(const Refusal &Why, const base::RequestId &Id);

/// The answer that the first request under an idempotency key got.
http::Response storedResponse(const delivery::StoredAnswer &Stored,
                              const base::RequestId &Id);

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_REFUSAL_H
