#ifndef KINGCUPHUB_EXPLAIN_SUMMARY_H
#define KINGCUPHUB_EXPLAIN_SUMMARY_H

/// \file
/// What became of all requests in the instances' logs: by reason, by route, by
/// client account, by second, and the models and adapters that were asked for
/// and never answered.

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcuphub::explain {

struct SummarySettings {
  /// An item counts as asked for if it was asked for this often, over this
  /// time, so that one that is asked for in a single burst does not count.
  std::size_t LeastAsked = 4;
  std::int64_t LeastSpanMillis = 8000;
};

/// Requests by how they ended: answered, or the reason why not.
using Outcomes = std::map<std::string, std::size_t>;

struct RouteSummary {
  Outcomes Ends;
  /// Time to the first byte of the answer, of those answered; milliseconds.
  double FirstByteMedian = 0;
  double FirstByteTenthWorst = 0;
};

/// A model, or MODEL/ADAPTER, that was asked for and never answered.
struct UnservedItem {
  std::string Name;
  Outcomes Ends;
  std::size_t LoadsOrdered = 0;
  std::size_t LoadsAccepted = 0;
};

struct Summary {
  std::size_t Requests = 0;
  Outcomes Ends;
  std::map<std::string, RouteSummary> Routes;
  std::map<std::string, Outcomes> Accounts;
  /// By seconds since the first request ended.
  std::map<std::int64_t, Outcomes> Seconds;
  std::size_t ItemsAsked = 0;
  std::vector<UnservedItem> Unserved;
  std::size_t Orders = 0;
  /// Time until an order was answered; milliseconds.
  double OrderMedian = 0;
  double OrderWorst = 0;
};

/// Lines may stand behind any prefix; ones that are no log lines are passed
/// over.
Summary summarize(std::istream &Logs, const SummarySettings &Settings);

std::string describe(const Summary &What);
nlohmann::json toJson(const Summary &What);

} // namespace kingcuphub::explain

#endif // KINGCUPHUB_EXPLAIN_SUMMARY_H
