#include "agent/targetreports.h"

namespace kingcuphub::agent {

namespace {

std::string textOf(int Code) {
  switch (static_cast<ReportErrc>(Code)) {
  case ReportErrc::Malformed:
    return "malformed load report";
  }
  return "unknown report error";
}

const base::EnumCategory Category("report", textOf);

/// The fields as they stand; a wrong type throws.
LoadReport readReport(const nlohmann::json &Body) {
  LoadReport Out;
  Out.Life = {Body.at("incarnation").get<std::uint64_t>()};
  Out.Sequence = Body.at("sequence").get<std::uint64_t>();
  Out.Running = Body.value("running", std::int64_t{0});
  Out.Waiting = Body.value("waiting", std::int64_t{0});
  Out.Cold = Body.value("cold", false);
  for (const nlohmann::json &Item :
       Body.value("models", nlohmann::json::array()))
    Out.Models.push_back({{Item.at("model").get<std::string>()},
                          Item.value("version", std::string()),
                          Item.value("accelerator", 0U),
                          {Item.value("bytes", std::int64_t{0})}});
  for (const nlohmann::json &Item :
       Body.value("adapters", nlohmann::json::array()))
    Out.Adapters.push_back({{Item.at("adapter").get<std::string>()},
                            {Item.value("model", std::string())},
                            Item.value("accelerator", 0U),
                            {Item.value("bytes", std::int64_t{0})}});
  for (const nlohmann::json &Item :
       Body.value("used_bytes", nlohmann::json::array()))
    Out.Used.push_back({Item.get<std::int64_t>()});
  for (const nlohmann::json &Item :
       Body.value("size_bytes", nlohmann::json::array()))
    Out.Sizes.push_back({Item.get<std::int64_t>()});
  return Out;
}

} // namespace

std::error_code make_error_code(ReportErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

base::Result<LoadReport> parseLoadReport(const nlohmann::json &Body) {
  try {
    return readReport(Body);
  } catch (const nlohmann::json::exception &Failure) {
    return base::fail(ReportErrc::Malformed,
                      std::string("the engine's load report cannot be read (") +
                          Failure.what() + "); check the target's address");
  }
}

} // namespace kingcuphub::agent
