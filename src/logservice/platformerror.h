#ifndef KINGCUPHUB_LOGSERVICE_PLATFORMERROR_H
#define KINGCUPHUB_LOGSERVICE_PLATFORMERROR_H

/// \file
/// The kinds of failure of a call to the platform.

#include "base/error.h"

namespace kingcuphub::logservice {

enum class PlatformErrc {
  /// The call certainly had no effect.
  Unavailable = 1,
  /// The answer was lost: the call may have had its effect.
  AnswerLost,
  /// The answer is not what the platform's interface says.
  BadAnswer,
  /// The answer passed the caller's bound; the call may have had its effect.
  TooLarge,
};
std::error_code make_error_code(PlatformErrc Kind);

} // namespace kingcuphub::logservice

template <>
struct std::is_error_code_enum<kingcuphub::logservice::PlatformErrc>
    : std::true_type {};

#endif // KINGCUPHUB_LOGSERVICE_PLATFORMERROR_H
