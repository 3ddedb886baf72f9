#include "logclaims.h"

#include "base/hashing.h"
#include "base/log.h"
#include "state/configreducer.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::agent {

namespace {

/// How long a claim may wait for others to share its append.
constexpr std::chrono::milliseconds GroupInterval{20};
constexpr std::chrono::milliseconds TailWait{500};
/// How long the fate of an append is followed.
constexpr std::chrono::milliseconds AppendWait{10000};
constexpr std::chrono::milliseconds RetryAfter{1000};
/// A verdict is given this long before the asker stops waiting for it.
constexpr std::chrono::milliseconds AnswerMargin{100};
constexpr std::size_t MaxGroupClaims = 1000;
constexpr std::size_t MaxGroupBytes = 512U << 10U;
/// Longer bodies of results are not kept.
constexpr std::size_t MaxBodyBytes = 256U << 10U;
/// Results that wait for the log, in an outage.
constexpr std::size_t MaxBacklog = 4096;
constexpr std::size_t RecordIdBytes = 16;
constexpr unsigned GoneStatus = 410;

wire::ClaimVerdict without(const wire::Claim &Claim, wire::ClaimOutcome Outcome,
                           std::string Reason) {
  wire::ClaimVerdict Out;
  Out.set_request(Claim.request());
  Out.set_outcome(Outcome);
  Out.set_reason(std::move(Reason));
  Out.set_retry_after_ms(RetryAfter.count());
  return Out;
}

/// Stands for a result whose body is not kept; a cut body is never passed on.
wire::ClaimResult notKept(const wire::ClaimResult &Result) {
  wire::ClaimResult Out = Result;
  Out.set_status(GoneStatus);
  Out.set_content_type("application/json");
  Out.set_body(R"({"error":{"type":"gone","code":"result_not_kept","message":)"
               R"("the call has run but its answer is no longer kept; look )"
               R"(its outcome up where it ran"}})");
  return Out;
}

} // namespace

LogClaims::LogClaims(asio::io_context &Loop, const base::Clock &Clock,
                     logservice::LogClient &Log, const Identity &Self,
                     state::ClaimLimits Limits)
    : Clock(Clock), Self(Self), Reducer(Limits),
      Appender(Clock, Log, logservice::ClaimsStream),
      Tailer(Loop, Clock, Log, logservice::ClaimsStream, TailWait,
             {[this](const logservice::LogRecord &Record) {
                return this->reduce(Record);
              },
              [] {},
              [this](base::TimePoint SentAt) { this->Appender.onTail(SentAt); },
              [this](base::Offset First) { this->Tailer.start(First); }}),
      Timer(Loop, GroupInterval, [this] { this->onTimer(); }) {}

void LogClaims::start() {
  this->Tailer.start({0});
  this->Timer.start();
}

void LogClaims::stop() {
  this->Tailer.stop();
  this->Timer.stop();
}

std::size_t LogClaims::waiting() const {
  return this->Pending.size() + this->Results.size() + this->Appender.waiting();
}

void LogClaims::claim(const wire::Claim &Claim, std::chrono::milliseconds Wait,
                      Done OnVerdict) {
  auto Same = [&Claim](const PendingClaim &Each) {
    return Each.Claim.request() == Claim.request();
  };
  if (std::any_of(this->Pending.begin(), this->Pending.end(), Same))
    return OnVerdict(without(Claim, wire::CLAIM_OUTCOME_UNKNOWN,
                             "this request's claim is being made already"));
  bool Taken = this->Reducer.find(state::keyOf(Claim)) != nullptr;
  this->Pending.push_back({Claim,
                           std::move(OnVerdict),
                           this->Clock.now() + Wait - AnswerMargin,
                           {},
                           Taken});
  if (Taken)
    this->answerDecided(Same);
}

void LogClaims::store(const wire::ClaimResult &Result) {
  bool Fits = Result.body().size() <= MaxBodyBytes;
  this->Results.push_back(Fits ? Result : notKept(Result));
  if (this->Results.size() <= MaxBacklog)
    return;
  base::logEvent(base::LogLevel::Warn, "claim_result_dropped",
                 {{"request", this->Results.front().request()}});
  this->Results.erase(this->Results.begin());
}

void LogClaims::onTimer() {
  this->appendGroup();
  this->Appender.onTimer();
  this->answerLate();
}

void LogClaims::appendGroup() {
  if (this->Appender.inFlight() > 0)
    return;
  wire::Record Record;
  wire::ClaimBatch &Batch = *Record.mutable_claim_batch();
  Record.set_id(base::randomHex(RecordIdBytes));
  Record.set_format_version(state::RecordFormatVersion);
  Record.set_author(this->Self.Instance.Value);
  Record.set_time_ms(this->Clock.wallNow().time_since_epoch().count());
  for (PendingClaim &Each : this->Pending) {
    if (Each.Lost || !Each.RecordId.empty() ||
        static_cast<std::size_t>(Batch.claims_size()) == MaxGroupClaims)
      continue;
    Each.RecordId = Record.id();
    *Batch.add_claims() = Each.Claim;
  }
  std::size_t Bytes = 0;
  std::size_t Count = 0;
  while (Count < this->Results.size() && Bytes < MaxGroupBytes)
    Bytes += this->Results[Count++].body().size();
  auto Rest = this->Results.begin() + static_cast<std::ptrdiff_t>(Count);
  Group Taken(this->Results.begin(), Rest);
  this->Results.erase(this->Results.begin(), Rest);
  for (const wire::ClaimResult &Each : Taken)
    *Batch.add_results() = Each;
  if (Batch.claims_size() == 0 && Batch.results_size() == 0)
    return;
  this->Appender.append(
      Record, AppendWait,
      [this, Id = Record.id(), Taken](const base::Result<base::Offset> &Fate) {
        this->onFate(Id, Taken, Fate);
      });
}

void LogClaims::onFate(const std::string &RecordId, const Group &Taken,
                       const base::Result<base::Offset> &Fate) {
  auto OfRecord = [&RecordId](const PendingClaim &Each) {
    return Each.RecordId == RecordId;
  };
  if (Fate)
    return this->answerDecided(OfRecord);
  // A result may be stored twice; the reducer keeps the first.
  this->Results.insert(this->Results.begin(), Taken.begin(), Taken.end());
  bool Certain = Fate.error().Code == logservice::PlatformErrc::Unavailable;
  wire::ClaimOutcome Outcome =
      Certain ? wire::CLAIM_OUTCOME_UNAVAILABLE : wire::CLAIM_OUTCOME_UNKNOWN;
  this->answerIf(OfRecord, [&](const PendingClaim &Each) {
    return without(Each.Claim, Outcome, Fate.error().Message);
  });
}

void LogClaims::answerLate() {
  base::TimePoint Now = this->Clock.now();
  this->answerIf(
      [Now](const PendingClaim &Each) { return Now >= Each.AnswerBy; },
      [this](const PendingClaim &Each) {
        if (Each.Lost)
          return this->verdict(Each.Claim, Each.RecordId);
        if (Each.RecordId.empty())
          return without(Each.Claim, wire::CLAIM_OUTCOME_UNAVAILABLE,
                         "the log took no claim in time; try again");
        return without(Each.Claim, wire::CLAIM_OUTCOME_UNKNOWN,
                       "the log has not shown the claim in time; look at what "
                       "the call does before it is made anew");
      });
}

void LogClaims::answerDecided(
    const std::function<bool(const PendingClaim &)> &Chosen) {
  for (PendingClaim &Each : this->Pending) {
    if (!Chosen(Each))
      continue;
    Each.Lost = this->verdict(Each.Claim, Each.RecordId).outcome() ==
                wire::CLAIM_OUTCOME_RUNNING;
    Each.Decided = !Each.Lost;
  }
  this->answerIf([](const PendingClaim &Each) { return Each.Decided; },
                 [this](const PendingClaim &Each) {
                   return this->verdict(Each.Claim, Each.RecordId);
                 });
}

bool LogClaims::reduce(const logservice::LogRecord &Read) {
  if (!this->Reducer.reduce(Read.Data)) {
    base::logEvent(base::LogLevel::Error, "claims_record_unreadable",
                   {{"offset", Read.At.Value},
                    {"remedy", "replace this instance by a newer version"}});
    return false;
  }
  wire::Record Record;
  if (Record.ParseFromString(Read.Data))
    this->Appender.onRecord(Read.At, Record.id());
  if (Record.claim_batch().results_size() > 0)
    this->answerDecided([](const PendingClaim &Each) { return Each.Lost; });
  return true;
}

wire::ClaimVerdict LogClaims::verdict(const wire::Claim &Claim,
                                      const std::string &MadeBy) const {
  wire::ClaimVerdict Out;
  Out.set_request(Claim.request());
  const state::ClaimEntry *Entry = this->Reducer.find(state::keyOf(Claim));
  if (Entry == nullptr)
    return without(Claim, wire::CLAIM_OUTCOME_UNKNOWN,
                   "the claim's window is over; use a new key");
  if (Entry->RequestHash != Claim.request_hash()) {
    Out.set_outcome(wire::CLAIM_OUTCOME_MISMATCH);
    return Out;
  }
  if (Entry->Result) {
    Out.set_outcome(wire::CLAIM_OUTCOME_STORED);
    *Out.mutable_stored() =
        Entry->BodyDropped ? notKept(*Entry->Result) : *Entry->Result;
    return Out;
  }
  if (!MadeBy.empty() && Entry->RecordId == MadeBy &&
      Entry->Request.Value == Claim.request()) {
    Out.set_outcome(wire::CLAIM_OUTCOME_GRANTED);
    return Out;
  }
  if (Entry->Request.Value == Claim.request())
    return without(Claim, wire::CLAIM_OUTCOME_UNKNOWN,
                   "this request's claim may have been granted before; it is "
                   "not granted twice");
  Out.set_outcome(wire::CLAIM_OUTCOME_RUNNING);
  Out.set_retry_after_ms(RetryAfter.count());
  return Out;
}

void LogClaims::answerIf(
    const std::function<bool(const PendingClaim &)> &Chosen,
    const std::function<wire::ClaimVerdict(const PendingClaim &)> &VerdictOf) {
  std::list<PendingClaim> Taken;
  for (auto Each = this->Pending.begin(); Each != this->Pending.end();)
    if (auto Here = Each++; Chosen(*Here))
      Taken.splice(Taken.end(), this->Pending, Here);
  for (const PendingClaim &Each : Taken)
    Each.OnVerdict(VerdictOf(Each));
}

} // namespace kingcuphub::agent
