#ifndef KINGCUPHUB_AGENT_INTERNAL_LOGCLAIMS_H
#define KINGCUPHUB_AGENT_INTERNAL_LOGCLAIMS_H

/// \file
/// The ClaimService over the `claims` stream. Claims are appended in groups,
/// one append at a time; a verdict is given only from the reduced log, after
/// the group is read back.

#include "agent/claimservice.h"
#include "agent/identity.h"
#include "logtailer.h"
#include "periodictimer.h"
#include "recordappender.h"
#include "state/claims.h"

#include <list>
#include <vector>

namespace kingcuphub::agent {

class LogClaims final : public ClaimService {
public:
  LogClaims(asio::io_context &Loop, const base::Clock &Clock,
            logservice::LogClient &Log, const Identity &Self,
            state::ClaimLimits Limits = {});

  void start();
  void stop();
  void claim(const wire::Claim &Claim, std::chrono::milliseconds Wait,
             Done OnVerdict) override;
  void store(const wire::ClaimResult &Result) override;

  /// Claims without a verdict and results that are not appended yet.
  std::size_t waiting() const;
  std::size_t keys() const { return this->Reducer.size(); }

private:
  struct PendingClaim {
    wire::Claim Claim;
    Done OnVerdict;
    base::TimePoint AnswerBy;
    /// Empty until an append has begun.
    std::string RecordId;
    /// Another request holds the claim; its result is waited for.
    bool Lost = false;
    bool Decided = false;
  };
  using Group = std::vector<wire::ClaimResult>;

  void onTimer();
  void appendGroup();
  void onFate(const std::string &RecordId, const Group &Results,
              const base::Result<base::Offset> &Fate);
  void answerLate();
  /// Answers the claims that \p Chosen and that are decided; the rest go on
  /// waiting for the winner's result.
  void answerDecided(const std::function<bool(const PendingClaim &)> &Chosen);
  bool reduce(const logservice::LogRecord &Record);
  /// \p MadeBy is the record by which the claim was just made here, empty if
  /// it was not.
  wire::ClaimVerdict verdict(const wire::Claim &Claim,
                             const std::string &MadeBy) const;
  void answerIf(
      const std::function<bool(const PendingClaim &)> &Chosen,
      const std::function<wire::ClaimVerdict(const PendingClaim &)> &VerdictOf);

  const base::Clock &Clock;
  const Identity &Self;
  state::ClaimsReducer Reducer;
  std::list<PendingClaim> Pending;
  /// Results that are not appended yet.
  Group Results;
  RecordAppender Appender;
  LogTailer Tailer;
  PeriodicTimer Timer;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_LOGCLAIMS_H
