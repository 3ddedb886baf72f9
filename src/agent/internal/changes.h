#ifndef KINGCUPHUB_AGENT_INTERNAL_CHANGES_H
#define KINGCUPHUB_AGENT_INTERNAL_CHANGES_H

/// \file
/// Operators' changes: appended to the `config` stream and followed until
/// every reader's verdict is known and, for an accepted one, until a majority
/// of the witnesses has acknowledged it.

#include "agent/configfeed.h"
#include "agent/freshnessrule.h"
#include "periodictimer.h"
#include "recordappender.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kingcuphub::agent {

enum class ChangeOutcome { Accepted, Rejected, Pending };

std::string_view outcomeName(ChangeOutcome Outcome);

struct ChangeAnswer {
  std::string RecordId;
  ChangeOutcome Outcome = ChangeOutcome::Pending;
  std::optional<base::Offset> At;
  std::string Why;
  /// Who won a lost race.
  std::string Winner;
  /// Whom a pending change waits for.
  std::vector<std::string> WaitingFor;
};

class Changes {
public:
  using Done = std::function<void(const ChangeAnswer &)>;

  Changes(asio::io_context &Loop, const base::Clock &Clock,
          logservice::LogClient &Log, ConfigFeed &Config,
          FreshnessRule &Freshness);

  void start() { this->Timer.start(); }
  void stop() { this->Timer.stop(); }
  /// Appends a record whose id, author and body are set and answers within
  /// about \p Wait.
  void submit(wire::Record Record, std::chrono::milliseconds Wait, Done OnDone);
  std::size_t waiting() const { return this->Pending.size(); }

private:
  struct PendingChange {
    Done OnDone;
    base::TimePoint AnswerBy;
    ChangeAnswer Answer;
    /// When the record was read back.
    std::optional<base::TimePoint> ReducedAt;
  };

  void onReduced(const ReducedRecord &Reduced);
  void onFate(const std::string &RecordId,
              const base::Result<base::Offset> &Fate);

  void answerAcknowledged();
  void answer(const std::string &RecordId);

  const base::Clock &Clock;
  FreshnessRule &Freshness;
  RecordAppender Appender;
  std::map<std::string, PendingChange> Pending;
  PeriodicTimer Timer;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_CHANGES_H
