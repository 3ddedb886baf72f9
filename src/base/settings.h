#ifndef KINGCUPHUB_BASE_SETTINGS_H
#define KINGCUPHUB_BASE_SETTINGS_H

/// \file
/// Checked reading of JSON settings. A parse function takes a SettingsReader,
/// fills an aggregate and leaves its problems in the reader, so that all of
/// them are reported at once.

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace kingcuphub::base {

enum class SettingsErrc { Unreadable = 1, Malformed, Invalid };
std::error_code make_error_code(SettingsErrc Kind);

/// One fault of a settings file.
struct SettingsProblem {
  /// Where, as in `gateway.listen.port`.
  std::string Path;
  std::string Found;
  std::string Remedy;
};

/// Reads one JSON object; every field that is read counts as known, and
/// finish() reports the rest.
class SettingsReader {
public:
  SettingsReader(const nlohmann::json &Object, std::string Path,
                 std::vector<SettingsProblem> &Problems);

  std::string text(const std::string &Name, const std::string &Default);
  std::string requiredText(const std::string &Name);
  bool flag(const std::string &Name, bool Default);
  std::int64_t number(const std::string &Name, std::int64_t Default,
                      std::int64_t Min, std::int64_t Max);
  double real(const std::string &Name, double Default, double Min, double Max);
  /// A whole number of milliseconds; the field's name ends in `_ms`.
  std::chrono::milliseconds millis(const std::string &Name,
                                   std::chrono::milliseconds Default,
                                   std::chrono::milliseconds Min,
                                   std::chrono::milliseconds Max);
  std::string oneOf(const std::string &Name, const std::string &Default,
                    const std::vector<std::string> &Allowed);
  std::vector<std::string> texts(const std::string &Name);
  /// Calls \p Read with a reader of the nested object, empty if absent.
  void object(const std::string &Name,
              const std::function<void(SettingsReader &)> &Read);
  /// Calls \p Read for each object of an array, none if absent.
  void objects(const std::string &Name,
               const std::function<void(SettingsReader &)> &Read);
  bool has(const std::string &Name) const;
  void problem(const std::string &Name, std::string Found, std::string Remedy);
  /// Reports the fields that nothing has read.
  void finish();
  /// Every field that was read, with its value or its default.
  const nlohmann::json &effective() const { return this->Effective; }

private:
  const nlohmann::json *find(const std::string &Name);
  std::string pathOf(const std::string &Name) const;

  nlohmann::json Object;
  std::string Path;
  std::vector<SettingsProblem> &Problems;
  std::set<std::string> Known;
  nlohmann::json Effective = nlohmann::json::object();
};

/// Reads and parses a JSON file.
Result<nlohmann::json> readJsonFile(const std::string &FileName);

/// Reads a JSON file, calls \p Parse with a reader of it and reports every
/// problem at once.
Result<void>
readSettingsFile(const std::string &FileName,
                 const std::function<void(SettingsReader &)> &Parse);

/// One text of many problems, a line each.
Error settingsError(const std::vector<SettingsProblem> &Problems);

} // namespace kingcuphub::base

template <>
struct std::is_error_code_enum<kingcuphub::base::SettingsErrc>
    : std::true_type {};

#endif // KINGCUPHUB_BASE_SETTINGS_H
