#include "apijson.h"

#include "base/hashing.h"
#include "state/configreducer.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <set>

namespace kingcuphub::agent {

namespace {

constexpr std::size_t RecordIdBytes = 16;

std::string textOf(int Code) {
  switch (static_cast<ApiErrc>(Code)) {
  case ApiErrc::MalformedChange:
    return "malformed change";
  }
  return "unknown API error";
}

const base::EnumCategory Category("api", textOf);

nlohmann::json names(const auto &Ids) {
  nlohmann::json Out = nlohmann::json::array();
  for (const auto &Each : Ids)
    Out.push_back(Each.Value);
  return Out;
}

nlohmann::json instancesJson(const AgentContext &Context) {
  base::Offset Own = Context.Config.config()->Next;
  nlohmann::json Out = nlohmann::json::array();
  for (const auto &[Instance, Next] : Context.InstanceReach.offsets())
    Out.push_back({{"instance", Instance.Value},
                   {"config_offset", Next.Value},
                   {"in_force", Next >= Own}});
  return Out;
}

nlohmann::json targetJson(const AgentContext &Context,
                          const state::Target &Target) {
  nlohmann::json Out = {{"target", Target.Id.Value},
                        {"address", Target.Address},
                        {"zone", Target.Zone.Value},
                        {"kind", Target.Kind == state::TargetKind::Service
                                     ? "service"
                                     : "engine"},
                        {"leaving", Target.Leaving}};
  auto Found = Context.Targets.latest().find(Target.Id);
  if (Found == Context.Targets.latest().end())
    return Out;
  const LatestReport &Report = Found->second;
  auto Age = Context.Clock.now() - Report.AskedAt;
  Out["reachable"] = Report.Reachable;
  Out["report_age_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(Age).count();
  Out["cold"] = Report.Load.Cold;
  Out["running"] = Report.Load.Running;
  Out["waiting"] = Report.Load.Waiting;
  Out["models"] = nlohmann::json::array();
  for (const ResidentModel &Each : Report.Load.Models)
    Out["models"].push_back(Each.Model.Value);
  Out["adapters"] = nlohmann::json::array();
  for (const ResidentAdapter &Each : Report.Load.Adapters)
    Out["adapters"].push_back(Each.Adapter.Value);
  Out["used_bytes"] = names(Report.Load.Used);
  Out["size_bytes"] = names(Report.Load.Sizes);
  return Out;
}

nlohmann::json modelJson(const AgentContext &Context,
                         const state::Model &Model) {
  std::set<base::TargetId> Resident;
  for (const auto &[Id, Report] : Context.Targets.latest())
    for (const ResidentModel &Each : Report.Load.Models)
      if (Report.Reachable && Each.Model == Model.Id)
        Resident.insert(Id);
  return {{"model", Model.Id.Value},
          {"version", Model.Version},
          {"resident", names(Resident)},
          {"reachable", !Resident.empty()}};
}

nlohmann::json accountJson(const state::Config &Current,
                           const state::Account &Account) {
  auto Keys = std::count_if(Current.Keys.begin(), Current.Keys.end(),
                            [&Account](const auto &Each) {
                              return Each.second.Account == Account.Id;
                            });
  return {{"account", Account.Id.Value},
          {"tokens_per_second", Account.Rate.PerSecond},
          {"burst_tokens", Account.Burst.Value},
          {"weight", Account.Weight},
          {"keys", Keys}};
}

} // namespace

std::error_code make_error_code(ApiErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

base::Result<wire::Record> parseChange(const std::string &Body) {
  wire::Record Record;
  auto Parsed = google::protobuf::util::JsonStringToMessage(Body, &Record);
  if (!Parsed.ok())
    return base::fail(ApiErrc::MalformedChange,
                      "the change cannot be read (" +
                          std::string(Parsed.message()) +
                          "); send one JSON object, as in "
                          "{\"preset_use\":{\"preset\":\"PRESET_PEAK\"}}");
  if (state::objectOf(Record).empty())
    return base::fail(ApiErrc::MalformedChange,
                      "the change names nothing that operators set; send one "
                      "of account_put, account_delete, key_put, key_withdraw, "
                      "preset_use, zone_set, target_put, target_leave, "
                      "route_put, route_delete, model_put, model_delete");
  if (Record.id().empty())
    Record.set_id(base::randomHex(RecordIdBytes));
  return Record;
}

nlohmann::json changeJson(const ChangeAnswer &Answer) {
  nlohmann::json Out = {{"record", Answer.RecordId},
                        {"outcome", outcomeName(Answer.Outcome)},
                        {"waiting_for", Answer.WaitingFor}};
  if (Answer.At)
    Out["offset"] = Answer.At->Value;
  if (!Answer.Why.empty())
    Out["why"] = Answer.Why;
  if (!Answer.Winner.empty())
    Out["winner"] = Answer.Winner;
  return Out;
}

std::string configJson(const ConfigFeed &Config) {
  wire::ConfigState Saved = Config.save();
  Saved.clear_recent_records();
  for (wire::KeyPut &Each : *Saved.mutable_keys())
    Each.clear_secret_hash();
  google::protobuf::util::JsonPrintOptions Options;
  Options.preserve_proto_field_names = true;
  Options.always_print_primitive_fields = true;
  std::string Out;
  (void)google::protobuf::util::MessageToJsonString(Saved, &Out, Options);
  return Out;
}

nlohmann::json statusJson(const AgentContext &Context,
                          const FreshnessProof &Proof) {
  state::ConfigPtr Current = Context.Config.config();
  nlohmann::json Out = {{"deployment", Context.Self.Deployment},
                        {"instance", Context.Self.Instance.Value},
                        {"incarnation", Context.Self.Life.Value},
                        {"zone", Context.Self.Zone.Value},
                        {"preset", state::presetName(Current->ActivePreset)},
                        {"config_offset", Current->Next.Value},
                        {"fresh", Proof.At.has_value()},
                        {"why_not_fresh", Proof.Reason},
                        {"instances", instancesJson(Context)},
                        {"gateways", Context.GatewayLink.connected()},
                        {"zones_out", names(Current->ZonesOut)},
                        {"targets", nlohmann::json::array()},
                        {"models", nlohmann::json::array()},
                        {"accounts", nlohmann::json::array()}};
  for (const auto &[Id, Each] : Current->Targets)
    Out["targets"].push_back(targetJson(Context, Each));
  for (const auto &[Id, Each] : Current->Models)
    Out["models"].push_back(modelJson(Context, Each));
  for (const auto &[Id, Each] : Current->Accounts)
    Out["accounts"].push_back(accountJson(*Current, Each));
  return Out;
}

std::string errorJson(const std::string &Code, const std::string &Message) {
  return nlohmann::json({{"error", {{"code", Code}, {"message", Message}}}})
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace kingcuphub::agent
