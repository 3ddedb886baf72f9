#ifndef KINGCUPHUB_FORWARDING_DIALECT_H
#define KINGCUPHUB_FORWARDING_DIALECT_H

/// \file
/// Translates between HTTP messages and the properties on which forwarding is
/// based. There is one implementation per protocol; bodies are always forwarded
/// unchanged.

#include "base/error.h"
#include "dispatch/requestfacts.h"
#include "dispatch/targetselector.h"
#include "http/messageparser.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuphub::forwarding {

/// What is sent to a target along with a request.
struct SendFacts {
  base::TargetId Target;
  std::optional<std::chrono::milliseconds> TimeLeft;
  base::AccountId Account;
  /// From 0, served first, to 9, served last.
  unsigned Urgency = 5;
  /// Id of the last complete event of a resumed stream that the caller
  /// received.
  std::string LastEventId;
};

/// What a target states in the head of its answer.
struct AnswerFacts {
  base::RequestId Id;
  /// The target guarantees that the request has not run and will not run.
  bool NotRun = false;
  /// The address belongs to another target or another lifetime of the target,
  /// or the target lacks the model or adapter.
  bool Misdirected = false;
  /// The answer contains the target's proof of its authenticity.
  bool Proven = false;
  std::optional<dispatch::StatedLoad> Load;
  /// The target has stated a load that could not be read.
  bool LoadUnreadable = false;
  /// The target is leaving and must get no further requests.
  bool Leaving = false;
  /// How long the target asks this instance to send no further requests.
  std::optional<std::chrono::milliseconds> Wait;
};

/// An answer that the instance itself gives instead of a target.
struct Refusal {
  int Status = 503;
  std::string_view Reason;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

class Dialect {
public:
  virtual ~Dialect() = default;
  /// Fails with a message for the caller if the request is invalid.
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
