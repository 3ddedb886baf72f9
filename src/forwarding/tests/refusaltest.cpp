#include "rawtargetfixture.h"

using namespace kingcuphub;
using namespace kingcuphub::forwarding;

namespace {

std::string refusal(const http::Request &Asked, bool WithId) {
  return "HTTP/1.1 503 Service Unavailable\r\n" +
         (WithId ? "Id: " + std::string(Asked.header("Id")) + "\r\n" : "") +
         "Not-Run: 1\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n";
}

std::string success(const http::Request &Asked) {
  return headOf(Asked, "Keep-Alive: timeout=5\r\n" + lengthHeader(2)) + "ok";
}

class RefusalTest : public RawTargetTest {};

} // namespace

TEST_F(RefusalTest, ARefusalWrittenAgainDoesNotAnswerTheNextAttempt) {
  this->Model = "m";
  // So that the request waits until its target has room again.
  this->Objective = milliseconds(10000);
  this->configure(catalog::Repetition::Never);
  this->onlyOneTarget();
  unsigned Runs = 0;
  Understood Got =
      this->ask({[](const http::Request &Asked, RawConnection &Answer) {
                   Answer.write(refusal(Asked, true));
                 },
                 [&Runs](const http::Request &Asked, RawConnection &Answer) {
                   ++Runs;
                   // Not the first request on this connection.
                   if (Answer.requests() > 1)
                     Answer.write(refusal(Asked, true));
                   Answer.write(success(Asked));
                 }});
  EXPECT_EQ(Runs, 1U) << Got.Body;
  EXPECT_EQ(Got.Status, 200);
}

TEST_F(RefusalTest, ARefusalWithoutIdOnAKeptConnectionPromisesNothing) {
  this->configure(catalog::Repetition::Never);
  this->onlyOneTarget();
  Behaviour Serve = [](const http::Request &Asked, RawConnection &Answer) {
    Answer.write(success(Asked));
  };
  EXPECT_EQ(this->ask({Serve}).Status, 200);
  unsigned Earlier = 0;
  Understood Got =
      this->ask({[&Earlier](const http::Request &Asked, RawConnection &Answer) {
        Earlier = Answer.requests() - 1;
        Answer.write(refusal(Asked, false));
        Answer.write(success(Asked));
      }});
  ASSERT_EQ(Earlier, 1U);
  EXPECT_EQ(Got.Status, 502);
}

TEST_F(RefusalTest, ARefusalWithoutIdOnANewConnectionIsBelieved) {
  this->configure(catalog::Repetition::Never);
  Understood Got =
      this->ask({[](const http::Request &Asked, RawConnection &Answer) {
                   Answer.write(refusal(Asked, false));
                 },
                 [](const http::Request &Asked, RawConnection &Answer) {
                   Answer.write(success(Asked));
                 }});
  EXPECT_EQ(Got.Status, 200);
  EXPECT_EQ(this->Arrived.size(), 2U);
}
