#ifndef KINGCUPHUB_STANDINS_PLATFORM_INSTANCELIST_H
#define KINGCUPHUB_STANDINS_PLATFORM_INSTANCELIST_H

/// \file
/// The platform's list of live and leaving instances, shown with a lag.

#include "base/clock.h"

#include <chrono>
#include <deque>
#include <nlohmann/json.hpp>

namespace kingcuphub::standin {

class InstanceList {
public:
  void set(base::TimePoint Now, nlohmann::json List);
  void setLag(std::chrono::milliseconds New) { this->Lag = New; }
  /// The list as it was one lag ago.
  nlohmann::json visible(base::TimePoint Now);

private:
  struct Version {
    base::TimePoint SetAt;
    nlohmann::json List;
  };

  std::chrono::milliseconds Lag{0};
  nlohmann::json Shown = {{"instances", nlohmann::json::array()}};
  std::deque<Version> Newer;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_PLATFORM_INSTANCELIST_H
