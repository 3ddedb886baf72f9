#ifndef KINGCUPHUB_FORWARDING_DIALECT_H
#define KINGCUPHUB_FORWARDING_DIALECT_H

/// \file
/// How callers and targets write down in HTTP what the system goes by. One
/// implementation a protocol; bodies are passed on byte for byte by all.

#include "base/error.h"
#include "dispatch/requestfacts.h"
#include "dispatch/targetboard.h"
#include "http/messageparser.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuphub::forwarding {

/// What a target is told with a request.
struct SendFacts {
  base::TargetId Target;
  std::optional<std::chrono::milliseconds> TimeLeft;
  base::AccountId Account;
  /// 0 is served first, 9 last.
  unsigned Urgency = 5;
  /// The last whole event that the caller has of a resumed stream.
  std::string LastEventId;
};

/// What a target states with the head of its answer.
struct AnswerFacts {
  base::RequestId Id;
  /// The target vouches that the request has not run and will not.
  bool NotRun = false;
  /// Another target, or another lifetime, has the address, or the target lacks
  /// the model or adapter.
  bool Misdirected = false;
  /// The answer carries the target's own proof that it is one.
  bool Proven = false;
  std::optional<dispatch::StatedLoad> Load;
  /// The target leaves, and wants no further requests.
  bool Leaving = false;
  /// How long the target wants no further requests from this instance.
  std::optional<std::chrono::milliseconds> Wait;
};

/// An answer of the system's own.
struct Refusal {
  int Status = 503;
  std::string_view Reason;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

class Dialect {
public:
  virtual ~Dialect() = default;
  /// Fails with a message for the caller where the request makes no sense.
  virtual base::Result<dispatch::RequestFacts>
  readRequest(const http::Request &Asked) const = 0;
  virtual std::vector<http::Header>
  requestHeaders(const http::Request &Asked, const SendFacts &Facts) const = 0;
  virtual AnswerFacts readAnswer(const http::MessageHead &Head) const = 0;
  virtual std::vector<http::Header>
  answerHeaders(const http::MessageHead &Head) const = 0;
  virtual http::Response refusal(const base::RequestId &Id,
                                 const Refusal &Why) const = 0;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_DIALECT_H
