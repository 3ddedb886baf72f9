#ifndef KINGCUPHUB_DUTIES_BEGUNCOUNTS_H
#define KINGCUPHUB_DUTIES_BEGUNCOUNTS_H

/// \file
/// What one instance reports to the lease holder of the requests that began to
/// run. Windows are reported once they have ended, again and again until the
/// holder has confirmed them, and to a new holder again as long as they may not
/// have been sent to the platform. No I/O and no clock.

#include "duties/window.h"

#include <optional>

namespace kingcuphub::duties {

class BegunReport {
public:
  /// \p KeepWindows: windows that are kept for a new holder.
  explicit BegunReport(std::uint64_t KeepWindows) : KeepWindows(KeepWindows) {}

  /// Adds requests that began in \p Window.
  void add(WindowId Window, const BegunCounts &Begun);
  /// The windows before \p Current that the holder has not confirmed.
  std::map<WindowId, BegunCounts> unconfirmed(WindowId Current);
  /// The holder has everything up to \p Through.
  void onConfirmed(WindowId Through);
  void onNewHolder() { this->Confirmed.reset(); }

private:
  std::uint64_t KeepWindows;
  std::map<WindowId, BegunCounts> Windows;
  std::optional<WindowId> Confirmed;
};

} // namespace kingcuphub::duties

#endif // KINGCUPHUB_DUTIES_BEGUNCOUNTS_H
