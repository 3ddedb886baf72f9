#include "completionrequest.h"

#include "routing/prefixhints.h"

#include <algorithm>
#include <optional>

namespace kingcuphub::gateway {

namespace {

using Json = nlohmann::json;
using Complaint = std::optional<Refusal>;

constexpr std::int64_t BytesPerToken = 4;
constexpr std::int64_t DefaultOutputTokens = 256;
constexpr std::size_t MaxDepth = 64;
constexpr std::size_t MaxModelName = 256;

/// Whether brackets nest deeper than MaxDepth; a deep document would exhaust
/// the stack when it is written out again.
bool isTooDeep(std::string_view Body) {
  std::size_t Depth = 0;
  bool InText = false;
  for (std::size_t Index = 0; Index < Body.size(); ++Index) {
    char Each = Body[Index];
    if (InText && Each == '\\')
      ++Index;
    else if (Each == '"')
      InText = !InText;
    else if (!InText && (Each == '[' || Each == '{') && ++Depth > MaxDepth)
      return true;
    else if (!InText && (Each == ']' || Each == '}') && Depth > 0)
      --Depth;
  }
  return false;
}

Refusal wrongType(const std::string &Name, const std::string &Wanted) {
  return badRequest("invalid_type",
                    "'" + Name + "' is missing or of the wrong type; send " +
                        Wanted + ".");
}

/// The text of a message's content: a string or parts with text.
std::optional<std::string> contentText(const Json &Content) {
  if (Content.is_null())
    return std::string();
  if (Content.is_string())
    return Content.get<std::string>();
  if (!Content.is_array())
    return std::nullopt;
  std::string Out;
  for (const Json &Part : Content) {
    if (!Part.is_object())
      return std::nullopt;
    if (auto Text = Part.find("text"); Text != Part.end() && Text->is_string())
      Out += Text->get_ref<const std::string &>();
  }
  return Out;
}

tl::expected<std::string, Refusal> messageText(const Json &Body) {
  auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty())
    return tl::unexpected(
        wrongType("messages", "a non-empty array of messages"));
  std::string Out;
  for (const Json &Each : *Messages) {
    if (!Each.is_object() || !Each.contains("role") ||
        !Each["role"].is_string())
      return tl::unexpected(
          wrongType("messages", "objects with a 'role' and a 'content'"));
    auto Text =
        contentText(Each.contains("content") ? Each["content"] : Json(nullptr));
    if (!Text)
      return tl::unexpected(wrongType("messages[].content",
                                      "a string or an array of content parts"));
    Out += *Text;
  }
  return Out;
}

tl::expected<std::string, Refusal> promptText(const Json &Body) {
  auto Prompt = Body.find("prompt");
  if (Prompt != Body.end() && Prompt->is_array() && Prompt->size() == 1 &&
      Prompt->front().is_string())
    return Prompt->front().get<std::string>();
  if (Prompt == Body.end() || !Prompt->is_string())
    return tl::unexpected(
        wrongType("prompt", "one string; a request carries one prompt"));
  return Prompt->get<std::string>();
}

/// An optional positive number; \p Out is left alone if absent or null.
Complaint readCount(const Json &Body, const char *Name, std::int64_t Max,
                    std::optional<std::int64_t> &Out) {
  auto Found = Body.find(Name);
  if (Found == Body.end() || Found->is_null())
    return std::nullopt;
  if (!Found->is_number_integer() || Found->get<std::int64_t>() < 1 ||
      Found->get<std::int64_t>() > Max)
    return wrongType(Name, "a whole number from 1 to " + std::to_string(Max));
  Out = Found->get<std::int64_t>();
  return std::nullopt;
}

Complaint readFlag(const Json &Object, const char *Name, bool &Out) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || Found->is_null())
    return std::nullopt;
  if (!Found->is_boolean())
    return wrongType(Name, "true or false");
  Out = Found->get<bool>();
  return std::nullopt;
}

Complaint readModel(const Json &Body, CompletionRequest &Out) {
  auto Model = Body.find("model");
  if (Model == Body.end() || !Model->is_string() ||
      Model->get_ref<const std::string &>().empty() ||
      Model->get_ref<const std::string &>().size() > MaxModelName)
    return wrongType("model", "the name of a model; list them by "
                              "GET /v1/models");
  Out.Model = Model->get<std::string>();
  return std::nullopt;
}

Complaint readStreaming(const Json &Body, CompletionRequest &Out) {
  if (auto Wrong = readFlag(Body, "stream", Out.Stream))
    return Wrong;
  auto Options = Body.find("stream_options");
  if (Options == Body.end() || Options->is_null())
    return std::nullopt;
  if (!Options->is_object())
    return wrongType("stream_options", "an object");
  return readFlag(*Options, "include_usage", Out.IncludeUsage);
}

Complaint readOutput(const Json &Body, const Limits &Bounds,
                     CompletionRequest &Out) {
  std::optional<std::int64_t> Count;
  for (const char *Name : {"max_tokens", "max_completion_tokens"})
    if (auto Wrong = readCount(Body, Name, Bounds.OutputTokens, Count))
      return Wrong;
  Out.OutputTokens = {Count.value_or(DefaultOutputTokens)};
  std::optional<std::int64_t> Choices;
  if (auto Wrong = readCount(Body, "n", 1, Choices))
    return badRequest("unsupported_value",
                      "'n' may only be 1; send one request a choice.");
  return std::nullopt;
}

} // namespace

tl::expected<CompletionRequest, Refusal> parseCompletion(CompletionKind Kind,
                                                         std::string_view Text,
                                                         const Limits &Bounds) {
  if (isTooDeep(Text))
    return tl::unexpected(
        badRequest("too_deep", "The body nests too deeply; send at most " +
                                   std::to_string(MaxDepth) + " levels."));
  Json Body = Json::parse(Text, nullptr, false);
  if (Body.is_discarded() || !Body.is_object())
    return tl::unexpected(badRequest(
        "invalid_json", "The body is not a JSON object; check its syntax and "
                        "that it is UTF-8."));
  CompletionRequest Out;
  Out.Kind = Kind;
  for (Complaint Wrong : {readModel(Body, Out), readStreaming(Body, Out),
                          readOutput(Body, Bounds, Out)})
    if (Wrong)
      return tl::unexpected(std::move(*Wrong));
  auto Prompt =
      Kind == CompletionKind::Chat ? messageText(Body) : promptText(Body);
  if (!Prompt)
    return tl::unexpected(std::move(Prompt.error()));
  Out.Prefix = routing::prefixHash(*Prompt);
  auto Bytes = static_cast<std::int64_t>(Prompt->size());
  Out.PromptTokens = {
      std::max<std::int64_t>((Bytes + BytesPerToken - 1) / BytesPerToken, 1)};
  Body["stream"] = true;
  Body["stream_options"] = {{"include_usage", true}};
  // The reservation is a bound only if the engine is told of it.
  Body["max_tokens"] = Out.OutputTokens.Value;
  Out.EngineBody = Body.dump();
  return Out;
}

} // namespace kingcuphub::gateway
