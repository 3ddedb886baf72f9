#include "common/rawcaller.h"
#include "http/httpserver.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>

using namespace kingcuphub::http;
using kingcuphub::standin::RawCaller;

namespace {

constexpr std::size_t MaxHeaderBytes = 8192;
constexpr const char *Sound = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr const char *ChunkedBegin =
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

struct WithoutEnd {
  const char *Name;
  std::string Begin;
  std::string Repeated;
};

const std::array PartsWithoutEnd = {
    WithoutEnd{"empty lines", "", "\r\n"},
    WithoutEnd{"target", "GET /", "a"},
    WithoutEnd{"short headers", "GET / HTTP/1.1\r\n", "a:\r\n"},
    WithoutEnd{"header", "GET / HTTP/1.1\r\na: ", "b"},
    WithoutEnd{"chunk extension", std::string(ChunkedBegin) + "1;", "a"},
    WithoutEnd{"chunk extensions", ChunkedBegin,
               "1;" + std::string(1000, 'a') + "\r\nx\r\n"},
    WithoutEnd{"trailers", std::string(ChunkedBegin) + "0\r\n", "a: b\r\n"},
};

std::string repeated(const std::string &Text, std::size_t Size) {
  std::string Out = Text;
  while (Out.size() < Size)
    Out += Text;
  return Out;
}

class CallerLimitsTest : public testing::Test {
protected:
  void serve(CallerLimits Limits) {
    ServerSettings Settings;
    Settings.Limits = Limits;
    auto Started = startHttpServer(this->Loop, Settings,
                                   [this](Request, ResponseWriterPtr Answer) {
                                     ++this->Served;
                                     Answer->respond({200, {}, "ok"});
                                   });
    ASSERT_TRUE(Started) << Started.error().Message;
    this->Server = std::move(*Started);
  }

  std::unique_ptr<RawCaller> call() {
    return std::make_unique<RawCaller>(this->Loop, this->Server->port());
  }

  /// A write that does not fit into the socket's buffer would never end.
  void settle() {
    this->Loop.poll();
    this->Loop.run_one_for(std::chrono::milliseconds(1));
    this->Loop.poll();
  }

  asio::io_context Loop;
  std::unique_ptr<HttpServer> Server;
  unsigned Served = 0;
};

} // namespace

TEST_F(CallerLimitsTest, ARequestWithoutEndIsRefusedInEveryPart) {
  constexpr std::size_t Callers = 50;
  constexpr std::size_t Endless = 256U << 10U;
  for (const WithoutEnd &Part : PartsWithoutEnd) {
    for (std::size_t PieceSize : {std::size_t{100}, std::size_t{16384}}) {
      CallerLimits Limits;
      Limits.MaxHeaderBytes = MaxHeaderBytes;
      this->serve(Limits);
      this->Served = 0;
      std::vector<std::unique_ptr<RawCaller>> Faulty;
      for (std::size_t Each = 0; Each < Callers; ++Each) {
        Faulty.push_back(this->call());
        Faulty.back()->send(Part.Begin);
      }
      auto Other = this->call();
      std::string Piece = repeated(Part.Repeated, PieceSize);
      unsigned Asked = 0;
      std::size_t Sent = 0;
      auto AllRefused = [&Faulty] {
        return std::all_of(Faulty.begin(), Faulty.end(), [](const auto &Each) {
          return Each->ending() != RawCaller::Ending::Open;
        });
      };
      while (!AllRefused() && Sent < Endless) {
        for (const auto &Each : Faulty)
          if (Each->ending() == RawCaller::Ending::Open)
            Each->send(Piece);
        Sent += Piece.size();
        Other->send(Sound);
        ++Asked;
        this->settle();
      }
      // Two pieces may be on the way.
      EXPECT_LE(Sent, MaxHeaderBytes + 4 * Piece.size())
          << Part.Name << " " << PieceSize;
      for (const auto &Each : Faulty)
        ASSERT_EQ(Each->head().substr(0, 12), "HTTP/1.1 431") << Part.Name;
      auto Deadline =
          std::chrono::steady_clock::now() + std::chrono::seconds(10);
      while (this->Served < Asked &&
             std::chrono::steady_clock::now() < Deadline)
        this->settle();
      EXPECT_EQ(this->Served, Asked) << Part.Name;
    }
  }
}

TEST_F(CallerLimitsTest, EmptyLinesDoNotKeepAConnection) {
  CallerLimits Limits;
  Limits.IdleTimeout = std::chrono::milliseconds(300);
  this->serve(Limits);
  auto Caller = this->call();
  auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  while (Caller->ending() == RawCaller::Ending::Open &&
         std::chrono::steady_clock::now() < Deadline) {
    Caller->send("\r\n");
    this->Loop.run_for(std::chrono::milliseconds(50));
  }
  EXPECT_NE(Caller->ending(), RawCaller::Ending::Open);
}
