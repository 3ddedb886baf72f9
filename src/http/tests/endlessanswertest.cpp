#include "common/endlessserver.h"
#include "common/rawserver.h"
#include "http/httpclient.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <ostream>
#include <tuple>

using namespace kingcuphub::http;
using kingcuphub::standin::EndlessAnswer;
using kingcuphub::standin::EndlessServer;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t HeadBound = 32U << 10U;
constexpr std::size_t BodyBound = 64U << 10U;
/// The buffers of both kernels, what libcurl reads at once, and the chunks that
/// a body may come in.
constexpr std::size_t InTransit = 1U << 20U;
constexpr milliseconds Timeout{20000};
constexpr milliseconds SlowPause{1};
constexpr std::size_t SlowPieceBytes = 512;
constexpr unsigned Many = 50;

struct Place {
  const char *Name;
  std::string Begin;
  std::string Repeated;
  TransferEnd Expected = TransferEnd::TooLarge;
};

std::ostream &operator<<(std::ostream &Out, const Place &Each) {
  return Out << Each.Name;
}

const std::string Head = "HTTP/1.1 200 OK\r\n";
const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";

const Place Places[] = {
    {"LineOfTheHead", Head + "X-Long: ", "a"},
    {"Reason", "HTTP/1.1 200 ", "a"},
    {"LinesOfTheHead", Head, "X-More: value\r\n"},
    {"ShortestLinesOfTheHead", Head, "a:\r\n"},
    {"LinesOfAnInterimHead", "HTTP/1.1 103 Early Hints\r\n", "X-M: v\r\n"},
    {"InterimHeads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"BodyOfALength", Head + "Content-Length: 100000000000\r\n\r\n", "a"},
    {"BodyOfALengthBeyondAnyNumber",
     Head + "Content-Length: 99999999999999999999999\r\n\r\n", "a"},
    {"BodyInChunks", ChunkedHead, "1\r\na\r\n"},
    {"BodyInOneChunk", ChunkedHead + "7fffffffffff\r\n", "a"},
    {"BodyUntilTheEnd", Head + "\r\n", "a"},
    {"BodyOfAnError", "HTTP/1.1 503 Full\r\n\r\n", "a"},
    {"Trailers", ChunkedHead + "0\r\n", "X-More: value\r\n"},
    // What libcurl refuses by itself.
    {"LineOfATrailer", ChunkedHead + "0\r\nX: ", "a", TransferEnd::Cut},
    {"SizeOfAChunk", ChunkedHead, "0", TransferEnd::Cut},
    {"EmptyLines", "", "\r\n", TransferEnd::Cut},
    {"NoHttp", "", "\x01\x02\x03\n", TransferEnd::Cut},
};

std::string url(std::uint16_t Port) {
  return "http://127.0.0.1:" + std::to_string(Port) + "/";
}

template <typename Predicate>
bool runUntil(asio::io_context &Loop, Predicate Holds) {
  auto Deadline = std::chrono::steady_clock::now() + Timeout * 2;
  while (!Holds() && std::chrono::steady_clock::now() < Deadline)
    Loop.run_one_for(milliseconds(20));
  return Holds();
}

/// A client whose calls go to faulty servers and to one that answers.
class EndlessAnswerTest : public testing::TestWithParam<Place> {
protected:
  /// As pieces of some length, as a faulty server sends slowly.
  static EndlessAnswer slowly(const Place &Each) {
    std::string Piece;
    while (Piece.size() < SlowPieceBytes)
      Piece += Each.Repeated;
    return {Each.Begin, Piece, SlowPause};
  }

  void fetch(std::uint16_t Port) {
    ClientRequest Ask;
    Ask.Url = url(Port);
    Ask.TotalTimeout = Timeout;
    Ask.MaxHeadBytes = HeadBound;
    Ask.MaxBodyBytes = BodyBound;
    this->Client->fetch(
        Ask, [this](const TransferResult &Result, const Response &Got) {
          this->Ends.push_back(Result);
          this->MostKept = std::max(this->MostKept, Got.Body.size());
        });
  }

  void fetchGood() {
    ClientRequest Ask;
    Ask.Url = url(this->Good.port());
    Ask.TotalTimeout = Timeout;
    this->Client->fetch(
        Ask, [this](const TransferResult &Result, const Response &Got) {
          EXPECT_EQ(Result.End, TransferEnd::Complete) << Result.Detail;
          EXPECT_EQ(Got.Body, "good");
          ++this->GoodAnswers;
          if (this->Asking)
            this->fetchGood();
        });
  }

  template <typename Predicate> bool runUntil(Predicate Holds) {
    return ::runUntil(this->Loop, Holds);
  }

  void play(const EndlessAnswer &Answer, unsigned Calls) {
    const Place &Where = GetParam();
    EndlessServer Faulty(this->Loop, Answer);
    this->fetchGood();
    for (unsigned Index = 0; Index < Calls; ++Index)
      this->fetch(Faulty.port());
    ASSERT_TRUE(this->runUntil([&] { return this->Ends.size() == Calls; }));
    for (const TransferResult &Each : this->Ends) {
      EXPECT_EQ(Each.End, Where.Expected) << Each.Detail;
      EXPECT_TRUE(Each.MayHaveBeenSent);
      EXPECT_FALSE(Each.Detail.empty());
    }
    EXPECT_EQ(this->Client->running(), 1U);
    // The connections go with their transfers.
    EXPECT_TRUE(this->runUntil([&] { return Faulty.ended() == Calls; }));
    EXPECT_LE(Faulty.sent(), Calls * (HeadBound + BodyBound + InTransit));
    EXPECT_LE(this->MostKept, BodyBound);
    unsigned Before = this->GoodAnswers;
    EXPECT_TRUE(this->runUntil([&] { return this->GoodAnswers > Before; }));
    this->Asking = false;
    EXPECT_TRUE(this->runUntil([&] { return this->Client->running() == 0; }));
    RecordProperty("sent", std::to_string(Faulty.sent()));
  }

  asio::io_context Loop;
  kingcuphub::standin::RawServer Good{
      Loop, [](const Request &, const auto &Answer) {
        Answer->write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
      }};
  std::unique_ptr<HttpClient> Client = makeHttpClient(Loop);
  std::vector<TransferResult> Ends;
  std::size_t MostKept = 0;
  unsigned GoodAnswers = 0;
  bool Asking = true;
};

} // namespace

TEST_P(EndlessAnswerTest, SentFastEndsItsCallWithinTheBound) {
  this->play({GetParam().Begin, GetParam().Repeated}, 1);
}

TEST_P(EndlessAnswerTest, SentSlowlyEndsItsCallWithinTheBound) {
  this->play(slowly(GetParam()), 1);
}

TEST_P(EndlessAnswerTest, SentFastByManyLeavesOtherCallsTheirAnswers) {
  this->play({GetParam().Begin, GetParam().Repeated}, Many);
}

TEST_P(EndlessAnswerTest, SentSlowlyByManyLeavesOtherCallsTheirAnswers) {
  this->play(slowly(GetParam()), Many);
}

INSTANTIATE_TEST_SUITE_P(Places, EndlessAnswerTest, testing::ValuesIn(Places),
                         [](const auto &Each) {
                           return std::string(Each.param.Name);
                         });

namespace {

constexpr std::size_t Budget = 4U << 20U;
constexpr std::size_t LargeBodyBound = 1U << 20U;

/// Keeps the bodies of calls that run until they are dropped or complete.
class Keeper {
public:
  explicit Keeper(asio::io_context &Loop)
      : Client(makeHttpClient(Loop, {Budget})) {}

  void call(const std::string &Url) {
    auto Kept = std::make_shared<std::size_t>(0);
    TransferCallbacks Callbacks;
    Callbacks.OnData = [this, Kept](std::string_view Bytes) {
      *Kept += Bytes.size();
      this->Sum += Bytes.size();
      this->Most = std::max(this->Most, this->Sum);
    };
    Callbacks.OnDone = [this, Kept](const TransferResult &Result) {
      this->Sum -= *Kept;
      ++this->Ends[Result.End];
    };
    ClientRequest Ask;
    Ask.Url = Url;
    Ask.TotalTimeout = Timeout;
    Ask.MaxBodyBytes = LargeBodyBound;
    this->Client->start(Ask, Callbacks);
  }

  std::size_t most() const { return this->Most; }
  unsigned ends(TransferEnd How) const {
    auto Found = this->Ends.find(How);
    return Found == this->Ends.end() ? 0 : Found->second;
  }

private:
  std::unique_ptr<HttpClient> Client;
  std::map<TransferEnd, unsigned> Ends;
  std::size_t Sum = 0;
  std::size_t Most = 0;
};

} // namespace

TEST(EndlessBodiesTest, OfManyCallsTogetherStayWithinTheBudget) {
  // One body more, as those that are dropped go one after another.
  constexpr std::size_t Allowed = Budget + LargeBodyBound;
  const std::string SlowPiece(SlowPieceBytes, 'a');
  for (const EndlessAnswer &Answer :
       {EndlessAnswer{Head + "\r\n", "a"},
        EndlessAnswer{Head + "\r\n", SlowPiece, SlowPause}}) {
    asio::io_context Loop;
    EndlessServer Faulty(Loop, Answer);
    // Keeps its call, which is further than no other, waiting for its end.
    std::shared_ptr<kingcuphub::standin::RawConnection> Waiting;
    kingcuphub::standin::RawServer Good(
        Loop, [&Waiting](const Request &, const auto &To) {
          To->write(Head + "Content-Length: 4\r\n\r\ngo");
          Waiting = To;
        });
    Keeper Calls(Loop);
    Calls.call(url(Good.port()));
    ASSERT_TRUE(runUntil(Loop, [&] { return Waiting != nullptr; }));
    for (unsigned Index = 0; Index < Many; ++Index)
      Calls.call(url(Faulty.port()));
    ASSERT_TRUE(runUntil(
        Loop, [&] { return Calls.ends(TransferEnd::TooLarge) == Many; }));
    Waiting->write("od");
    EXPECT_TRUE(
        runUntil(Loop, [&] { return Calls.ends(TransferEnd::Complete) == 1; }));
    EXPECT_LE(Calls.most(), Allowed);
    RecordProperty(Answer.Pause.count() == 0 ? "fast" : "slow",
                   std::to_string(Calls.most()));
  }
}

TEST(LargestAnswerTest, IsNotRefused) {
  const std::string Whole(BodyBound, 'b');
  const std::string Length = "Content-Length: " + std::to_string(BodyBound);
  // A head that announces a body which doesn't follow is one of its kinds.
  for (const auto &[Method, Answer, Expected] :
       {std::tuple{"GET", Head + Length + "\r\n\r\n" + Whole, Whole},
        std::tuple{"HEAD", Head + Length + "0\r\n\r\n", std::string()},
        std::tuple{"GET", "HTTP/1.1 304 Same\r\n" + Length + "0\r\n\r\n",
                   std::string()}}) {
    asio::io_context Loop;
    kingcuphub::standin::RawServer Server(
        Loop,
        [&Sent = Answer](const Request &, const auto &To) { To->write(Sent); });
    auto Client = makeHttpClient(Loop);
    std::optional<std::pair<TransferResult, Response>> Got;
    ClientRequest Ask;
    Ask.Method = Method;
    Ask.Url = url(Server.port());
    Ask.MaxBodyBytes = BodyBound;
    Client->fetch(Ask, [&Got](const TransferResult &Result, Response Body) {
      Got.emplace(Result, std::move(Body));
    });
    ASSERT_TRUE(runUntil(Loop, [&Got] { return Got.has_value(); }));
    EXPECT_EQ(Got->first.End, TransferEnd::Complete) << Got->first.Detail;
    EXPECT_EQ(Got->second.Body, Expected);
  }
}
