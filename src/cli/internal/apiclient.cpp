#include "cli/apiclient.h"

#include <utility>

namespace kingcuphub::cli {

namespace {

constexpr std::chrono::milliseconds AnswerTimeout(5000);
/// The status of a whole deployment.
constexpr std::size_t MaxAnswerBytes = 64U << 20U;

std::string textOf(int Code) {
  switch (static_cast<ApiErrc>(Code)) {
  case ApiErrc::CannotReach:
    return "the agent cannot be reached";
  case ApiErrc::NoAnswer:
    return "the agent did not answer";
  case ApiErrc::NotAuthorised:
    return "not authorised";
  case ApiErrc::Refused:
    return "refused";
  }
  return "unknown API error";
}

const base::EnumCategory Category("operators-api", textOf);

std::string messageOf(const nlohmann::json &Body) {
  if (!Body.is_object() || !Body.contains("error"))
    return "";
  const nlohmann::json &Problem = Body["error"];
  return Problem.is_object() ? Problem.value("message", "") : "";
}

} // namespace

std::error_code make_error_code(ApiErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

ApiClient::ApiClient(ApiAccess Access)
    : Access(std::move(Access)),
      Client(http::makeHttpClient(this->Loop, {MaxAnswerBytes})) {}

base::Result<nlohmann::json> ApiClient::get(const std::string &Path) {
  http::ClientRequest Request;
  Request.Url = Path;
  Request.TotalTimeout = AnswerTimeout;
  return this->call(std::move(Request));
}

base::Result<nlohmann::json> ApiClient::post(const std::string &Path,
                                             const nlohmann::json &Body,
                                             std::chrono::milliseconds Wait) {
  http::ClientRequest Request;
  Request.Method = "POST";
  Request.Url = Path + "?wait_ms=" + std::to_string(Wait.count());
  Request.Headers.push_back({"Content-Type", "application/json"});
  Request.Body = Body.dump();
  Request.TotalTimeout = Wait + AnswerTimeout;
  return this->call(std::move(Request));
}

base::Result<nlohmann::json> ApiClient::call(http::ClientRequest Request) {
  Request.Url = "http://" + this->Access.Agent.text() + Request.Url;
  Request.Headers.push_back({"Authorization", "Bearer " + this->Access.Token});
  Request.MaxBodyBytes = MaxAnswerBytes;
  http::TransferResult Result;
  http::Response Whole;
  bool Done = false;
  this->Client->fetch(std::move(Request), [&](const http::TransferResult &End,
                                              http::Response Answer) {
    Result = End;
    Whole = std::move(Answer);
    Done = true;
  });
  this->Loop.restart();
  while (!Done && this->Loop.run_one() > 0) {
  }
  nlohmann::json Body = nlohmann::json::parse(Whole.Body, nullptr, false);
  if (Result.End != http::TransferEnd::Complete || Whole.Status != 200 ||
      Body.is_discarded())
    return tl::unexpected(this->failure(Result, Whole));
  return Body;
}

base::Error ApiClient::failure(const http::TransferResult &Result,
                               const http::Response &Whole) const {
  std::string Agent = this->Access.Agent.text();
  if (!Result.MayHaveBeenSent && Result.End != http::TransferEnd::Complete)
    return {make_error_code(ApiErrc::CannotReach),
            "the agent at " + Agent +
                " cannot be reached; check the address, or ask another "
                "instance with --agent ADDRESS:PORT"};
  if (Result.End == http::TransferEnd::TooLarge)
    return {make_error_code(ApiErrc::NoAnswer),
            "the answer of the agent at " + Agent + " is too large (" +
                Result.Detail +
                "); check that the address is an agent's `api` endpoint"};
  if (Result.End != http::TransferEnd::Complete)
    return {make_error_code(ApiErrc::NoAnswer),
            "the agent at " + Agent +
                " did not answer in time; ask another instance with --agent "
                "ADDRESS:PORT"};
  if (Whole.Status == 401 || Whole.Status == 403)
    return {make_error_code(ApiErrc::NotAuthorised),
            "the agent at " + Agent +
                " does not know this operator token; set KINGCUPHUB_TOKEN or "
                "--token-file to one whose hash is in the agent's settings"};
  std::string Message =
      messageOf(nlohmann::json::parse(Whole.Body, nullptr, false));
  if (Message.empty())
    Message = "the agent at " + Agent + " answered with status " +
              std::to_string(Whole.Status) +
              "; check that the address is an agent's `api` endpoint";
  return {make_error_code(ApiErrc::Refused), Message};
}

} // namespace kingcuphub::cli
