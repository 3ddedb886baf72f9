#ifndef KINGCUPHUB_AGENT_TARGETREPORTS_H
#define KINGCUPHUB_AGENT_TARGETREPORTS_H

/// \file
/// The latest load report of each model engine.

#include "agent/signal.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/units.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcuphub::agent {

struct ResidentModel {
  base::ModelId Model;
  std::string Version;
  unsigned Accelerator = 0;
  base::Bytes Size;
};

struct ResidentAdapter {
  base::AdapterId Adapter;
  base::ModelId Model;
  unsigned Accelerator = 0;
  base::Bytes Size;
};

/// What an engine said of itself; it lags behind what is.
struct LoadReport {
  base::Incarnation Life;
  std::uint64_t Sequence = 0;
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  bool Cold = false;
  std::vector<ResidentModel> Models;
  std::vector<ResidentAdapter> Adapters;
  /// In the order of the target's accelerators.
  std::vector<base::Bytes> Used;
  std::vector<base::Bytes> Sizes;
};

enum class ReportErrc { Malformed = 1 };
std::error_code make_error_code(ReportErrc Kind);

base::Result<LoadReport> parseLoadReport(const nlohmann::json &Body);

struct LatestReport {
  base::TargetId Target;
  LoadReport Load;
  /// When the call that brought the report was sent.
  base::TimePoint AskedAt;
  /// False if the last call failed; Load is then the last one known.
  bool Reachable = false;
};

class TargetReports {
public:
  virtual ~TargetReports() = default;
  virtual const std::map<base::TargetId, LatestReport> &latest() const = 0;

  /// After each report and each failed call.
  Signal<LatestReport> OnReport;
};

} // namespace kingcuphub::agent

template <>
struct std::is_error_code_enum<kingcuphub::agent::ReportErrc> : std::true_type {
};

#endif // KINGCUPHUB_AGENT_TARGETREPORTS_H
