#ifndef KINGCUPHUB_STANDINS_ENGINE_LEDGER_H
#define KINGCUPHUB_STANDINS_ENGINE_LEDGER_H

/// \file
/// What the engine has run, for tests to check.

#include "generation.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcuphub::standin {

/// Names one execution of the ledger.
struct ExecutionId {
  std::size_t Index = 0;
};

class Ledger {
public:
  ExecutionId begin(const CompletionRequest &Asked, std::int64_t NowMs);
  void end(ExecutionId Id, std::int64_t NowMs, std::int64_t Tokens,
           bool Cancelled);
  void noteRunning(std::int64_t Running, bool Cold);
  nlohmann::json json() const;

private:
  struct Execution {
    std::string RequestId;
    std::string Model;
    std::int64_t StartedMs = 0;
    std::int64_t EndedMs = 0;
    std::int64_t Tokens = 0;
    std::int64_t Priority = 0;
    bool Cancelled = false;
    bool KeySeen = false;
  };

  std::vector<Execution> Executions;
  std::int64_t MaxRunning = 0;
  std::int64_t MaxRunningCold = 0;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_ENGINE_LEDGER_H
