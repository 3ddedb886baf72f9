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
  /// The whole part is a class, the fraction a share of that class: at 3.4 the
  /// classes 0 to 2 are admitted, 40 in 100 requests of class 3, and no others.
  double Level = Classes;
  /// When the model is expected to have room again.
  std::chrono::milliseconds RetryAfter{0};
  bool operator==(const AdmissionLevel &) const = default;
};

using AdmissionLevels = std::map<ServiceModel, AdmissionLevel>;

} // namespace kingcuphub::overload

#endif // KINGCUPHUB_OVERLOAD_ADMISSIONLEVEL_H
