#include "completionresponse.h"

#include <utility>

namespace kingcuphub::gateway {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxToolCalls = 128;

Json usageOf(const delivery::WholeAnswer &End) {
  return {{"prompt_tokens", End.PromptTokens},
          {"completion_tokens", End.CompletionTokens},
          {"total_tokens", End.PromptTokens + End.CompletionTokens}};
}

/// Appends the string \p Name of \p From to that of \p To.
void appendText(Json &To, const Json &From, const char *Name) {
  auto Found = From.find(Name);
  if (Found == From.end() || !Found->is_string())
    return;
  Json &Text = To[Name];
  Text = (Text.is_string() ? Text.get<std::string>() : std::string()) +
         Found->get_ref<const std::string &>();
}

/// The first choice of a chunk that the assembler has let through.
const Json &choiceOf(const Json &Chunk) { return Chunk["choices"].front(); }

} // namespace

std::string sseEvent(const std::string &Data) {
  return "data: " + Data + "\n\n";
}

CompletionResponse::CompletionResponse(const CompletionRequest &Request,
                                       const base::RequestId &Id,
                                       base::WallTime Now)
    : Kind(Request.Kind), Model(Request.Model),
      Id((Request.Kind == CompletionKind::Chat ? "chatcmpl-" : "cmpl-") +
         Id.Value),
      Created(std::chrono::duration_cast<std::chrono::seconds>(
                  Now.time_since_epoch())
                  .count()),
      IncludeUsage(Request.IncludeUsage) {}

void CompletionResponse::add(const Json &Chunk) {
  const Json &Choice = choiceOf(Chunk);
  if (auto Found = Choice.find("text");
      Found != Choice.end() && Found->is_string())
    this->Text += Found->get_ref<const std::string &>();
  auto Delta = Choice.find("delta");
  if (Delta == Choice.end() || !Delta->is_object())
    return;
  if (auto Content = Delta->find("content");
      Content != Delta->end() && Content->is_string())
    this->Text += Content->get_ref<const std::string &>();
  if (auto Calls = Delta->find("tool_calls");
      Calls != Delta->end() && Calls->is_array())
    this->addToolCalls(*Calls);
}

void CompletionResponse::addToolCalls(const Json &Calls) {
  for (const Json &Part : Calls) {
    auto Index = Part.is_object() ? Part.find("index") : Part.end();
    if (!Part.is_object() || Index == Part.end() ||
        !Index->is_number_unsigned() ||
        Index->get<std::size_t>() >= MaxToolCalls)
      continue;
    Json &Call = this->ToolCalls[Index->get<std::size_t>()];
    if (Call.is_null())
      Call = {{"type", "function"}, {"function", Json::object()}};
    appendText(Call, Part, "id");
    auto Function = Part.find("function");
    if (Function == Part.end() || !Function->is_object())
      continue;
    appendText(Call["function"], *Function, "name");
    appendText(Call["function"], *Function, "arguments");
  }
}

std::string CompletionResponse::event(Json Chunk) const {
  Chunk["id"] = this->Id;
  Chunk["model"] = this->Model;
  Chunk.erase("token_index");
  return sseEvent(Chunk.dump());
}

std::string
CompletionResponse::endEvents(const delivery::WholeAnswer &End) const {
  std::string Out = this->event(End.FinishChunk);
  if (this->IncludeUsage) {
    Json Chunk = End.FinishChunk;
    Chunk["choices"] = Json::array();
    Chunk["usage"] = usageOf(End);
    Out += this->event(std::move(Chunk));
  }
  return Out + sseEvent("[DONE]");
}

Json CompletionResponse::choice(const delivery::WholeAnswer &End) const {
  Json Out = {{"index", 0},
              {"finish_reason", choiceOf(End.FinishChunk)["finish_reason"]},
              {"logprobs", nullptr}};
  if (this->Kind == CompletionKind::Text) {
    Out["text"] = this->Text;
    return Out;
  }
  Json Message = {
      {"role", "assistant"}, {"content", this->Text}, {"refusal", nullptr}};
  if (!this->ToolCalls.empty()) {
    Message["tool_calls"] = this->ToolCalls;
    if (this->Text.empty())
      Message["content"] = nullptr;
  }
  Out["message"] = std::move(Message);
  return Out;
}

std::string CompletionResponse::whole(const delivery::WholeAnswer &End) const {
  Json Out = {{"id", this->Id},
              {"object", this->Kind == CompletionKind::Chat
                             ? "chat.completion"
                             : "text_completion"},
              {"created", this->Created},
              {"model", this->Model},
              {"choices", Json::array({this->choice(End)})},
              {"usage", usageOf(End)}};
  return Out.dump();
}

} // namespace kingcuphub::gateway
