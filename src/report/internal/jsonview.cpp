#include "report/views.h"

namespace kingcuphub::report {

namespace {

nlohmann::json countJson(const WindowCount &Count) {
  return {{"good", Count.Good}, {"bad", Count.Bad}};
}

nlohmann::json rowJson(const BurnRow &Row) {
  return {{"account", Row.Account},
          {"route", Row.Route},
          {"model", Row.Model},
          {"good_part", Row.GoodPart},
          {"short", countJson(Row.Short)},
          {"long", countJson(Row.Long)},
          {"short_burn", Row.shortBurn()},
          {"long_burn", Row.longBurn()},
          {"state", stateName(Row.state())}};
}

template <typename Value>
nlohmann::json orNull(const std::optional<Value> &Found) {
  return Found ? nlohmann::json(*Found) : nlohmann::json();
}

nlohmann::json measuresJson(const Measures &Whole) {
  nlohmann::json Out = {
      {"attainment_per_accelerator", orNull(Whole.AttainmentPerAccelerator)},
      {"moves", orNull(Whole.Moves)},
      {"refused_within_rate", orNull(Whole.RefusedWithinRate)},
      {"worst_served", nullptr},
      {"zones", nlohmann::json::array()}};
  if (Whole.WorstServed)
    Out["worst_served"] = {
        {"account", Whole.WorstServed->Account},
        {"good_part", Whole.WorstServed->Long.goodPart()},
        {"refused_within_rate", Whole.WorstServed->RefusedWithinRate}};
  for (const ZoneMeasure &Each : Whole.Zones)
    Out["zones"].push_back(
        {{"zone", Each.Zone}, {"short", countJson(Each.Short)}});
  return Out;
}

} // namespace

nlohmann::json toJson(const BurnReport &Report) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const BurnRow &Each : Report.Rows)
    Rows.push_back(rowJson(Each));
  return {{"rows", Rows},
          {"measures", measuresJson(Report.Whole)},
          {"sources", Report.Sources},
          {"missing", Report.Missing}};
}

} // namespace kingcuphub::report
