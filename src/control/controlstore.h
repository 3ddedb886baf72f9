#ifndef KINGCUPHUB_CONTROL_CONTROLSTORE_H
#define KINGCUPHUB_CONTROL_CONTROLSTORE_H

/// \file
/// What the control side reads from and writes to the platform's store. All
/// calls and callbacks happen on the control loop's thread.

#include "base/error.h"
#include "catalog/target.h"
#include "residency/holderlease.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kingcuphub::control {

struct TargetRemoved {
  base::TargetId Id;
};
using TargetUpdate = std::variant<catalog::TargetEntry, TargetRemoved>;

/// Whether one kind of reading works.
struct StoreHealth {
  std::string_view Reading;
  bool Reachable = true;
  std::string Detail;
};

struct StoreEvents {
  std::function<void(catalog::CatalogPtr)> OnCatalog;
  /// The store is asked for a newer catalog, and has answered; what came with
  /// the answer was handed over before.
  std::function<void()> OnCatalogAsked;
  std::function<void()> OnCatalogAnswered;
  std::function<void(std::set<base::ZoneId>)> OnZonesOut;
  /// \p Whole: these are all targets that are listed.
  std::function<void(const std::vector<TargetUpdate> &, bool Whole)> OnTargets;
  std::function<void(const std::optional<residency::LeaseRecord> &,
                     residency::LeaseLogEnd)>
      OnLease;
  std::function<void(const StoreHealth &)> OnHealth;
};

enum class AppendEnd {
  Appended,
  /// Nothing was appended.
  NotAppended,
  /// It may have been appended, or may be later.
  Unknown,
};

class ControlStore {
public:
  virtual ~ControlStore() = default;
  /// Begins to read, and goes on until it is destroyed.
  virtual void start(StoreEvents Events) = 0;
  /// Whether the lease's record is followed; the holder itself knows it.
  virtual void followLease(bool Follow) = 0;
  /// Reads catalog and zones anew.
  virtual void readCatalogAgain() = 0;
  /// How long the store is asked to wait for a newer catalog from now on.
  virtual void setCatalogWait(std::chrono::milliseconds Wait) = 0;
  /// Whether the list of targets is followed; an instance that hears it from
  /// the holder need not.
  virtual void followTargets(bool Follow) = 0;
  virtual void append(const residency::LeaseAppend &What,
                      std::function<void(AppendEnd)> Done) = 0;
};

/// Speaks with engines about what they hold.
class EngineClient {
public:
  virtual ~EngineClient() = default;
  /// Gives no report if the engine does not answer in time or as another.
  virtual void
  report(const catalog::Target &Of,
         std::function<void(std::optional<residency::EngineReport>)> Done) = 0;
  virtual void order(const catalog::Target &To, const residency::Order &What,
                     const base::InstanceId &Holder,
                     std::function<void(residency::OrderAnswer)> Done) = 0;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_CONTROLSTORE_H
