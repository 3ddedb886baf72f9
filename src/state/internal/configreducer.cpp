#include "state/configreducer.h"

#include "configwire.h"

#include <utility>

namespace kingcuphub::state {

namespace {

/// How many record ids are kept to detect duplicates. This is more records than
/// the log can take while the answer to an append is outstanding.
constexpr std::size_t MaxRecentRecords = 4096;

std::string textOf(int Code) {
  switch (static_cast<StateErrc>(Code)) {
  case StateErrc::NotARecord:
    return "not a record";
  case StateErrc::StaleBase:
    return "based on an outdated version";
  case StateErrc::BadContent:
    return "invalid content";
  case StateErrc::Duplicate:
    return "duplicate record";
  case StateErrc::UnknownVersion:
    return "newer record format";
  case StateErrc::BadSnapshot:
    return "invalid snapshot";
  case StateErrc::WrongOffset:
    return "not the next offset";
  }
  return "unknown state error";
}

const base::EnumCategory Category("state", textOf);

std::string missing(const char *What, const std::string &Name) {
  return std::string(What) + " '" + Name + "' does not exist; list the " +
         What + "s to find the right name";
}

} // namespace

std::error_code make_error_code(StateErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

std::string objectOf(const wire::Record &Record) {
  switch (Record.body_case()) {
  case wire::Record::kAccountPut:
    return "account/" + Record.account_put().account();
  case wire::Record::kAccountDelete:
    return "account/" + Record.account_delete().account();
  case wire::Record::kKeyPut:
    return "key/" + Record.key_put().key();
  case wire::Record::kKeyWithdraw:
    return "key/" + Record.key_withdraw().key();
  case wire::Record::kPresetUse:
    return "preset";
  case wire::Record::kZoneSet:
    return "zone/" + Record.zone_set().zone();
  case wire::Record::kTargetPut:
    return "target/" + Record.target_put().target();
  case wire::Record::kTargetLeave:
    return "target/" + Record.target_leave().target();
  case wire::Record::kRoutePut:
    return "route/" + Record.route_put().route();
  case wire::Record::kRouteDelete:
    return "route/" + Record.route_delete().route();
  case wire::Record::kModelPut:
    return "model/" + Record.model_put().model();
  case wire::Record::kModelDelete:
    return "model/" + Record.model_delete().model();
  default:
    return {};
  }
}

ConfigPtr ConfigReducer::config() const {
  if (!this->Published)
    this->Published = std::make_shared<const Config>(this->Working);
  return this->Published;
}

Verdict ConfigReducer::reject(const wire::Record &Record, StateErrc Kind,
                              std::string Message) const {
  Rejected Out{
      Record.id(), {make_error_code(Kind), std::move(Message)}, {}, {}};
  if (Kind != StateErrc::StaleBase)
    return Out;
  const Change &Winner = this->ChangedAt.at(objectOf(Record));
  Out.WinnerAuthor = Winner.Author;
  Out.WinnerOffset = Winner.At;
  return Out;
}

Verdict ConfigReducer::reduce(base::Offset At, std::string_view Bytes) {
  wire::Record Record;
  if (At != this->Working.Next)
    return this->reject(Record, StateErrc::WrongOffset,
                        "the record at " + std::to_string(At.Value) +
                            " is not the next one; continue reading at " +
                            std::to_string(this->Working.Next.Value));
  bool Parsed =
      Record.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()));
  if (Parsed && Record.format_version() > RecordFormatVersion) {
    this->Readable = false;
    return Unreadable{Record.format_version()};
  }
  this->Published.reset();
  ++this->Working.Next.Value;
  if (!Parsed || Record.id().empty())
    return this->reject(Record, StateErrc::NotARecord,
                        "the bytes are not a valid kingcuphub record; write to "
                        "the stream only through the operators' client");
  return this->reduceParsed(At, Record);
}

Verdict ConfigReducer::reduceParsed(base::Offset At,
                                    const wire::Record &Record) {
  if (this->RecentIds.count(Record.id()) != 0)
    return this->reject(Record, StateErrc::Duplicate,
                        "the record was appended twice; no action is "
                        "needed, the first copy counts");
  this->rememberRecordId(Record.id());
  std::string Object = objectOf(Record);
  auto Changed = this->ChangedAt.find(Object);
  if (Changed != this->ChangedAt.end() &&
      Changed->second.At.Value >= Record.base_offset())
    return this->reject(Record, StateErrc::StaleBase,
                        Object + " was changed by " + Changed->second.Author +
                            " in the meantime; review its current state and "
                            "try again");
  if (auto Problem = this->apply(this->Working, Record))
    return this->reject(Record, StateErrc::BadContent, *Problem);
  this->ChangedAt[Object] = {At, Record.author()};
  return Accepted{Record.id()};
}

void ConfigReducer::rememberRecordId(const std::string &RecordId) {
  this->RecentIds.insert(RecordId);
  this->RecentOrder.push_back(RecordId);
  if (this->RecentOrder.size() <= MaxRecentRecords)
    return;
  this->RecentIds.erase(this->RecentOrder.front());
  this->RecentOrder.pop_front();
}

std::optional<std::string> ConfigReducer::apply(Config &Next,
                                                const wire::Record &Record) {
  switch (Record.body_case()) {
  case wire::Record::kAccountPut: {
    Account New;
    if (auto Problem = parse(Record.account_put(), New))
      return Problem;
    Next.Accounts[New.Id] = New;
    return std::nullopt;
  }
  case wire::Record::kAccountDelete: {
    base::AccountId Id{Record.account_delete().account()};
    if (Next.Accounts.erase(Id) == 0)
      return missing("account", Id.Value);
    for (auto Each = Next.Keys.begin(); Each != Next.Keys.end();) {
      bool OfAccount = Each->second.Account == Id;
      if (OfAccount)
        Next.WithdrawnKeys.insert(Each->first);
      Each = OfAccount ? Next.Keys.erase(Each) : std::next(Each);
    }
    return std::nullopt;
  }
  case wire::Record::kKeyPut: {
    Key New;
    if (auto Problem = parse(Record.key_put(), New))
      return Problem;
    if (Next.Accounts.count(New.Account) == 0)
      return missing("account", New.Account.Value);
    if (Next.Keys.count(New.Id) != 0 || Next.WithdrawnKeys.count(New.Id) != 0)
      return "key '" + New.Id.Value +
             "' exists or was withdrawn; use a new "
             "name";
    Next.Keys[New.Id] = New;
    return std::nullopt;
  }
  case wire::Record::kKeyWithdraw: {
    base::KeyId Id{Record.key_withdraw().key()};
    if (Next.Keys.erase(Id) == 0)
      return missing("key", Id.Value);
    Next.WithdrawnKeys.insert(Id);
    return std::nullopt;
  }
  case wire::Record::kPresetUse: {
    auto New = parse(Record.preset_use().preset());
    if (!New)
      return std::string("no such preset; use ordinary, peak or maintenance");
    Next.ActivePreset = *New;
    return std::nullopt;
  }
  case wire::Record::kZoneSet: {
    base::ZoneId Id{Record.zone_set().zone()};
    if (Id.empty())
      return std::string("the zone name is empty; use the name of a zone");
    if (Record.zone_set().out())
      Next.ZonesOut.insert(Id);
    else
      Next.ZonesOut.erase(Id);
    return std::nullopt;
  }
  case wire::Record::kTargetPut: {
    Target New;
    if (auto Problem = parse(Record.target_put(), New))
      return Problem;
    Next.Targets[New.Id] = New;
    return std::nullopt;
  }
  case wire::Record::kTargetLeave: {
    auto Found = Next.Targets.find({Record.target_leave().target()});
    if (Found == Next.Targets.end())
      return missing("target", Record.target_leave().target());
    Found->second.Leaving = true;
    return std::nullopt;
  }
  case wire::Record::kRoutePut: {
    Route New;
    if (auto Problem = parse(Record.route_put(), New))
      return Problem;
    Next.Routes[New.Id] = New;
    return std::nullopt;
  }
  case wire::Record::kRouteDelete:
    if (Next.Routes.erase({Record.route_delete().route()}) == 0)
      return missing("route", Record.route_delete().route());
    return std::nullopt;
  case wire::Record::kModelPut: {
    Model New;
    if (auto Problem = parse(Record.model_put(), New))
      return Problem;
    Next.Models[New.Id] = New;
    return std::nullopt;
  }
  case wire::Record::kModelDelete:
    if (Next.Models.erase({Record.model_delete().model()}) == 0)
      return missing("model", Record.model_delete().model());
    return std::nullopt;
  default:
    return std::string(
        "the record has no content that this stream accepts; write "
        "to it only through the operators' client");
  }
}

wire::ConfigState ConfigReducer::save() const {
  const Config &From = this->Working;
  wire::ConfigState To;
  To.set_next_offset(From.Next.Value);
  for (const auto &[Id, Each] : From.Accounts)
    *To.add_accounts() = toWire(Each);
  for (const auto &[Id, Each] : From.Keys)
    *To.add_keys() = toWire(Each);
  for (const base::KeyId &Each : From.WithdrawnKeys)
    To.add_withdrawn_keys(Each.Value);
  To.set_preset(toWire(From.ActivePreset));
  for (const base::ZoneId &Each : From.ZonesOut)
    To.add_zones_out(Each.Value);
  for (const auto &[Id, Each] : From.Targets) {
    *To.add_targets() = toWire(Each);
    if (Each.Leaving)
      To.add_leaving_targets(Id.Value);
  }
  for (const auto &[Id, Each] : From.Routes)
    *To.add_routes() = toWire(Each);
  for (const auto &[Id, Each] : From.Models)
    *To.add_models() = toWire(Each);
  for (const auto &[Object, Each] : this->ChangedAt) {
    wire::ObjectChange *Added = To.add_changes();
    Added->set_object(Object);
    Added->set_offset(Each.At.Value);
    Added->set_author(Each.Author);
  }
  for (const std::string &Each : this->RecentOrder)
    To.add_recent_records(Each);
  return To;
}

base::Result<void> ConfigReducer::load(const wire::ConfigState &Saved) {
  Config New;
  std::optional<std::string> Problem;
  auto KeepFirst = [&Problem](ValidationError Found) {
    if (Found && !Problem)
      Problem = std::move(Found);
  };
  New.Next = {Saved.next_offset()};
  for (const wire::AccountPut &Each : Saved.accounts())
    KeepFirst(parse(Each, New.Accounts[{Each.account()}]));
  for (const wire::KeyPut &Each : Saved.keys())
    KeepFirst(parse(Each, New.Keys[{Each.key()}]));
  for (const std::string &Each : Saved.withdrawn_keys())
    New.WithdrawnKeys.insert({Each});
  auto SavedPreset = parse(Saved.preset());
  if (!SavedPreset)
    KeepFirst("its preset is missing or unknown; use another snapshot");
  New.ActivePreset = SavedPreset.value_or(Preset::Ordinary);
  for (const std::string &Each : Saved.zones_out())
    New.ZonesOut.insert({Each});
  for (const wire::TargetPut &Each : Saved.targets())
    KeepFirst(parse(Each, New.Targets[{Each.target()}]));
  for (const std::string &Each : Saved.leaving_targets())
    New.Targets[{Each}].Leaving = true;
  for (const wire::RoutePut &Each : Saved.routes())
    KeepFirst(parse(Each, New.Routes[{Each.route()}]));
  for (const wire::ModelPut &Each : Saved.models())
    KeepFirst(parse(Each, New.Models[{Each.model()}]));
  if (Problem)
    return base::fail(StateErrc::BadSnapshot,
                      "the snapshot is refused: " + *Problem);
  this->Working = std::move(New);
  this->Published.reset();
  this->ChangedAt.clear();
  for (const wire::ObjectChange &Each : Saved.changes())
    this->ChangedAt[Each.object()] = {{Each.offset()}, Each.author()};
  this->RecentOrder.assign(Saved.recent_records().begin(),
                           Saved.recent_records().end());
  this->RecentIds = {this->RecentOrder.begin(), this->RecentOrder.end()};
  this->Readable = true;
  return {};
}

} // namespace kingcuphub::state
