#include "report/snapshot.h"

namespace kingcuphub::report {

namespace {

std::string textOf(int Code) {
  switch (static_cast<ReportErrc>(Code)) {
  case ReportErrc::BadMetrics:
    return "not an answer of /metrics";
  case ReportErrc::Unreachable:
    return "an instance cannot be reached";
  case ReportErrc::CannotWrite:
    return "a file cannot be written";
  }
  return "unknown report error";
}

const base::EnumCategory Category("report", textOf);

} // namespace

std::error_code make_error_code(ReportErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

base::Result<MetricsSnapshot> parseSnapshot(const nlohmann::json &Body) {
  try {
    MetricsSnapshot Out;
    Out.Program = Body.at("program");
    Out.Instance = Body.at("instance");
    Out.Zone = Body.at("zone");
    for (const nlohmann::json &Each : Body.at("counters"))
      Out.Counters.push_back({Each.at("name"), Each.at("labels").get<Labels>(),
                              Each.at("value").get<std::int64_t>()});
    for (const nlohmann::json &Each : Body.at("windows"))
      Out.Windows.push_back(
          {Each.at("name"), Each.at("labels").get<Labels>(),
           std::chrono::seconds(Each.at("seconds").get<std::int64_t>()),
           Each.at("good"), Each.at("bad")});
    return Out;
  } catch (const nlohmann::json::exception &Problem) {
    return base::fail(ReportErrc::BadMetrics,
                      std::string("this is no answer of /metrics (") +
                          Problem.what() +
                          "); name the `callers` endpoint of a gateway or "
                          "the `api` endpoint of an agent");
  }
}

} // namespace kingcuphub::report
