#ifndef KINGCUPHUB_DUTIES_TARGETSCALER_H
#define KINGCUPHUB_DUTIES_TARGETSCALER_H

/// \file
/// How many targets of a service the platform is asked to run in each
/// availability zone.
///
/// Load pattern: demand multiplies within seconds and stays for half a minute;
/// a new target serves seconds after its order and holds no model by then;
/// between the peaks a third of the targets would do. Counts rise at once to
/// what the demand and its trend need, and fall by a few targets at a time once
/// the peak has passed.
///
/// Failure: the answer to an order is lost, and the platform may carry out an
/// older order after a newer one. A count counts as ordered only once its order
/// was accepted, and after a lost answer it is ordered again when no older call
/// can arrive any more. No I/O and no clock.

#include "base/clock.h"
#include "catalog/catalog.h"

#include <map>
#include <optional>
#include <utility>

namespace kingcuphub::duties {

/// The targets of one service in one availability zone.
using ScalingSubject = std::pair<catalog::ServiceId, base::ZoneId>;
/// The number of targets that was last ordered.
using OrderedCounts = std::map<ScalingSubject, unsigned>;

struct ZoneTargets {
  /// Targets that take requests.
  unsigned Serving = 0;
  /// No requests may be sent there.
  bool IsOut = false;
};

/// What is known of a service with Scaling.
struct ServiceDemand {
  catalog::Scaling Bounds;
  /// Requested engine time, in seconds per second, and its rise over the last
  /// seconds.
  double Work = 0;
  double Rise = 0;
  /// Engine time per second that one target carries.
  double CarriedPerTarget = 0;
  /// The number of targets that have memory for every model once.
  unsigned TargetsForModels = 0;
  std::map<base::ZoneId, ZoneTargets> Zones;
};

struct ScalingOrder {
  ScalingSubject Subject;
  unsigned Count = 0;
};

enum class ScalingResult {
  Accepted,
  /// The platform has not carried it out and will not.
  NotCarriedOut,
  /// It may have been carried out, or may be later.
  Unknown,
};

struct TargetScalerSettings {
  /// Share of what targets carry that is used by the demand: queues grow fast
  /// from about four fifths on, and demand differs between models.
  double Utilization = 0.6;
  /// Time constant with which the highest demand is forgotten. Longer than a
  /// peak's dips, as a target that was given up has to load its models again.
  base::Duration PeakMemory = std::chrono::seconds(20);
  /// Minimum time between two decreases in one zone, and the most targets that
  /// one of them removes, as a share of those ordered.
  base::Duration DecreaseInterval = std::chrono::seconds(5);
  double DecreaseShare = 0.1;
  /// Minimum time between two orders for one zone.
  base::Duration OrderInterval = std::chrono::seconds(1);
  /// After a lost answer, the count is ordered again this much later: the
  /// longest time for which the platform may delay a call.
  base::Duration ConfirmAfter = std::chrono::seconds(13);
};

class TargetScaler {
public:
  explicit TargetScaler(TargetScalerSettings Settings) : Settings(Settings) {}

  /// Starts as a new holder with what the one before had ordered.
  void start(const OrderedCounts &Inherited, base::TimePoint Now);
  /// Works out how many targets of the service are wanted.
  void update(const catalog::ServiceId &Service, const ServiceDemand &Demand,
              base::TimePoint Now);
  /// Takes the order that is due for one of the zones that \p MayOrder admits.
  template <typename Predicate>
  std::optional<ScalingOrder> takeDue(base::TimePoint Now, Predicate MayOrder) {
    for (auto &[Subject, Each] : this->Zones)
      if (this->isDue(Each, Now) && MayOrder(Subject))
        return this->take(Subject, Each, Now);
    return std::nullopt;
  }
  void onResult(const ScalingOrder &Order, ScalingResult Result,
                base::TimePoint Now);
  /// What the next holder has to know.
  OrderedCounts ordered() const;

private:
  struct Zone {
    /// The count that the platform is known or assumed to have.
    unsigned Ordered = 0;
    unsigned Wanted = 0;
    bool UnderWay = false;
    base::TimePoint OrderedAt;
    base::TimePoint DecreasedAt;
    /// When the count has to be ordered again after a lost answer.
    std::optional<base::TimePoint> ConfirmAt;
  };
  struct Peak {
    double Work = 0;
    base::TimePoint At;
  };

  /// The number of targets that carry the work, and at least those that hold
  /// every model once.
  double targetsFor(double Work, const ServiceDemand &Demand) const;
  void updateZone(Zone &Of, unsigned Needed, unsigned Kept,
                  base::TimePoint Now) const;
  bool isDue(const Zone &Of, base::TimePoint Now) const;
  static ScalingOrder take(const ScalingSubject &Subject, Zone &Of,
                           base::TimePoint Now);

  TargetScalerSettings Settings;
  base::TimePoint StartedAt;
  std::map<ScalingSubject, Zone> Zones;
  std::map<catalog::ServiceId, Peak> Peaks;
};

} // namespace kingcuphub::duties

#endif // KINGCUPHUB_DUTIES_TARGETSCALER_H
