#include "common/rawconnection.h"
#include "forwarderfixture.h"

using namespace kingcuphub;
using namespace kingcuphub::forwarding;
using standin::RawCaller;
using standin::RawConnection;

namespace {

constexpr const char *Unframed = "";
constexpr const char *Chunked = "Transfer-Encoding: chunked\r\n";
constexpr const char *LastChunk = "0\r\n\r\n";

std::string lengthHeader(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n";
}

std::string headOf(const http::Request &Asked, const std::string &Framing) {
  return "HTTP/1.1 200 OK\r\nId: " + std::string(Asked.header("Id")) +
         "\r\nProof: p\r\n" + Framing + "\r\n";
}

std::string chunk(const std::string &Bytes) {
  std::array<char, 32> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  return Size.data() + Bytes + "\r\n";
}

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

/// What a caller may conclude from what it got.
enum class Seen {
  /// Nothing yet: the connection is open and the answer is not complete.
  Pending,
  /// The answer has come to the end that it stated.
  Complete,
  /// The answer stated no end, and its connection ended in order.
  EndNotStated,
  BrokenOff,
};

struct Understood {
  Seen End = Seen::Pending;
  int Status = 0;
  std::string Body;
};

Understood understand(const RawCaller &Caller) {
  Understood Out;
  http::MessageParser Parser(
      http::MessageKind::Response, 65536,
      {[&Out](const http::MessageHead &Head) { Out.Status = Head.Status; },
       [&Out](std::string_view Piece) { Out.Body.append(Piece); }});
  if (Parser.feed(Caller.received()).Complete)
    Out.End = Seen::Complete;
  else if (Caller.ending() == RawCaller::Ending::Reset)
    Out.End = Seen::BrokenOff;
  else if (Caller.ending() == RawCaller::Ending::InOrder)
    Out.End = Parser.finish().Complete ? Seen::EndNotStated : Seen::BrokenOff;
  return Out;
}

/// Targets that write their answers byte by byte.
class AnswerEndTest : public ForwarderTest {
protected:
  using Behaviour = std::function<void(const http::Request &, RawConnection &)>;

  void SetUp() override {
    ForwarderTest::SetUp();
    for (auto &Each : this->RawTargets)
      Each = std::make_unique<standin::RawServer>(
          this->Loop, [this](const http::Request &Asked,
                             const std::shared_ptr<RawConnection> &Answer) {
            this->Arrived.push_back(Asked);
            std::size_t Turn =
                std::min(this->Arrived.size(), this->Turns.size()) - 1;
            this->Turns[Turn](Asked, *Answer);
          });
  }

  std::uint16_t targetPort(std::size_t Index) const override {
    return this->RawTargets[Index]->port();
  }

  /// Sends a request whose first attempt meets the first behaviour, and so on;
  /// the last one goes on.
  Understood ask(std::vector<Behaviour> NewTurns,
                 const std::string &Method = "POST") {
    this->Turns = std::move(NewTurns);
    this->Arrived.clear();
    this->Caller =
        std::make_unique<RawCaller>(this->Loop, this->FrontServer->port());
    this->Caller->send(Method + " /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q" +
                       std::to_string(++this->SentRequests) +
                       "\r\nKey: k\r\nContent-Length: 0\r\n\r\n");
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    Understood Out;
    while (Out.End == Seen::Pending &&
           std::chrono::steady_clock::now() < Deadline) {
      this->Loop.run_one_for(milliseconds(20));
      Out = understand(*this->Caller);
    }
    return Out;
  }

  static Behaviour inOrder(const std::string &Framing,
                           const std::string &Bytes) {
    return [=](const http::Request &Asked, RawConnection &Answer) {
      Answer.write(headOf(Asked, Framing) + Bytes);
      Answer.close();
    };
  }

  std::array<std::unique_ptr<standin::RawServer>, 2> RawTargets;
  std::vector<Behaviour> Turns;
  std::vector<http::Request> Arrived;
  std::unique_ptr<RawCaller> Caller;
};

} // namespace

TEST_F(AnswerEndTest, AnAnswerThatItsConnectionEndsIsNotFramedAsComplete) {
  for (bool Streaming : {true, false}) {
    this->configure(catalog::Repetition::Never, Streaming);
    Understood Got = this->ask({inOrder(Unframed, event(1))});
    EXPECT_EQ(Got.End, Seen::EndNotStated) << Streaming;
    EXPECT_EQ(Got.Body, event(1)) << Streaming;
  }
  this->configure(catalog::Repetition::Resumable, true);
  EXPECT_EQ(this->ask({inOrder(Unframed, event(1))}).End, Seen::EndNotStated);
}

TEST_F(AnswerEndTest, AResumedStreamStatesNoEndThatItsTargetHasNotStated) {
  this->configure(catalog::Repetition::Resumable, true);
  Understood Got = this->ask(
      {inOrder(Chunked, chunk(event(1))), inOrder(Unframed, event(2))});
  EXPECT_EQ(Got.End, Seen::BrokenOff);
  EXPECT_EQ(Got.Body, event(1) + event(2));
  Got = this->ask({inOrder(Unframed, event(1) + "id: 2"),
                   inOrder(Chunked, chunk(event(2)) + LastChunk)});
  EXPECT_NE(Got.End, Seen::Complete);
}

TEST_F(AnswerEndTest, AStreamThatEndsInsideAnEventIsBrokenOff) {
  std::string Torn = event(1) + "id: 2\nda";
  for (const auto &[Framing, Bytes] :
       {std::pair{std::string(Unframed), Torn},
        std::pair{std::string(Chunked), chunk(Torn) + LastChunk},
        std::pair{lengthHeader(Torn.size()), Torn}}) {
    this->configure(catalog::Repetition::Never, true);
    EXPECT_EQ(this->ask({inOrder(Framing, Bytes)}).End, Seen::BrokenOff)
        << Framing;
    this->configure(catalog::Repetition::Resumable, true);
    Understood Resumed = this->ask(
        {inOrder(Framing, Bytes),
         inOrder(Chunked, chunk(event(2)) + chunk(event(3)) + LastChunk)});
    EXPECT_EQ(Resumed.Body, event(1) + event(2) + event(3)) << Framing;
    ASSERT_EQ(this->Arrived.size(), 2U) << Framing;
    EXPECT_EQ(this->Arrived[1].header("After"), "1") << Framing;
  }
}

TEST_F(AnswerEndTest, ABegunAnswerIsNotFollowedByAnother) {
  this->configure(catalog::Repetition::Idempotent);
  std::string Large(this->HeldLimit + 1, 'a');
  Understood Got =
      this->ask({inOrder(lengthHeader(Large.size() + 1), Large),
                 inOrder(lengthHeader(Large.size() + 1), Large + "b")});
  EXPECT_EQ(Got.End, Seen::BrokenOff);
  EXPECT_EQ(this->Arrived.size(), 1U);
}
