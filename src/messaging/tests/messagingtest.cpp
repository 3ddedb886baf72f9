#include "messaging/messaging.h"

#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <pthread.h>
#include <thread>

using namespace kingcuphub::messaging;

namespace {

template <typename Predicate>
bool runUntil(asio::io_context &Loop, Predicate Holds,
              std::chrono::milliseconds Within = std::chrono::seconds(10)) {
  auto Deadline = std::chrono::steady_clock::now() + Within;
  while (!Holds() && std::chrono::steady_clock::now() < Deadline)
    Loop.run_one_for(std::chrono::milliseconds(20));
  return Holds();
}

/// Whether a client with \p ClientKeys gets an echo of a server with
/// \p ServerKeys within \p Within.
bool echoes(std::optional<CurveKeys> ServerKeys,
            std::optional<CurveKeys> ClientKeys,
            std::chrono::milliseconds Within) {
  asio::io_context Loop;
  auto ServerSide = std::move(*makeMessaging(Loop, std::move(ServerKeys)));
  auto ClientSide = std::move(*makeMessaging(Loop, std::move(ClientKeys)));
  std::unique_ptr<MessageServer> Server;
  Server = std::move(*ServerSide->serve(
      "tcp://127.0.0.1:0", [&](const ClientName &From, std::string_view Text) {
        Server->send(From, "echo " + std::string(Text));
      }));
  std::string Got;
  auto Client = std::move(*ClientSide->connect(
      Server->endpoint(), [&Got](std::string_view Text) { Got = Text; }));
  Client->send("hello");
  bool Done = runUntil(
      Loop, [&Got] { return Got == "echo hello"; }, Within);
  return Done;
}

} // namespace

TEST(MessagingTest, AMessageIsAnsweredInTheClear) {
  EXPECT_TRUE(echoes(std::nullopt, std::nullopt, std::chrono::seconds(10)));
}

TEST(MessagingTest, AMessageIsAnsweredUnderTheDeploymentsKey) {
  CurveKeys Keys = makeCurveKeys();
  EXPECT_TRUE(echoes(Keys, Keys, std::chrono::seconds(10)));
}

TEST(MessagingTest, APeerWithAnotherKeyIsRefused) {
  EXPECT_FALSE(
      echoes(makeCurveKeys(), makeCurveKeys(), std::chrono::milliseconds(500)));
}

TEST(MessagingTest, AClientThatKnowsOnlyThePublicKeyIsRefused) {
  CurveKeys Server = makeCurveKeys();
  CurveKeys Client = makeCurveKeys();
  Client.Public = Server.Public;
  EXPECT_FALSE(echoes(Server, Client, std::chrono::milliseconds(500)));
}

TEST(MessagingTest, ABadKeyFailsWithTheRemedy) {
  asio::io_context Loop;
  auto Made = makeMessaging(Loop, CurveKeys{"short", "short"});
  ASSERT_FALSE(Made);
  EXPECT_EQ(Made.error().Code, MessagingErrc::BadKey);
}

TEST(MessagingTest, ManyMessagesArriveInOrder) {
  asio::io_context Loop;
  auto Side = std::move(*makeMessaging(Loop, std::nullopt));
  std::vector<std::string> Got;
  auto Server = std::move(*Side->serve(
      "tcp://127.0.0.1:0", [&Got](const ClientName &, std::string_view Text) {
        Got.emplace_back(Text);
      }));
  auto Client =
      std::move(*Side->connect(Server->endpoint(), [](std::string_view) {}));
  for (int Index = 0; Index < 1000; ++Index)
    Client->send(std::to_string(Index));
  ASSERT_TRUE(runUntil(Loop, [&Got] { return Got.size() == 1000; }));
  for (int Index = 0; Index < 1000; ++Index)
    EXPECT_EQ(Got[Index], std::to_string(Index));
}

/// Review case 12: a signal that came while a socket was polled ended the
/// process by an exception.
TEST(MessagingTest, ASignalDuringAPollIsNoError) {
  struct sigaction Ignoring = {};
  struct sigaction Before = {};
  Ignoring.sa_handler = [](int) {};
  ASSERT_EQ(sigaction(SIGUSR1, &Ignoring, &Before), 0);
  asio::io_context Loop;
  auto Side = std::move(*makeMessaging(Loop, std::nullopt));
  std::unique_ptr<MessageServer> Server;
  Server = std::move(*Side->serve(
      "tcp://127.0.0.1:0", [&](const ClientName &From, std::string_view Text) {
        Server->send(From, Text);
      }));
  std::size_t Echoes = 0;
  auto Client = std::move(*Side->connect(
      Server->endpoint(), [&Echoes](std::string_view) { ++Echoes; }));
  std::atomic<bool> Done = false;
  std::thread Signals([&Done, To = pthread_self()] {
    while (!Done) {
      pthread_kill(To, SIGUSR1);
      std::this_thread::sleep_for(std::chrono::microseconds(20));
    }
  });
  std::size_t Sent = 0;
  auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(3);
  EXPECT_NO_THROW({
    while (std::chrono::steady_clock::now() < Deadline) {
      constexpr std::size_t UnderWay = 100;
      if (Sent < Echoes + UnderWay) {
        Client->send("hello");
        ++Sent;
      }
      Loop.poll();
    }
  });
  Done = true;
  Signals.join();
  sigaction(SIGUSR1, &Before, nullptr);
  EXPECT_TRUE(runUntil(Loop, [&] { return Echoes == Sent; }));
  EXPECT_EQ(Client->traffic().Dropped, 0U);
}
