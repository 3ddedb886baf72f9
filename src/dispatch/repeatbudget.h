#ifndef KINGCUPHUB_DISPATCH_REPEATBUDGET_H
#define KINGCUPHUB_DISPATCH_REPEATBUDGET_H

/// \file
/// Load pattern: a service fails part of its requests, and each instance
/// wants to send them again. Bounds the arrivals beyond the first of each
/// request at a service over all instances: in any window, a part of the
/// requests plus a fixed number that the instances share evenly. No I/O and no
/// clock.

#include "base/clock.h"
#include "catalog/catalog.h"

#include <deque>
#include <map>

namespace kingcuphub::dispatch {

struct RepeatBudgetSettings {
  /// Repeats per request, and repeats on top over all instances, in a window;
  /// the deployment states them.
  double Ratio = 0.2;
  double Extra = 50;
  base::Duration Window = std::chrono::seconds(10);
  /// The part of the stated bound that is used: requests that were refused
  /// before they arrived are counted here as they are there, but windows are
  /// cut elsewhere.
  double UsedPart = 0.8;
};

class RepeatBudget {
public:
  explicit RepeatBudget(RepeatBudgetSettings Settings) : Settings(Settings) {}

  void setInstances(unsigned Count) { this->Instances = Count; }
  void onRequest(const catalog::ServiceId &Service, base::TimePoint Now);
  /// Pays for one repeat; false if the budget is used up.
  bool take(const catalog::ServiceId &Service, base::TimePoint Now);

private:
  struct Window {
    std::deque<base::TimePoint> Requests;
    std::deque<base::TimePoint> Repeats;
  };

  Window &windowOf(const catalog::ServiceId &Service, base::TimePoint Now);

  RepeatBudgetSettings Settings;
  /// Until it is known, as many as a small deployment has.
  unsigned Instances = 16;
  std::map<catalog::ServiceId, Window> Windows;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_REPEATBUDGET_H
