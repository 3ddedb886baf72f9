#ifndef KINGCUPHUB_AGENT_INTERNAL_PLACEMENTPART_H
#define KINGCUPHUB_AGENT_INTERNAL_PLACEMENTPART_H

/// \file
/// Placement on this instance: feeds records, reports and demand to a
/// placement::Controller and carries out what it says.

#include "agent/part.h"
#include "periodictimer.h"
#include "placement/controller.h"

#include <map>
#include <memory>

namespace kingcuphub::agent {

class PlacementPart final : public AgentPart, public SystemReducer {
public:
  explicit PlacementPart(AgentContext &Context);
  PlacementPart(const PlacementPart &) = delete;
  PlacementPart &operator=(const PlacementPart &) = delete;
  ~PlacementPart() override;

  // AgentPart.
  std::string_view name() const override { return "placement"; }
  void start() override;
  void stop(std::function<void()> Done) override;
  nlohmann::json status() const override;

  // SystemReducer.
  void reduce(base::Offset At, const wire::Record &Record) override;
  std::string save() const override;
  bool load(std::string_view Saved) override;

  const placement::Controller &controller() const { return this->Placement; }

private:
  void tick();
  bool atTail() const;
  void takeReport(const LatestReport &Report);
  void takeDemand(const wire::DemandReport &Demand);
  void takeSummary(const wire::DemandSummary &Summary);
  void appendDemand();
  void carryOut(const placement::AppendLease &Command);
  void carryOut(const placement::AppendIntent &Command);
  void carryOut(const placement::AppendOutcome &Command);
  void carryOut(const placement::SendOrder &Command);
  void takeAnswer(const placement::Order &What,
                  const http::TransferResult &Result,
                  const http::Response &Answer);
  base::ModelId modelOf(const wire::DemandReport::Item &Of) const;

  AgentContext &Context;
  placement::Controller Placement;
  PeriodicTimer Timer;
  PeriodicTimer DemandTimer;
  /// Tokens by model since the last summary.
  std::map<base::ModelId, std::uint64_t> Asked;
  std::shared_ptr<bool> Alive;
};

/// What an engine's answer to an order says; nothing where its fate stays
/// unknown.
std::optional<placement::OrderAnswer>
readOrderAnswer(placement::OrderKind Kind, const http::Response &Answer);

/// The body of `POST /v1/orders`.
nlohmann::json orderBody(const placement::SendOrder &Command,
                         base::WallTime Now);

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_PLACEMENTPART_H
