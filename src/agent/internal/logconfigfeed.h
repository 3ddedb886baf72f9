#ifndef KINGCUPHUB_AGENT_INTERNAL_LOGCONFIGFEED_H
#define KINGCUPHUB_AGENT_INTERNAL_LOGCONFIGFEED_H

/// \file
/// The ConfigFeed that reads the platform's log.

#include "agent/configfeed.h"
#include "logtailer.h"

namespace kingcuphub::agent {

class LogConfigFeed final : public ConfigFeed {
public:
  LogConfigFeed(asio::io_context &Loop, const base::Clock &Clock,
                logservice::LogClient &Log);

  void start();
  void stop();
  /// A snapshot of the stream was read; it is used where the records from the
  /// next one on are gone.
  void offerSnapshot(const wire::Snapshot &Snapshot);
  /// Replaces the state if \p Saved is newer, and reads on from there.
  base::Result<void> load(const wire::ConfigState &Saved);

  state::ConfigPtr config() const override { return this->Reducer.config(); }
  bool readable() const override { return this->Reducer.readable(); }
  std::optional<base::TimePoint> provenAt() const override {
    return this->ProvenAt;
  }
  wire::ConfigState save() const override { return this->Reducer.save(); }
  /// Why the log cannot be read; empty if it can.
  std::string trouble() const;

private:
  bool reduce(const logservice::LogRecord &Record);
  void onExpired(base::Offset First);

  void useSnapshot();

  state::ConfigReducer Reducer;
  /// The newest snapshot, serialized, and what it covers.
  std::optional<wire::Snapshot> Offered;
  /// Set while the records from the next one on are gone.
  std::optional<base::Offset> ExpiredBefore;
  std::optional<base::TimePoint> ProvenAt;
  LogTailer Tailer;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_LOGCONFIGFEED_H
