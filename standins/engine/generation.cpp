#include "generation.h"

#include "base/hashing.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace kingcuphub::standin {

namespace {

constexpr std::int64_t DefaultTokens = 16;
constexpr std::int64_t BytesPerToken = 4;
constexpr std::uint64_t TokenMask = 0xffff;

/// A message's content: a text, or the texts of its parts.
std::string contentOf(const nlohmann::json &Content) {
  if (Content.is_string())
    return Content.get<std::string>();
  std::string Out;
  if (!Content.is_array())
    return Out;
  for (const nlohmann::json &Part : Content)
    if (Part.is_object() && Part.contains("text") && Part["text"].is_string())
      Out += Part["text"].get<std::string>();
  return Out;
}

std::string promptOf(const nlohmann::json &Body, bool Chat) {
  if (!Chat)
    return contentOf(Body.value("prompt", nlohmann::json("")));
  nlohmann::json Messages = Body.value("messages", nlohmann::json::array());
  if (!Messages.is_array() || Messages.empty() || !Messages.back().is_object())
    return "";
  return contentOf(Messages.back().value("content", nlohmann::json("")));
}

std::int64_t tokensOf(const nlohmann::json &Body) {
  for (const char *Name : {"max_completion_tokens", "max_tokens"})
    if (Body.contains(Name) && Body[Name].is_number_integer())
      return Body[Name].get<std::int64_t>();
  return DefaultTokens;
}

bool flagOf(const nlohmann::json &Body, const char *Name) {
  return Body.contains(Name) && Body[Name].is_boolean() &&
         Body[Name].get<bool>();
}

std::int64_t numberOf(std::string_view Text, std::int64_t Default) {
  return Text.empty() ? Default
                      : std::strtoll(std::string(Text).c_str(), nullptr, 10);
}

} // namespace

std::optional<CompletionRequest> parseCompletion(const http::Request &Asked,
                                                 const nlohmann::json &Body) {
  if (!Body.is_object() || !Body.contains("model") ||
      !Body["model"].is_string())
    return std::nullopt;
  CompletionRequest Out;
  Out.Chat = Asked.Path.ends_with("/chat/completions");
  Out.Source = {std::string(Asked.header("X-Request-Id")),
                Body["model"].get<std::string>(), promptOf(Body, Out.Chat)};
  Out.Stream = flagOf(Body, "stream");
  if (Body.contains("stream_options") && Body["stream_options"].is_object())
    Out.IncludeUsage = flagOf(Body["stream_options"], "include_usage");
  Out.KeySeen = !Asked.header("Authorization").empty();
  Out.MaxTokens = std::max<std::int64_t>(1, tokensOf(Body));
  Out.StartToken = numberOf(Asked.header("X-Resume-Token-Offset"), 0);
  Out.Priority = numberOf(Asked.header("X-Priority"), 1);
  return Out;
}

std::string tokenText(const PromptSource &Source, std::int64_t Index) {
  std::uint64_t Hash = base::stableHash(Source.Model + "\n" + Source.Prompt,
                                        static_cast<std::uint64_t>(Index));
  std::array<char, 8> Out{};
  std::snprintf(Out.data(), Out.size(), " %04x",
                static_cast<unsigned>(Hash & TokenMask));
  return Out.data();
}

Generation::Generation(CompletionRequest Asked, PromptSource Shown,
                       const TargetFaults &Faults,
                       http::ResponseWriterPtr Answer)
    : Asked(std::move(Asked)), Shown(std::move(Shown)), Faults(Faults),
      Answer(std::move(Answer)), Next(this->Asked.StartToken) {}

void Generation::begin() {
  if (!this->Asked.Stream || this->Faults.AnswerLost)
    return;
  this->Answer->beginStream(200, {{"Content-Type", "text/event-stream"},
                                  {"X-Request-Id", this->Shown.RequestId}});
}

bool Generation::reached(std::int64_t FaultAt) const {
  return FaultAt >= this->Asked.StartToken && this->Next >= FaultAt;
}

// A stream that was resumed at the faulty token goes on, as the fault is of
// the connection and not of the token.
bool Generation::silentNow() const {
  std::int64_t At = this->Faults.SilentAfterTokens;
  return At >= 0 && this->reached(At) &&
         (At == 0 || At > this->Asked.StartToken);
}

bool Generation::dropNow() const {
  std::int64_t At = this->Faults.DropAfterTokens;
  return At >= 0 && this->reached(At) &&
         (At == 0 || At > this->Asked.StartToken);
}

bool Generation::makeToken() {
  if (this->Next >= this->Asked.MaxTokens)
    return false;
  std::string Token = tokenText(this->Shown, this->Next);
  this->Text += Token;
  if (this->Asked.Stream && !this->Faults.AnswerLost) {
    nlohmann::json Choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (this->Asked.Chat)
      Choice["delta"] = {{"role", "assistant"}, {"content", Token}};
    else
      Choice["text"] = Token;
    nlohmann::json Chunk = this->chunk(Choice);
    Chunk["token_index"] = this->Next;
    this->send(Chunk);
  }
  ++this->Next;
  return this->Next < this->Asked.MaxTokens;
}

nlohmann::json Generation::chunk(const nlohmann::json &Choice) const {
  nlohmann::json Out = {{"id", "chatcmpl-" + this->Shown.RequestId},
                        {"object", this->Asked.Chat ? "chat.completion.chunk"
                                                    : "text_completion"},
                        {"created", 0},
                        {"model", this->Shown.Model},
                        {"choices", nlohmann::json::array()}};
  if (!Choice.is_null())
    Out["choices"].push_back(Choice);
  return Out;
}

nlohmann::json Generation::usage() const {
  auto Prompt = static_cast<std::int64_t>(this->Shown.Prompt.size());
  Prompt = std::max<std::int64_t>(1, Prompt / BytesPerToken);
  return {{"prompt_tokens", Prompt},
          {"completion_tokens", this->Asked.MaxTokens},
          {"total_tokens", Prompt + this->Asked.MaxTokens}};
}

void Generation::send(const nlohmann::json &Chunk) {
  this->Answer->write("data: " + Chunk.dump() + "\n\n");
}

void Generation::finish() {
  if (this->Faults.AnswerLost)
    return this->Answer->abort();
  if (!this->Asked.Stream)
    return this->finishWhole();
  nlohmann::json Choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (this->Asked.Chat)
    Choice["delta"] = nlohmann::json::object();
  else
    Choice["text"] = "";
  this->send(this->chunk(Choice));
  if (this->Asked.IncludeUsage) {
    nlohmann::json Chunk = this->chunk(nullptr);
    Chunk["usage"] = this->usage();
    this->send(Chunk);
  }
  this->Answer->write("data: [DONE]\n\n");
  this->Answer->finish();
}

void Generation::finishWhole() {
  nlohmann::json Choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (this->Asked.Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", this->Text}};
  else
    Choice["text"] = this->Text;
  nlohmann::json Body = this->chunk(Choice);
  Body["object"] = this->Asked.Chat ? "chat.completion" : "text_completion";
  Body["usage"] = this->usage();
  http::Response Whole = http::jsonResponse(200, Body.dump());
  Whole.Headers.push_back({"X-Request-Id", this->Shown.RequestId});
  this->Answer->respond(Whole);
}

} // namespace kingcuphub::standin
