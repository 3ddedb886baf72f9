#include "common/rawserver.h"
#include "http/httpclient.h"

#include <gtest/gtest.h>
#include <optional>

using namespace kingcuphub::http;
using kingcuphub::standin::HandOver;
using kingcuphub::standin::RawConnection;
using kingcuphub::standin::RawServer;
using std::chrono::milliseconds;

namespace {

/// A client of a server that writes its answers byte by byte.
class BrokenAnswerTest : public testing::Test {
protected:
  using Answering = std::function<void(RawConnection &)>;

  void SetUp() override { this->Client = makeHttpClient(this->Loop); }

  void ask(const Answering &Answer, std::string Upload = "") {
    RawServer Server(
        this->Loop,
        [&Answer](const Request &, const std::shared_ptr<RawConnection> &To) {
          Answer(*To);
        },
        HandOver::Head);
    this->End.reset();
    this->HeadStatus.reset();
    this->Head.clear();
    this->Body.clear();
    ClientRequest Asked;
    Asked.Method = "POST";
    Asked.Url = "http://127.0.0.1:" + std::to_string(Server.port()) + "/";
    Asked.Body = std::move(Upload);
    Asked.TotalTimeout = Bound;
    TransferCallbacks Callbacks;
    Callbacks.OnHead = [this](int Status, const std::vector<Header> &Lines) {
      this->HeadStatus = Status;
      this->Head = Lines;
    };
    Callbacks.OnData = [this](std::string_view Piece) { this->Body += Piece; };
    Callbacks.OnDone = [this](const TransferResult &Result) {
      this->End = Result;
    };
    this->Client->start(std::move(Asked), std::move(Callbacks));
    auto Deadline = std::chrono::steady_clock::now() + 2 * Bound;
    while (!this->End && std::chrono::steady_clock::now() < Deadline)
      this->Loop.run_one_for(milliseconds(20));
    ASSERT_TRUE(this->End);
  }

  /// Asks a server that writes \p Bytes and ends the connection in order.
  void askForBytes(const std::string &Bytes) {
    this->ask([Bytes](RawConnection &To) {
      To.write(Bytes);
      To.close();
    });
  }

  TransferEnd ending() const {
    return this->End ? this->End->End : TransferEnd::TimedOut;
  }

  void expectNoAnswer(const std::string &Of) {
    ASSERT_TRUE(this->End) << Of;
    EXPECT_EQ(this->End->End, TransferEnd::Cut) << Of;
    EXPECT_EQ(this->End->Status, 0) << Of;
    EXPECT_FALSE(this->HeadStatus) << Of;
    EXPECT_EQ(this->Body, "") << Of;
  }

  static constexpr milliseconds Bound{10000};
  asio::io_context Loop;
  std::unique_ptr<HttpClient> Client;
  std::optional<TransferResult> End;
  std::optional<int> HeadStatus;
  std::vector<Header> Head;
  std::string Body;
};

} // namespace

TEST_F(BrokenAnswerTest, AHeadWithANameThatIsNoTokenIsNoAnswer) {
  for (const char *Line :
       {"Content-Length : 5", "Content-Length : 2",
        "Transfer-Encoding : chunked", "X-Case Mark: 1", "X-Case-Mark : 1",
        " X-Case-Mark: 1", "X-Case-Mark\t: 1", "X-\x01Mark: 1", "X-\x7fMark: 1",
        "X-\xe9Mark: 1", "X-(Mark): 1", ": 1", "no colon", "HTTP/1.1: 1",
        "HTTP/1.1 200 OK"}) {
    this->askForBytes("HTTP/1.1 200 OK\r\n" + std::string(Line) +
                      "\r\nContent-Length: 5\r\n\r\nhello");
    this->expectNoAnswer(Line);
    this->askForBytes("HTTP/1.1 200 OK\r\n" + std::string(Line) +
                      "\r\n\r\nhello");
    this->expectNoAnswer(Line);
    this->askForBytes("HTTP/1.1 103 Early Hints\r\n" + std::string(Line) +
                      "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
                      "5\r\n\r\nhello");
    this->expectNoAnswer(Line);
  }
}

TEST_F(BrokenAnswerTest, ATrailerWithANameThatIsNoTokenCutsTheAnswer) {
  this->askForBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nhello\r\n0\r\nX-Case Mark: 1\r\n\r\n");
  EXPECT_EQ(this->ending(), TransferEnd::Cut);
}

TEST_F(BrokenAnswerTest, ALineThatContinuesTheOneBeforeIsPartOfItsValue) {
  this->askForBytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Long: one\r\n"
                    "  two: three\r\n\r\nhello");
  EXPECT_EQ(this->ending(), TransferEnd::Complete);
  EXPECT_EQ(this->Body, "hello");
  EXPECT_EQ(findHeader(this->Head, "X-Long"), "one two: three");
  EXPECT_EQ(this->Head.size(), 2U);
}

TEST_F(BrokenAnswerTest, AStatusThatDoesNotExistIsNoAnswer) {
  for (const char *Status : {"000", "001", "099", "600", "999"})
    for (const char *Framing : {"", "Content-Length: 5\r\n"}) {
      this->askForBytes("HTTP/1.1 " + std::string(Status) + " \r\n" + Framing +
                        "\r\nhello");
      this->expectNoAnswer(std::string(Status) + Framing);
    }
}

TEST_F(BrokenAnswerTest, AnAnswerThatIsResetDuringTheUploadIsCut) {
  constexpr std::size_t UploadBytes = 4U << 20U;
  constexpr int Turns = 5;
  for (int Turn = 0; Turn < Turns; ++Turn)
    for (std::size_t Read = 256U << 10U; Read < UploadBytes; Read *= 2) {
      this->ask(
          [Read](RawConnection &To) {
            To.write("HTTP/1.1 200 OK\r\n\r\npart");
            To.whenRead(Read, [](RawConnection &Now) { Now.reset(); });
          },
          std::string(UploadBytes, 'u'));
      EXPECT_EQ(this->ending(), TransferEnd::Cut) << Read;
    }
}
