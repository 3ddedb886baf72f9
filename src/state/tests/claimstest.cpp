#include "state/claims.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

using namespace kingcuphub;
using namespace kingcuphub::state;
using std::chrono::milliseconds;

namespace {

wire::Record record(const std::string &Id, const std::string &Author,
                    std::int64_t Millis) {
  wire::Record Out;
  Out.set_id(Id);
  Out.set_format_version(1);
  Out.set_author(Author);
  Out.set_time_ms(Millis);
  return Out;
}

void addClaim(wire::Record &To, const std::string &Key,
              const std::string &Request) {
  wire::Claim *Claim = To.mutable_claim_batch()->add_claims();
  Claim->set_account("acme");
  Claim->set_idempotency_key(Key);
  Claim->set_request(Request);
}

void addResult(wire::Record &To, const std::string &Key,
               const std::string &Request, const std::string &Body) {
  wire::ClaimResult *Result = To.mutable_claim_batch()->add_results();
  Result->set_account("acme");
  Result->set_idempotency_key(Key);
  Result->set_request(Request);
  Result->set_body(Body);
}

void reduce(ClaimsReducer &Reducer, const wire::Record &Record) {
  EXPECT_TRUE(Reducer.reduce(Record.SerializeAsString()));
}

std::string winnerOf(const ClaimsReducer &Reducer, const std::string &Key) {
  const ClaimEntry *Entry = Reducer.find({{"acme"}, Key});
  return Entry == nullptr ? "" : Entry->Request.Value;
}

} // namespace

TEST(ClaimsTest, TheFirstClaimWinsAndOnlyItsResultIsKept) {
  ClaimsReducer Reducer;
  wire::Record First = record("1", "a", 0);
  addClaim(First, "k", "r1");
  addClaim(First, "k", "r2");
  addResult(First, "k", "r2", "wrong");
  reduce(Reducer, First);
  EXPECT_EQ(winnerOf(Reducer, "k"), "r1");
  EXPECT_FALSE(Reducer.find({{"acme"}, "k"})->Result);
  wire::Record Second = record("2", "b", 0);
  addResult(Second, "k", "r1", "right");
  addResult(Second, "k", "r1", "later");
  reduce(Reducer, Second);
  EXPECT_EQ(Reducer.find({{"acme"}, "k"})->Result->body(), "right");
}

TEST(ClaimsTest, InvalidBytesAreSkippedAndANewerFormatStopsTheReader) {
  ClaimsReducer Reducer;
  EXPECT_TRUE(Reducer.reduce("\xff garbage"));
  wire::Record Newer = record("1", "a", 0);
  Newer.set_format_version(2);
  EXPECT_FALSE(Reducer.reduce(Newer.SerializeAsString()));
}

TEST(ClaimsTest, OneWrongClockDoesNotEndAWindow) {
  ClaimsReducer Reducer({milliseconds(1000), 1000});
  wire::Record First = record("1", "a", 100);
  addClaim(First, "k", "r1");
  reduce(Reducer, First);
  reduce(Reducer, record("2", "wrong", 1000000));
  reduce(Reducer, record("3", "a", 200));
  EXPECT_EQ(winnerOf(Reducer, "k"), "r1");
  wire::Record Behind = record("4", "behind", -1000000);
  addClaim(Behind, "k2", "r2");
  reduce(Reducer, Behind);
  reduce(Reducer, record("5", "a", 300));
  EXPECT_EQ(winnerOf(Reducer, "k2"), "r2");
  reduce(Reducer, record("6", "a", 2000));
  reduce(Reducer, record("7", "b", 2000));
  EXPECT_EQ(winnerOf(Reducer, "k"), "");
}

TEST(ClaimsTest, BodiesAreBoundedAndDroppedOnesAreMarked) {
  ClaimsReducer Reducer({milliseconds(1000), 10});
  wire::Record Record = record("1", "a", 0);
  for (const char *Key : {"k1", "k2", "k3"}) {
    addClaim(Record, Key, Key);
    addResult(Record, Key, Key, "12345");
  }
  reduce(Reducer, Record);
  EXPECT_TRUE(Reducer.find({{"acme"}, "k1"})->BodyDropped);
  EXPECT_EQ(Reducer.find({{"acme"}, "k3"})->Result->body(), "12345");
}

RC_GTEST_PROP(ClaimsProperty, EachKeyHasTheSameWinnerForEveryReader, ()) {
  constexpr std::size_t Records = 200;
  constexpr int FullSize = 100;
  auto Numbers = *rc::gen::container<std::vector<int>>(
      4 * Records, rc::gen::resize(FullSize, rc::gen::inRange(0, 20)));
  ClaimsReducer First;
  ClaimsReducer Second;
  std::map<std::string, std::string> Winner;
  std::map<std::string, std::string> Answer;
  std::vector<std::string> Log;
  for (std::size_t Index = 0; Index < Records; ++Index) {
    const int *RecordNumbers = &Numbers[4 * Index];
    wire::Record Record =
        record(std::to_string(Index), std::to_string(RecordNumbers[0] % 3),
               std::int64_t{1000} * RecordNumbers[1]);
    std::string Key = "k" + std::to_string(RecordNumbers[2]);
    std::string Request = "r" + std::to_string(RecordNumbers[3]);
    addClaim(Record, Key, Request);
    addResult(Record, Key, Request, std::to_string(Index));
    bool Duplicated = RecordNumbers[3] % 5 == 0 && !Log.empty();
    Log.push_back(Duplicated ? Log[Log.size() / 2]
                             : Record.SerializeAsString());
    wire::Record Taken;
    RC_ASSERT(Taken.ParseFromString(Log.back()));
    const wire::Claim &Claim = Taken.claim_batch().claims(0);
    std::string Won =
        Winner.try_emplace(Claim.idempotency_key(), Claim.request())
            .first->second;
    if (Won == Claim.request())
      Answer.try_emplace(Claim.idempotency_key(),
                         Taken.claim_batch().results(0).body());
    RC_ASSERT(First.reduce(Log.back()));
    for (const auto &[EachKey, EachRequest] : Winner)
      RC_ASSERT(winnerOf(First, EachKey) == EachRequest);
    for (const auto &[EachKey, Body] : Answer)
      RC_ASSERT(First.find({{"acme"}, EachKey})->Result->body() == Body);
  }
  for (const std::string &Each : Log)
    RC_ASSERT(Second.reduce(Each));
  for (const auto &[EachKey, EachRequest] : Winner)
    RC_ASSERT(winnerOf(Second, EachKey) == EachRequest);
}
