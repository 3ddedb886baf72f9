#include "configwire.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace kingcuphub::state {

namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr std::size_t SecretHashDigits = 64;
constexpr unsigned MaxPriority = 9;

bool isName(const std::string &Text) {
  auto Allowed = [](unsigned char Each) {
    return std::isalnum(Each) != 0 || Each == '-' || Each == '_' ||
           Each == '.' || Each == ':' || Each == '/';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

ValidationError checkName(const char *What, const std::string &Text) {
  if (isName(Text))
    return std::nullopt;
  return std::string(What) + " '" + Text.substr(0, MaxNameLength) +
         "' is not a valid name; use 1 to 128 letters, digits, - _ . : /";
}

ValidationError checkPositive(const char *What, double Value) {
  if (std::isfinite(Value) && Value > 0)
    return std::nullopt;
  return std::string(What) + " is " + std::to_string(Value) +
         "; use a number greater than 0";
}

ValidationError firstOf(std::initializer_list<ValidationError> All) {
  for (const ValidationError &Each : All)
    if (Each)
      return Each;
  return std::nullopt;
}

} // namespace

ValidationError parse(const wire::AccountPut &From, Account &To) {
  To.Id = {From.account()};
  To.Rate = {From.tokens_per_second()};
  To.Burst = {From.burst_tokens()};
  To.Weight = From.weight() == 0 ? 1 : From.weight();
  return firstOf(
      {checkName("account", From.account()),
       checkPositive("tokens per second", From.tokens_per_second()),
       checkPositive("burst tokens", static_cast<double>(From.burst_tokens())),
       checkPositive("weight", To.Weight)});
}

ValidationError parse(const wire::KeyPut &From, Key &To) {
  To = {{From.key()}, {From.account()}, From.secret_hash()};
  if (From.secret_hash().size() != SecretHashDigits)
    return "secret hash has " + std::to_string(From.secret_hash().size()) +
           " characters; expected the 64 hexadecimal digits of a BLAKE2b hash";
  return firstOf(
      {checkName("key", From.key()), checkName("account", From.account())});
}

ValidationError parse(const wire::TargetPut &From, Target &To) {
  To.Id = {From.target()};
  To.Address = From.address();
  To.Zone = {From.zone()};
  To.Kind = From.kind() == wire::TARGET_KIND_SERVICE ? TargetKind::Service
                                                     : TargetKind::Engine;
  To.Fencing = From.fencing();
  for (std::int64_t Size : From.accelerator_bytes())
    To.Accelerators.push_back({Size});
  To.ColdSlots = {From.cold_slots() == 0 ? 1 : From.cold_slots()};
  To.WarmSlots = {From.warm_slots() == 0 ? 64 : From.warm_slots()};
  if (From.address().find(':') == std::string::npos)
    return "address '" + From.address() + "' has no port; write ADDRESS:PORT";
  return firstOf(
      {checkName("target", From.target()), checkName("zone", From.zone()),
       checkPositive("cold slots", static_cast<double>(To.ColdSlots.Value)),
       checkPositive("warm slots", static_cast<double>(To.WarmSlots.Value))});
}

ValidationError parse(const wire::RoutePut &From, Route &To) {
  To.Id = {From.route()};
  To.PathPrefix = From.path_prefix();
  for (const std::string &Each : From.services())
    To.Services.push_back({Each});
  To.OpenToAll = From.open_to_all();
  To.Idempotent = From.idempotent();
  To.Priority = From.priority();
  if (From.deadline_ms() > 0)
    To.Deadline = std::chrono::milliseconds(From.deadline_ms());
  if (From.cost_tokens() > 0)
    To.Cost = {From.cost_tokens()};
  if (From.path_prefix().empty() || From.path_prefix().front() != '/')
    return "path prefix '" + From.path_prefix() + "' must begin with /";
  if (From.priority() > MaxPriority)
    return std::string("priority must be from 0, the most urgent, to 9");
  if (From.deadline_ms() < 0 || From.cost_tokens() < 0)
    return std::string("deadline and cost must not be negative");
  return checkName("route", From.route());
}

ValidationError parse(const wire::ModelPut &From, Model &To) {
  To.Id = {From.model()};
  To.Version = From.version();
  To.Weights = {From.weight_bytes()};
  To.KvReserve = {From.kv_reserve_bytes()};
  for (const wire::Adapter &Each : From.adapters())
    To.Adapters.push_back({{Each.adapter()}, {Each.bytes()}});
  return firstOf({checkName("model", From.model()),
                  checkName("version", From.version()),
                  checkPositive("weight bytes",
                                static_cast<double>(From.weight_bytes()))});
}

std::optional<Preset> parse(wire::Preset From) {
  switch (From) {
  case wire::PRESET_ORDINARY:
    return Preset::Ordinary;
  case wire::PRESET_PEAK:
    return Preset::Peak;
  case wire::PRESET_MAINTENANCE:
    return Preset::Maintenance;
  default:
    return std::nullopt;
  }
}

wire::AccountPut toWire(const Account &From) {
  wire::AccountPut To;
  To.set_account(From.Id.Value);
  To.set_tokens_per_second(From.Rate.PerSecond);
  To.set_burst_tokens(From.Burst.Value);
  To.set_weight(From.Weight);
  return To;
}

wire::KeyPut toWire(const Key &From) {
  wire::KeyPut To;
  To.set_key(From.Id.Value);
  To.set_account(From.Account.Value);
  To.set_secret_hash(From.SecretHash);
  return To;
}

wire::TargetPut toWire(const Target &From) {
  wire::TargetPut To;
  To.set_target(From.Id.Value);
  To.set_address(From.Address);
  To.set_zone(From.Zone.Value);
  To.set_kind(From.Kind == TargetKind::Service ? wire::TARGET_KIND_SERVICE
                                               : wire::TARGET_KIND_ENGINE);
  To.set_fencing(From.Fencing);
  for (base::Bytes Each : From.Accelerators)
    To.add_accelerator_bytes(Each.Value);
  To.set_cold_slots(From.ColdSlots.Value);
  To.set_warm_slots(From.WarmSlots.Value);
  return To;
}

wire::RoutePut toWire(const Route &From) {
  wire::RoutePut To;
  To.set_route(From.Id.Value);
  To.set_path_prefix(From.PathPrefix);
  for (const base::TargetId &Each : From.Services)
    To.add_services(Each.Value);
  To.set_open_to_all(From.OpenToAll);
  To.set_idempotent(From.Idempotent);
  To.set_priority(From.Priority);
  To.set_deadline_ms(From.Deadline.count());
  To.set_cost_tokens(From.Cost.Value);
  return To;
}

wire::ModelPut toWire(const Model &From) {
  wire::ModelPut To;
  To.set_model(From.Id.Value);
  To.set_version(From.Version);
  To.set_weight_bytes(From.Weights.Value);
  To.set_kv_reserve_bytes(From.KvReserve.Value);
  for (const Adapter &Each : From.Adapters) {
    wire::Adapter *Added = To.add_adapters();
    Added->set_adapter(Each.Id.Value);
    Added->set_bytes(Each.Size.Value);
  }
  return To;
}

wire::Preset toWire(Preset From) {
  switch (From) {
  case Preset::Ordinary:
    return wire::PRESET_ORDINARY;
  case Preset::Peak:
    return wire::PRESET_PEAK;
  case Preset::Maintenance:
    return wire::PRESET_MAINTENANCE;
  }
  return wire::PRESET_UNSPECIFIED;
}

} // namespace kingcuphub::state
