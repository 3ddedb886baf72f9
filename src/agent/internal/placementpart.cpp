#include "placementpart.h"

#include "base/log.h"

#include <utility>

namespace kingcuphub::agent {

namespace {

constexpr std::chrono::milliseconds TickInterval{100};
constexpr std::chrono::milliseconds DemandInterval{5000};
/// A read of the tail that is older leaves open whether there is more.
constexpr std::chrono::milliseconds TailAge{1500};
constexpr std::chrono::milliseconds ConnectTimeout{1000};
/// Beyond the order's deadline, for the answer's way back.
constexpr std::chrono::milliseconds AnswerTime{2000};
constexpr std::size_t MaxOrderAnswerBytes = 64U << 10U;
constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;

placement::ControllerSettings controllerSettings(const AgentSettings &From) {
  const PlacementSettings &Of = From.Placement;
  placement::ControllerSettings Out;
  Out.Ledger.ReportLag = Of.ReportLag;
  Out.Planner.AcceleratorRate = Of.AcceleratorTokensPerSecond;
  Out.Planner.ReplicaRate = Of.ReplicaTokensPerSecond;
  Out.Loads.LoadsPerSecond = Of.LoadsPerSecond;
  Out.Loads.LoadsAtOnce = static_cast<unsigned>(Of.LoadsAtOnce);
  Out.Loads.AdapterLoadsAtOnce = static_cast<unsigned>(Of.AdapterLoadsAtOnce);
  Out.PlanInterval = Of.PlanInterval;
  return Out;
}

nlohmann::json describe(const placement::Item &What) {
  nlohmann::json Out = {{"model", What.Model.Value}};
  if (!What.Adapter.empty())
    Out["adapter"] = What.Adapter.Value;
  return Out;
}

} // namespace

PlacementPart::PlacementPart(AgentContext &Context)
    : Context(Context), Placement(Context.Self.Instance, Context.Self.Life,
                                  controllerSettings(Context.Settings),
                                  std::mt19937_64(std::random_device{}())),
      Timer(Context.Loop, TickInterval, [this] { this->tick(); }),
      DemandTimer(Context.Loop, DemandInterval,
                  [this] { this->appendDemand(); }),
      Alive(std::make_shared<bool>(true)) {
  Context.System.addReducer(*this);
}

PlacementPart::~PlacementPart() { *this->Alive = false; }

void PlacementPart::start() {
  this->Placement.onConfig(this->Context.Config.config());
  this->Context.Config.OnChanged.subscribe(
      [this](const state::ConfigPtr &Config) {
        this->Placement.onConfig(Config);
      });
  this->Context.Targets.OnReport.subscribe(
      [this](const LatestReport &Report) { this->takeReport(Report); });
  this->Context.GatewayLink.OnDemand.subscribe(
      [this](const wire::DemandReport &Demand) { this->takeDemand(Demand); });
  this->Context.GatewayLink.setRouteFilter(
      [this](const base::TargetId &Target, const base::ModelId &Model,
             const base::AdapterId &Adapter) {
        return this->Placement.mayRoute(Target, Model, Adapter);
      });
  if (!this->Context.Settings.Placement.Enabled)
    return;
  this->Timer.start();
  this->DemandTimer.start();
}

void PlacementPart::stop(std::function<void()> Done) {
  this->Timer.stop();
  this->DemandTimer.stop();
  auto Release = this->Placement.release(this->Context.Clock.now());
  if (!Release)
    return Done();
  wire::Record Record;
  Record.set_id(Release->RecordId);
  *Record.mutable_lease() = Release->Body;
  this->Context.System.append(
      std::move(Record),
      [Done = std::move(Done)](const base::Result<base::Offset> &) { Done(); });
}

nlohmann::json PlacementPart::status() const {
  placement::PlacementStatus Of =
      this->Placement.status(this->Context.Clock.now());
  nlohmann::json Out = {{"holder", nullptr},
                        {"fencing", nullptr},
                        {"held_here", Of.HeldHere},
                        {"open_orders", Of.OpenOrders},
                        {"loads_done", Of.LoadsDone},
                        {"unreachable", nlohmann::json::array()},
                        {"one_zone_only", nlohmann::json::array()}};
  if (Of.Lease && !Of.Lease->Released) {
    Out["holder"] = Of.Lease->Holder.Value;
    Out["fencing"] = Of.Lease->Fencing.Value;
  }
  for (const placement::UnreachableItem &Each : Of.Unreachable)
    Out["unreachable"].push_back(describe(Each.What));
  for (const base::ModelId &Each : Of.OneZoneOnly)
    Out["one_zone_only"].push_back(Each.Value);
  return Out;
}

void PlacementPart::reduce(base::Offset At, const wire::Record &Record) {
  if (Record.has_demand_summary())
    return this->takeSummary(Record.demand_summary());
  placement::OrderLogEvent Event =
      this->Placement.onRecord(At, Record, this->Context.Clock.now());
  if (const auto *Changed = std::get_if<placement::LeaseChanged>(&Event);
      Changed != nullptr && this->Placement.orderLog().lease()->Fencing == At)
    base::logEvent(
        base::LogLevel::Info, "placement_lease_claimed",
        {{"holder", this->Placement.orderLog().lease()->Holder.Value},
         {"fencing", At.Value}});
}

std::string PlacementPart::save() const {
  return this->Placement.save().SerializeAsString();
}

bool PlacementPart::load(std::string_view Saved) {
  wire::PlacementState State;
  if (!State.ParseFromArray(Saved.data(), static_cast<int>(Saved.size())))
    return false;
  return this->Placement.load(State, this->Context.Clock.now()).has_value();
}

bool PlacementPart::atTail() const {
  auto Proven = this->Context.System.provenAt();
  return Proven && this->Context.Clock.now() - *Proven <= TailAge;
}

void PlacementPart::tick() {
  for (const placement::ControllerCommand &Each :
       this->Placement.tick(this->Context.Clock.now(), this->atTail()))
    std::visit([this](const auto &Command) { this->carryOut(Command); }, Each);
}

void PlacementPart::takeReport(const LatestReport &Report) {
  if (!Report.Reachable)
    return;
  placement::MemoryReport Memory;
  Memory.Target = Report.Target;
  Memory.Incarnation = Report.Load.Life;
  Memory.Sequence = Report.Load.Sequence;
  Memory.RequestedAt = Report.AskedAt;
  Memory.Used = Report.Load.Used;
  for (const ResidentModel &Each : Report.Load.Models)
    Memory.Items.push_back(
        {{Each.Model, Each.Version, {}}, Each.Accelerator, Each.Size});
  for (const ResidentAdapter &Each : Report.Load.Adapters)
    Memory.Items.push_back(
        {{Each.Model, {}, Each.Adapter}, Each.Accelerator, Each.Size});
  this->Placement.onReport(Memory);
}

base::ModelId PlacementPart::modelOf(const wire::DemandReport::Item &Of) const {
  base::ModelId Named{Of.model()};
  state::ConfigPtr Config = this->Context.Config.config();
  if (Config->Models.count(Named) != 0)
    return Named;
  for (const auto &[Id, Model] : Config->Models)
    for (const state::Adapter &Each : Model.Adapters)
      if (Each.Id.Value == Of.model())
        return Id;
  return {};
}

void PlacementPart::takeDemand(const wire::DemandReport &Demand) {
  for (const wire::DemandReport::Item &Each : Demand.items())
    if (base::ModelId Model = this->modelOf(Each); !Model.empty())
      this->Asked[Model] += Each.tokens();
}

void PlacementPart::appendDemand() {
  if (this->Asked.empty())
    return;
  wire::Record Record;
  for (const auto &[Model, Tokens] : std::exchange(this->Asked, {})) {
    auto *Item = Record.mutable_demand_summary()->add_items();
    Item->set_model(Model.Value);
    Item->set_tokens(Tokens);
  }
  this->Context.System.append(std::move(Record),
                              [](const base::Result<base::Offset> &) {});
}

void PlacementPart::takeSummary(const wire::DemandSummary &Summary) {
  for (const wire::DemandSummary::Item &Each : Summary.items())
    this->Placement.onDemand({Each.model()},
                             static_cast<double>(Each.tokens()));
}

void PlacementPart::carryOut(const placement::AppendLease &Command) {
  wire::Record Record;
  Record.set_id(Command.RecordId);
  *Record.mutable_lease() = Command.Body;
  this->Context.System.append(std::move(Record),
                              [](const base::Result<base::Offset> &) {});
}

void PlacementPart::carryOut(const placement::AppendIntent &Command) {
  wire::Record Record;
  *Record.mutable_order_intent() = placement::toWire(Command.What);
  this->Context.System.append(std::move(Record),
                              [](const base::Result<base::Offset> &) {});
}

void PlacementPart::carryOut(const placement::AppendOutcome &Command) {
  wire::Record Record;
  wire::OrderOutcome &Outcome = *Record.mutable_order_outcome();
  Outcome.set_order(Command.Id.Value);
  Outcome.set_result(Command.Answer == placement::OrderAnswer::Done
                         ? wire::ORDER_RESULT_DONE
                         : wire::ORDER_RESULT_NOT_DONE);
  Outcome.set_fencing(Command.HolderFencing.Value);
  this->Context.System.append(std::move(Record),
                              [](const base::Result<base::Offset> &) {});
}

void PlacementPart::carryOut(const placement::SendOrder &Command) {
  const placement::Order &What = Command.What;
  base::TimePoint Now = this->Context.Clock.now();
  state::ConfigPtr Config = this->Context.Config.config();
  auto Target = Config->Targets.find(What.Where.Target);
  if (Target == Config->Targets.end())
    return this->Placement.onAnswer(What.Id, std::nullopt, Now);
  http::ClientRequest Request;
  Request.Method = "POST";
  Request.Url = "http://" + Target->second.Address + "/v1/orders";
  Request.Headers.push_back({"Content-Type", "application/json"});
  Request.Body = orderBody(Command, this->Context.Clock.wallNow()).dump();
  Request.ConnectTimeout = ConnectTimeout;
  Request.TotalTimeout = What.Deadline + AnswerTime;
  Request.FreshConnection = true;
  Request.MaxBodyBytes = MaxOrderAnswerBytes;
  base::logEvent(base::LogLevel::Info, "placement_order",
                 {{"order", What.Id.Value},
                  {"kind", std::string(placement::orderKindName(What.Kind))},
                  {"target", What.Where.Target.Value},
                  {"model", What.OrderedItem.Model.Value}});
  if (this->Placement.held(this->Context.Clock.now()) != Command.HolderFencing)
    return this->Placement.onAnswer(What.Id, std::nullopt, Now);
  this->Context.Http.fetch(
      std::move(Request),
      [this, Live = this->Alive, What](const http::TransferResult &Result,
                                       const http::Response &Answer) {
        if (*Live)
          this->takeAnswer(What, Result, Answer);
      });
}

void PlacementPart::takeAnswer(const placement::Order &What,
                               const http::TransferResult &Result,
                               const http::Response &Answer) {
  auto Definite = Result.End == http::TransferEnd::Complete
                      ? readOrderAnswer(What.Kind, Answer)
                      : std::nullopt;
  this->Placement.onAnswer(What.Id, Definite, this->Context.Clock.now());
}

std::optional<placement::OrderAnswer>
readOrderAnswer(placement::OrderKind Kind, const http::Response &Answer) {
  auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  std::string Result;
  if (Body.is_object() && Body.contains("result") && Body["result"].is_string())
    Result = Body["result"].get<std::string>();
  if (Answer.Status == OkStatus)
    return Result == "done" ? std::optional(placement::OrderAnswer::Done)
                            : std::nullopt;
  // What is not there need not be unloaded.
  bool Unloads = Kind == placement::OrderKind::UnloadModel ||
                 Kind == placement::OrderKind::UnloadAdapter;
  if (Answer.Status == NotFoundStatus && Unloads)
    return placement::OrderAnswer::Done;
  constexpr int Refusals[] = {400, 404, 409, 507};
  for (int Each : Refusals)
    if (Answer.Status == Each)
      return placement::OrderAnswer::NotDone;
  if (Result == "not_done")
    return placement::OrderAnswer::NotDone;
  return std::nullopt;
}

nlohmann::json orderBody(const placement::SendOrder &Command,
                         base::WallTime Now) {
  const placement::Order &What = Command.What;
  base::WallTime Deadline = Now + What.Deadline;
  return {{"order", What.Id.Value},
          {"fencing", Command.HolderFencing.Value},
          {"incarnation", What.TargetIncarnation.Value},
          {"kind", std::string(placement::orderKindName(What.Kind))},
          {"model", What.OrderedItem.Model.Value},
          {"version", What.OrderedItem.Version},
          {"adapter", What.OrderedItem.Adapter.Value},
          {"accelerator", What.Where.Index},
          {"bytes", What.Size.Value},
          {"deadline_ms", Deadline.time_since_epoch().count()}};
}

} // namespace kingcuphub::agent
