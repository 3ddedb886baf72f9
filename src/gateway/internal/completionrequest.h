#ifndef KINGCUPHUB_GATEWAY_INTERNAL_COMPLETIONREQUEST_H
#define KINGCUPHUB_GATEWAY_INTERNAL_COMPLETIONREQUEST_H

/// \file
/// A caller's request for a chat or text completion, checked.

#include "base/units.h"
#include "gateway/settings.h"
#include "refusal.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace kingcuphub::gateway {

enum class CompletionKind { Chat, Text };

struct CompletionRequest {
  CompletionKind Kind = CompletionKind::Chat;
  /// A model or an adapter, as the caller names it.
  std::string Model;
  /// Whether the caller wants server-sent events.
  bool Stream = false;
  /// Whether the caller wants the usage as the stream's last chunk.
  bool IncludeUsage = false;
  /// routing::prefixHash of the prompt.
  std::uint64_t Prefix = 0;
  base::Tokens PromptTokens;
  base::Tokens OutputTokens;
  /// What is sent to the engine.
  std::string EngineBody;
};

/// Checks \p Body and makes the engine's from it.
tl::expected<CompletionRequest, Refusal> parseCompletion(CompletionKind Kind,
                                                         std::string_view Body,
                                                         const Limits &Bounds);

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_COMPLETIONREQUEST_H
