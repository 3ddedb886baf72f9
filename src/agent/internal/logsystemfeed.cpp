#include "logsystemfeed.h"

#include "base/hashing.h"
#include "base/log.h"
#include "state/configreducer.h"
#include "state/snapshot.h"

#include <algorithm>
#include <map>

#include <utility>

namespace kingcuphub::agent {

namespace {

constexpr std::chrono::milliseconds TailWait{500};
constexpr std::chrono::milliseconds AppendWait{5000};
constexpr std::chrono::milliseconds GiveUpInterval{100};
constexpr std::size_t RecordIdBytes = 16;

} // namespace

LogSystemFeed::LogSystemFeed(asio::io_context &Loop, const base::Clock &Clock,
                             logservice::LogClient &Log, const Identity &Self)
    : Clock(Clock), Self(Self), Appender(Clock, Log, logservice::SystemStream),
      Tailer(Loop, Clock, Log, logservice::SystemStream, TailWait,
             {[this](const logservice::LogRecord &Record) {
                return this->take(Record);
              },
              [] {}, [this](base::TimePoint SentAt) { this->onTail(SentAt); },
              [this](base::Offset First) { this->onExpired(First); }}),
      GiveUp(Loop, GiveUpInterval, [this] { this->Appender.onTimer(); }) {}

void LogSystemFeed::start() {
  this->Tailer.start({0});
  this->GiveUp.start();
}

void LogSystemFeed::stop() {
  this->Tailer.stop();
  this->GiveUp.stop();
}

void LogSystemFeed::addReducer(SystemReducer &Part) {
  this->Parts.push_back(&Part);
}

void LogSystemFeed::append(wire::Record Record, AppendDone Done) {
  if (Record.id().empty())
    Record.set_id(base::randomHex(RecordIdBytes));
  Record.set_format_version(state::RecordFormatVersion);
  Record.set_base_offset(this->next().Value);
  Record.set_author(this->Self.Instance.Value);
  Record.set_time_ms(this->Clock.wallNow().time_since_epoch().count());
  this->Appender.append(Record, AppendWait, std::move(Done));
}

bool LogSystemFeed::take(const logservice::LogRecord &Read) {
  wire::Record Record;
  if (!Record.ParseFromString(Read.Data) || Record.id().empty()) {
    base::logEvent(base::LogLevel::Warn, "system_record_malformed",
                   {{"offset", Read.At.Value}});
    return true;
  }
  if (Record.format_version() > state::RecordFormatVersion) {
    base::logEvent(base::LogLevel::Error, "system_record_unreadable",
                   {{"offset", Read.At.Value},
                    {"format_version", Record.format_version()},
                    {"remedy", "replace this instance by a newer version"}});
    this->Phase = ReadPhase::Unreadable;
    return false;
  }
  if (Record.has_snapshot())
    this->takeSnapshot(Record);
  if (this->Phase == ReadPhase::FindSnapshot)
    return true;
  for (SystemReducer *Part : this->Parts)
    Part->reduce(Read.At, Record);
  this->OnRecord.notify(Read.At, Record);
  this->Appender.onRecord(Read.At, Record.id());
  return true;
}

void LogSystemFeed::takeSnapshot(const wire::Record &Record) {
  const wire::Snapshot &Snapshot = Record.snapshot();
  if (auto Valid = state::checkSnapshot(Snapshot); !Valid) {
    base::logEvent(base::LogLevel::Error, "snapshot_refused",
                   {{"record", Record.id()},
                    {"author", Record.author()},
                    {"why", Valid.error().Message}});
    return;
  }
  this->OnSnapshot.notify(Snapshot,
                          std::chrono::milliseconds(Record.time_ms()));
  if (this->Phase != ReadPhase::FindSnapshot ||
      Snapshot.stream() != logservice::SystemStream)
    return;
  wire::SystemState Saved;
  if (Saved.ParseFromString(Snapshot.state()) &&
      Saved.next_offset() == Snapshot.covers() &&
      Saved.next_offset() >= this->FirstKept.Value)
    this->Found = std::move(Saved);
}

void LogSystemFeed::onTail(base::TimePoint SentAt) {
  if (this->Phase == ReadPhase::Reduce) {
    this->ProvenAt = std::max(this->ProvenAt.value_or(SentAt), SentAt);
    this->OnTail.notify(this->Tailer.next());
    this->Appender.onTail(SentAt);
    return;
  }
  if (!this->Found)
    return;
  wire::SystemState Saved = *std::exchange(this->Found, std::nullopt);
  if (auto Loaded = this->load(Saved); !Loaded)
    base::logEvent(base::LogLevel::Error, "snapshot_refused",
                   {{"why", Loaded.error().Message}});
}

void LogSystemFeed::onExpired(base::Offset First) {
  base::logEvent(base::LogLevel::Warn, "system_expired",
                 {{"first", First.Value}});
  this->Phase = ReadPhase::FindSnapshot;
  this->Found.reset();
  this->FirstKept = First;
  this->Tailer.start(First);
}

wire::SystemState LogSystemFeed::save() const {
  wire::SystemState To;
  To.set_next_offset(this->Tailer.next().Value);
  for (const SystemReducer *Part : this->Parts) {
    wire::SystemPart *Added = To.add_parts();
    Added->set_name(std::string(Part->name()));
    Added->set_state(Part->save());
  }
  return To;
}

base::Result<void> LogSystemFeed::load(const wire::SystemState &Saved) {
  std::map<std::string_view, SystemReducer *> ByName;
  for (SystemReducer *Part : this->Parts)
    ByName[Part->name()] = Part;
  for (const wire::SystemPart &Each : Saved.parts())
    if (auto Part = ByName.find(Each.name());
        Part != ByName.end() && !Part->second->load(Each.state()))
      return base::fail(state::StateErrc::BadSnapshot,
                        "the part '" + Each.name() +
                            "' of the snapshot cannot be read; replace this "
                            "instance by the version that wrote it");
  this->Phase = ReadPhase::Reduce;
  this->Tailer.start({Saved.next_offset()});
  this->OnLoaded.notify(this->Tailer.next());
  return {};
}

std::string LogSystemFeed::trouble() const {
  switch (this->Phase) {
  case ReadPhase::Unreadable:
    return "the log has a record of a newer format; replace this instance by "
           "a newer version";
  case ReadPhase::FindSnapshot:
    return "the oldest records are gone and no snapshot is found yet; any "
           "running instance writes one";
  case ReadPhase::Reduce:
    break;
  }
  return this->Tailer.trouble();
}

} // namespace kingcuphub::agent
