#ifndef KINGCUPHUB_CONTROL_TRAFFICPORT_H
#define KINGCUPHUB_CONTROL_TRAFFICPORT_H

/// \file
/// The way between the control thread and the traffic thread of an instance.
/// What is handed over is immutable or moved.

#include "forwarding/forwarder.h"

#include <functional>
#include <map>

namespace kingcuphub::control {

class TrafficPort {
public:
  virtual ~TrafficPort() = default;
  virtual void setCatalog(catalog::CatalogPtr New) = 0;
  /// The catalog was the newest at this time.
  virtual void setCatalogProven(base::TimePoint At) = 0;
  virtual void setTargets(catalog::TargetListPtr New) = 0;
  virtual void setInstances(unsigned Count) = 0;
  virtual void
  setHeld(catalog::HeldStatesPtr Held,
          std::map<dispatch::ServiceModel, base::TimePoint> Loading,
          base::TimePoint Until) = 0;
  virtual void onCredits(std::vector<forwarding::CreditAnswer> News) = 0;
  /// Another holder hands out credit from now on. \p Done is called on the
  /// control thread with what was admitted within the window.
  virtual void
  changeHolder(std::function<void(std::vector<dispatch::UsedAmount>)> Done) = 0;
  /// Asks for what was counted; \p Done is called on the control thread.
  virtual void takeUse(std::function<void(forwarding::TrafficUse)> Done) = 0;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_TRAFFICPORT_H
