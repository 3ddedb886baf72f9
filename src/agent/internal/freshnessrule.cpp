#include "agent/freshnessrule.h"

#include <algorithm>

namespace kingcuphub::agent {

namespace {

/// The witnesses of an epoch in the lives that it names.
state::WitnessSet witnessesOf(const wire::Epoch &From) {
  state::WitnessSet To{{From.number()}, {}};
  for (const wire::Member &Each : From.members())
    if (std::find(From.witnesses().begin(), From.witnesses().end(),
                  Each.instance()) != From.witnesses().end())
      To.Members.push_back({{Each.instance()}, {Each.incarnation()}});
  return To;
}

} // namespace

FreshnessRule::FreshnessRule(const base::Clock &Clock, const Identity &Self,
                             base::Duration Bound, ConfigFeed &Config,
                             Epochs &EpochRecords, SystemFeed &System)
    : Clock(Clock), Config(Config), System(System),
      Decision({Self.Instance, Self.Life}, Bound) {
  Config.OnChanged.subscribe([this](const state::ConfigPtr &New) {
    this->Decision.setReduced(New->Next);
  });
  Config.OnTail.subscribe([this](const base::TimePoint &SentAt) {
    this->Decision.onConfigTail(SentAt);
  });
  System.OnTail.subscribe(
      [this](const base::Offset &Tail) { this->OnConfirmed.notify(Tail); });
  EpochRecords.OnEpoch.subscribe(
      [this](const wire::Epoch &New, const wire::Epoch &) {
        this->Decision.onEpoch(witnessesOf(New), this->Clock.now());
      });
}

state::FreshnessProof FreshnessRule::proof() const {
  if (!this->Config.readable())
    return {std::nullopt, "the log has a record of a newer format; replace "
                          "this instance by a newer version"};
  return this->Decision.proof(this->Clock.now());
}

std::vector<std::string>
FreshnessRule::waitingFor(base::Offset Next, base::TimePoint ReducedAt) const {
  auto ReadAt = this->System.provenAt();
  if (!ReadAt || *ReadAt <= ReducedAt)
    return {"log"};
  std::vector<std::string> Out;
  for (const base::InstanceId &Each : this->Decision.waitingFor(Next))
    Out.push_back(Each.Value);
  return Out;
}

} // namespace kingcuphub::agent
