#include "logconfigfeed.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::agent {

namespace {

/// Bounds a long poll, and with it the age of the proof at the tail.
constexpr std::chrono::milliseconds TailWait{250};

void logVerdict(base::Offset At, const state::Verdict &Verdict) {
  if (const auto *Lost = std::get_if<state::Rejected>(&Verdict))
    base::logEvent(base::LogLevel::Warn, "record_rejected",
                   {{"offset", At.Value},
                    {"record", Lost->RecordId},
                    {"why", Lost->Why.Message}});
  if (const auto *Newer = std::get_if<state::Unreadable>(&Verdict))
    base::logEvent(base::LogLevel::Error, "record_unreadable",
                   {{"offset", At.Value},
                    {"format_version", Newer->FormatVersion},
                    {"remedy", "replace this instance by a newer version"}});
}

std::string recordIdOf(const state::Verdict &Verdict) {
  if (const auto *Good = std::get_if<state::Accepted>(&Verdict))
    return Good->RecordId;
  if (const auto *Lost = std::get_if<state::Rejected>(&Verdict))
    return Lost->RecordId;
  return {};
}

} // namespace

LogConfigFeed::LogConfigFeed(asio::io_context &Loop, const base::Clock &Clock,
                             logservice::LogClient &Log)
    : Tailer(Loop, Clock, Log, logservice::ConfigStream, TailWait,
             {[this](const logservice::LogRecord &Record) {
                return this->reduce(Record);
              },
              [this] { this->OnChanged.notify(this->config()); },
              [this](base::TimePoint SentAt) {
                this->ProvenAt =
                    std::max(this->ProvenAt.value_or(SentAt), SentAt);
                this->OnTail.notify(SentAt);
              },
              [this](base::Offset First) { this->onExpired(First); }}) {}

void LogConfigFeed::start() { this->Tailer.start(this->config()->Next); }

void LogConfigFeed::stop() { this->Tailer.stop(); }

bool LogConfigFeed::reduce(const logservice::LogRecord &Record) {
  state::Verdict Verdict = this->Reducer.reduce(Record.At, Record.Data);
  logVerdict(Record.At, Verdict);
  bool Readable = this->Reducer.readable();
  this->OnReduced.notify({Record.At, recordIdOf(Verdict), std::move(Verdict)});
  return Readable;
}

void LogConfigFeed::onExpired(base::Offset First) {
  base::logEvent(
      base::LogLevel::Warn, "config_expired",
      {{"next", this->config()->Next.Value}, {"first", First.Value}});
  this->ExpiredBefore = First;
  this->useSnapshot();
}

void LogConfigFeed::offerSnapshot(const wire::Snapshot &Snapshot) {
  if (Snapshot.stream() != logservice::ConfigStream)
    return;
  if (this->Offered && this->Offered->covers() > Snapshot.covers())
    return;
  this->Offered = Snapshot;
  this->useSnapshot();
}

void LogConfigFeed::useSnapshot() {
  if (!this->ExpiredBefore || !this->Offered ||
      this->Offered->covers() < this->ExpiredBefore->Value)
    return;
  wire::ConfigState Saved;
  bool Parsed = Saved.ParseFromString(this->Offered->state());
  if (!Parsed || Saved.next_offset() != this->Offered->covers())
    return base::logEvent(base::LogLevel::Error, "snapshot_refused",
                          {{"why", "it is not the state that it names"}});
  if (auto Loaded = this->load(Saved); !Loaded)
    base::logEvent(base::LogLevel::Error, "snapshot_refused",
                   {{"why", Loaded.error().Message}});
}

base::Result<void> LogConfigFeed::load(const wire::ConfigState &Saved) {
  if (Saved.next_offset() <= this->config()->Next.Value)
    return {};
  if (auto Loaded = this->Reducer.load(Saved); !Loaded)
    return Loaded;
  this->ExpiredBefore.reset();
  this->Tailer.start(this->config()->Next);
  this->OnChanged.notify(this->config());
  return {};
}

std::string LogConfigFeed::trouble() const {
  if (this->ExpiredBefore)
    return "the records from " + std::to_string(this->config()->Next.Value) +
           " on are gone and no snapshot that covers them is read yet; any "
           "running instance writes one";
  return this->Tailer.trouble();
}

} // namespace kingcuphub::agent
