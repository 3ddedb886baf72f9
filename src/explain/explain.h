#ifndef KINGCUPHUB_EXPLAIN_EXPLAIN_H
#define KINGCUPHUB_EXPLAIN_EXPLAIN_H

/// \file
/// Finds in the instances' log lines what happened to one request, and what
/// the instance that had it believed then.

#include "base/ids.h"

#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcuphub::explain {

/// One line that tells of the request.
struct Step {
  std::int64_t TimeMillis = 0;
  std::string Instance;
  std::string Event;
  nlohmann::json Fields;
  /// A belief that the step rests on, not a step itself.
  bool IsBelief = false;
};

/// The request's steps in order of time, each behind the newest beliefs that
/// bear on it. Lines may stand behind any prefix; ones that are no log lines
/// are passed over.
std::vector<Step> explain(std::istream &Logs, const base::RequestId &Request);

/// One step as a line of text.
std::string describe(const Step &What, std::int64_t StartMillis);

} // namespace kingcuphub::explain

#endif // KINGCUPHUB_EXPLAIN_EXPLAIN_H
