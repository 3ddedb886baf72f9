#include "http/internal/streamwriter.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <gtest/gtest.h>

using namespace kingcuphub::http;

namespace {

/// A connected pair of sockets on loopback.
struct Pair {
  explicit Pair(asio::io_context &Loop) : Near(Loop), Far(Loop) {
    asio::ip::tcp::acceptor Listening(Loop,
                                      {asio::ip::address_v4::loopback(), 0});
    this->Near.connect(Listening.local_endpoint());
    Listening.accept(this->Far);
  }
  std::string received() {
    asio::error_code Failed;
    std::string Out;
    asio::read(this->Far, asio::dynamic_buffer(Out), Failed);
    return Out;
  }
  asio::ip::tcp::socket Near;
  asio::ip::tcp::socket Far;
};

} // namespace

/// An answer is broken off at any moment: what was written before reaches the
/// peer once, in order, also while a write is under way.
TEST(StreamWriterTest, NothingIsSentTwiceWhenTheConnectionIsClosed) {
  constexpr int MostSteps = 8;
  for (int Steps = 0; Steps <= MostSteps; ++Steps) {
    asio::io_context Loop;
    Pair Connected(Loop);
    StreamWriter Writer(Connected.Near);
    auto Owner = std::make_shared<int>(0);
    Writer.start(Owner, {[] {}, [](asio::error_code) {}});
    Writer.send("id: 51\n\n");
    for (int Done = 0; Done < Steps / 2; ++Done)
      Loop.poll_one();
    Writer.send("id: 52\n\n");
    for (int Done = 0; Done < Steps; ++Done)
      Loop.poll_one();
    Writer.flushNow();
    Connected.Near.close();
    EXPECT_EQ(Connected.received(), "id: 51\n\nid: 52\n\n")
        << "after " << Steps << " steps";
  }
}

/// A peer that reads slowly gets everything, in order.
TEST(StreamWriterTest, WhatDoesNotFitIsSentOnceThereIsRoom) {
  asio::io_context Loop;
  Pair Connected(Loop);
  constexpr int SmallBuffer = 1 << 16;
  Connected.Near.set_option(asio::socket_base::send_buffer_size(SmallBuffer));
  StreamWriter Writer(Connected.Near);
  auto Owner = std::make_shared<int>(0);
  bool AllSent = false;
  Writer.start(Owner,
               {[&AllSent] { AllSent = true; }, [](asio::error_code) {}});
  std::string Sent;
  for (int Line = 0; Line < 2000000; ++Line)
    Sent += std::to_string(Line) + "\n";
  Writer.send(Sent);
  Loop.poll();
  EXPECT_FALSE(AllSent);
  EXPECT_GT(Writer.unsent(), 0U);
  std::string Got(Sent.size(), '\0');
  std::size_t Taken = 0;
  while (Taken < Sent.size()) {
    Taken += Connected.Far.read_some(
        asio::buffer(Got.data() + Taken, Sent.size() - Taken));
    Loop.poll();
  }
  Loop.poll();
  EXPECT_TRUE(AllSent);
  EXPECT_EQ(Got, Sent);
}

/// A large body is kept once, however often it is sent.
TEST(StreamWriterTest, ABodyIsSentFromWhereItIs) {
  asio::io_context Loop;
  Pair Connected(Loop);
  StreamWriter Writer(Connected.Near);
  auto Owner = std::make_shared<int>(0);
  Writer.start(Owner, {[] {}, [](asio::error_code) {}});
  constexpr std::size_t BodyBytes = 20U << 20U;
  auto Body = std::make_shared<const std::string>(BodyBytes, 'b');
  Writer.send("head");
  Writer.send(Body);
  Writer.send("tail");
  EXPECT_LT(Writer.ownBytes(), 100U);
  EXPECT_EQ(Writer.unsent(), BodyBytes + 8);
  std::string Got(BodyBytes + 8, '\0');
  std::size_t Taken = 0;
  while (Taken < Got.size()) {
    Loop.poll();
    Taken += Connected.Far.read_some(
        asio::buffer(Got.data() + Taken, Got.size() - Taken));
  }
  Loop.poll();
  EXPECT_EQ(Got, "head" + *Body + "tail");
  EXPECT_EQ(Writer.unsent(), 0U);
  EXPECT_EQ(Body.use_count(), 1);
}
