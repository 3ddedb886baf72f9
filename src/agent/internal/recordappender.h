#ifndef KINGCUPHUB_AGENT_INTERNAL_RECORDAPPENDER_H
#define KINGCUPHUB_AGENT_INTERNAL_RECORDAPPENDER_H

/// \file
/// Appends records and learns what became of them. A record counts as
/// appended once it is read back; an append whose answer was lost is made
/// again, under the same record id, only after a later read at the tail has
/// not met it. The reducers take only the first record of an id.

#include "base/clock.h"
#include "logservice/logclient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <records.pb.h>
#include <string>

namespace kingcuphub::agent {

class RecordAppender {
public:
  using Done = std::function<void(base::Result<base::Offset>)>;

  RecordAppender(const base::Clock &Clock, logservice::LogClient &Log,
                 std::string Stream);
  RecordAppender(const RecordAppender &) = delete;
  RecordAppender &operator=(const RecordAppender &) = delete;
  ~RecordAppender();

  /// \p OnDone comes with the offset once the record is read back, with
  /// Unavailable if it certainly is not in the log, or with AnswerLost if
  /// that is not known \p Wait later.
  void append(const wire::Record &Record, std::chrono::milliseconds Wait,
              Done OnDone);

  /// A record of the stream was read.
  void onRecord(base::Offset At, const std::string &RecordId);
  /// A read that was sent at \p ReadSentAt reached the tail.
  void onTail(base::TimePoint ReadSentAt);
  /// Gives up what has waited too long.
  void onTimer();
  /// Records whose fate is not known yet.
  std::size_t waiting() const { return this->Pending.size(); }
  /// Appends that the log has not answered.
  std::size_t inFlight() const;

private:
  struct PendingAppend {
    std::string Bytes;
    Done OnDone;
    base::TimePoint GiveUpAt;
    /// When the last attempt's answer was lost.
    std::optional<base::TimePoint> LostAt;
    bool InFlight = false;
    /// Some attempt may have had its effect.
    bool MayBeAppended = false;
  };

  void attempt(const std::string &RecordId);
  void onAnswer(const std::string &RecordId,
                const base::Result<base::Offset> &Answer);
  void finish(const std::string &RecordId, base::Result<base::Offset> Outcome);

  const base::Clock &Clock;
  logservice::LogClient &Log;
  std::string Stream;
  std::shared_ptr<bool> Alive;
  std::map<std::string, PendingAppend> Pending;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_RECORDAPPENDER_H
