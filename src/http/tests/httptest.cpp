#include "common/asynccaller.h"
#include "common/rawcaller.h"
#include "common/rawserver.h"
#include "http/httpclient.h"
#include "http/httpserver.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>
#include <map>

using namespace kingcuphub::http;
using kingcuphub::standin::RawCaller;

namespace {

/// A server and a client on one loop.
class HttpTest : public testing::Test {
protected:
  void serve(RequestHandler Handler, ServerMemory Memory = {}) {
    ServerSettings Settings;
    Settings.Memory = std::move(Memory);
    auto Started = startHttpServer(this->Loop, Settings, std::move(Handler));
    ASSERT_TRUE(Started) << Started.error().Message;
    this->Server = std::move(*Started);
    this->Client = makeHttpClient(this->Loop);
  }

  std::string url(const std::string &Path) const {
    return "http://127.0.0.1:" + std::to_string(this->Server->port()) + Path;
  }

  template <typename Predicate> bool runUntil(Predicate Holds) {
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Holds() && std::chrono::steady_clock::now() < Deadline)
      this->Loop.run_one_for(std::chrono::milliseconds(50));
    return Holds();
  }

  asio::io_context Loop;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<HttpClient> Client;
};

} // namespace

TEST_F(HttpTest, AWholeAnswerArrives) {
  this->serve([](Request Asked, ResponseWriterPtr Answer) {
    Answer->respond(jsonResponse(201, Asked.Method + Asked.Path +
                                          Asked.parameter("q") + Asked.Body));
  });
  std::optional<Response> Got;
  ClientRequest Ask{"POST", this->url("/echo?q=a%20b"), {}, "body"};
  this->Client->fetch(Ask,
                      [&Got](const TransferResult &Result, Response Whole) {
                        EXPECT_EQ(Result.End, TransferEnd::Complete);
                        Got = std::move(Whole);
                      });
  ASSERT_TRUE(this->runUntil([&Got] { return Got.has_value(); }));
  EXPECT_EQ(Got->Status, 201);
  EXPECT_EQ(Got->Body, "POST/echoa bbody");
  EXPECT_EQ(findHeader(Got->Headers, "content-type"), "application/json");
}

TEST_F(HttpTest, AStreamArrivesChunkByChunk) {
  this->serve([](Request, ResponseWriterPtr Answer) {
    Answer->beginStream(200, {{"Content-Type", "text/event-stream"}});
    Answer->write("one");
    Answer->write("two");
    Answer->finish();
  });
  std::optional<Response> Got;
  this->Client->fetch({"GET", this->url("/")},
                      [&Got](const TransferResult &Result, Response Whole) {
                        EXPECT_EQ(Result.End, TransferEnd::Complete);
                        Got = std::move(Whole);
                      });
  ASSERT_TRUE(this->runUntil([&Got] { return Got.has_value(); }));
  EXPECT_EQ(Got->Body, "onetwo");
}

TEST_F(HttpTest, ATransferStartedInsideACallbackRuns) {
  this->serve([](Request Asked, ResponseWriterPtr Answer) {
    Answer->respond(jsonResponse(200, Asked.Path));
  });
  std::string Second;
  TransferCallbacks Callbacks;
  Callbacks.OnData = [&](std::string_view) {
    this->Client->fetch({"GET", this->url("/second")},
                        [&Second](const TransferResult &, Response Whole) {
                          Second = Whole.Body;
                        });
  };
  this->Client->start({"GET", this->url("/first")}, Callbacks);
  ASSERT_TRUE(this->runUntil([&Second] { return !Second.empty(); }));
  EXPECT_EQ(Second, "/second");
}

TEST_F(HttpTest, AnAbortedStreamIsSeenAsCut) {
  ResponseWriterPtr Kept;
  this->serve([&Kept](Request, ResponseWriterPtr Answer) {
    Answer->beginStream(200, {});
    Answer->write("part");
    Kept = std::move(Answer);
  });
  std::optional<TransferEnd> End;
  std::string Data;
  TransferCallbacks Callbacks;
  Callbacks.OnData = [&](std::string_view Part) {
    Data += Part;
    Kept->abort();
  };
  Callbacks.OnDone = [&End](const TransferResult &Result) { End = Result.End; };
  this->Client->start({"GET", this->url("/")}, Callbacks);
  ASSERT_TRUE(this->runUntil([&End] { return End.has_value(); }));
  EXPECT_EQ(*End, TransferEnd::Cut);
  EXPECT_EQ(Data, "part");
}

TEST_F(HttpTest, AnAnswerWithoutStatedEndEndsInOrderOnlyIfItIsFinished) {
  ResponseWriterPtr Kept;
  this->serve([&Kept](Request, ResponseWriterPtr Answer) {
    Answer->beginStream(200, {}, UntilClose{});
    Answer->write("part");
    Kept = std::move(Answer);
  });
  const std::vector<std::pair<std::function<void()>, RawCaller::Ending>> Ways =
      {{[&Kept] { Kept->finish(); }, RawCaller::Ending::InOrder},
       {[&Kept] { Kept->abort(); }, RawCaller::Ending::Reset},
       {[&Kept] { Kept.reset(); }, RawCaller::Ending::Reset},
       {[this] { this->Server->close(); }, RawCaller::Ending::Reset}};
  for (const auto &[End, Expected] : Ways) {
    RawCaller Caller(this->Loop, this->Server->port());
    Caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(this->runUntil([&] { return Caller.body() == "part"; }));
    EXPECT_EQ(Caller.head().find("Content-Length"), std::string::npos);
    EXPECT_EQ(Caller.head().find("Transfer-Encoding"), std::string::npos);
    EXPECT_NE(Caller.head().find("Connection: close"), std::string::npos);
    End();
    ASSERT_TRUE(this->runUntil(
        [&] { return Caller.ending() != RawCaller::Ending::Open; }));
    EXPECT_EQ(Caller.ending(), Expected);
  }
}

TEST_F(HttpTest, ACallerOfHttp10GetsNoChunks) {
  this->serve([](Request, ResponseWriterPtr Answer) {
    Answer->beginStream(200, {});
    Answer->write("part");
    Answer->finish();
  });
  RawCaller Caller(this->Loop, this->Server->port());
  Caller.send("GET / HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n");
  ASSERT_TRUE(this->runUntil(
      [&] { return Caller.ending() != RawCaller::Ending::Open; }));
  EXPECT_EQ(Caller.ending(), RawCaller::Ending::InOrder);
  EXPECT_EQ(Caller.body(), "part");
  EXPECT_EQ(Caller.head().find("Transfer-Encoding"), std::string::npos);
}

TEST_F(HttpTest, ACallerThatGoesIsNoticedBeforeAnyAnswer) {
  ResponseWriterPtr Kept;
  bool Gone = false;
  this->serve([&](Request, ResponseWriterPtr Answer) {
    Answer->onClosed([&Gone] { Gone = true; });
    Kept = std::move(Answer);
  });
  TransferId Id = this->Client->start({"GET", this->url("/")}, {});
  ASSERT_TRUE(this->runUntil([&Kept] { return Kept != nullptr; }));
  this->Client->cancel(Id);
  EXPECT_TRUE(this->runUntil([&Gone] { return Gone; }));
  EXPECT_FALSE(Kept->isOpen());
}

TEST_F(HttpTest, ADroppedWriterClosesTheConnection) {
  this->serve([](Request, ResponseWriterPtr) {});
  std::optional<TransferResult> Got;
  TransferCallbacks Callbacks;
  Callbacks.OnDone = [&Got](const TransferResult &Result) { Got = Result; };
  this->Client->start({"GET", this->url("/")}, Callbacks);
  ASSERT_TRUE(this->runUntil([&Got] { return Got.has_value(); }));
  EXPECT_EQ(Got->End, TransferEnd::Cut);
  EXPECT_TRUE(Got->MayHaveBeenSent);
}

TEST_F(HttpTest, ARefusedConnectionSentNothing) {
  this->serve([](Request, ResponseWriterPtr) {});
  std::string Url = this->url("/");
  this->Server.reset();
  std::optional<TransferResult> Got;
  TransferCallbacks Callbacks;
  Callbacks.OnDone = [&Got](const TransferResult &Result) { Got = Result; };
  this->Client->start({"GET", Url}, Callbacks);
  ASSERT_TRUE(this->runUntil([&Got] { return Got.has_value(); }));
  EXPECT_EQ(Got->End, TransferEnd::CannotConnect);
  EXPECT_FALSE(Got->MayHaveBeenSent);
}

TEST_F(HttpTest, AListenerOnATakenPortFailsWithTheRemedy) {
  this->serve([](Request, ResponseWriterPtr) {});
  ServerSettings Same;
  Same.Port = this->Server->port();
  auto Second = startHttpServer(this->Loop, Same, {});
  ASSERT_FALSE(Second);
  EXPECT_EQ(Second.error().Code, HttpErrc::CannotListen);
  EXPECT_NE(Second.error().Message.find("set another"), std::string::npos);
}

TEST(ShortHeadTest, IsNoAnswerToAControlCallAtAnyLength) {
  using namespace kingcuphub::standin;
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                           "Content-Length: 0\r\n\r\n";
  asio::io_context Loop;
  std::size_t Length = 0;
  std::string Interim;
  RawServer Server(Loop, [&](const Request &, const auto &Answer) {
    Answer->write(Interim + Head.substr(0, Length));
    Answer->close();
  });
  auto Client = makeHttpClient(Loop);
  for (const char *Before : {"", "HTTP/1.1 103 Early Hints\r\n\r\n"})
    for (Length = 0; Length < Head.size(); ++Length) {
      Interim = Before;
      std::optional<std::pair<TransferEnd, Response>> Got;
      Client->fetch({"GET",
                     "http://127.0.0.1:" + std::to_string(Server.port()) + "/",
                     {},
                     ""},
                    [&Got](const TransferResult &Result, Response Whole) {
                      Got.emplace(Result.End, std::move(Whole));
                    });
      auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
      while (!Got && std::chrono::steady_clock::now() < Until)
        Loop.run_one_for(std::chrono::milliseconds(20));
      ASSERT_TRUE(Got) << Length;
      EXPECT_NE(Got->first, TransferEnd::Complete)
          << Before << " " << Length << " status " << Got->second.Status;
    }
}

/// The process ends if nobody is dropped.
TEST_F(HttpTest, OfCallersThatDoNotReadTheLargestIsDropped) {
  constexpr std::size_t Megabyte = 1U << 20U;
  auto Budget = std::make_shared<kingcuphub::base::MemoryBudget>(
      kingcuphub::base::MemoryLimits{Megabyte, Megabyte, 40 * Megabyte});
  this->serve(
      [](const Request &Asked, const ResponseWriterPtr &Answer) {
        std::size_t Size = std::stoul(Asked.parameter("mb")) * Megabyte;
        Answer->respond({200, {}, std::string(Size, 'a')});
      },
      {Budget, nullptr});
  std::map<std::size_t, std::unique_ptr<kingcuphub::standin::AsyncCaller>>
      Callers;
  for (std::size_t Size : {9U, 10U, 24U, 11U}) {
    Callers[Size] = std::make_unique<kingcuphub::standin::AsyncCaller>(
        this->Loop, this->Server->port());
    Callers[Size]->send("GET /?mb=" + std::to_string(Size) +
                        " HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  EXPECT_TRUE(
      this->runUntil([this] { return this->Server->openConnections() == 3; }));
  EXPECT_FALSE(Budget->overdrawn(kingcuphub::base::MemoryShare::Answers));
  for (const auto &[Size, Each] : Callers)
    Each->startReading();
  EXPECT_TRUE(this->runUntil([&Callers] {
    return std::all_of(Callers.begin(), Callers.end(), [](const auto &Each) {
      return Each.second->ended() ||
             Each.second->receivedBytes() > Each.first * Megabyte;
    });
  }));
  for (const auto &[Size, Each] : Callers)
    EXPECT_EQ(Each->ended(), Size == 24) << Size;
}

TEST_F(HttpTest, ARefusedBodyIsReadSoThatItsCallerGetsTheAnswer) {
  constexpr std::size_t Megabyte = 1U << 20U;
  auto Budget = std::make_shared<kingcuphub::base::MemoryBudget>(
      kingcuphub::base::MemoryLimits{Megabyte, Megabyte, Megabyte});
  this->serve([](const Request &, const ResponseWriterPtr &) { FAIL(); },
              {Budget, nullptr});
  RawCaller Caller(this->Loop, this->Server->port());
  Caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n");
  ASSERT_TRUE(this->runUntil([&Caller] { return !Caller.head().empty(); }));
  EXPECT_EQ(Caller.head().find("HTTP/1.1 413"), 0U);
  constexpr int Pieces = 30;
  for (int Sent = 0; Sent < Pieces; ++Sent) {
    auto Next =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(60);
    this->runUntil([Next] { return std::chrono::steady_clock::now() >= Next; });
    Caller.send(std::string(1000, 'a'));
  }
  EXPECT_NE(Caller.ending(), RawCaller::Ending::Reset);
  EXPECT_EQ(this->Server->openConnections(), 1U);
}

TEST_F(HttpTest, ARequestOfWhichAPartWasReadAheadIsReadToItsEnd) {
  // Without room to read ahead.
  constexpr std::size_t Megabyte = 1U << 20U;
  auto Budget = std::make_shared<kingcuphub::base::MemoryBudget>(
      kingcuphub::base::MemoryLimits{Megabyte, 1, Megabyte});
  this->serve(
      [](const Request &Asked, const ResponseWriterPtr &Answer) {
        Answer->respond({200, {}, Asked.Path});
      },
      {Budget, nullptr});
  RawCaller Caller(this->Loop, this->Server->port());
  Caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHo");
  ASSERT_TRUE(this->runUntil(
      [&Caller] { return Caller.received().find("/1") != std::string::npos; }));
  Caller.send("st: h\r\n\r\n");
  EXPECT_TRUE(this->runUntil(
      [&Caller] { return Caller.received().find("/2") != std::string::npos; }));
}
