#include "snapshotwriter.h"

#include "base/log.h"
#include "state/snapshot.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::agent {

namespace {

/// The writers' own delays are spread over this part of the interval.
constexpr int DelayPart = 4;
constexpr int ChecksPerInterval = 20;

} // namespace

SnapshotWriter::SnapshotWriter(asio::io_context &Loop, const base::Clock &Clock,
                               std::chrono::milliseconds Interval,
                               LogConfigFeed &Config, LogSystemFeed &System)
    : Clock(Clock), Interval(Interval), Config(Config), System(System),
      Random(std::random_device()()),
      Timer(Loop, Interval / ChecksPerInterval, [this] { this->onTimer(); }) {
  auto Now = Clock.wallNow().time_since_epoch();
  for (const char *Stream :
       {logservice::ConfigStream, logservice::SystemStream}) {
    StreamState &Of = this->Streams[Stream];
    Of.WrittenAt = Now - Interval;
    this->drawDelay(Of);
  }
  System.OnSnapshot.subscribe([this](const wire::Snapshot &Snapshot,
                                     const std::chrono::milliseconds &At) {
    StreamState &Of = this->Streams[Snapshot.stream()];
    Of.WrittenAt = std::max(Of.WrittenAt, At);
    this->drawDelay(Of);
  });
}

void SnapshotWriter::drawDelay(StreamState &Of) {
  std::uniform_int_distribution<std::int64_t> Spread(0, this->Interval.count() /
                                                            DelayPart);
  Of.Delay = std::chrono::milliseconds(Spread(this->Random));
}

bool SnapshotWriter::due(const StreamState &Of) const {
  auto Now = this->Clock.wallNow().time_since_epoch();
  return !Of.Writing && Now >= Of.WrittenAt + this->Interval + Of.Delay;
}

void SnapshotWriter::onTimer() {
  if (!this->System.provenAt() || !this->System.readable() ||
      !this->Config.provenAt() || !this->Config.readable())
    return;
  base::Offset ConfigNext = this->Config.config()->Next;
  if (ConfigNext.Value > 0 &&
      this->due(this->Streams[logservice::ConfigStream]))
    this->write(logservice::ConfigStream, ConfigNext,
                this->Config.save().SerializeAsString());
  base::Offset SystemNext = this->System.next();
  if (SystemNext.Value > 0 &&
      this->due(this->Streams[logservice::SystemStream]))
    this->write(logservice::SystemStream, SystemNext,
                this->System.save().SerializeAsString());
}

void SnapshotWriter::write(const std::string &Stream, base::Offset Covers,
                           std::string State) {
  wire::Record Record;
  *Record.mutable_snapshot() =
      state::makeSnapshot(Stream, Covers, std::move(State));
  this->Streams[Stream].Writing = true;
  this->System.append(
      std::move(Record),
      [this, Stream, Covers](const base::Result<base::Offset> &Fate) {
        this->Streams[Stream].Writing = false;
        if (Fate)
          base::logEvent(base::LogLevel::Info, "snapshot_written",
                         {{"stream", Stream}, {"covers", Covers.Value}});
        else
          base::logEvent(base::LogLevel::Warn, "snapshot_not_written",
                         {{"stream", Stream}, {"why", Fate.error().Message}});
      });
}

} // namespace kingcuphub::agent
