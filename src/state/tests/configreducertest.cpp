#include "state/configreducer.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::state;

namespace {

wire::Record record(const std::string &Id, std::uint64_t Base) {
  wire::Record Out;
  Out.set_id(Id);
  Out.set_format_version(RecordFormatVersion);
  Out.set_base_offset(Base);
  Out.set_author("operator-" + Id);
  return Out;
}

wire::Record accountPut(const std::string &Id, std::uint64_t Base,
                        double Rate = 100) {
  wire::Record Out = record(Id, Base);
  Out.mutable_account_put()->set_account("acme");
  Out.mutable_account_put()->set_tokens_per_second(Rate);
  Out.mutable_account_put()->set_burst_tokens(1000);
  return Out;
}

Verdict reduce(ConfigReducer &Reducer, const wire::Record &Record) {
  return Reducer.reduce(Reducer.config()->Next, Record.SerializeAsString());
}

} // namespace

TEST(ConfigReducerTest,
     TheFirstOfTwoRacingRecordsWinsAndTheLoserNamesTheWinner) {
  ConfigReducer Reducer;
  EXPECT_TRUE(std::holds_alternative<Accepted>(
      reduce(Reducer, accountPut("a", 0, 100))));
  Verdict Second = reduce(Reducer, accountPut("b", 0, 200));
  auto *Lost = std::get_if<Rejected>(&Second);
  ASSERT_NE(Lost, nullptr);
  EXPECT_EQ(Lost->Why.Code, StateErrc::StaleBase);
  EXPECT_EQ(Lost->WinnerAuthor, "operator-a");
  EXPECT_EQ(Reducer.config()->Accounts.at({"acme"}).Rate.PerSecond, 100);
}

TEST(ConfigReducerTest, ARecordAppendedTwiceCountsOnce) {
  ConfigReducer Reducer;
  reduce(Reducer, accountPut("a", 0));
  Verdict Second = reduce(Reducer, accountPut("a", 1));
  EXPECT_EQ(std::get<Rejected>(Second).Why.Code, StateErrc::Duplicate);
}

TEST(ConfigReducerTest, ARejectedRecordAppendedTwiceIsNotAcceptedLater) {
  ConfigReducer Reducer;
  wire::Record Put = record("k", 1);
  Put.mutable_key_put()->set_key("key-1");
  Put.mutable_key_put()->set_account("acme");
  Put.mutable_key_put()->set_secret_hash(std::string(64, 'a'));
  EXPECT_EQ(std::get<Rejected>(reduce(Reducer, Put)).Why.Code,
            StateErrc::BadContent);
  reduce(Reducer, accountPut("a", 1));
  EXPECT_EQ(std::get<Rejected>(reduce(Reducer, Put)).Why.Code,
            StateErrc::Duplicate);
}

TEST(ConfigReducerTest, InvalidBytesAreSkipped) {
  ConfigReducer Reducer;
  Verdict First = Reducer.reduce({0}, "\xff\xff garbage");
  EXPECT_EQ(std::get<Rejected>(First).Why.Code, StateErrc::NotARecord);
  EXPECT_TRUE(
      std::holds_alternative<Accepted>(reduce(Reducer, accountPut("a", 1))));
}

TEST(ConfigReducerTest, ANewerFormatStopsTheReader) {
  ConfigReducer Reducer;
  wire::Record Newer = accountPut("a", 0);
  Newer.set_format_version(RecordFormatVersion + 1);
  EXPECT_TRUE(std::holds_alternative<Unreadable>(reduce(Reducer, Newer)));
  EXPECT_FALSE(Reducer.readable());
  EXPECT_EQ(Reducer.config()->Next, base::Offset{0});
}

TEST(ConfigReducerTest, AWithdrawnKeyIsRemovedAndItsIdCannotBeReused) {
  ConfigReducer Reducer;
  reduce(Reducer, accountPut("a", 0));
  wire::Record Put = record("k", 1);
  Put.mutable_key_put()->set_key("key-1");
  Put.mutable_key_put()->set_account("acme");
  Put.mutable_key_put()->set_secret_hash(std::string(64, 'a'));
  EXPECT_TRUE(std::holds_alternative<Accepted>(reduce(Reducer, Put)));
  EXPECT_NE(findKeyByHash(*Reducer.config(), std::string(64, 'a')), nullptr);
  wire::Record Withdraw = record("w", 2);
  Withdraw.mutable_key_withdraw()->set_key("key-1");
  EXPECT_TRUE(std::holds_alternative<Accepted>(reduce(Reducer, Withdraw)));
  EXPECT_EQ(findKeyByHash(*Reducer.config(), std::string(64, 'a')), nullptr);
  Put.set_id("again");
  Put.set_base_offset(3);
  EXPECT_EQ(std::get<Rejected>(reduce(Reducer, Put)).Why.Code,
            StateErrc::BadContent);
}

TEST(ConfigReducerTest, ALoadedStateReducesLikeTheOriginal) {
  ConfigReducer First;
  reduce(First, accountPut("a", 0));
  ConfigReducer Second;
  ASSERT_TRUE(Second.load(First.save()));
  for (ConfigReducer *Each : {&First, &Second}) {
    reduce(*Each, accountPut("b", 0, 5));
    reduce(*Each, accountPut("c", 2, 7));
  }
  EXPECT_EQ(First.save().SerializeAsString(),
            Second.save().SerializeAsString());
}
