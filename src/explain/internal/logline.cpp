#include "logline.h"

#include <utility>

namespace kingcuphub::explain {

using Json = nlohmann::json;

std::optional<Step> parseLine(const std::string &Line) {
  std::size_t Begin = Line.find('{');
  if (Begin == std::string::npos)
    return std::nullopt;
  Json From = Json::parse(Line.begin() + static_cast<std::ptrdiff_t>(Begin),
                          Line.end(), nullptr, false);
  if (From.is_discarded() || !From.is_object() || !From.contains("event") ||
      !From.contains("time_ms") || !From["time_ms"].is_number() ||
      !From["event"].is_string())
    return std::nullopt;
  Step Out;
  Out.TimeMillis = From["time_ms"].get<std::int64_t>();
  Out.Instance = From.value("instance", "");
  Out.Event = From["event"].get<std::string>();
  Out.Fields = std::move(From);
  return Out;
}

std::string fieldOf(const Step &Of, const char *Name) {
  auto Found = Of.Fields.find(Name);
  return Found != Of.Fields.end() && Found->is_string()
             ? Found->get<std::string>()
             : std::string();
}

double numberOf(const Step &Of, const char *Name) {
  auto Found = Of.Fields.find(Name);
  return Found != Of.Fields.end() && Found->is_number() ? Found->get<double>()
                                                        : 0;
}

} // namespace kingcuphub::explain
