#include "report/burnreport.h"

#include "metrics/outcomewindow.h"

#include <algorithm>
#include <tuple>

namespace kingcuphub::report {

namespace {

/// Uses up a month's error budget within two days.
constexpr double FastBurn = 14.4;
constexpr double FullBurn = 1;
constexpr double SecondsPerMinute = 60;

double burnOf(const WindowCount &Count, double GoodPart) {
  return (1 - Count.goodPart()) / (1 - GoodPart);
}

void add(WindowCount &Into, const WindowSample &Sample) {
  Into.Good += Sample.Good;
  Into.Bad += Sample.Bad;
}

std::string labelOf(const Labels &By, const char *Name) {
  auto Found = By.find(Name);
  return Found == By.end() ? "" : Found->second;
}

using RowKey = std::tuple<std::string, std::string, std::string>;

std::vector<BurnRow> makeRows(const std::vector<MetricsSnapshot> &Snapshots,
                              const ReportSettings &Settings) {
  std::map<RowKey, BurnRow> Rows;
  for (const MetricsSnapshot &Snapshot : Snapshots)
    for (const WindowSample &Sample : Snapshot.Windows) {
      if (Sample.Name != metricname::ServiceLevel)
        continue;
      RowKey Key(labelOf(Sample.By, "account"), labelOf(Sample.By, "route"),
                 labelOf(Sample.By, "model"));
      BurnRow &Row = Rows[Key];
      add(Sample.Length == metrics::ShortWindow ? Row.Short : Row.Long, Sample);
    }
  std::vector<BurnRow> Out;
  Out.reserve(Rows.size());
  for (auto &[Key, Row] : Rows) {
    std::tie(Row.Account, Row.Route, Row.Model) = Key;
    Row.GoodPart = Settings.goodPartOf(Row.Account, Row.Route, Row.Model);
    Out.push_back(Row);
  }
  std::stable_sort(Out.begin(), Out.end(),
                   [](const BurnRow &Left, const BurnRow &Right) {
                     return std::max(Left.shortBurn(), Left.longBurn()) >
                            std::max(Right.shortBurn(), Right.longBurn());
                   });
  return Out;
}

/// The sum of a counter; nothing where no process has it.
std::optional<std::int64_t> sumOf(const std::vector<MetricsSnapshot> &Snapshots,
                                  const char *Name) {
  std::optional<std::int64_t> Out;
  for (const MetricsSnapshot &Snapshot : Snapshots)
    for (const CounterSample &Sample : Snapshot.Counters)
      if (Sample.Name == Name)
        Out = Out.value_or(0) + Sample.Value;
  return Out;
}

/// The highest level, where every process shows the same quantity.
std::optional<std::int64_t>
highestOf(const std::vector<MetricsSnapshot> &Snapshots, const char *Name) {
  std::optional<std::int64_t> Out;
  for (const MetricsSnapshot &Snapshot : Snapshots)
    for (const CounterSample &Sample : Snapshot.Counters)
      if (Sample.Name == Name)
        Out = std::max(Out.value_or(Sample.Value), Sample.Value);
  return Out;
}

std::vector<AccountMeasure>
accountsOf(const std::vector<MetricsSnapshot> &Snapshots,
           const std::vector<BurnRow> &Rows) {
  std::map<std::string, AccountMeasure> Accounts;
  for (const BurnRow &Row : Rows) {
    if (Row.Account.empty())
      continue;
    AccountMeasure &Account = Accounts[Row.Account];
    Account.Long.Good += Row.Long.Good;
    Account.Long.Bad += Row.Long.Bad;
  }
  for (const MetricsSnapshot &Snapshot : Snapshots)
    for (const CounterSample &Sample : Snapshot.Counters)
      if (Sample.Name == metricname::RefusedWithinRate &&
          !labelOf(Sample.By, "account").empty())
        Accounts[labelOf(Sample.By, "account")].RefusedWithinRate +=
            Sample.Value;
  std::vector<AccountMeasure> Out;
  Out.reserve(Accounts.size());
  for (auto &[Name, Account] : Accounts) {
    Account.Account = Name;
    Out.push_back(Account);
  }
  return Out;
}

std::vector<ZoneMeasure>
zonesOf(const std::vector<MetricsSnapshot> &Snapshots) {
  std::map<std::string, WindowCount> Zones;
  for (const MetricsSnapshot &Snapshot : Snapshots)
    for (const WindowSample &Sample : Snapshot.Windows)
      if (Sample.Name == metricname::ServiceLevel &&
          Sample.Length == metrics::ShortWindow)
        add(Zones[Snapshot.Zone], Sample);
  std::vector<ZoneMeasure> Out;
  Out.reserve(Zones.size());
  for (const auto &[Zone, Count] : Zones)
    Out.push_back({Zone, Count});
  return Out;
}

std::optional<double>
attainmentOf(const std::vector<MetricsSnapshot> &Snapshots,
             const std::vector<BurnRow> &Rows) {
  auto Accelerators = highestOf(Snapshots, metricname::Accelerators);
  if (!Accelerators || *Accelerators == 0)
    return std::nullopt;
  std::uint64_t Good = 0;
  for (const BurnRow &Row : Rows)
    Good += Row.Long.Good;
  double Minutes =
      static_cast<double>(metrics::LongWindow.count()) / SecondsPerMinute;
  return static_cast<double>(Good) / Minutes /
         static_cast<double>(*Accelerators);
}

Measures measure(const std::vector<MetricsSnapshot> &Snapshots,
                 const std::vector<BurnRow> &Rows) {
  Measures Out;
  Out.AttainmentPerAccelerator = attainmentOf(Snapshots, Rows);
  Out.Moves = sumOf(Snapshots, metricname::Moves);
  Out.RefusedWithinRate = sumOf(Snapshots, metricname::RefusedWithinRate);
  Out.Zones = zonesOf(Snapshots);
  for (const AccountMeasure &Each : accountsOf(Snapshots, Rows))
    if (!Out.WorstServed ||
        Each.Long.goodPart() < Out.WorstServed->Long.goodPart())
      Out.WorstServed = Each;
  return Out;
}

} // namespace

double WindowCount::goodPart() const {
  return this->all() == 0 ? 1
                          : static_cast<double>(this->Good) /
                                static_cast<double>(this->all());
}

double BurnRow::shortBurn() const {
  return burnOf(this->Short, this->GoodPart);
}

double BurnRow::longBurn() const { return burnOf(this->Long, this->GoodPart); }

BurnState BurnRow::state() const {
  double Both = std::min(this->shortBurn(), this->longBurn());
  if (Both >= FastBurn)
    return BurnState::Burning;
  return Both > FullBurn ? BurnState::Watch : BurnState::Ok;
}

std::string_view stateName(BurnState State) {
  switch (State) {
  case BurnState::Ok:
    return "ok";
  case BurnState::Watch:
    return "watch";
  case BurnState::Burning:
    return "BURNING";
  }
  return "";
}

BurnReport makeReport(const std::vector<MetricsSnapshot> &Snapshots,
                      const ReportSettings &Settings) {
  BurnReport Out;
  Out.Rows = makeRows(Snapshots, Settings);
  Out.Whole = measure(Snapshots, Out.Rows);
  Out.Sources = Snapshots.size();
  return Out;
}

} // namespace kingcuphub::report
