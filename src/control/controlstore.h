#ifndef KINGCUPHUB_CONTROL_CONTROLSTORE_H
#define KINGCUPHUB_CONTROL_CONTROLSTORE_H

/// \file
/// Interfaces to the platform's store and to the engines. All calls and
/// callbacks happen on the control loop's thread.

#include "base/clock.h"
#include "base/error.h"
#include "catalog/target.h"
#include "duties/targetscaler.h"
#include "duties/usageledger.h"
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

/// A position in one of the store's logs: its era and the offset in it. A later
/// one is larger.
using StorePosition = base::NumberId<struct StorePositionTag>;

constexpr StorePosition storePosition(std::uint64_t Era, std::uint64_t Offset) {
  return {residency::logPosition(Era, Offset).Value};
}

/// An answered read of one of the store's logs.
struct StoreRead {
  /// When the store was asked: what it had acknowledged by then is included, if
  /// the read is UpToDate.
  base::TimePoint AskedAt;
  /// The position behind the last record that was read.
  StorePosition Through;
  /// Whether the log ended there.
  bool UpToDate = true;
};

struct TargetRead {
  StoreRead Read;
  /// Whether the updates are the complete list of targets.
  bool Whole = false;
};

/// Whether reads of one kind succeed.
struct StoreHealth {
  std::string_view Reading;
  bool Reachable = true;
  std::string Detail;
};

struct StoreEvents {
  std::function<void(catalog::CatalogPtr)> OnCatalog;
  std::function<void(std::set<base::ZoneId>)> OnZonesOut;
  /// Called for each answered read of catalog and zones. What it brought is
  /// passed to OnCatalog and OnZonesOut before.
  std::function<void(const StoreRead &)> OnOperatorRead;
  std::function<void(const std::vector<TargetUpdate> &, const TargetRead &)>
      OnTargets;
  std::function<void(const std::optional<residency::LeaseRecord> &,
                     residency::LeaseLogEnd)>
      OnLease;
  /// The store has answered a call of this instance, of whatever kind.
  std::function<void()> OnServed;
  std::function<void(const StoreHealth &)> OnHealth;
  /// The store has come back from an older copy.
  std::function<void()> OnRestored;
  /// Targets that the store does not list may still be there, as it has come
  /// back from an older copy lately.
  std::function<void()> OnIncompleteTargets;
};

enum class AppendResult {
  Appended,
  /// Nothing was appended.
  NotAppended,
  /// The record may have been appended, or may still be appended later.
  Unknown,
};

class ControlStore {
public:
  virtual ~ControlStore() = default;
  /// Starts to read continuously, until the store is destroyed.
  virtual void start(StoreEvents Events) = 0;
  /// Sets whether to follow the lease record. The holder itself knows it.
  virtual void followLease(bool Follow) = 0;
  /// Reads what is new of catalog and zones at once, without waiting for a
  /// request that the store holds. Does nothing while such a read is under way
  /// or about to be repeated.
  virtual void readCatalogNow() = 0;
  /// Sets how long the store may hold a request for a newer catalog. If that is
  /// shorter than before, it is read at once.
  virtual void setCatalogWait(std::chrono::milliseconds Wait) = 0;
  /// Sets whether to follow the list of targets. Not needed while the holder
  /// sends it.
  virtual void followTargets(bool Follow) = 0;
  /// Reads the complete list of targets again, if it is followed.
  virtual void readAllTargets() = 0;
  virtual void append(const residency::LeaseAppend &What,
                      std::function<void(AppendResult)> Done) = 0;
};

struct OrderOutcome {
  residency::OrderAnswer Answer = residency::OrderAnswer::Unknown;
  residency::OrderEnd End = residency::OrderEnd::Answered;
};

struct OrderCallbacks {
  /// Asked right before the order leaves; if it returns false, nothing is sent
  /// and the answer is Conflict. May be empty.
  std::function<bool()> MayStillSend;
  /// Must be set. Called once: with the answer, or with an Unknown outcome when
  /// it is no longer waited for.
  std::function<void(OrderOutcome)> OnOutcome;
  /// Must be set. Called once, right before OnOutcome or later, when the
  /// connection has ended; with the engine's late answer, if it gave one.
  std::function<void(OrderOutcome)> OnSettled;
};

/// Requests reports from engines and sends them orders.
class EngineClient {
public:
  virtual ~EngineClient() = default;
  /// Calls \p Done without a report if the engine does not answer in time or
  /// another target answers.
  virtual void
  report(const catalog::Target &From,
         std::function<void(std::optional<residency::EngineReport>)> Done) = 0;
  virtual void order(const catalog::Target &To, const residency::Order &What,
                     const base::InstanceId &Holder,
                     OrderCallbacks Callbacks) = 0;
  /// Abandons all orders under way. Those that have not left are not sent; the
  /// others are followed until they are settled.
  virtual void abandonOrders() = 0;
};

enum class DutyAnswer {
  Accepted,
  /// A call with a higher token has been seen.
  Fenced,
  /// The platform refused the call, or it was not sent.
  NotCarriedOut,
  /// The call may have been carried out, or may be later.
  Unknown,
};

/// Makes the calls that the lease holder owes the platform.
class DutyClient {
public:
  virtual ~DutyClient() = default;
  /// Reports the use of a window. \p MayStillSend is asked right before the
  /// call leaves.
  virtual void reportUsage(const duties::UsageReport &Report,
                           residency::FencingToken Token,
                           const base::InstanceId &Holder,
                           std::function<bool()> MayStillSend,
                           std::function<void(DutyAnswer)> Done) = 0;
  /// Orders how many targets a service runs in an availability zone.
  virtual void orderTargets(const duties::ScalingOrder &Order,
                            residency::FencingToken Token,
                            const base::InstanceId &Holder,
                            std::function<bool()> MayStillSend,
                            std::function<void(DutyAnswer)> Done) = 0;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_CONTROLSTORE_H
