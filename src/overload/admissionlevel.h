#ifndef KINGCUPHUB_OVERLOAD_ADMISSIONLEVEL_H
#define KINGCUPHUB_OVERLOAD_ADMISSIONLEVEL_H

/// \file
/// How much of the demand for an overloaded model is admitted.

#include "catalog/catalog.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <utility>

namespace kingcuphub::overload {

/// Classes of urgency, 0 served first.
constexpr std::size_t Classes = 10;

using ServiceModel = std::pair<catalog::ServiceId, base::ModelId>;

/// What instances have seen of the demand for one model.
struct Arrivals {
  /// Requests that callers sent, by class.
  std::array<unsigned, Classes> Asked{};
  /// Attempts that reached targets, and those refused for lack of room.
  unsigned Sent = 0;
  unsigned Refused = 0;
};

using ArrivalTable = std::map<ServiceModel, Arrivals>;

struct AdmissionLevel {
  /// Classes below the whole part are admitted, the class at it in part, and no
  /// others.
  double Level = Classes;
  /// When the model is expected to have room again.
  std::chrono::milliseconds RetryAfter{0};
  bool operator==(const AdmissionLevel &) const = default;
};

using AdmissionLevels = std::map<ServiceModel, AdmissionLevel>;

} // namespace kingcuphub::overload

#endif // KINGCUPHUB_OVERLOAD_ADMISSIONLEVEL_H
