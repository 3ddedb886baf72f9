#include "ledger.h"

#include <algorithm>

namespace kingcuphub::standin {

ExecutionId Ledger::begin(const CompletionRequest &Asked, std::int64_t NowMs) {
  Execution New;
  New.RequestId = Asked.Source.RequestId;
  New.Model = Asked.Source.Model;
  New.StartedMs = NowMs;
  New.Priority = Asked.Priority;
  New.KeySeen = Asked.KeySeen;
  this->Executions.push_back(std::move(New));
  return {this->Executions.size() - 1};
}

void Ledger::end(ExecutionId Id, std::int64_t NowMs, std::int64_t Tokens,
                 bool Cancelled) {
  Execution &Ended = this->Executions[Id.Index];
  Ended.EndedMs = NowMs;
  Ended.Tokens = Tokens;
  Ended.Cancelled = Cancelled;
}

void Ledger::noteRunning(std::int64_t Running, bool Cold) {
  this->MaxRunning = std::max(this->MaxRunning, Running);
  if (Cold)
    this->MaxRunningCold = std::max(this->MaxRunningCold, Running);
}

nlohmann::json Ledger::json() const {
  nlohmann::json Out = {{"executions", nlohmann::json::array()},
                        {"max_running", this->MaxRunning},
                        {"max_running_cold", this->MaxRunningCold}};
  for (const Execution &Each : this->Executions)
    Out["executions"].push_back({{"request_id", Each.RequestId},
                                 {"model", Each.Model},
                                 {"started_ms", Each.StartedMs},
                                 {"ended_ms", Each.EndedMs},
                                 {"tokens", Each.Tokens},
                                 {"priority", Each.Priority},
                                 {"cancelled", Each.Cancelled},
                                 {"key_seen", Each.KeySeen}});
  return Out;
}

} // namespace kingcuphub::standin
