#ifndef KINGCUPHUB_STANDINS_COMMON_FAULTS_H
#define KINGCUPHUB_STANDINS_COMMON_FAULTS_H

/// \file
/// The faults that a test or the demo asks of a stand-in target.

#include "base/settings.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace kingcuphub::standin {

/// What goes wrong at present; by default nothing does.
struct TargetFaults {
  /// Before the first byte of an answer.
  std::chrono::milliseconds Delay{0};
  std::optional<std::chrono::milliseconds> TokenTime;
  /// Goes silent, or closes the connection, at this token; negative is never.
  std::int64_t SilentAfterTokens = -1;
  std::int64_t DropAfterTokens = -1;
  /// Each answer is the one to the request before.
  bool CrossAnswers = false;
  /// The request runs, and its connection is closed unanswered.
  bool AnswerLost = false;
  /// Refuses without running.
  bool Refuse = false;
  std::optional<bool> Cold;
  std::optional<std::chrono::milliseconds> LoadTime;
  std::optional<std::chrono::milliseconds> ReportLag;
  /// How many requests more meet the faults above that end, swap or refuse an
  /// answer; negative is all.
  std::int64_t Requests = -1;
};

/// Sets the fields that are given and leaves the others.
TargetFaults readFaults(base::SettingsReader &Reader, TargetFaults Current);

/// The faults for one more request, which counts against `Requests`.
TargetFaults takeFaults(TargetFaults &Current);

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_FAULTS_H
