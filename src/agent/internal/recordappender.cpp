#include "recordappender.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcuphub::agent {

namespace {

/// An append whose answer was lost may still be on its way for this long.
constexpr std::chrono::milliseconds LostAppendGrace{100};

} // namespace

RecordAppender::RecordAppender(const base::Clock &Clock,
                               logservice::LogClient &Log, std::string Stream)
    : Clock(Clock), Log(Log), Stream(std::move(Stream)),
      Alive(std::make_shared<bool>(true)) {}

RecordAppender::~RecordAppender() { *this->Alive = false; }

void RecordAppender::append(const wire::Record &Record,
                            std::chrono::milliseconds Wait, Done OnDone) {
  PendingAppend New;
  New.Bytes = Record.SerializeAsString();
  New.OnDone = std::move(OnDone);
  New.GiveUpAt = this->Clock.now() + Wait;
  this->Pending[Record.id()] = std::move(New);
  this->attempt(Record.id());
}

std::size_t RecordAppender::inFlight() const {
  return std::count_if(this->Pending.begin(), this->Pending.end(),
                       [](const auto &Each) { return Each.second.InFlight; });
}

void RecordAppender::attempt(const std::string &RecordId) {
  PendingAppend &Each = this->Pending.at(RecordId);
  Each.InFlight = true;
  Each.LostAt.reset();
  this->Log.append(this->Stream, Each.Bytes,
                   [this, Live = this->Alive,
                    RecordId](const base::Result<base::Offset> &Answer) {
                     if (*Live)
                       this->onAnswer(RecordId, Answer);
                   });
}

void RecordAppender::onAnswer(const std::string &RecordId,
                              const base::Result<base::Offset> &Answer) {
  auto Found = this->Pending.find(RecordId);
  if (Found == this->Pending.end())
    return;
  PendingAppend &Each = Found->second;
  Each.InFlight = false;
  bool Unavailable =
      !Answer && Answer.error().Code == logservice::PlatformErrc::Unavailable;
  if (Unavailable && !Each.MayBeAppended)
    return this->finish(RecordId, Answer);
  if (!Unavailable)
    Each.MayBeAppended = true;
  if (!Answer)
    Each.LostAt = this->Clock.now();
}

void RecordAppender::onRecord(base::Offset At, const std::string &RecordId) {
  this->finish(RecordId, At);
}

void RecordAppender::onTail(base::TimePoint ReadSentAt) {
  std::vector<std::string> Missing;
  for (const auto &[RecordId, Each] : this->Pending)
    if (Each.LostAt && !Each.InFlight &&
        ReadSentAt > *Each.LostAt + LostAppendGrace)
      Missing.push_back(RecordId);
  for (const std::string &RecordId : Missing)
    this->attempt(RecordId);
}

void RecordAppender::onTimer() {
  std::vector<std::string> Late;
  for (const auto &[RecordId, Each] : this->Pending)
    if (this->Clock.now() >= Each.GiveUpAt)
      Late.push_back(RecordId);
  for (const std::string &RecordId : Late)
    this->finish(RecordId,
                 base::fail(logservice::PlatformErrc::AnswerLost,
                            "the log has not shown the record yet; it may "
                            "still be taken, read the state to find out"));
}

void RecordAppender::finish(const std::string &RecordId,
                            base::Result<base::Offset> Outcome) {
  auto Node = this->Pending.extract(RecordId);
  if (!Node.empty())
    Node.mapped().OnDone(std::move(Outcome));
}

} // namespace kingcuphub::agent
