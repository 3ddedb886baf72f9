#include "base/settings.h"

#include <algorithm>
#include <fstream>
#include <utility>

namespace kingcuphub::base {

namespace {

std::string textOf(int Code) {
  switch (static_cast<SettingsErrc>(Code)) {
  case SettingsErrc::Unreadable:
    return "settings file cannot be read";
  case SettingsErrc::Malformed:
    return "settings are not valid JSON";
  case SettingsErrc::Invalid:
    return "settings have invalid fields";
  }
  return "unknown settings error";
}

const EnumCategory Category("settings", textOf);

std::string join(const std::vector<std::string> &Words) {
  std::string Out;
  for (const std::string &Word : Words)
    Out += (Out.empty() ? "" : ", ") + Word;
  return Out;
}

} // namespace

std::error_code make_error_code(SettingsErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

SettingsReader::SettingsReader(const nlohmann::json &Object, std::string Path,
                               std::vector<SettingsProblem> &Problems)
    : Object(Object), Path(std::move(Path)), Problems(Problems) {
  if (this->Object.is_object())
    return;
  if (!this->Object.is_null())
    this->Problems.push_back({this->Path, this->Object.type_name(),
                              "use a JSON object: { \"name\": value }"});
  this->Object = nlohmann::json::object();
}

std::string SettingsReader::pathOf(const std::string &Name) const {
  return this->Path.empty() ? Name : this->Path + "." + Name;
}

bool SettingsReader::has(const std::string &Name) const {
  return this->Object.contains(Name);
}

const nlohmann::json *SettingsReader::find(const std::string &Name) {
  this->Known.insert(Name);
  auto Found = this->Object.find(Name);
  return Found == this->Object.end() ? nullptr : &*Found;
}

void SettingsReader::problem(const std::string &Name, std::string Found,
                             std::string Remedy) {
  this->Problems.push_back(
      {this->pathOf(Name), std::move(Found), std::move(Remedy)});
}

std::string SettingsReader::text(const std::string &Name,
                                 const std::string &Default) {
  const nlohmann::json *Value = this->find(Name);
  this->Effective[Name] = Value == nullptr ? nlohmann::json(Default) : *Value;
  if (Value == nullptr)
    return Default;
  if (Value->is_string())
    return Value->get<std::string>();
  this->problem(Name, Value->dump(), "write a string in double quotes");
  return Default;
}

std::string SettingsReader::requiredText(const std::string &Name) {
  std::string Value = this->text(Name, "");
  if (Value.empty() && !this->has(Name))
    this->problem(Name, "nothing", "add this field; it has no default");
  else if (Value.empty() && this->Object[Name].is_string())
    this->problem(Name, "an empty string", "write a value");
  return Value;
}

bool SettingsReader::flag(const std::string &Name, bool Default) {
  const nlohmann::json *Value = this->find(Name);
  this->Effective[Name] = Value == nullptr ? nlohmann::json(Default) : *Value;
  if (Value == nullptr)
    return Default;
  if (Value->is_boolean())
    return Value->get<bool>();
  this->problem(Name, Value->dump(), "write true or false");
  return Default;
}

std::int64_t SettingsReader::number(const std::string &Name,
                                    std::int64_t Default, std::int64_t Min,
                                    std::int64_t Max) {
  const nlohmann::json *Value = this->find(Name);
  this->Effective[Name] = Value == nullptr ? nlohmann::json(Default) : *Value;
  if (Value == nullptr)
    return Default;
  if (Value->is_number_integer())
    if (auto Number = Value->get<std::int64_t>();
        Number >= Min && Number <= Max)
      return Number;
  this->problem(Name, Value->dump(),
                "write a whole number from " + std::to_string(Min) + " to " +
                    std::to_string(Max));
  return Default;
}

double SettingsReader::real(const std::string &Name, double Default, double Min,
                            double Max) {
  const nlohmann::json *Value = this->find(Name);
  this->Effective[Name] = Value == nullptr ? nlohmann::json(Default) : *Value;
  if (Value == nullptr)
    return Default;
  if (Value->is_number())
    if (auto Number = Value->get<double>(); Number >= Min && Number <= Max)
      return Number;
  this->problem(Name, Value->dump(),
                "write a number from " + std::to_string(Min) + " to " +
                    std::to_string(Max));
  return Default;
}

std::chrono::milliseconds SettingsReader::millis(
    const std::string &Name, std::chrono::milliseconds Default,
    std::chrono::milliseconds Min, std::chrono::milliseconds Max) {
  return std::chrono::milliseconds(
      this->number(Name, Default.count(), Min.count(), Max.count()));
}

std::string SettingsReader::oneOf(const std::string &Name,
                                  const std::string &Default,
                                  const std::vector<std::string> &Allowed) {
  std::string Value = this->text(Name, Default);
  if (std::find(Allowed.begin(), Allowed.end(), Value) != Allowed.end())
    return Value;
  this->problem(Name, '"' + Value + '"', "use one of: " + join(Allowed));
  return Default;
}

std::vector<std::string> SettingsReader::texts(const std::string &Name) {
  std::vector<std::string> Out;
  const nlohmann::json *Value = this->find(Name);
  this->Effective[Name] = Value == nullptr ? nlohmann::json::array() : *Value;
  if (Value == nullptr)
    return Out;
  if (!Value->is_array()) {
    this->problem(Name, Value->dump(), "write an array of strings");
    return Out;
  }
  for (const nlohmann::json &Item : *Value) {
    if (Item.is_string())
      Out.push_back(Item.get<std::string>());
    else
      this->problem(Name, Item.dump(), "write only strings in this array");
  }
  return Out;
}

void SettingsReader::object(const std::string &Name,
                            const std::function<void(SettingsReader &)> &Read) {
  const nlohmann::json *Value = this->find(Name);
  SettingsReader Nested(Value == nullptr ? nlohmann::json::object() : *Value,
                        this->pathOf(Name), this->Problems);
  Read(Nested);
  Nested.finish();
  this->Effective[Name] = Nested.effective();
}

void SettingsReader::objects(
    const std::string &Name,
    const std::function<void(SettingsReader &)> &Read) {
  const nlohmann::json *Value = this->find(Name);
  this->Effective[Name] = nlohmann::json::array();
  if (Value == nullptr)
    return;
  if (!Value->is_array()) {
    this->problem(Name, Value->dump(), "write an array of objects");
    return;
  }
  for (std::size_t Index = 0; Index < Value->size(); ++Index) {
    SettingsReader Nested(
        (*Value)[Index], this->pathOf(Name) + "[" + std::to_string(Index) + "]",
        this->Problems);
    Read(Nested);
    Nested.finish();
    this->Effective[Name].push_back(Nested.effective());
  }
}

void SettingsReader::finish() {
  for (const auto &[Name, Value] : this->Object.items())
    if (this->Known.count(Name) == 0)
      this->problem(Name, Value.dump().substr(0, 60),
                    "remove this unknown field or correct its name");
}

Result<nlohmann::json> readJsonFile(const std::string &FileName) {
  std::ifstream File(FileName);
  if (!File)
    return fail(SettingsErrc::Unreadable,
                FileName + " cannot be read; check the path and its rights");
  nlohmann::json Parsed = nlohmann::json::parse(File, nullptr, false, true);
  if (Parsed.is_discarded())
    return fail(SettingsErrc::Malformed,
                FileName + " is not valid JSON; check it with a JSON linter");
  return Parsed;
}

Result<void>
readSettingsFile(const std::string &FileName,
                 const std::function<void(SettingsReader &)> &Parse) {
  Result<nlohmann::json> Json = readJsonFile(FileName);
  if (!Json)
    return tl::unexpected(Json.error());
  std::vector<SettingsProblem> Problems;
  SettingsReader Reader(*Json, "", Problems);
  Parse(Reader);
  Reader.finish();
  if (Problems.empty())
    return {};
  Error Found = settingsError(Problems);
  Found.Message = FileName + ": " + Found.Message;
  return tl::unexpected(std::move(Found));
}

Error settingsError(const std::vector<SettingsProblem> &Problems) {
  std::string Text = std::to_string(Problems.size()) + " problem(s):";
  for (const SettingsProblem &Problem : Problems)
    Text += "\n  " + Problem.Path + ": found " + Problem.Found + "; " +
            Problem.Remedy;
  return {make_error_code(SettingsErrc::Invalid), Text};
}

} // namespace kingcuphub::base
