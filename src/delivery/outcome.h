#ifndef KINGCUPHUB_DELIVERY_OUTCOME_H
#define KINGCUPHUB_DELIVERY_OUTCOME_H

/// \file
/// What is known of a request that gets no answer.

#include <string_view>

namespace kingcuphub::delivery {

enum class Outcome {
  /// No target has run it: no byte of it can have reached one, or each that
  /// it reached refused it unrun.
  NotRun,
  /// A target may have run it.
  Unknown,
};

constexpr std::string_view outcomeName(Outcome Value) {
  return Value == Outcome::NotRun ? "not-run" : "unknown";
}

} // namespace kingcuphub::delivery

#endif // KINGCUPHUB_DELIVERY_OUTCOME_H
