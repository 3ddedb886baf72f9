#include "changes.h"

#include <utility>

namespace kingcuphub::agent {

namespace {

constexpr std::chrono::milliseconds TimerInterval{50};

void judge(ChangeAnswer &Answer, const state::Verdict &Verdict) {
  if (std::holds_alternative<state::Accepted>(Verdict)) {
    Answer.Outcome = ChangeOutcome::Accepted;
    return;
  }
  const auto *Lost = std::get_if<state::Rejected>(&Verdict);
  if (Lost == nullptr)
    return;
  Answer.Outcome = ChangeOutcome::Rejected;
  Answer.Why = Lost->Why.Message;
  Answer.Winner = Lost->WinnerAuthor;
}

} // namespace

std::string_view outcomeName(ChangeOutcome Outcome) {
  switch (Outcome) {
  case ChangeOutcome::Accepted:
    return "accepted";
  case ChangeOutcome::Rejected:
    return "rejected";
  case ChangeOutcome::Pending:
    return "pending";
  }
  return "pending";
}

Changes::Changes(asio::io_context &Loop, const base::Clock &Clock,
                 logservice::LogClient &Log, ConfigFeed &Config,
                 FreshnessRule &Freshness)
    : Clock(Clock), Freshness(Freshness),
      Appender(Clock, Log, logservice::ConfigStream),
      Timer(Loop, TimerInterval, [this] {
        this->Appender.onTimer();
        this->answerAcknowledged();
      }) {
  Config.OnReduced.subscribe(
      [this](const ReducedRecord &Reduced) { this->onReduced(Reduced); });
  Config.OnTail.subscribe(
      [this](const base::TimePoint &SentAt) { this->Appender.onTail(SentAt); });
}

void Changes::submit(wire::Record Record, std::chrono::milliseconds Wait,
                     Done OnDone) {
  Record.set_format_version(state::RecordFormatVersion);
  Record.set_time_ms(this->Clock.wallNow().time_since_epoch().count());
  std::string RecordId = Record.id();
  PendingChange New;
  New.OnDone = std::move(OnDone);
  New.AnswerBy = this->Clock.now() + Wait;
  New.Answer.RecordId = RecordId;
  this->Pending[RecordId] = std::move(New);
  this->Appender.append(
      Record, Wait, [this, RecordId](const base::Result<base::Offset> &Fate) {
        this->onFate(RecordId, Fate);
      });
}

void Changes::onReduced(const ReducedRecord &Reduced) {
  auto Found = this->Pending.find(Reduced.RecordId);
  if (Found == this->Pending.end())
    return;
  judge(Found->second.Answer, Reduced.Verdict);
  this->Appender.onRecord(Reduced.At, Reduced.RecordId);
}

void Changes::onFate(const std::string &RecordId,
                     const base::Result<base::Offset> &Fate) {
  auto Found = this->Pending.find(RecordId);
  if (Found == this->Pending.end())
    return;
  PendingChange &Each = Found->second;
  if (Fate) {
    Each.Answer.At = *Fate;
    if (Each.Answer.Outcome != ChangeOutcome::Accepted)
      return this->answer(RecordId);
    Each.ReducedAt = this->Clock.now();
    return this->Freshness.confirm();
  }
  bool Certain = Fate.error().Code == logservice::PlatformErrc::Unavailable;
  Each.Answer.Outcome =
      Certain ? ChangeOutcome::Rejected : ChangeOutcome::Pending;
  Each.Answer.Why = Fate.error().Message;
  Each.Answer.WaitingFor = {"log"};
  this->answer(RecordId);
}

void Changes::answerAcknowledged() {
  std::vector<std::string> Ready;
  for (auto &[RecordId, Each] : this->Pending) {
    if (!Each.ReducedAt)
      continue;
    base::Offset Next{Each.Answer.At->Value + 1};
    Each.Answer.WaitingFor = this->Freshness.waitingFor(Next, *Each.ReducedAt);
    bool Late = this->Clock.now() >= Each.AnswerBy;
    if (Each.Answer.WaitingFor.empty() || Late)
      Ready.push_back(RecordId);
    if (!Each.Answer.WaitingFor.empty() && Late) {
      Each.Answer.Outcome = ChangeOutcome::Pending;
      Each.Answer.Why = "it is in the log and will not be reverted, but some "
                        "instances may not know it yet; look at the status "
                        "again";
    }
  }
  for (const std::string &RecordId : Ready)
    this->answer(RecordId);
}

void Changes::answer(const std::string &RecordId) {
  if (auto Node = this->Pending.extract(RecordId); !Node.empty())
    Node.mapped().OnDone(Node.mapped().Answer);
}

} // namespace kingcuphub::agent
