#include "http/httpclient.h"

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <vector>

using namespace kingcuphub;
using namespace kingcuphub::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A peer that accepts a connection and reads nothing, so that most of a large
/// request stays with the sender.
class AbandonedRequestTest : public testing::Test {
protected:
  void SetUp() override {
    this->Listener.async_accept(this->Peer, [](asio::error_code) {});
  }

  ClientRequest largeRequest() const {
    constexpr std::size_t MoreThanBuffers = 16U << 20U;
    ClientRequest Out;
    Out.Method = "POST";
    Out.Url = "http://127.0.0.1:" +
              std::to_string(this->Listener.local_endpoint().port()) + "/";
    Out.Body = std::string(MoreThanBuffers, 'b');
    return Out;
  }

  /// The first error that reading gives, after all that has arrived.
  asio::error_code readToEnd() {
    std::vector<char> Piece(1U << 16U);
    asio::error_code Ended;
    while (!Ended)
      this->BytesRead += this->Peer.read_some(asio::buffer(Piece), Ended);
    return Ended;
  }

  asio::io_context Loop;
  asio::ip::tcp::acceptor Listener{this->Loop,
                                   {asio::ip::address_v4::loopback(), 0}};
  asio::ip::tcp::socket Peer{this->Loop};
  std::size_t BytesRead = 0;
  std::unique_ptr<HttpClient> Client = makeHttpClient(this->Loop);
};

} // namespace

/// An order whose call has timed out must not arrive once its link heals.
TEST_F(AbandonedRequestTest, WhatIsQueuedIsDiscardedOnATimeout) {
  ClientRequest Request = this->largeRequest();
  Request.TotalTimeout = milliseconds(300);
  bool Ended = false;
  this->Client->fetch(std::move(Request),
                      [&](const TransferResult &Result, const Response &) {
                        EXPECT_EQ(Result.End, TransferEnd::TimedOut);
                        Ended = true;
                      });
  this->Loop.run_for(seconds(2));
  ASSERT_TRUE(Ended);
  EXPECT_EQ(this->readToEnd(), asio::error::connection_reset);
}

TEST_F(AbandonedRequestTest, WhatIsQueuedIsDiscardedOnCancel) {
  TransferId Id = this->Client->start(this->largeRequest(), {});
  this->Loop.run_for(milliseconds(300));
  this->Client->cancel(Id);
  this->Loop.run_for(milliseconds(100));
  EXPECT_EQ(this->readToEnd(), asio::error::connection_reset);
}

/// The process is stopped between the check and the sending of an order.
TEST_F(AbandonedRequestTest, ARequestThatMayNoLongerBeSentIsNot) {
  ClientRequest Request = this->largeRequest();
  bool Asked = false;
  Request.MayStillSend = [&Asked] {
    Asked = true;
    return false;
  };
  bool Ended = false;
  this->Client->fetch(std::move(Request),
                      [&](const TransferResult &Result, const Response &) {
                        EXPECT_EQ(Result.End, TransferEnd::Cut);
                        EXPECT_FALSE(Result.MayHaveBeenSent);
                        Ended = true;
                      });
  this->Loop.run_for(milliseconds(300));
  EXPECT_TRUE(Asked);
  ASSERT_TRUE(Ended);
  EXPECT_EQ(this->readToEnd(), asio::error::eof);
  EXPECT_EQ(this->BytesRead, 0U);
}

/// The system gives the connection up also while the process is stopped.
TEST_F(AbandonedRequestTest, ARequestThatIsNotAcknowledgedEnds) {
  ClientRequest Request = this->largeRequest();
  Request.UnacknowledgedTimeout = milliseconds(300);
  bool Ended = false;
  this->Client->fetch(std::move(Request),
                      [&](const TransferResult &Result, const Response &) {
                        EXPECT_EQ(Result.End, TransferEnd::Cut);
                        Ended = true;
                      });
  for (int Tenths = 0; Tenths < 100 && !Ended; ++Tenths)
    this->Loop.run_for(milliseconds(100));
  EXPECT_TRUE(Ended);
}
