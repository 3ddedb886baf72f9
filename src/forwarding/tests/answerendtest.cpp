#include "rawtargetfixture.h"

using namespace kingcuphub;
using namespace kingcuphub::forwarding;

namespace {

class AnswerEndTest : public RawTargetTest {};

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

// Guards against passing on what follows a head with status 000, which a target
// in trouble may send: neither that head nor anything after it is an answer.
TEST_F(AnswerEndTest, AnAnswerWithStatus000IsNotPassedOn) {
  for (bool Streaming : {true, false})
    for (const char *Next : {"ok", "", "HTTP/1.1 200 OK\r\n"}) {
      this->TargetSuffix = std::string("-") + (Streaming ? "s" : "p") + Next;
      this->configure(catalog::Repetition::Never, Streaming);
      Understood Got =
          this->ask({[&](const http::Request &Asked, RawConnection &Answer) {
            std::string Rest = std::string("Id: ") +
                               std::string(Asked.header("Id")) +
                               "\r\nProof: p\r\nContent-Length: 2\r\n\r\n";
            Answer.write("HTTP/1.1 000 \r\n" + Rest + Next);
            if (std::string(Next).size() > 2)
              Answer.write(Rest + "ok");
            Answer.close();
          }});
      EXPECT_EQ(Got.Status, 502) << Streaming << " " << Next;
    }
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

TEST_F(AnswerEndTest, AStreamThatHasNoReadableEventsIsPassedOnAsItIs) {
  for (const char *Header :
       {"Content-Encoding: gzip\r\n", "Content-Type: application/json\r\n"}) {
    this->configure(catalog::Repetition::Resumable, true);
    std::string Bytes = "no event";
    Understood Got =
        this->ask({inOrder(Header + lengthHeader(Bytes.size()), Bytes)});
    EXPECT_EQ(Got.End, Seen::Complete) << Header;
    EXPECT_EQ(Got.Body, Bytes) << Header;
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
