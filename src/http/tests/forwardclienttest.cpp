#include "http/forwardclient.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

using namespace kingcuphub::http;
using asio::ip::tcp;

namespace {

/// A peer that takes connections and answers by hand.
class ForwardClientTest : public testing::Test {
protected:
  void SetUp() override {
    this->Listener.open(tcp::v4());
    this->Listener.bind({asio::ip::address_v4::loopback(), 0});
    this->Listener.listen();
    this->accept();
    this->To = {"peer", "127.0.0.1", this->Listener.local_endpoint().port()};
    this->Client = makeForwardClient(this->Loop, {});
  }

  void accept() {
    this->Listener.async_accept([this](asio::error_code Failed,
                                       tcp::socket New) {
      if (Failed)
        return;
      this->Accepted.push_back(std::make_shared<tcp::socket>(std::move(New)));
      this->accept();
    });
  }

  std::shared_ptr<ForwardCall> ask(std::string Upload = "body") {
    this->Result.reset();
    ForwardCallbacks Callbacks;
    Callbacks.OnData = [this](std::string_view Bytes) { this->Body += Bytes; };
    Callbacks.OnDone = [this](const ForwardResult &Got) { this->Result = Got; };
    return this->Client->start(
        this->To,
        {"POST", "/x", {{"Host", "h"}}, std::make_shared<std::string>(Upload)},
        std::move(Callbacks));
  }

  template <typename Predicate> bool runUntil(Predicate Holds) {
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Holds() && std::chrono::steady_clock::now() < Deadline)
      this->Loop.run_one_for(std::chrono::milliseconds(20));
    return Holds();
  }

  /// Reads a whole request from the connection and answers it.
  void answer(std::size_t Index, const std::string &Bytes) {
    ASSERT_TRUE(this->runUntil([&] { return this->Accepted.size() > Index; }));
    bool Got = false;
    asio::streambuf Request;
    asio::async_read_until(*this->Accepted[Index], Request, "body",
                           [&](asio::error_code, std::size_t) { Got = true; });
    ASSERT_TRUE(this->runUntil([&] { return Got; }));
    asio::write(*this->Accepted[Index], asio::buffer(Bytes));
  }

  /// Answers a request whose upload is still under way, without stating an
  /// end. The call does not read on, so that only the writer can learn of what
  /// becomes of the connection.
  std::shared_ptr<ForwardCall> answerDuringUpload(const std::string &Bytes) {
    this->Body.clear();
    std::size_t Index = this->Accepted.size();
    auto Call = this->ask(std::string(LargeUploadBytes, 'u'));
    EXPECT_TRUE(this->runUntil([&] { return this->Accepted.size() > Index; }));
    asio::write(*this->Accepted[Index],
                asio::buffer("HTTP/1.1 200 OK\r\n\r\n" + Bytes));
    EXPECT_TRUE(this->runUntil([&] { return !this->Body.empty(); }));
    Call->pause();
    this->Loop.run_for(SettlingTime);
    EXPECT_FALSE(this->Result);
    return Call;
  }

  void resetConnection(std::size_t Index) {
    this->Accepted[Index]->set_option(asio::socket_base::linger(true, 0));
    this->Accepted[Index]->close();
    this->Loop.run_for(SettlingTime);
  }

  /// More than both systems buffer.
  static constexpr std::size_t LargeUploadBytes = 32U << 20U;
  /// In which the loop handles what has happened to a connection.
  static constexpr std::chrono::milliseconds SettlingTime{100};
  static constexpr const char *Whole =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok";

  asio::io_context Loop;
  tcp::acceptor Listener{Loop};
  std::vector<std::shared_ptr<tcp::socket>> Accepted;
  Peer To;
  std::unique_ptr<ForwardClient> Client;
  std::optional<ForwardResult> Result;
  std::string Body;
};

} // namespace

TEST_F(ForwardClientTest, AKeptConnectionServesTheNextRequest) {
  this->ask();
  this->answer(0, Whole);
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_EQ(this->Result->End, ForwardEnd::Complete);
  this->ask();
  this->answer(0, Whole);
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_TRUE(this->Result->Reused);
  EXPECT_EQ(this->Body, "okok");
  EXPECT_EQ(this->Client->counts().Connected, 1U);
}

/// What libcurl does not do: a request on a kept connection that ends without
/// an answer may have run, and is not sent again.
TEST_F(ForwardClientTest, AKeptConnectionThatEndsDoesNotRepeatTheRequest) {
  this->ask();
  this->answer(0, Whole);
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  this->ask();
  bool Sent = false;
  this->Accepted[0]->async_wait(tcp::socket::wait_read,
                                [&](asio::error_code) { Sent = true; });
  ASSERT_TRUE(this->runUntil([&] { return Sent; }));
  this->Accepted[0]->close();
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_EQ(this->Result->End, ForwardEnd::Cut);
  EXPECT_TRUE(this->Result->MayHaveBeenSent);
  EXPECT_EQ(this->Accepted.size(), 1U);
}

/// A second answer that nobody asked for belongs to no request.
TEST_F(ForwardClientTest, AConnectionWithASecondAnswerIsNotUsedAgain) {
  this->ask();
  this->answer(0, std::string(Whole) + Whole);
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  this->ask();
  this->answer(1, Whole);
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_FALSE(this->Result->Reused);
  EXPECT_EQ(this->Body, "okok");
}

TEST_F(ForwardClientTest, AnAnswerThatComesLateIsNotTakenForTheNext) {
  this->ask();
  this->answer(0, Whole);
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  asio::write(*this->Accepted[0], asio::buffer(std::string(Whole)));
  this->Loop.run_for(std::chrono::milliseconds(50));
  this->ask();
  this->answer(1, Whole);
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_FALSE(this->Result->Reused);
}

TEST_F(ForwardClientTest, ACutAnswerIsNotWhole) {
  this->ask();
  this->answer(0, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
  this->Accepted[0]->close();
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_EQ(this->Result->End, ForwardEnd::Cut);
}

TEST_F(ForwardClientTest, AnAnswerWithoutStatedEndIsNotSaidToBeComplete) {
  this->ask();
  this->answer(0, "HTTP/1.1 200 OK\r\n\r\nok");
  this->Accepted[0]->close();
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_EQ(this->Result->End, ForwardEnd::ConnectionEnded);
  EXPECT_EQ(this->Body, "ok");
}

TEST_F(ForwardClientTest, AnAnswerThatIsResetIsCut) {
  for (bool Paused : {false, true}) {
    std::size_t Index = this->Accepted.size();
    this->Body.clear();
    auto Call = this->ask();
    this->answer(Index, "HTTP/1.1 200 OK\r\n\r\nok");
    ASSERT_TRUE(this->runUntil([this] { return this->Body == "ok"; }));
    if (Paused)
      Call->pause();
    this->Accepted[Index]->set_option(asio::socket_base::linger(true, 0));
    this->Accepted[Index]->close();
    Call->resume();
    ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
    EXPECT_EQ(this->Result->End, ForwardEnd::Cut) << Paused;
  }
}

/// The system reports a reset once, here to the write.
TEST_F(ForwardClientTest, AnAnswerThatIsResetDuringTheUploadIsCut) {
  std::string Part(64U << 10U, 'a');
  for (bool Unread : {false, true}) {
    std::size_t Index = this->Accepted.size();
    auto Call = this->answerDuringUpload(Part);
    if (Unread)
      // The system resets a connection that is closed with unread bytes.
      this->Accepted[Index]->close();
    else
      this->resetConnection(Index);
    this->Loop.run_for(SettlingTime);
    Call->resume();
    ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
    EXPECT_EQ(this->Result->End, ForwardEnd::Cut) << Unread;
    EXPECT_FALSE(this->Result->Detail.empty()) << Unread;
  }
}

TEST_F(ForwardClientTest, AnAnswerThatStatesItsEndIsWholeDespiteAReset) {
  this->Body.clear();
  auto Call = this->ask(std::string(LargeUploadBytes, 'u'));
  ASSERT_TRUE(this->runUntil([&] { return !this->Accepted.empty(); }));
  Call->pause();
  asio::write(*this->Accepted[0], asio::buffer(std::string(Whole)));
  this->Loop.run_for(SettlingTime);
  this->resetConnection(0);
  Call->resume();
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_EQ(this->Result->End, ForwardEnd::Complete);
  EXPECT_EQ(this->Body, "ok");
}

TEST_F(ForwardClientTest, AnAnswerThatEndsInOrderDuringTheUploadIsWhole) {
  std::string Answer(64U << 10U, 'a');
  for (bool ResetLater : {false, true}) {
    std::size_t Index = this->Accepted.size();
    auto Call = this->answerDuringUpload(Answer);
    this->Accepted[Index]->shutdown(tcp::socket::shutdown_send);
    this->Loop.run_for(SettlingTime);
    if (ResetLater)
      this->resetConnection(Index);
    Call->resume();
    ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
    EXPECT_EQ(this->Result->End, ForwardEnd::ConnectionEnded) << ResetLater;
    EXPECT_EQ(this->Body, Answer) << ResetLater;
  }
}

TEST_F(ForwardClientTest, BytesThatAreNoAnswerAreSaidSo) {
  this->ask();
  this->answer(0, "nonsense\r\n\r\n");
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_EQ(this->Result->End, ForwardEnd::Malformed);
}

/// A head may come without end: as one header, as a reason, or as heads that
/// say that another one follows.
TEST_F(ForwardClientTest, AHeadWithoutEndIsSaidToBeNone) {
  constexpr std::size_t Many = 20000;
  std::string Header = "HTTP/1.1 200 OK\r\n";
  std::string Interim;
  for (std::size_t Each = 0; Each < Many; ++Each) {
    Header += "X-More: zzzz\r\n";
    Interim += "HTTP/1.1 103 Early\r\n\r\n";
  }
  std::string Reason = "HTTP/1.1 200 " + std::string(Many * 20, 'z');
  std::size_t Index = 0;
  for (const std::string &Endless : {Header, Interim, Reason}) {
    this->ask();
    this->answer(Index++, Endless);
    ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
    EXPECT_EQ(this->Result->End, ForwardEnd::Malformed);
  }
}

TEST_F(ForwardClientTest, ARefusedConnectionSentNothing) {
  this->Listener.close();
  this->ask();
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_EQ(this->Result->End, ForwardEnd::CannotConnect);
  EXPECT_FALSE(this->Result->MayHaveBeenSent);
}

TEST_F(ForwardClientTest, TheHandleOfAnEndedCallDoesNotCancelTheNext) {
  auto First = this->ask();
  this->answer(0, Whole);
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  this->ask();
  First->cancel();
  this->answer(0, Whole);
  ASSERT_TRUE(this->runUntil([this] { return this->Result.has_value(); }));
  EXPECT_EQ(this->Result->End, ForwardEnd::Complete);
}

/// A request to a peer that could not be reached went on to it after its caller
/// had left, for as long as the system repeated what was queued.
TEST_F(ForwardClientTest, ACancelledRequestIsNotSentOn) {
  auto Call = this->ask(std::string(LargeUploadBytes, 'u'));
  ASSERT_TRUE(this->runUntil([&] { return !this->Accepted.empty(); }));
  this->Loop.run_for(SettlingTime);
  Call->cancel();
  this->Loop.run_for(SettlingTime);
  asio::error_code Failed;
  std::string Got(LargeUploadBytes * 2, '\0');
  asio::read(*this->Accepted.front(), asio::buffer(Got), Failed);
  EXPECT_EQ(Failed, asio::error::connection_reset);
}
