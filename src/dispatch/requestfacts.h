#ifndef KINGCUPHUB_DISPATCH_REQUESTFACTS_H
#define KINGCUPHUB_DISPATCH_REQUESTFACTS_H

/// \file
/// Protocol-independent properties of a caller's request on which admission
/// and dispatch are based.

#include "base/ids.h"
#include "base/units.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::dispatch {

/// A segment of a prompt that other requests may have as a prefix too.
struct PromptPart {
  std::uint64_t Hash = 0;
  base::Tokens Size;
};

struct RequestFacts {
  base::RequestId Id;
  /// The caller's API key; used only to look up the account, never passed on.
  std::string Secret;
  base::ModelId Model;
  base::AdapterId Adapter;
  /// Absent if the request does not state a token count.
  std::optional<base::Tokens> PromptTokens;
  base::Tokens MaxOutputTokens;
  /// In order from the start of the prompt; the last segment belongs to this
  /// request or its session.
  std::vector<PromptPart> Prompt;
  /// Time until the caller's deadline, if it states one.
  std::optional<std::chrono::milliseconds> TimeLeft;
  /// Id of the last event that the caller received of a stream it resumes.
  std::string LastEventId;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_REQUESTFACTS_H
