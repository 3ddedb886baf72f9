#ifndef KINGCUPHUB_REPORT_BURNREPORT_H
#define KINGCUPHUB_REPORT_BURNREPORT_H

/// \file
/// Service-level burn and the measures of a deployment, over all instances.
/// A burn of 1 uses up the error budget exactly; 0 uses none.

#include "report/objectives.h"
#include "report/snapshot.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::report {

/// The names of the metrics that the report reads.
namespace metricname {
/// Window by account, route and model: requests that got their whole answer
/// within the deadline, and those that did not though within rate.
constexpr const char *ServiceLevel = "service_level";
/// Counter by account: requests refused though within rate.
constexpr const char *RefusedWithinRate = "refused_within_rate";
/// Counter: loads and unloads that were ordered.
constexpr const char *Moves = "moves";
/// Level: accelerators of the configured targets.
constexpr const char *Accelerators = "accelerators";
} // namespace metricname

struct WindowCount {
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;

  std::uint64_t all() const { return this->Good + this->Bad; }
  /// 1 where there was no request.
  double goodPart() const;
};

enum class BurnState { Ok, Watch, Burning };

/// One account's use of one model through one route.
struct BurnRow {
  std::string Account;
  std::string Route;
  std::string Model;
  double GoodPart = 0;
  WindowCount Short;
  WindowCount Long;

  double shortBurn() const;
  double longBurn() const;
  /// By both windows, so that neither a blip nor an old fault alarms.
  BurnState state() const;
};

struct AccountMeasure {
  std::string Account;
  WindowCount Long;
  std::int64_t RefusedWithinRate = 0;
};

struct ZoneMeasure {
  std::string Zone;
  WindowCount Short;
};

/// What the whole deployment is measured by.
struct Measures {
  /// Good requests a minute and accelerator, over the long window.
  std::optional<double> AttainmentPerAccelerator;
  std::optional<std::int64_t> Moves;
  /// The account with the lowest good part over the long window.
  std::optional<AccountMeasure> WorstServed;
  std::optional<std::int64_t> RefusedWithinRate;
  std::vector<ZoneMeasure> Zones;
};

struct BurnReport {
  /// The fastest burn first.
  std::vector<BurnRow> Rows;
  Measures Whole;
  std::size_t Sources = 0;
  /// What could not be read, each with its remedy.
  std::vector<std::string> Missing;
};

BurnReport makeReport(const std::vector<MetricsSnapshot> &Snapshots,
                      const ReportSettings &Settings);

std::string_view stateName(BurnState State);

} // namespace kingcuphub::report

#endif // KINGCUPHUB_REPORT_BURNREPORT_H
