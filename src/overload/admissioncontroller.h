#ifndef KINGCUPHUB_OVERLOAD_ADMISSIONCONTROLLER_H
#define KINGCUPHUB_OVERLOAD_ADMISSIONCONTROLLER_H

/// \file
/// The lease holder's decision how much of the demand for a model all instances
/// together admit.
///
/// Load pattern: a model is asked for more than its copies carry, so that
/// engines refuse requests. Each refused arrival costs one of the budget of
/// retries, and no single instance knows whether the others refuse requests
/// that are more urgent. The share that is admitted falls with the share that
/// engines refuse, and rises step by step while they refuse next to none. No
/// I/O and no clock.

#include "base/clock.h"
#include "overload/admissionlevel.h"

namespace kingcuphub::overload {

struct AdmissionControllerSettings {
  /// Interval of decisions: about that of the instances' reports.
  std::chrono::milliseconds Interval{250};
  /// Share of arrivals that engines may refuse without consequence.
  double MaxRefusedShare = 0.02;
  /// Fewer arrivals in an interval say nothing.
  unsigned MinArrivals = 8;
  /// Share of the demand that is admitted again in the first interval without
  /// refusals; doubled in each further one, up to the last.
  double FirstRaise = 0.02;
  double LastRaise = 0.16;
  /// Share that is always admitted: without arrivals, nothing would show that
  /// engines have room again.
  double MinShare = 0.05;
  /// Time constant of the demand by class.
  std::chrono::milliseconds DemandMemory{1000};
};

class AdmissionController {
public:
  explicit AdmissionController(AdmissionControllerSettings Settings)
      : Settings(Settings) {}

  void onArrivals(const ArrivalTable &New);
  /// Decides if an interval has passed. Returns whether it has.
  bool tick(base::TimePoint Now);
  /// The models of which not all demand is admitted.
  AdmissionLevels levels() const;
  void clear() { this->Entries.clear(); }

private:
  struct Entry {
    Arrivals Current;
    std::array<double, Classes> Demand{};
    /// Share of the demand that is admitted.
    double Share = 1;
    double Raise = 0;
  };

  void decide(Entry &Of) const;
  double levelOf(const Entry &Of) const;

  AdmissionControllerSettings Settings;
  base::TimePoint DecidedAt;
  std::map<ServiceModel, Entry> Entries;
};

} // namespace kingcuphub::overload

#endif // KINGCUPHUB_OVERLOAD_ADMISSIONCONTROLLER_H
