#ifndef KINGCUPHUB_REPLAY_MEASURES_H
#define KINGCUPHUB_REPLAY_MEASURES_H

/// \file
/// The users' five measures, counted from the outcomes of a replay.

#include "base/ids.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kingcuphub::replay {

/// What became of one request.
enum class Outcome {
  /// Whole and within its deadline.
  OnTime,
  Late,
  /// Refused, and surely not run.
  Refused,
  /// Refused for want of a valid key.
  Unauthorized,
  /// Cut, wrong, or of unknown fate.
  Failed,
};

struct Tally {
  std::uint64_t Sent = 0;
  std::uint64_t OnTime = 0;

  double attainment() const {
    return this->Sent == 0 ? 1
                           : static_cast<double>(this->OnTime) /
                                 static_cast<double>(this->Sent);
  }
};

struct Measures {
  Tally All;
  std::map<base::AccountId, Tally> ByAccount;
  /// While a zone was out.
  Tally WhileZoneOut;
  std::uint64_t RefusedWithinRate = 0;
  std::uint64_t Late = 0;
  std::uint64_t Failed = 0;
  std::size_t Accelerators = 0;
  /// Model loads that the placement ordered; absent without an API.
  std::optional<std::uint64_t> Moves;
  /// Outcomes that the trace does not allow, the first few in words.
  std::uint64_t Violations = 0;
  std::vector<std::string> FirstViolations;

  /// Counts one request within its account's rate, or beyond.
  void count(const base::AccountId &Account, Outcome Of, bool WithinRate,
             bool ZoneOut);
  void violate(std::string What);
  double attainmentPerAccelerator() const;
  /// The account with the lowest attainment.
  std::pair<base::AccountId, double> worstServed() const;

  nlohmann::json json() const;
  std::string text() const;
};

} // namespace kingcuphub::replay

#endif // KINGCUPHUB_REPLAY_MEASURES_H
