#include "agent/internal/snapshotwriter.h"

#include "logservice/tests/fakelog.h"
#include "runloop.h"
#include "state/snapshot.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::agent;
using std::chrono::milliseconds;

namespace {

/// Keeps the highest epoch number.
class EpochReducer final : public SystemReducer {
public:
  std::uint64_t Number = 0;

  std::string_view name() const override { return "epoch"; }
  void reduce(base::Offset, const wire::Record &Record) override {
    this->Number = std::max(this->Number, Record.epoch().number());
  }
  std::string save() const override { return std::to_string(this->Number); }
  bool load(std::string_view Saved) override {
    this->Number = std::stoul(std::string(Saved));
    return true;
  }
};

wire::Record presetUse(const std::string &Id, std::uint64_t Base) {
  wire::Record Out;
  Out.set_id(Id);
  Out.set_format_version(1);
  Out.set_base_offset(Base);
  Out.mutable_preset_use()->set_preset(wire::PRESET_PEAK);
  return Out;
}

struct Node {
  Node(asio::io_context &Loop, logservice::LogClient &Log,
       milliseconds Interval)
      : Config(Loop, Clock, Log), System(Loop, Clock, Log, Self),
        Writer(Loop, Clock, Interval, Config, System) {
    this->System.addReducer(this->Epochs);
    this->System.OnSnapshot.subscribe(
        [this](const wire::Snapshot &Snapshot, const milliseconds &) {
          this->Config.offerSnapshot(Snapshot);
        });
    this->Config.start();
    this->System.start();
    this->Writer.start();
  }

  base::SystemClock Clock;
  Identity Self{"test", {"tcp://127.0.0.1:1"}, {1}, {"z"}};
  EpochReducer Epochs;
  LogConfigFeed Config;
  LogSystemFeed System;
  SnapshotWriter Writer;
};

class SnapshotTest : public testing::Test {
protected:
  void appendEpoch(std::uint64_t Number) {
    wire::Record Record;
    Record.set_id("epoch-" + std::to_string(Number));
    Record.mutable_epoch()->set_number(Number);
    this->Log.Streams["system"].push_back(Record.SerializeAsString());
  }

  /// The streams' first records are gone, down to the last snapshots.
  void expire() {
    this->Log.First["config"] = this->Log.Streams["config"].size();
    this->Log.First["system"] = this->Kept;
  }

  /// Runs until both streams are in snapshots; those begin at Kept.
  void runUntilSaved(const Node &Running) {
    this->Kept = this->Log.Streams["system"].size();
    ASSERT_TRUE(runUntil(this->Loop, [this, &Running] {
      return this->Log.Streams["system"].size() >= this->Kept + 2 &&
             Running.System.next().Value >= this->Kept + 2;
    }));
  }

  asio::io_context Loop;
  logservice::FakeLog Log{Loop};
  std::size_t Kept = 0;
};

constexpr milliseconds Soon{100};
constexpr milliseconds Never{3600000};

} // namespace

TEST_F(SnapshotTest, ANewInstanceStartsFromSnapshotsAndTail) {
  this->Log.Streams["config"].push_back(presetUse("a", 0).SerializeAsString());
  this->appendEpoch(4);
  {
    Node Old(this->Loop, this->Log, Soon);
    ASSERT_TRUE(
        runUntil(this->Loop, [&Old] { return Old.Epochs.Number == 4; }));
    this->runUntilSaved(Old);
  }
  this->expire();
  this->appendEpoch(5);
  Node New(this->Loop, this->Log, Never);
  ASSERT_TRUE(runUntil(this->Loop, [&New] {
    return New.Config.provenAt() && New.System.provenAt();
  }));
  EXPECT_EQ(New.Config.config()->ActivePreset, state::Preset::Peak);
  EXPECT_EQ(New.Config.config()->Next, base::Offset{1});
  EXPECT_EQ(New.Epochs.Number, 5U);
}

TEST_F(SnapshotTest, ASnapshotWithAWrongHashIsNotUsed) {
  this->Log.Streams["config"].push_back(presetUse("a", 0).SerializeAsString());
  wire::Record Bad;
  Bad.set_id("bad");
  *Bad.mutable_snapshot() = state::makeSnapshot(
      "config", {1}, state::ConfigReducer().save().SerializeAsString());
  Bad.mutable_snapshot()->set_state_hash(std::string(64, '0'));
  this->Log.Streams["system"].push_back(Bad.SerializeAsString());
  this->Log.First["config"] = 1;
  Node New(this->Loop, this->Log, Never);
  ASSERT_TRUE(runUntil(this->Loop, [&New] { return New.System.next().Value; }));
  EXPECT_FALSE(New.Config.provenAt());
  EXPECT_NE(New.Config.trouble().find("no snapshot"), std::string::npos);
}

TEST_F(SnapshotTest, WithoutASnapshotTheStateIsNotKnownUntilOneComes) {
  this->Log.Streams["config"].push_back(presetUse("a", 0).SerializeAsString());
  this->appendEpoch(4);
  Node Old(this->Loop, this->Log, Never);
  ASSERT_TRUE(runUntil(this->Loop, [&Old] {
    return Old.Config.provenAt() && Old.System.provenAt();
  }));
  this->Log.First["config"] = 1;
  this->Log.First["system"] = 1;
  Node New(this->Loop, this->Log, Never);
  ASSERT_TRUE(runUntil(this->Loop, [&New] {
    return !New.System.trouble().empty() && !New.Config.trouble().empty();
  }));
  EXPECT_FALSE(New.Config.provenAt());
  EXPECT_FALSE(New.System.provenAt());
  SnapshotWriter Writer(this->Loop, Old.Clock, Soon, Old.Config, Old.System);
  Writer.start();
  ASSERT_TRUE(runUntil(this->Loop, [&New] {
    return New.Config.provenAt() && New.System.provenAt();
  }));
  EXPECT_EQ(New.Epochs.Number, 4U);
  EXPECT_EQ(New.Config.config()->ActivePreset, state::Preset::Peak);
}

TEST_F(SnapshotTest, ALogThatEndsBeforeWhatWasReadIsNoProof) {
  this->Log.Streams["config"].push_back(presetUse("a", 0).SerializeAsString());
  Node Running(this->Loop, this->Log, Never);
  ASSERT_TRUE(runUntil(this->Loop, [&Running] {
    return Running.Config.config()->Next.Value == 1;
  }));
  this->Log.Streams["config"].clear();
  ASSERT_TRUE(runUntil(this->Loop, [&Running] {
    return Running.Config.trouble().find("replaced or cut") !=
           std::string::npos;
  }));
}
