#ifndef KINGCUPHUB_STANDINS_COMMON_UNDERSTOOD_H
#define KINGCUPHUB_STANDINS_COMMON_UNDERSTOOD_H

/// \file
/// What a caller understands of the bytes that it got, and of how its
/// connection ended.

#include "common/rawcaller.h"

#include <string>

namespace kingcuphub::standin {

/// What a caller may conclude from what it got.
enum class Seen {
  /// Nothing yet: the connection is open and the answer is not complete.
  Pending,
  /// The answer has come to the end that it stated.
  Complete,
  /// The answer stated no end, and its connection ended in order.
  EndNotStated,
  BrokenOff,
};

struct Understood {
  Seen End = Seen::Pending;
  int Status = 0;
  std::string Body;
};

/// \p HasBody: false for the answer to a HEAD request.
Understood understand(const RawCaller &Caller, bool HasBody = true);

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_UNDERSTOOD_H
