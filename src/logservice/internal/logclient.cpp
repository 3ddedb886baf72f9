#include "logservice/logclient.h"

#include "base/hashing.h"
#include "platformcall.h"

#include <utility>

namespace kingcuphub::logservice {

namespace {

constexpr std::chrono::milliseconds AppendTimeout{2000};
/// What a read may take beyond the time that it asks the platform to wait.
constexpr std::chrono::milliseconds ReadTimeout{1000};
constexpr int OkStatus = 200;
constexpr int GoneStatus = 410;

base::Result<LogRecord> parseRecord(const nlohmann::json &Item) {
  auto At = readNumber(Item, "offset");
  auto Data = Item.find("data");
  if (!At)
    return tl::unexpected<base::Error>(At.error());
  if (Data == Item.end() || !Data->is_string())
    return base::fail(PlatformErrc::BadAnswer,
                      "a record of the log has no data; check platform_url");
  return LogRecord{{*At}, base::fromBase64(Data->get<std::string>())};
}

base::Result<LogAnswer> parsePage(const nlohmann::json &Body) {
  auto First = readNumber(Body, "first");
  auto Next = readNumber(Body, "next");
  auto Tail = readNumber(Body, "tail");
  for (const auto *Each : {&First, &Next, &Tail})
    if (!*Each)
      return tl::unexpected<base::Error>(Each->error());
  LogPage Page{{*First}, {*Next}, {*Tail}, {}};
  auto Items = Body.find("records");
  if (Items == Body.end() || !Items->is_array())
    return base::fail(PlatformErrc::BadAnswer,
                      "the log's answer has no records; check platform_url");
  for (const nlohmann::json &Item : *Items) {
    auto Record = parseRecord(Item);
    if (!Record)
      return tl::unexpected<base::Error>(Record.error());
    Page.Records.push_back(std::move(*Record));
  }
  return LogAnswer(std::move(Page));
}

base::Result<LogAnswer> parseRead(const http::Response &Answer) {
  auto Body = parseBody(Answer);
  if (!Body)
    return tl::unexpected<base::Error>(Body.error());
  if (Answer.Status == OkStatus)
    return parsePage(*Body);
  auto First = readNumber(*Body, "first");
  if (Answer.Status == GoneStatus && First)
    return LogAnswer(LogExpired{{*First}});
  return base::fail(PlatformErrc::BadAnswer,
                    "the log answered a read with status " +
                        std::to_string(Answer.Status) + "; check platform_url");
}

base::Result<base::Offset> parseAppend(const http::Response &Answer) {
  if (Answer.Status != OkStatus)
    return base::fail(PlatformErrc::Unavailable,
                      "the log refused an append with status " +
                          std::to_string(Answer.Status) +
                          "; check platform_url and the size of the record");
  auto Body = parseBody(Answer);
  auto At = Body.and_then([](const nlohmann::json &Object) {
    return readNumber(Object, "offset");
  });
  if (At)
    return base::Offset{*At};
  return base::fail(PlatformErrc::AnswerLost, At.error().Message);
}

class HttpLogClient final : public LogClient {
public:
  HttpLogClient(http::HttpClient &Http, std::string PlatformUrl)
      : Caller(Http, std::move(PlatformUrl)) {}

  void append(const std::string &Stream, std::string Record,
              AppendDone Done) override {
    this->Caller.call(
        "POST", "/v1/streams/" + Stream + "/records", std::move(Record),
        AppendTimeout,
        [Done = std::move(Done)](base::Result<http::Response> Answer) {
          Done(Answer.and_then(parseAppend));
        });
  }

  void read(const LogRead &Where, ReadDone Done) override {
    std::string Path = "/v1/streams/" + Where.Stream +
                       "/records?from=" + std::to_string(Where.From.Value) +
                       "&max=" + std::to_string(Where.MaxRecords) +
                       "&wait_ms=" + std::to_string(Where.Wait.count());
    this->Caller.call("GET", Path, {}, Where.Wait + ReadTimeout,
                      [this, Fewer = Where, Done = std::move(Done)](
                          base::Result<http::Response> Answer) mutable {
                        // Records vary in size; fewer of them may fit.
                        if (!Answer &&
                            Answer.error().Code == PlatformErrc::TooLarge &&
                            Fewer.MaxRecords > 1) {
                          Fewer.MaxRecords /= 2;
                          return this->read(Fewer, std::move(Done));
                        }
                        Done(Answer.and_then(parseRead));
                      });
  }

private:
  PlatformCaller Caller;
};

} // namespace

std::unique_ptr<LogClient> makeLogClient(http::HttpClient &Http,
                                         std::string PlatformUrl) {
  return std::make_unique<HttpLogClient>(Http, std::move(PlatformUrl));
}

} // namespace kingcuphub::logservice
