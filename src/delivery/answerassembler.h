#ifndef KINGCUPHUB_DELIVERY_ANSWERASSEMBLER_H
#define KINGCUPHUB_DELIVERY_ANSWERASSEMBLER_H

/// \file
/// Checks a model's streamed answer event by event: that each one belongs to
/// the attempt it is read for, that no token is lost, doubled or out of
/// order, and that the answer is whole. It lives through the attempts of one
/// request, so that a resumed stream goes on where the former one stopped.

#include "base/ids.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcuphub::delivery {

/// Why an attempt's stream cannot be trusted any further.
enum class AnswerFault {
  /// The data is no chunk of an answer.
  Malformed,
  /// It answers another request.
  OtherRequest,
  /// A token came twice or out of order.
  Repeated,
  /// A token is missing.
  Gap,
  /// The stream ended before the answer was whole.
  Truncated,
  /// The engine reported an error in the stream.
  EngineError,
};

std::string_view faultName(AnswerFault Kind);

/// The next token of the answer, in the engine's own chunk.
struct TokenChunk {
  std::uint64_t Index = 0;
  nlohmann::json Chunk;
};

/// The answer is whole: its closing chunk and what it has cost.
struct WholeAnswer {
  nlohmann::json FinishChunk;
  std::int64_t PromptTokens = 0;
  std::int64_t CompletionTokens = 0;
};

struct BrokenAnswer {
  AnswerFault Kind = AnswerFault::Malformed;
};

/// Nothing for the caller.
struct NoOutput {};

using AnswerEvent =
    std::variant<NoOutput, TokenChunk, WholeAnswer, BrokenAnswer>;

class AnswerAssembler {
public:
  /// From now on only events of \p Attempt count; they start at nextToken().
  void beginAttempt(base::RequestId Attempt);
  /// Takes the data of one event of the running attempt.
  AnswerEvent take(std::string_view Data);
  /// The running attempt's stream has ended.
  AnswerEvent endOfStream();

  /// The index of the first token that has not been delivered.
  std::uint64_t nextToken() const { return this->NextToken; }
  bool whole() const { return this->Whole; }

private:
  AnswerEvent breakOff(AnswerFault Kind);
  AnswerEvent takeChunk(nlohmann::json Chunk);
  AnswerEvent takeToken(nlohmann::json Chunk);
  AnswerEvent takeUsage(const nlohmann::json &Usage);
  AnswerEvent takeEnd();
  bool isOwn(const nlohmann::json &Chunk) const;

  base::RequestId Attempt;
  std::uint64_t NextToken = 0;
  std::optional<nlohmann::json> FinishChunk;
  std::optional<std::int64_t> CompletionTokens;
  std::int64_t PromptTokens = 0;
  bool Broken = false;
  bool Whole = false;
};

} // namespace kingcuphub::delivery

#endif // KINGCUPHUB_DELIVERY_ANSWERASSEMBLER_H
