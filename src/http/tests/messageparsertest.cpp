#include "http/messageparser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub::http;

namespace {

/// Parses bytes in pieces and keeps what came out.
struct Parsed {
  explicit Parsed(MessageKind Kind, std::size_t MaxHeadBytes = 4096)
      : Parser(Kind, MaxHeadBytes,
               {[this](MessageHead New) { this->Head = std::move(New); },
                [this](std::string_view Piece) { this->Body += Piece; }}) {}

  MessageParser::Progress feed(std::string_view Bytes, std::size_t Piece) {
    MessageParser::Progress Last;
    std::size_t Consumed = 0;
    while (Consumed < Bytes.size() && !Last.Complete && !Last.Failed) {
      Last = this->Parser.feed(Bytes.substr(Consumed, Piece));
      Consumed += Last.Consumed;
    }
    Last.Consumed = Consumed;
    return Last;
  }

  MessageHead Head;
  std::string Body;
  MessageParser Parser;
};

constexpr std::string_view Chunked = "POST /a/b?c HTTP/1.1\r\n"
                                     "Host: x\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

} // namespace

RC_GTEST_PROP(MessageParserTest, TheSameMessageComesOutOfAnyPieces, ()) {
  auto Piece = *rc::gen::inRange<std::size_t>(1, Chunked.size() + 1);
  Parsed Whole(MessageKind::Request);
  auto End = Whole.feed(std::string(Chunked) + "GET / HTTP/1.1\r\n", Piece);
  RC_ASSERT(End.Complete);
  RC_ASSERT(End.Consumed == Chunked.size());
  RC_ASSERT(Whole.Body == "abcde");
  RC_ASSERT(Whole.Head.Method == "POST");
  RC_ASSERT(Whole.Head.Target == "/a/b?c");
  RC_ASSERT(std::holds_alternative<Chunks>(Whole.Head.Framing));
}

TEST(MessageParserTest, ALengthThatIsInDoubtIsRefused) {
  for (std::string_view Lines :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n", "Content-Length: 3x\r\n"}) {
    Parsed Asked(MessageKind::Request);
    std::string Bytes = "POST / HTTP/1.1\r\nHost: x\r\n";
    Bytes.append(Lines).append("\r\nabc");
    auto End = Asked.feed(Bytes, Bytes.size());
    EXPECT_TRUE(End.Failed) << Lines;
    EXPECT_EQ(Asked.Body, "") << Lines;
  }
}

TEST(MessageParserTest, AHeadOverItsLimitIsRefused) {
  Parsed Asked(MessageKind::Request, 100);
  std::string Bytes =
      "GET / HTTP/1.1\r\nX: " + std::string(200, 'a') + "\r\n\r\n";
  EXPECT_EQ(Asked.feed(Bytes, 10).Failed, ParseErrc::HeadTooLarge);
}

TEST(MessageParserTest, AResponseWithoutALengthEndsWithItsConnection) {
  Parsed Got(MessageKind::Response);
  EXPECT_FALSE(Got.feed("HTTP/1.1 200 OK\r\n\r\nabc", 7).Complete);
  EXPECT_TRUE(Got.Parser.finish().Complete);
  EXPECT_EQ(Got.Body, "abc");
}

TEST(MessageParserTest, AResponseThatIsCutShortIsNotComplete) {
  Parsed Got(MessageKind::Response);
  Got.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 100);
  EXPECT_EQ(Got.Parser.finish().Failed, ParseErrc::Truncated);
}

TEST(MessageParserTest, HeadersOfOneConnectionAreNotPassedOn) {
  EXPECT_TRUE(isHopByHop("transfer-encoding", ""));
  EXPECT_TRUE(isHopByHop("X-Mine", "close, x-mine"));
  EXPECT_FALSE(isHopByHop("X-Mine", "close"));
}
