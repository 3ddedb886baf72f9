#ifndef KINGCUPHUB_STANDINS_ENGINE_GENERATION_H
#define KINGCUPHUB_STANDINS_ENGINE_GENERATION_H

/// \file
/// One completion request and the answer that it makes, token by token.

#include "common/faults.h"
#include "http/httpserver.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace kingcuphub::standin {

/// What a completion is made from.
struct PromptSource {
  std::string RequestId;
  std::string Model;
  std::string Prompt;
};

/// A parsed completion request.
struct CompletionRequest {
  PromptSource Source;
  bool Chat = true;
  bool Stream = false;
  bool IncludeUsage = false;
  bool KeySeen = false;
  std::int64_t MaxTokens = 16;
  /// The first token to make, for a resumed stream.
  std::int64_t StartToken = 0;
  /// 0 is the most urgent.
  std::int64_t Priority = 1;
};

/// Nothing if the body is no completion request.
std::optional<CompletionRequest> parseCompletion(const http::Request &Asked,
                                                 const nlohmann::json &Body);

/// Token \p Index of the answer to \p Source.
std::string tokenText(const PromptSource &Source, std::int64_t Index);

/// The answer of one request, written as it is made.
class Generation {
public:
  Generation(CompletionRequest Asked, PromptSource Shown,
             const TargetFaults &Faults, http::ResponseWriterPtr Answer);

  const CompletionRequest &asked() const { return this->Asked; }
  const TargetFaults &faults() const { return this->Faults; }
  const http::ResponseWriterPtr &answer() const { return this->Answer; }
  /// Sends the head of a stream.
  void begin();
  /// Makes the next token; false once all are made.
  bool makeToken();
  /// Whether a fault ends the answer before the next token.
  bool silentNow() const;
  bool dropNow() const;
  /// Sends the end, or the whole answer where it is no stream.
  void finish();
  std::int64_t made() const { return this->Next - this->Asked.StartToken; }

private:
  bool reached(std::int64_t FaultAt) const;
  nlohmann::json chunk(const nlohmann::json &Choice) const;
  nlohmann::json usage() const;
  void send(const nlohmann::json &Chunk);
  void finishWhole();

  CompletionRequest Asked;
  /// Whose answer it is; another request's where answers are crossed.
  PromptSource Shown;
  TargetFaults Faults;
  http::ResponseWriterPtr Answer;
  std::int64_t Next = 0;
  std::string Text;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_ENGINE_GENERATION_H
