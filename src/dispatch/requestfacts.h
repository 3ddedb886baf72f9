#ifndef KINGCUPHUB_DISPATCH_REQUESTFACTS_H
#define KINGCUPHUB_DISPATCH_REQUESTFACTS_H

/// \file
/// What the system goes by in a caller's request, free of any protocol.

#include "base/ids.h"
#include "base/units.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::dispatch {

/// A part of a prompt that other requests may begin with as well.
struct PromptPart {
  std::uint64_t Hash = 0;
  base::Tokens Size;
};

struct RequestFacts {
  base::RequestId Id;
  /// The caller's secret; it goes no further than the account's look-up.
  std::string Secret;
  base::ModelId Model;
  base::AdapterId Adapter;
  /// Absent where the request states no tokens.
  std::optional<base::Tokens> PromptTokens;
  base::Tokens MaxOutputTokens;
  /// From the prompt's beginning; the last is the request's or its session's.
  std::vector<PromptPart> Prompt;
  /// How long the caller waits from now on, if it says.
  std::optional<std::chrono::milliseconds> TimeLeft;
  /// The last event that the caller has of a stream that it takes up again.
  std::string LastEventId;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_REQUESTFACTS_H
