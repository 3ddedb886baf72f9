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
