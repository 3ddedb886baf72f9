#ifndef KINGCUPHUB_OVERLOAD_ADMISSIONFILTER_H
#define KINGCUPHUB_OVERLOAD_ADMISSIONFILTER_H

/// \file
/// An instance's side of the admission levels: counts the demand, and decides
/// which requests for an overloaded model are refused at once. Within a class
/// of urgency the client accounts that ask for most are refused first, so that
/// one account's burst does not cost the others. No I/O and no clock.

#include "base/clock.h"
#include "overload/admissionlevel.h"

#include <optional>

namespace kingcuphub::overload {

struct AdmissionFilterSettings {
  /// Levels that were not confirmed for this long are not applied: the holder
  /// is gone or cut off, and the instance decides alone.
  std::chrono::milliseconds LevelsValidFor{1000};
  /// Time constant of the demand by account.
  std::chrono::milliseconds DemandMemory{2000};
};

struct AdmissionRequest {
  ServiceModel What;
  unsigned Urgency = 0;
  base::AccountId Account;
};

class AdmissionFilter {
public:
  explicit AdmissionFilter(AdmissionFilterSettings Settings)
      : Settings(Settings) {}

  void setLevels(AdmissionLevels New, base::TimePoint Now);
  /// Counts a request and decides on it; \p Draw is uniform in [0, 1). Returns
  /// when to come back if it is refused.
  std::optional<std::chrono::milliseconds>
  refuses(const AdmissionRequest &Request, double Draw, base::TimePoint Now);
  void onSent(const ServiceModel &What);
  void onFull(const ServiceModel &What);
  /// Takes the counts since the last call.
  ArrivalTable take();

private:
  struct Demand {
    double Count = 0;
    base::TimePoint At;
  };
  using AccountDemand = std::map<base::AccountId, Demand>;

  /// The share of the account's requests that is admitted if \p Share of all
  /// requests of its class are.
  double shareOf(const AccountDemand &Of, const base::AccountId &Account,
                 double Share, base::TimePoint Now) const;
  double countAt(const Demand &Of, base::TimePoint Now) const;

  AdmissionFilterSettings Settings;
  AdmissionLevels Levels;
  base::TimePoint LevelsAt;
  ArrivalTable Counts;
  std::map<ServiceModel, std::array<AccountDemand, Classes>> Accounts;
};

} // namespace kingcuphub::overload

#endif // KINGCUPHUB_OVERLOAD_ADMISSIONFILTER_H
