#ifndef KINGCUPHUB_REPORT_OBJECTIVES_H
#define KINGCUPHUB_REPORT_OBJECTIVES_H

/// \file
/// The service levels that operators promise, and where the metrics are.

#include "base/endpoint.h"
#include "base/settings.h"

#include <string>
#include <vector>

namespace kingcuphub::report {

/// The part of requests that must be good; empty names match all.
struct Objective {
  std::string Account;
  std::string Route;
  std::string Model;
  double GoodPart = 0;
};

struct ReportSettings {
  /// Gateways and agents of all instances.
  std::vector<base::Endpoint> Sources;
  double DefaultGoodPart = 0.99;
  std::vector<Objective> Objectives;

  /// The objective that names the most of the three.
  double goodPartOf(const std::string &Account, const std::string &Route,
                    const std::string &Model) const;
};

ReportSettings readReportSettings(base::SettingsReader &Reader);

} // namespace kingcuphub::report

#endif // KINGCUPHUB_REPORT_OBJECTIVES_H
