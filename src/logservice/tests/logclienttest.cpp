#include "logservice/logclient.h"

#include "base/hashing.h"
#include "logservice/instancelist.h"

#include <deque>
#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::logservice;

namespace {

/// Answers each call with the next scripted transfer.
class ScriptedHttp final : public http::HttpClient {
public:
  struct Answer {
    http::TransferResult Result;
    int Status = 200;
    std::string Body;
  };

  std::deque<Answer> Answers;
  std::vector<http::ClientRequest> Requests;

  http::TransferId start(http::ClientRequest Request,
                         http::TransferCallbacks Callbacks) override {
    this->Requests.push_back(std::move(Request));
    Answer Next = this->Answers.front();
    this->Answers.pop_front();
    if (Next.Result.End == http::TransferEnd::Complete) {
      Callbacks.OnHead(Next.Status, {});
      Callbacks.OnData(Next.Body);
    }
    Callbacks.OnDone(Next.Result);
    return {};
  }
  void cancel(http::TransferId) override {}
  std::size_t running() const override { return 0; }
};

std::error_code appendError(ScriptedHttp::Answer Scripted) {
  ScriptedHttp Http;
  Http.Answers.push_back(std::move(Scripted));
  std::error_code Out;
  makeLogClient(Http, "http://p")
      ->append("config", "x", [&Out](const base::Result<base::Offset> &Answer) {
        Out = Answer ? std::error_code() : Answer.error().Code;
      });
  return Out;
}

base::Result<LogAnswer> readWith(int Status, const std::string &Body) {
  ScriptedHttp Http;
  Http.Answers.push_back({{}, Status, Body});
  base::Result<LogAnswer> Out = LogAnswer();
  makeLogClient(Http, "http://p")
      ->read(
          {"config", {3}, 10, std::chrono::milliseconds(5)},
          [&Out](base::Result<LogAnswer> Answer) { Out = std::move(Answer); });
  EXPECT_EQ(Http.Requests[0].Url,
            "http://p/v1/streams/config/records?from=3&max=10&wait_ms=5");
  return Out;
}

} // namespace

TEST(LogClientTest, AnAppendIsUnavailableOnlyWhereItCertainlyHadNoEffect) {
  http::TransferResult Unsent{http::TransferEnd::CannotConnect, 0, false, ""};
  http::TransferResult Cut{http::TransferEnd::Cut, 0, true, ""};
  http::TransferResult Late{http::TransferEnd::TimedOut, 0, true, ""};
  EXPECT_EQ(appendError({Unsent, 0, ""}), PlatformErrc::Unavailable);
  EXPECT_EQ(appendError({Cut, 0, ""}), PlatformErrc::AnswerLost);
  EXPECT_EQ(appendError({Late, 0, ""}), PlatformErrc::AnswerLost);
  EXPECT_EQ(appendError({{}, 503, "{}"}), PlatformErrc::Unavailable);
  EXPECT_EQ(appendError({{}, 500, "{}"}), PlatformErrc::AnswerLost);
  EXPECT_EQ(appendError({{}, 200, "no json"}), PlatformErrc::AnswerLost);
  EXPECT_FALSE(appendError({{}, 200, R"({"offset":7})"}));
}

TEST(LogClientTest, APageIsReadWithItsRecords) {
  auto Answer = readWith(200, R"({"first":1,"next":4,"tail":9,"records":[
      {"offset":3,"data":")" + base::toBase64("abc") +
                                  R"("}]})");
  ASSERT_TRUE(Answer);
  const auto &Page = std::get<LogPage>(*Answer);
  EXPECT_EQ(Page.Tail, base::Offset{9});
  ASSERT_EQ(Page.Records.size(), 1U);
  EXPECT_EQ(Page.Records[0].At, base::Offset{3});
  EXPECT_EQ(Page.Records[0].Data, "abc");
}

TEST(LogClientTest, APageThatIsTooLargeIsReadInParts) {
  http::TransferResult TooLarge{http::TransferEnd::TooLarge, 200, true, "why"};
  ScriptedHttp Http;
  Http.Answers = {{TooLarge, 0, ""},
                  {TooLarge, 0, ""},
                  {{}, 200, R"({"first":1,"next":3,"tail":9,"records":[]})"}};
  base::Result<LogAnswer> Got = base::fail(PlatformErrc::BadAnswer, "none yet");
  auto Take = [&Got](base::Result<LogAnswer> Answer) {
    Got = std::move(Answer);
  };
  auto Log = makeLogClient(Http, "http://p");
  Log->read({"config", {3}, 10, std::chrono::milliseconds(5)}, Take);
  ASSERT_TRUE(Got) << Got.error().Message;
  ASSERT_EQ(Http.Requests.size(), 3U);
  EXPECT_EQ(Http.Requests[2].Url,
            "http://p/v1/streams/config/records?from=3&max=2&wait_ms=5");
  EXPECT_TRUE(Http.Requests[0].MaxBodyBytes.has_value());
  // One record that is too large by itself is an error.
  Http.Answers = {{TooLarge, 0, ""}, {TooLarge, 0, ""}};
  Log->read({"config", {3}, 2, std::chrono::milliseconds(5)}, Take);
  ASSERT_FALSE(Got);
  EXPECT_EQ(Got.error().Code, PlatformErrc::TooLarge);
  EXPECT_NE(Got.error().Message.find("why"), std::string::npos);
}

TEST(LogClientTest, AnExpiredOffsetNamesTheFirstKept) {
  auto Answer = readWith(410, R"({"first":12})");
  ASSERT_TRUE(Answer);
  EXPECT_EQ(std::get<LogExpired>(*Answer).First, base::Offset{12});
}

TEST(LogClientTest, AnAnswerThatIsNoPageIsATypedError) {
  for (const char *Body : {"", "[]", "{}", R"({"first":1,"next":2,"tail":3})",
                           R"({"first":1,"next":2,"tail":3,"records":[{}]})"}) {
    auto Answer = readWith(200, Body);
    ASSERT_FALSE(Answer) << Body;
    EXPECT_EQ(Answer.error().Code, PlatformErrc::BadAnswer);
  }
}

TEST(InstanceListTest, TheListIsReadWithZonesAndStates) {
  ScriptedHttp Http;
  Http.Answers.push_back({{}, 200, R"({"instances":[
          {"instance":"tcp://127.0.0.1:1","zone":"z1","state":"live"},
          {"instance":"tcp://127.0.0.1:2","zone":"z2","state":"leaving"}]})"});
  std::vector<ListedInstance> Got;
  makeInstanceListClient(Http, "http://p")
      ->list([&Got](base::Result<std::vector<ListedInstance>> Answer) {
        Got = *Answer;
      });
  ASSERT_EQ(Got.size(), 2U);
  EXPECT_EQ(Got[0].Zone, base::ZoneId{"z1"});
  EXPECT_FALSE(Got[0].Leaving);
  EXPECT_TRUE(Got[1].Leaving);
}
