#include "http/messageparser.h"

#include <array>
#include <cctype>
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

struct WithoutEnd {
  std::string_view Name;
  MessageKind Kind;
  std::string_view Begin;
  std::string_view Repeated;
};

constexpr std::string_view ChunkedRequest =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view ChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view ChunkedResponseEnd =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";

constexpr std::array PartsWithoutEnd = {
    WithoutEnd{"empty lines", MessageKind::Request, "", "\r\n"},
    WithoutEnd{"target", MessageKind::Request, "GET /", "a"},
    WithoutEnd{"spaces", MessageKind::Request, "GET ", " "},
    WithoutEnd{"headers", MessageKind::Request, "GET / HTTP/1.1\r\n",
               "a: b\r\n"},
    WithoutEnd{"folded value", MessageKind::Request,
               "GET / HTTP/1.1\r\na: b\r\n", " \r\n"},
    WithoutEnd{"extension", MessageKind::Request, ChunkedRequest, "1;"},
    WithoutEnd{"extensions", MessageKind::Request, ChunkedRequest,
               "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n"},
    WithoutEnd{"empty lines", MessageKind::Response, "", "\r\n"},
    WithoutEnd{"reason", MessageKind::Response, "HTTP/1.1 200 ", "a"},
    WithoutEnd{"headers", MessageKind::Response, "HTTP/1.1 200 OK\r\n",
               "a: b\r\n"},
    WithoutEnd{"value", MessageKind::Response, "HTTP/1.1 200 OK\r\na: ", "b"},
    WithoutEnd{"name", MessageKind::Response, "HTTP/1.1 200 OK\r\n", "a"},
    WithoutEnd{"interim heads", MessageKind::Response, "",
               "HTTP/1.1 103 Early Hints\r\n\r\n"},
    WithoutEnd{"interim heads of one line", MessageKind::Response, "",
               "HTTP/1.1 103\r\n\r\n"},
    WithoutEnd{"chunk size", MessageKind::Response, ChunkedResponse, "0"},
    WithoutEnd{"extension", MessageKind::Response, ChunkedResponse, "1;"},
    WithoutEnd{"extensions", MessageKind::Response, ChunkedResponse,
               "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n"},
    WithoutEnd{"trailers", MessageKind::Response, ChunkedResponseEnd,
               "a: b\r\n"},
    WithoutEnd{"trailer value", MessageKind::Response, ChunkedResponseEnd,
               "a: bbbbbbbbbbbbbbbbbbbbbbbbbbbb"},
};

/// RFC 9110, section 5.6.2.
bool isTokenByte(unsigned char Byte) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return std::isalnum(Byte) != 0 ||
         Marks.find(static_cast<char>(Byte)) != std::string_view::npos;
}

/// Where a line is put into a message: what stands before it and after it.
struct LinePlace {
  MessageKind Kind;
  std::string_view Before;
  std::string_view After;
  /// Behind another line, which a line that begins with a blank continues.
  bool MayContinue = false;
};

constexpr std::array LinePlaces = {
    LinePlace{MessageKind::Request, "GET / HTTP/1.1\r\n", "Host: x\r\n\r\n"},
    LinePlace{MessageKind::Request, "GET / HTTP/1.1\r\nHost: x\r\n", "\r\n",
              true},
    LinePlace{MessageKind::Request,
              "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
              "\r\n"},
    LinePlace{MessageKind::Response, "HTTP/1.1 200 OK\r\n",
              "Content-Length: 0\r\n\r\n"},
    LinePlace{MessageKind::Response,
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n", "\r\n", true},
    LinePlace{MessageKind::Response, "HTTP/1.1 103 Early Hints\r\n",
              "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
    LinePlace{MessageKind::Response, ChunkedResponseEnd, "\r\n"},
};

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

/// In the parts of a message that are not body; a slow peer sends byte by byte.
TEST(MessageParserTest, BytesWithoutEndAreRefusedInEveryPart) {
  constexpr std::size_t MaxHeadBytes = 4096;
  constexpr std::size_t Endless = 1U << 20U;
  for (const WithoutEnd &Part : PartsWithoutEnd) {
    for (std::size_t Piece : {std::size_t{1}, std::size_t{16384}}) {
      Parsed Got(Part.Kind, MaxHeadBytes);
      std::string Bytes(Part.Begin);
      while (Bytes.size() < Endless)
        Bytes.append(Part.Repeated);
      auto End = Got.feed(Bytes, Piece);
      EXPECT_EQ(End.Failed, ParseErrc::HeadTooLarge) << Part.Name;
      EXPECT_LE(End.Consumed, 2 * MaxHeadBytes + Piece) << Part.Name;
    }
  }
}

TEST(MessageParserTest, ManyShortLinesAreRefused) {
  constexpr std::size_t MaxHeadBytes = 32768;
  for (MessageKind Kind : {MessageKind::Request, MessageKind::Response}) {
    Parsed Got(Kind, MaxHeadBytes);
    std::string Bytes = Kind == MessageKind::Request ? "GET / HTTP/1.1\r\n"
                                                     : "HTTP/1.1 200 OK\r\n";
    for (std::size_t Line = 0; Line < 2 * MaxHeaderLines; ++Line)
      Bytes += "a:\r\n";
    EXPECT_EQ(Got.feed(Bytes + "\r\n", 16384).Failed, ParseErrc::HeadTooLarge);
  }
}

/// Of a stream with an event a chunk, most bytes are framing.
TEST(MessageParserTest, ManySmallChunksAreNoHead) {
  constexpr std::size_t MaxHeadBytes = 1024;
  constexpr std::size_t Count = 4 * MaxHeadBytes;
  for (std::string_view Chunk : {"1\r\nx\r\n", "00000001\r\nx\r\n"}) {
    Parsed Got(MessageKind::Response, MaxHeadBytes);
    std::string Bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t Each = 0; Each < Count; ++Each)
      Bytes.append(Chunk);
    EXPECT_TRUE(Got.feed(Bytes + "0\r\n\r\n", 7).Complete) << Chunk;
    EXPECT_EQ(Got.Body.size(), Count) << Chunk;
  }
}

TEST(MessageParserTest, InterimResponsesAreFollowedByTheFinalOne) {
  std::string Bytes = "HTTP/1.1 100 Continue\r\n\r\n"
                      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
  for (std::size_t Piece = 1; Piece <= Bytes.size(); ++Piece) {
    Parsed Got(MessageKind::Response);
    auto End = Got.feed(Bytes, Piece);
    EXPECT_TRUE(End.Complete) << Piece;
    EXPECT_EQ(End.Consumed, Bytes.size()) << Piece;
    EXPECT_EQ(Got.Head.Status, 200) << Piece;
    EXPECT_TRUE(Got.Head.header("Link").empty()) << Piece;
    EXPECT_EQ(Got.Body, "abc") << Piece;
  }
  Parsed Cut(MessageKind::Response);
  Cut.feed("HTTP/1.1 100 Continue\r\n\r\n", 100);
  EXPECT_TRUE(Cut.Parser.inMessage());
  EXPECT_EQ(Cut.Parser.finish().Failed, ParseErrc::Truncated);
}

// Guards against taking a status below 100 for an interim response, so that
// what follows it would be passed on as the answer.
TEST(MessageParserTest, AStatusThatDoesNotExistIsNoResponse) {
  for (const char *Status : {"000", "001", "099", "600", "999"})
    for (const char *Next :
         {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"})
      for (std::size_t Piece : {1U, 1000U}) {
        Parsed Got(MessageKind::Response);
        auto End = Got.feed(std::string("HTTP/1.1 ") + Status +
                                " \r\nContent-Length: 0\r\n\r\n" + Next,
                            Piece);
        EXPECT_EQ(End.Failed, ParseErrc::Malformed) << Status << " " << Piece;
        EXPECT_FALSE(End.Complete) << Status << " " << Piece;
        EXPECT_EQ(Got.Head.Status, 0) << Status << " " << Piece;
      }
}

// Guards against names that two readers of a head read differently, as
// `Content-Length ` that only one of them takes for a length.
TEST(MessageParserTest, ANameIsATokenOrTheMessageIsMalformed) {
  constexpr std::string_view Name = "Name";
  constexpr unsigned Bytes = 256;
  for (const LinePlace &Place : LinePlaces)
    for (unsigned Byte = 0; Byte < Bytes; ++Byte)
      for (std::size_t At = 0; At <= Name.size(); ++At)
        for (std::size_t Piece : {1U, 1000U}) {
          // Without a name, or the end of a line.
          if ((Byte == ':' && At > 0) || Byte == '\r' || Byte == '\n')
            continue;
          bool Continues =
              Place.MayContinue && At == 0 && (Byte == ' ' || Byte == '\t');
          std::string Line(Name);
          Line.insert(At, 1, static_cast<char>(Byte));
          std::string Whole(Place.Before);
          Whole.append(Line).append(": value\r\n").append(Place.After);
          Parsed Got(Place.Kind);
          auto End = Got.feed(Whole, Piece);
          bool Allowed =
              Continues || isTokenByte(static_cast<unsigned char>(Byte));
          EXPECT_EQ(End.Complete, Allowed)
              << Place.Before << Byte << " at " << At << " by " << Piece;
          if (!Allowed) {
            EXPECT_EQ(End.Failed, ParseErrc::Malformed)
                << Place.Before << Byte << " at " << At << " by " << Piece;
          }
        }
}

TEST(MessageParserTest, ALengthOrCodingWhoseNameHoldsABlankIsMalformed) {
  for (MessageKind Kind : {MessageKind::Request, MessageKind::Response})
    for (std::string_view Line :
         {"Content-Length : 2\r\n", "Content-Length\t: 2\r\n",
          "Transfer-Encoding : chunked\r\n", " Content-Length: 2\r\n",
          "Content Length: 2\r\n"})
      for (std::size_t Piece : {1U, 1000U}) {
        Parsed Got(Kind);
        std::string Bytes = Kind == MessageKind::Request
                                ? "POST / HTTP/1.1\r\n"
                                : "HTTP/1.1 200 OK\r\n";
        Bytes.append(Line).append("\r\nabcde");
        auto End = Got.feed(Bytes, Piece);
        EXPECT_EQ(End.Failed, ParseErrc::Malformed) << Line << Piece;
        EXPECT_EQ(Got.Head.Status, 0) << Line << Piece;
        EXPECT_EQ(Got.Head.Method, "") << Line << Piece;
        EXPECT_EQ(Got.Body, "") << Line << Piece;
      }
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
