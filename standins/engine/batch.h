#ifndef KINGCUPHUB_STANDINS_ENGINE_BATCH_H
#define KINGCUPHUB_STANDINS_ENGINE_BATCH_H

/// \file
/// The running batch and the queue before it: slots by priority, token times,
/// cold state, cancellation and the faults of answers.

#include "base/clock.h"
#include "enginesettings.h"
#include "generation.h"
#include "ledger.h"

#include <asio/io_context.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace kingcuphub::standin {

class Batch {
public:
  Batch(asio::io_context &Loop, const base::Clock &Clock,
        const EngineSettings &Settings);

  void add(std::shared_ptr<Generation> New);
  /// True if the request was here.
  bool cancel(const std::string &RequestId);
  bool uses(const std::string &Model) const;
  /// The generation of a request that runs or waits; null if none.
  const Generation *find(const std::string &RequestId) const;
  std::int64_t running() const;
  std::int64_t waiting() const;
  bool cold() const;
  void setFaults(const TargetFaults &New) { this->Faults = New; }
  const Ledger &ledger() const { return this->Executions; }

private:
  struct Entry {
    std::shared_ptr<Generation> Work;
    ExecutionId Execution;
    bool Ended = false;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  void startWaiting();
  void start(const EntryPtr &Each);
  void scheduleToken(const EntryPtr &Each);
  void makeToken(const EntryPtr &Each);
  void end(const EntryPtr &Each, bool Cancelled);
  base::Duration tokenTime() const;
  std::int64_t nowMs() const;
  static EntryPtr findIn(const std::list<EntryPtr> &Entries,
                         const std::string &RequestId);

  asio::io_context &Loop;
  const base::Clock &Clock;
  const EngineSettings &Settings;
  TargetFaults Faults;
  base::TimePoint StartedAt;
  std::list<EntryPtr> Running;
  /// By priority, then by arrival.
  std::list<EntryPtr> Waiting;
  Ledger Executions;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_ENGINE_BATCH_H
