#ifndef KINGCUPHUB_REPORT_VIEWS_H
#define KINGCUPHUB_REPORT_VIEWS_H

/// \file
/// The burn report as text, JSON and a plot.

#include "base/error.h"
#include "report/burnreport.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace kingcuphub::report {

void printText(std::ostream &Out, const BurnReport &Report);
nlohmann::json toJson(const BurnReport &Report);

enum class PlotFormat { Svg, Png };
/// Draws the burn of both windows as bars, the fastest on top.
base::Result<void> drawPlot(const BurnReport &Report, PlotFormat Format,
                            const std::string &FileName);

} // namespace kingcuphub::report

#endif // KINGCUPHUB_REPORT_VIEWS_H
