#include "platformcall.h"

#include <utility>

namespace kingcuphub::logservice {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{500};
/// A page of a thousand records; a read that finds more asks for fewer.
constexpr std::size_t MaxAnswerBytes = 16U << 20U;
constexpr int FirstErrorStatus = 500;
constexpr int UnavailableStatus = 503;

base::Error errorOf(const http::TransferResult &Result) {
  if (!Result.MayHaveBeenSent)
    return {make_error_code(PlatformErrc::Unavailable),
            "the platform cannot be reached (" + Result.Detail +
                "); check platform_url and the platform's health"};
  if (Result.End == http::TransferEnd::TooLarge)
    return {make_error_code(PlatformErrc::TooLarge),
            "the platform's answer is too large (" + Result.Detail +
                "); the call may have had its effect, check platform_url"};
  return {make_error_code(PlatformErrc::AnswerLost),
          "the platform's answer was lost (" + Result.Detail +
              "); the call may have had its effect, read to find out"};
}

} // namespace

PlatformCaller::PlatformCaller(http::HttpClient &Http, std::string PlatformUrl)
    : Http(Http), PlatformUrl(std::move(PlatformUrl)),
      Alive(std::make_shared<bool>(true)) {}

PlatformCaller::~PlatformCaller() { *this->Alive = false; }

void PlatformCaller::call(const std::string &Method,
                          const std::string &PathAndQuery, std::string Body,
                          std::chrono::milliseconds Timeout, CallDone Done) {
  http::ClientRequest Request;
  Request.Method = Method;
  Request.Url = this->PlatformUrl + PathAndQuery;
  Request.Body = std::move(Body);
  Request.ConnectTimeout = ConnectTimeout;
  Request.TotalTimeout = Timeout;
  Request.MaxBodyBytes = MaxAnswerBytes;
  this->Http.fetch(
      std::move(Request),
      [Done = std::move(Done), Live = this->Alive](
          const http::TransferResult &Result, http::Response Answer) {
        if (!*Live)
          return;
        if (Result.End != http::TransferEnd::Complete)
          return Done(tl::unexpected<base::Error>(errorOf(Result)));
        if (Answer.Status == UnavailableStatus)
          return Done(base::fail(PlatformErrc::Unavailable,
                                 "the platform is out; it is tried again, "
                                 "check the platform's health"));
        if (Answer.Status >= FirstErrorStatus)
          return Done(base::fail(PlatformErrc::AnswerLost,
                                 "the platform failed with status " +
                                     std::to_string(Answer.Status) +
                                     "; check the platform's health"));
        Done(std::move(Answer));
      });
}

base::Result<nlohmann::json> parseBody(const http::Response &Answer) {
  nlohmann::json Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (Body.is_object())
    return Body;
  return base::fail(PlatformErrc::BadAnswer,
                    "the platform answered status " +
                        std::to_string(Answer.Status) +
                        " without a JSON object; check platform_url");
}

base::Result<std::uint64_t> readNumber(const nlohmann::json &Object,
                                       const char *Name) {
  if (auto Found = Object.find(Name);
      Found != Object.end() && Found->is_number_unsigned())
    return Found->get<std::uint64_t>();
  return base::fail(PlatformErrc::BadAnswer,
                    std::string("the platform's answer has no number '") +
                        Name + "'; check platform_url");
}

} // namespace kingcuphub::logservice
