#ifndef KINGCUPHUB_REPORT_COLLECT_H
#define KINGCUPHUB_REPORT_COLLECT_H

/// \file
/// Reads the metrics of many processes at once.

#include "base/endpoint.h"
#include "report/snapshot.h"

#include <string>
#include <vector>

namespace kingcuphub::report {

/// What was read, and what was not, each with its remedy.
struct Collection {
  std::vector<MetricsSnapshot> Snapshots;
  std::vector<std::string> Missing;
};

/// Waits until every source has answered or its time is over.
Collection collect(const std::vector<base::Endpoint> &Sources);

} // namespace kingcuphub::report

#endif // KINGCUPHUB_REPORT_COLLECT_H
