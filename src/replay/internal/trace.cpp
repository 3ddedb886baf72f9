#include "replay/trace.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace kingcuphub::replay {

namespace {

using nlohmann::json;

std::string textOf(int Code) {
  switch (static_cast<TraceErrc>(Code)) {
  case TraceErrc::Unreadable:
    return "trace cannot be read";
  case TraceErrc::Malformed:
    return "malformed trace";
  }
  return "unknown trace error";
}

const base::EnumCategory Category("trace", textOf);

const char *nameOf(Expected Value) {
  switch (Value) {
  case Expected::Served:
    return "served";
  case Expected::Unauthorized:
    return "unauthorized";
  case Expected::Any:
    return "any";
  }
  return "any";
}

Expected expectedOf(const std::string &Name) {
  if (Name == "served")
    return Expected::Served;
  if (Name == "unauthorized")
    return Expected::Unauthorized;
  return Expected::Any;
}

json toJson(const TraceHeader &Of) {
  json Models = json::array();
  for (const TraceModel &Each : Of.Models) {
    json Adapters = json::array();
    for (const TraceAdapter &Adapter : Each.Adapters)
      Adapters.push_back(
          {{"adapter", Adapter.Id.Value}, {"mb", Adapter.MegaBytes}});
    Models.push_back({{"model", Each.Id.Value},
                      {"weight_mb", Each.WeightMegaBytes},
                      {"kv_mb", Each.KvMegaBytes},
                      {"adapters", Adapters}});
  }
  json Targets = json::array();
  for (const TraceTarget &Each : Of.Targets)
    Targets.push_back({{"target", Each.Id.Value},
                       {"zone", Each.Zone.Value},
                       {"accelerators_mb", Each.AcceleratorMegaBytes},
                       {"fencing", Each.Fencing}});
  json Accounts = json::array();
  for (const TraceAccount &Each : Of.Accounts)
    Accounts.push_back({{"account", Each.Id.Value},
                        {"tokens_per_second", Each.TokensPerSecond},
                        {"burst_tokens", Each.BurstTokens}});
  return {{"event", "header"},
          {"version", 1},
          {"deployment", Of.Deployment},
          {"seed", Of.Seed},
          {"length_ms", Of.Length.count()},
          {"models", Models},
          {"targets", Targets},
          {"accounts", Accounts},
          {"loads_per_second", Of.LoadsPerSecond},
          {"loads_at_once", Of.LoadsAtOnce},
          {"adapter_loads_at_once", Of.AdapterLoadsAtOnce}};
}

json toJson(const TraceRequest &Of) {
  json Out = {{"event", "request"},
              {"at_ms", Of.At.count()},
              {"number", Of.Number},
              {"account", Of.Account.Value},
              {"key", Of.Key.Value},
              {"model", Of.Model.Value},
              {"prompt_tokens", Of.PromptTokens},
              {"output_tokens", Of.OutputTokens},
              {"deadline_ms", Of.Deadline.count()},
              {"expect", nameOf(Of.Outcome)},
              {"within_rate", Of.WithinRate}};
  if (!Of.Adapter.empty())
    Out["adapter"] = Of.Adapter.Value;
  return Out;
}

json toJson(const TraceZone &Of) {
  return {{"event", "zone"},
          {"at_ms", Of.At.count()},
          {"zone", Of.Zone.Value},
          {"out", Of.Out}};
}

json toJson(const TraceKey &Of) {
  return {{"event", "key"},
          {"at_ms", Of.At.count()},
          {"account", Of.Account.Value},
          {"key", Of.Key.Value},
          {"withdrawn", Of.Withdrawn}};
}

json toJson(const TracePreset &Of) {
  return {{"event", "preset"}, {"at_ms", Of.At.count()}, {"preset", Of.Preset}};
}

TraceHeader headerOf(const json &From) {
  TraceHeader Out;
  Out.Deployment = From.at("deployment").get<std::string>();
  Out.Seed = From.at("seed").get<std::uint64_t>();
  Out.Length = TraceTime(From.at("length_ms").get<std::int64_t>());
  Out.LoadsPerSecond = From.at("loads_per_second").get<double>();
  Out.LoadsAtOnce = From.at("loads_at_once").get<unsigned>();
  Out.AdapterLoadsAtOnce = From.at("adapter_loads_at_once").get<unsigned>();
  for (const json &Each : From.at("models")) {
    TraceModel Model{{Each.at("model").get<std::string>()},
                     Each.at("weight_mb").get<std::int64_t>(),
                     Each.at("kv_mb").get<std::int64_t>(),
                     {}};
    for (const json &Adapter : Each.at("adapters"))
      Model.Adapters.push_back({{Adapter.at("adapter").get<std::string>()},
                                Adapter.at("mb").get<std::int64_t>()});
    Out.Models.push_back(std::move(Model));
  }
  for (const json &Each : From.at("targets"))
    Out.Targets.push_back(
        {{Each.at("target").get<std::string>()},
         {Each.at("zone").get<std::string>()},
         Each.at("accelerators_mb").get<std::vector<std::int64_t>>(),
         Each.at("fencing").get<bool>()});
  for (const json &Each : From.at("accounts"))
    Out.Accounts.push_back({{Each.at("account").get<std::string>()},
                            Each.at("tokens_per_second").get<double>(),
                            Each.at("burst_tokens").get<std::int64_t>()});
  return Out;
}

TraceRequest requestOf(const json &From, TraceTime At) {
  TraceRequest Out;
  Out.At = At;
  Out.Number = From.at("number").get<std::uint64_t>();
  Out.Account = {From.at("account").get<std::string>()};
  Out.Key = {From.at("key").get<std::string>()};
  Out.Model = {From.at("model").get<std::string>()};
  Out.Adapter = {From.value("adapter", "")};
  Out.PromptTokens = From.at("prompt_tokens").get<std::int64_t>();
  Out.OutputTokens = From.at("output_tokens").get<std::int64_t>();
  Out.Deadline =
      std::chrono::milliseconds(From.at("deadline_ms").get<std::int64_t>());
  Out.Outcome = expectedOf(From.at("expect").get<std::string>());
  Out.WithinRate = From.at("within_rate").get<bool>();
  return Out;
}

base::Result<TraceEvent> eventOf(const json &From) {
  std::string Kind = From.at("event").get<std::string>();
  TraceTime At(From.at("at_ms").get<std::int64_t>());
  if (Kind == "request")
    return requestOf(From, At);
  if (Kind == "zone")
    return TraceZone{
        At, {From.at("zone").get<std::string>()}, From.at("out").get<bool>()};
  if (Kind == "key")
    return TraceKey{At,
                    {From.at("account").get<std::string>()},
                    {From.at("key").get<std::string>()},
                    From.at("withdrawn").get<bool>()};
  if (Kind == "preset")
    return TracePreset{At, From.at("preset").get<std::string>()};
  return base::fail(TraceErrc::Malformed,
                    "there is no event '" + Kind +
                        "'; use request, zone, key or preset");
}

} // namespace

std::error_code make_error_code(TraceErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

TraceTime timeOf(const TraceEvent &Event) {
  return std::visit([](const auto &Each) { return Each.At; }, Event);
}

void writeTrace(std::ostream &Out, const Trace &Of) {
  Out << toJson(Of.Header).dump() << '\n';
  for (const TraceEvent &Event : Of.Events)
    Out << std::visit([](const auto &Each) { return toJson(Each); }, Event)
               .dump()
        << '\n';
}

base::Result<Trace> readTrace(std::istream &In) {
  Trace Out;
  std::string Line;
  std::size_t Number = 0;
  try {
    while (std::getline(In, Line)) {
      ++Number;
      json From = json::parse(Line);
      if (Number == 1) {
        Out.Header = headerOf(From);
        continue;
      }
      auto Event = eventOf(From);
      if (!Event)
        return tl::unexpected(Event.error());
      Out.Events.push_back(std::move(*Event));
    }
  } catch (const json::exception &Failed) {
    return base::fail(TraceErrc::Malformed,
                      "line " + std::to_string(Number) + ": " + Failed.what() +
                          "; compare it with docs/design/traces.md");
  }
  if (Number == 0)
    return base::fail(TraceErrc::Unreadable,
                      "the trace is empty; make one with 'generate'");
  return Out;
}

} // namespace kingcuphub::replay
