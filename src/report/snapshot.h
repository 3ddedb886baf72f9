#ifndef KINGCUPHUB_REPORT_SNAPSHOT_H
#define KINGCUPHUB_REPORT_SNAPSHOT_H

/// \file
/// One process's answer of `GET /metrics`, checked and typed.

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcuphub::report {

enum class ReportErrc { BadMetrics = 1, Unreachable, CannotWrite };
std::error_code make_error_code(ReportErrc Kind);

using Labels = std::map<std::string, std::string>;

struct CounterSample {
  std::string Name;
  Labels By;
  std::int64_t Value = 0;
};

struct WindowSample {
  std::string Name;
  Labels By;
  std::chrono::seconds Length{0};
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
};

struct MetricsSnapshot {
  std::string Program;
  std::string Instance;
  std::string Zone;
  std::vector<CounterSample> Counters;
  std::vector<WindowSample> Windows;
};

base::Result<MetricsSnapshot> parseSnapshot(const nlohmann::json &Body);

} // namespace kingcuphub::report

template <>
struct std::is_error_code_enum<kingcuphub::report::ReportErrc>
    : std::true_type {};

#endif // KINGCUPHUB_REPORT_SNAPSHOT_H
