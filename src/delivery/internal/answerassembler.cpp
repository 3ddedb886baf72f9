#include "delivery/answerassembler.h"

#include <utility>

namespace kingcuphub::delivery {

namespace {

constexpr std::string_view EndMark = "[DONE]";

/// The first choice of a chunk; null if it has none.
const nlohmann::json *firstChoice(const nlohmann::json &Chunk) {
  auto Choices = Chunk.find("choices");
  if (Choices == Chunk.end() || !Choices->is_array() || Choices->empty() ||
      !Choices->front().is_object())
    return nullptr;
  return &Choices->front();
}

bool isFinish(const nlohmann::json &Choice) {
  auto Reason = Choice.find("finish_reason");
  return Reason != Choice.end() && Reason->is_string();
}

std::int64_t numberOf(const nlohmann::json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_number_integer()
             ? Found->get<std::int64_t>()
             : 0;
}

} // namespace

std::string_view faultName(AnswerFault Kind) {
  switch (Kind) {
  case AnswerFault::Malformed:
    return "malformed";
  case AnswerFault::OtherRequest:
    return "other_request";
  case AnswerFault::Repeated:
    return "repeated_token";
  case AnswerFault::Gap:
    return "missing_token";
  case AnswerFault::Truncated:
    return "truncated";
  case AnswerFault::EngineError:
    return "engine_error";
  }
  return "unknown";
}

void AnswerAssembler::beginAttempt(base::RequestId NewAttempt) {
  this->Attempt = std::move(NewAttempt);
  this->FinishChunk.reset();
  this->CompletionTokens.reset();
  this->Broken = false;
}

AnswerEvent AnswerAssembler::breakOff(AnswerFault Kind) {
  this->Broken = true;
  return BrokenAnswer{Kind};
}

AnswerEvent AnswerAssembler::take(std::string_view Data) {
  if (this->Broken || this->Whole)
    return NoOutput{};
  if (Data == EndMark)
    return this->takeEnd();
  nlohmann::json Chunk = nlohmann::json::parse(Data, nullptr, false);
  if (Chunk.is_discarded() || !Chunk.is_object())
    return this->breakOff(AnswerFault::Malformed);
  if (Chunk.contains("error"))
    return this->breakOff(AnswerFault::EngineError);
  if (!this->isOwn(Chunk))
    return this->breakOff(AnswerFault::OtherRequest);
  return this->takeChunk(std::move(Chunk));
}

AnswerEvent AnswerAssembler::endOfStream() {
  if (this->Broken || this->Whole)
    return NoOutput{};
  return this->breakOff(AnswerFault::Truncated);
}

bool AnswerAssembler::isOwn(const nlohmann::json &Chunk) const {
  auto Id = Chunk.find("id");
  return Id != Chunk.end() && Id->is_string() &&
         Id->get_ref<const std::string &>() ==
             "chatcmpl-" + this->Attempt.Value;
}

AnswerEvent AnswerAssembler::takeChunk(nlohmann::json Chunk) {
  if (auto Usage = Chunk.find("usage");
      Usage != Chunk.end() && Usage->is_object())
    return this->takeUsage(*Usage);
  const nlohmann::json *Choice = firstChoice(Chunk);
  if (Choice == nullptr)
    return this->breakOff(AnswerFault::Malformed);
  if (!isFinish(*Choice))
    return this->takeToken(std::move(Chunk));
  auto Index = Chunk.find("token_index");
  if (Index != Chunk.end() && Index->is_number_integer() &&
      Index->get<std::uint64_t>() > this->NextToken)
    return this->breakOff(AnswerFault::Gap);
  this->FinishChunk = std::move(Chunk);
  return NoOutput{};
}

AnswerEvent AnswerAssembler::takeToken(nlohmann::json Chunk) {
  auto Index = Chunk.find("token_index");
  if (Index == Chunk.end() || !Index->is_number_unsigned())
    return this->breakOff(AnswerFault::Malformed);
  auto Value = Index->get<std::uint64_t>();
  if (this->FinishChunk || Value < this->NextToken)
    return this->breakOff(AnswerFault::Repeated);
  if (Value > this->NextToken)
    return this->breakOff(AnswerFault::Gap);
  ++this->NextToken;
  return TokenChunk{Value, std::move(Chunk)};
}

AnswerEvent AnswerAssembler::takeUsage(const nlohmann::json &Usage) {
  this->PromptTokens = numberOf(Usage, "prompt_tokens");
  this->CompletionTokens = numberOf(Usage, "completion_tokens");
  return NoOutput{};
}

AnswerEvent AnswerAssembler::takeEnd() {
  // Without the usage, tokens that were lost at the end would not be missed.
  if (!this->FinishChunk || !this->CompletionTokens)
    return this->breakOff(AnswerFault::Truncated);
  auto Total = static_cast<std::int64_t>(this->NextToken);
  if (*this->CompletionTokens != Total)
    return this->breakOff(AnswerFault::Truncated);
  this->Whole = true;
  return WholeAnswer{std::move(*this->FinishChunk), this->PromptTokens, Total};
}

} // namespace kingcuphub::delivery
