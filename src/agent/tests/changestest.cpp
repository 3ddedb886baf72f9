#include "agent/internal/changes.h"

#include "agent/internal/logconfigfeed.h"
#include "agent/internal/logsystemfeed.h"
#include "logservice/tests/fakelog.h"
#include "runloop.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::agent;
using std::chrono::milliseconds;

namespace {

wire::Record accountPut(const std::string &Id, std::uint64_t Base) {
  wire::Record Out;
  Out.set_id(Id);
  Out.set_author("operator-" + Id);
  Out.set_base_offset(Base);
  Out.mutable_account_put()->set_account("acme");
  Out.mutable_account_put()->set_tokens_per_second(100);
  Out.mutable_account_put()->set_burst_tokens(1000);
  return Out;
}

/// One agent's view of the `config` stream.
struct ConfigNode {
  ConfigNode(asio::io_context &Loop, logservice::LogClient &Log)
      : Feed(Loop, Clock, Log), System(Loop, Clock, Log, Self),
        Rule(Clock, Self, std::chrono::seconds(3), Feed, EpochRecords, System),
        Writer(Loop, Clock, Log, Feed, Rule) {
    this->System.addReducer(this->EpochRecords);
    this->Feed.start();
    this->System.start();
    this->Writer.start();
  }

  base::SystemClock Clock;
  Identity Self{"test", {"tcp://127.0.0.1:1"}, {1}, {"z"}};
  LogConfigFeed Feed;
  LogSystemFeed System;
  Epochs EpochRecords;
  FreshnessRule Rule;
  Changes Writer;
};

class ChangesTest : public testing::Test {
protected:
  ChangeAnswer submit(ConfigNode &Node, const wire::Record &Record,
                      milliseconds Wait = milliseconds(5000)) {
    std::optional<ChangeAnswer> Got;
    Node.Writer.submit(Record, Wait,
                       [&Got](const ChangeAnswer &Answer) { Got = Answer; });
    EXPECT_TRUE(runUntil(this->Loop, [&Got] { return Got.has_value(); }));
    return Got.value_or(ChangeAnswer());
  }

  asio::io_context Loop;
  logservice::FakeLog Log{Loop};
};

} // namespace

TEST_F(ChangesTest, AChangeIsAcceptedOnceItIsReadBack) {
  ConfigNode Node(this->Loop, this->Log);
  ChangeAnswer Answer = this->submit(Node, accountPut("a", 0));
  EXPECT_EQ(Answer.Outcome, ChangeOutcome::Accepted);
  EXPECT_EQ(Answer.At, base::Offset{0});
  EXPECT_EQ(Node.Feed.config()->Accounts.size(), 1U);
}

TEST_F(ChangesTest, ALostAnswerIsResolvedByReading) {
  ConfigNode Node(this->Loop, this->Log);
  this->Log.LoseAppendAnswers = 1;
  ChangeAnswer Answer = this->submit(Node, accountPut("a", 0));
  EXPECT_EQ(Answer.Outcome, ChangeOutcome::Accepted);
  EXPECT_EQ(this->Log.Streams["config"].size(), 1U);
}

TEST_F(ChangesTest, ALostAppendIsMadeAgainUnderItsId) {
  ConfigNode Node(this->Loop, this->Log);
  this->Log.DropAppends = 2;
  ChangeAnswer Answer = this->submit(Node, accountPut("a", 0));
  EXPECT_EQ(Answer.Outcome, ChangeOutcome::Accepted);
  EXPECT_EQ(this->Log.Appends, 3U);
  EXPECT_EQ(this->Log.Streams["config"].size(), 1U);
}

TEST_F(ChangesTest, WithTheLogOutNothingIsChangedAndItIsSaid) {
  ConfigNode Node(this->Loop, this->Log);
  this->Log.Out = true;
  ChangeAnswer Answer = this->submit(Node, accountPut("a", 0));
  EXPECT_EQ(Answer.Outcome, ChangeOutcome::Rejected);
  EXPECT_EQ(Answer.WaitingFor, std::vector<std::string>{"log"});
}

TEST_F(ChangesTest, AnUnknownFateIsPendingAndNeverAcceptedOrRejected) {
  ConfigNode Node(this->Loop, this->Log);
  this->Log.DropAppends = 1000;
  ChangeAnswer Answer =
      this->submit(Node, accountPut("a", 0), milliseconds(300));
  EXPECT_EQ(Answer.Outcome, ChangeOutcome::Pending);
}

TEST_F(ChangesTest, AChangeIsPendingUntilAMajorityOfTheWitnessesKnowsIt) {
  ConfigNode Node(this->Loop, this->Log);
  wire::Record Record;
  Record.set_id("epoch-1");
  Record.mutable_epoch()->set_number(1);
  for (const char *Name : {"a", "b", "c"}) {
    wire::Member *Member = Record.mutable_epoch()->add_members();
    Member->set_instance(Name);
    Member->set_incarnation(7);
    Record.mutable_epoch()->add_witnesses(Name);
  }
  this->Log.Streams["system"].push_back(Record.SerializeAsString());
  ChangeAnswer Answer =
      this->submit(Node, accountPut("a", 0), milliseconds(300));
  EXPECT_EQ(Answer.Outcome, ChangeOutcome::Pending);
  EXPECT_EQ(Answer.WaitingFor, (std::vector<std::string>{"a", "b", "c"}));
  std::optional<ChangeAnswer> Got;
  Node.Writer.submit(accountPut("b", 1), milliseconds(5000),
                     [&Got](const ChangeAnswer &Each) { Got = Each; });
  for (const char *Name : {"a", "c"})
    Node.Rule.decision().onAnswer({{{Name}, {7}}, Node.Clock.now(), {2}, {1}});
  ASSERT_TRUE(runUntil(this->Loop, [&Got] { return Got.has_value(); }));
  EXPECT_EQ(Got->Outcome, ChangeOutcome::Accepted);
}

TEST_F(ChangesTest, OfTwoWritersOneWinsAndBothAreToldTheTruth) {
  ConfigNode First(this->Loop, this->Log);
  ConfigNode Second(this->Loop, this->Log);
  constexpr int Races = 100;
  for (int Race = 0; Race < Races; ++Race) {
    std::uint64_t Base = First.Feed.config()->Next.Value;
    std::vector<ChangeAnswer> Got;
    auto Keep = [&Got](const ChangeAnswer &Answer) { Got.push_back(Answer); };
    std::string Number = std::to_string(Race);
    ConfigNode &Earlier = Race % 2 == 0 ? First : Second;
    ConfigNode &Later = Race % 2 == 0 ? Second : First;
    this->Log.LoseAppendAnswers = Race % 3;
    Earlier.Writer.submit(accountPut("e" + Number, Base), milliseconds(5000),
                          Keep);
    Later.Writer.submit(accountPut("l" + Number, Base), milliseconds(5000),
                        Keep);
    ASSERT_TRUE(runUntil(this->Loop, [&] {
      return Got.size() == 2 && Second.Feed.config()->Next.Value == Base + 2 &&
             First.Feed.config()->Next.Value == Base + 2;
    }));
    for (const ChangeAnswer &Answer : Got) {
      bool Won = Answer.RecordId == "e" + Number;
      ASSERT_EQ(Answer.Outcome,
                Won ? ChangeOutcome::Accepted : ChangeOutcome::Rejected);
      ASSERT_EQ(Answer.Winner, Won ? "" : "operator-e" + Number);
    }
    ASSERT_EQ(First.Feed.save().SerializeAsString(),
              Second.Feed.save().SerializeAsString());
  }
}
