#include "base/table.h"
#include "report/views.h"

#include <fmt/format.h>

namespace kingcuphub::report {

namespace {

constexpr double Percent = 100;

std::string orDash(const std::string &Text) {
  return Text.empty() ? "-" : Text;
}

std::string percent(double Part) {
  return fmt::format("{:.2f}%", Part * Percent);
}

std::string goodOf(const WindowCount &Count) {
  return Count.all() == 0 ? "no requests" : percent(Count.goodPart());
}

void printRows(std::ostream &Out, const BurnReport &Report) {
  base::Table Rows({"ACCOUNT", "ROUTE", "MODEL", "OBJECTIVE", "GOOD 5M",
                    "BURN 5M", "GOOD 1H", "BURN 1H", "REQUESTS 1H", "STATE"});
  for (const BurnRow &Each : Report.Rows)
    Rows.add({orDash(Each.Account), orDash(Each.Route), orDash(Each.Model),
              percent(Each.GoodPart), goodOf(Each.Short),
              fmt::format("{:.1f}", Each.shortBurn()), goodOf(Each.Long),
              fmt::format("{:.1f}", Each.longBurn()),
              std::to_string(Each.Long.all()),
              std::string(stateName(Each.state()))});
  if (Rows.empty())
    Out << "no requests in the last hour\n";
  else
    Rows.print(Out);
}

template <typename Value>
std::string measured(const std::optional<Value> &Found,
                     const std::string &Format) {
  return Found ? fmt::format(fmt::runtime(Format), *Found) : "not measured";
}

void printMeasures(std::ostream &Out, const Measures &Whole) {
  Out << "\nattainment            "
      << measured(Whole.AttainmentPerAccelerator,
                  "{:.2f} good requests a minute and accelerator, last hour")
      << "\nmoves                 "
      << measured(Whole.Moves, "{} since the agents started")
      << "\nrefused within rate   "
      << measured(Whole.RefusedWithinRate, "{} since the gateways started")
      << "\nworst-served account  ";
  if (Whole.WorstServed)
    Out << orDash(Whole.WorstServed->Account) << ", "
        << goodOf(Whole.WorstServed->Long) << " good in the last hour, "
        << Whole.WorstServed->RefusedWithinRate << " refused within rate\n";
  else
    Out << "not measured\n";
  for (const ZoneMeasure &Each : Whole.Zones)
    Out << fmt::format("{:<22}{} good of {} in the last 5 minutes\n",
                       "zone " + Each.Zone, goodOf(Each.Short),
                       Each.Short.all());
}

} // namespace

void printText(std::ostream &Out, const BurnReport &Report) {
  Out << "service-level burn over " << Report.Sources
      << " processes; 1.0 uses up the error budget exactly\n\n";
  printRows(Out, Report);
  printMeasures(Out, Report.Whole);
  for (const std::string &Each : Report.Missing)
    Out << "! " << Each << '\n';
}

} // namespace kingcuphub::report
