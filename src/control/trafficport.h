#ifndef KINGCUPHUB_CONTROL_TRAFFICPORT_H
#define KINGCUPHUB_CONTROL_TRAFFICPORT_H

/// \file
/// Interface from the control thread to the traffic thread of an instance. All
/// data passed is immutable or moved.

#include "forwarding/forwarder.h"

#include <functional>
#include <map>

namespace kingcuphub::control {

class TrafficPort {
public:
  virtual ~TrafficPort() = default;
  virtual void setCatalog(catalog::CatalogPtr New) = 0;
  /// Sets the latest time at which the catalog is known to have been the
  /// newest.
  virtual void setCatalogProven(base::TimePoint At) = 0;
  virtual void setTargets(catalog::TargetListPtr New) = 0;
  /// Sets the latest time at which the list of targets is known to have been
  /// the newest.
  virtual void setTargetsProven(base::TimePoint At) = 0;
  virtual void setInstances(unsigned Count) = 0;
  virtual void
  setHeld(catalog::SharedHeldStatesPtr Held,
          std::map<dispatch::ServiceModel, base::TimePoint> Loading,
          base::TimePoint Until) = 0;
  /// Sets of which models not all requests are admitted.
  virtual void setAdmission(overload::AdmissionLevels New) = 0;
  /// Sets the time of day, less monotonic time, on which most instances agree.
  virtual void setWallOffset(base::Duration New) = 0;
  /// Sets what the lease holder has published about targets at \p At.
  virtual void setFigures(dispatch::FigureTablePtr New, base::TimePoint At) = 0;
  virtual void setSuspects(dispatch::SuspectParts New) = 0;
  virtual void onCredits(std::vector<forwarding::CreditAnswer> Credits) = 0;
  /// Handles that another holder grants credit from now on. \p Done is called
  /// on the control thread with the amounts admitted within the window.
  virtual void
  changeHolder(std::function<void(std::vector<dispatch::UsedAmount>)> Done) = 0;
  /// Takes the counts since the last call; \p Done is called with them on the
  /// control thread.
  virtual void takeUse(std::function<void(forwarding::TrafficUse)> Done) = 0;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_TRAFFICPORT_H
