#include "state/configreducer.h"
#include "state/snapshot.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::state;

namespace {

/// A minimal reference implementation of the reducer.
struct Oracle {
  std::map<std::string, std::uint64_t> ChangedAt;
  std::map<std::string, double> Rates;
  std::map<std::string, std::string> KeyAccounts;
  std::set<std::string> Withdrawn;
  std::set<std::string> Seen;
  wire::Preset Preset = wire::PRESET_ORDINARY;

  bool apply(const wire::Record &Record) {
    if (Record.has_account_put()) {
      const wire::AccountPut &Put = Record.account_put();
      if (Put.tokens_per_second() <= 0)
        return false;
      this->Rates[Put.account()] = Put.tokens_per_second();
    } else if (Record.has_key_put()) {
      const wire::KeyPut &Put = Record.key_put();
      if (this->Rates.count(Put.account()) == 0 ||
          this->KeyAccounts.count(Put.key()) != 0 ||
          this->Withdrawn.count(Put.key()) != 0)
        return false;
      this->KeyAccounts[Put.key()] = Put.account();
    } else if (Record.has_key_withdraw()) {
      const std::string &Key = Record.key_withdraw().key();
      if (this->KeyAccounts.erase(Key) == 0)
        return false;
      this->Withdrawn.insert(Key);
    } else {
      this->Preset = Record.preset_use().preset();
    }
    return true;
  }

  /// Returns whether the record is accepted.
  bool reduce(std::uint64_t At, const wire::Record &Record) {
    if (!this->Seen.insert(Record.id()).second)
      return false;
    std::string Object = objectOf(Record);
    auto Last = this->ChangedAt.find(Object);
    if (Last != this->ChangedAt.end() && Last->second >= Record.base_offset())
      return false;
    if (!this->apply(Record))
      return false;
    this->ChangedAt[Object] = At;
    return true;
  }
};

constexpr std::size_t NumbersPerRecord = 5;

/// Makes a record from random numbers from 0 to 99. Its base version is up to
/// four records old.
wire::Record makeRecord(const int *RecordNumbers, std::uint64_t At) {
  wire::Record Out;
  Out.set_id(std::to_string(
      At - std::min<std::uint64_t>(At, RecordNumbers[4] % 10 == 0 ? 3 : 0)));
  Out.set_format_version(RecordFormatVersion);
  Out.set_base_offset(At - std::min<std::uint64_t>(At, RecordNumbers[1] % 5));
  std::string Account = "account-" + std::to_string(RecordNumbers[2] % 3);
  std::string Key = "key-" + std::to_string(RecordNumbers[3] % 6);
  switch (RecordNumbers[0] % 4) {
  case 0:
    Out.mutable_account_put()->set_account(Account);
    Out.mutable_account_put()->set_tokens_per_second(RecordNumbers[3] - 9);
    Out.mutable_account_put()->set_burst_tokens(10);
    break;
  case 1:
    Out.mutable_key_put()->set_key(Key);
    Out.mutable_key_put()->set_account(Account);
    Out.mutable_key_put()->set_secret_hash(std::string(64, 'a'));
    break;
  case 2:
    Out.mutable_key_withdraw()->set_key(Key);
    break;
  default:
    Out.mutable_preset_use()->set_preset(
        static_cast<wire::Preset>(1 + RecordNumbers[3] % 3));
    break;
  }
  return Out;
}

/// Copies the reducer by saving and loading a snapshot.
ConfigReducer restored(const ConfigReducer &From) {
  wire::Snapshot Snapshot =
      makeSnapshot("config", From.next(), From.save().SerializeAsString());
  RC_ASSERT(checkSnapshot(Snapshot).has_value());
  wire::ConfigState Saved;
  RC_ASSERT(Saved.ParseFromString(Snapshot.state()));
  ConfigReducer Out;
  RC_ASSERT(Out.load(Saved).has_value());
  return Out;
}

void checkAgainst(const Oracle &Expected, const ConfigReducer &Reducer) {
  wire::ConfigState Saved = Reducer.save();
  RC_ASSERT(Saved.preset() == Expected.Preset);
  std::map<std::string, double> Rates;
  for (const wire::AccountPut &Each : Saved.accounts())
    Rates[Each.account()] = Each.tokens_per_second();
  RC_ASSERT(Rates == Expected.Rates);
  std::map<std::string, std::string> Keys;
  for (const wire::KeyPut &Each : Saved.keys())
    Keys[Each.key()] = Each.account();
  RC_ASSERT(Keys == Expected.KeyAccounts);
  for (const std::string &Each : Expected.Withdrawn)
    RC_ASSERT(Reducer.config()->Keys.count({Each}) == 0U);
}

} // namespace

RC_GTEST_PROP(ConfigProperty, EveryReaderReachesTheStateOfTheReference, ()) {
  constexpr std::size_t Records = 200;
  constexpr int FullSize = 100;
  auto Numbers = *rc::gen::container<std::vector<int>>(
      NumbersPerRecord * Records,
      rc::gen::resize(FullSize, rc::gen::inRange(0, 100)));
  Oracle Expected;
  ConfigReducer Reader;
  ConfigReducer Restarted;
  for (std::size_t At = 0; At < Records; ++At) {
    const int *RecordNumbers = &Numbers[NumbersPerRecord * At];
    bool Garbage = RecordNumbers[4] % 10 == 1;
    wire::Record Record = makeRecord(RecordNumbers, At);
    std::string Bytes = Garbage ? "\xff no record" : Record.SerializeAsString();
    bool Accepts = !Garbage && Expected.reduce(At, Record);
    RC_ASSERT(std::holds_alternative<Accepted>(Reader.reduce({At}, Bytes)) ==
              Accepts);
    RC_ASSERT(std::holds_alternative<Accepted>(Restarted.reduce({At}, Bytes)) ==
              Accepts);
    if (RecordNumbers[4] % 10 == 2)
      Restarted = restored(RecordNumbers[3] % 2 == 0 ? Reader : Restarted);
    checkAgainst(Expected, Reader);
  }
  RC_ASSERT(Reader.save().SerializeAsString() ==
            Restarted.save().SerializeAsString());
}

TEST(SnapshotHashTest, AModifiedStateIsRejected) {
  wire::Snapshot Snapshot = makeSnapshot("config", {7}, "state");
  EXPECT_TRUE(checkSnapshot(Snapshot));
  Snapshot.set_state("other");
  auto Checked = checkSnapshot(Snapshot);
  ASSERT_FALSE(Checked);
  EXPECT_EQ(Checked.error().Code, StateErrc::BadSnapshot);
}
