#ifndef KINGCUPHUB_GATEWAY_INTERNAL_DISPATCHER_H
#define KINGCUPHUB_GATEWAY_INTERNAL_DISPATCHER_H

/// \file
/// From a checked request to a target that may run it: the account's tokens,
/// the fair queue, the choice of a target and its slot.

#include "admission/fairqueue.h"
#include "admission/ratelimitqueue.h"
#include "base/clock.h"
#include "creditlink.h"
#include "routing/router.h"

#include <functional>
#include <link.pb.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kingcuphub::gateway {

class Dispatcher;

/// A place at a target, held while an attempt runs there.
class TargetLease {
public:
  TargetLease(Dispatcher &Owner, base::TargetId Target,
              std::optional<CreditTaken> ColdSlot);
  TargetLease(TargetLease &&Other) noexcept;
  TargetLease &operator=(TargetLease &&Other) noexcept;
  /// Counts as cancelled if it was not ended.
  ~TargetLease();

  const base::TargetId &target() const { return this->Target; }
  /// Tells the target's view how long the first token took.
  void firstToken(std::chrono::milliseconds After);
  void end(routing::RequestEnd How);

private:
  Dispatcher *Owner;
  base::TargetId Target;
  std::optional<CreditTaken> ColdSlot;
};

struct DispatchRequest {
  base::RequestId Id;
  /// Empty on a route that is open to all, which costs no tokens.
  std::optional<state::Account> Account;
  unsigned Priority = 1;
  base::Tokens Cost{1};
  base::TimePoint Deadline;
  routing::RouteQuery Query;
};

/// Why a request is given up, and when to come back.
struct OverRate {
  base::Duration RetryAfter;
};
struct Overloaded {
  base::Duration RetryAfter;
};
struct NoTarget {
  base::Duration RetryAfter;
};
using DispatchRefusal = std::variant<OverRate, Overloaded, NoTarget>;

struct DispatchCallbacks {
  /// The account's tokens, if it costs any, and a place at a target.
  std::function<void(std::optional<CreditTaken>, TargetLease)> OnReady;
  std::function<void(const DispatchRefusal &)> OnRefused;
};

struct DispatchSettings {
  /// The longest wait for the account's tokens, and for a target to hold the
  /// model.
  base::Duration QueueWait = std::chrono::seconds(2);
  base::ZoneId Zone;
};

class Dispatcher {
public:
  Dispatcher(DispatchSettings Settings, const base::Clock &Clock,
             CreditLink::Sender Send);

  void configure(const state::Config &Config);
  void onReports(const wire::TargetReports &Reports);
  void onCredit(const wire::Credit &Credit);
  void onGeneration(std::uint64_t Generation);
  void onTime();
  CreditLink &credits() { return this->Credits; }

  /// Calls one of \p Callbacks once, at once or later, unless removed.
  void submit(DispatchRequest Request, DispatchCallbacks Callbacks);
  void remove(const base::RequestId &Id);

  /// A target for one more attempt of a request that has been dispatched.
  std::optional<base::TargetId> chooseAgain(routing::RouteQuery Query);
  /// A place at a target that was chosen; nothing if it takes no more.
  std::optional<TargetLease> lease(const base::TargetId &Target);

  std::size_t waiting() const { return this->Pending.size(); }
  /// Dispatches nothing from now on.
  void stop() { this->Stopped = true; }

private:
  friend class TargetLease;

  struct Entry {
    DispatchRequest Request;
    DispatchCallbacks Callbacks;
    base::TimePoint SubmittedAt;
    std::optional<CreditTaken> Tokens;
  };
  struct Report {
    wire::TargetReport Content;
    base::TimePoint At;
  };
  /// Tokens started in a pool, decaying with RateWindow.
  struct PoolRate {
    double Tokens = 0;
    base::TimePoint At;
  };

  void takeReport(const Report &New);
  void run();
  void takeTokenOutcomes();
  void enqueue(Entry &Waiting);
  bool dispatchOne();
  bool canRun(const admission::QueueEntry &Each);
  void expire();
  void giveUpUnplaced();
  void refuse(const base::RequestId &Id, const DispatchRefusal &Why);
  routing::RouteResult choose(routing::RouteQuery Query);
  void onEnded(const base::TargetId &Target, routing::RequestEnd How,
               const std::optional<CreditTaken> &ColdSlot);
  void noteStart(const std::string &Pool, base::Tokens Cost);
  base::Duration drainTime(const std::string &Pool, unsigned Priority);

  DispatchSettings Settings;
  const base::Clock &Clock;
  CreditLink Credits;
  admission::RateLimitQueue Rates;
  admission::FairQueue Queue;
  routing::Router Router;
  std::map<base::TargetId, Report> Reports;
  std::map<base::RequestId, Entry> Pending;
  std::map<std::string, PoolRate> PoolRates;
  /// Cold slots that waiting requests could use.
  std::map<base::QuantityId, std::int64_t> WantedSlots;
  std::optional<base::TargetId> ChosenTarget;
  bool Running = false;
  bool RunAgain = false;
  bool Stopped = false;
  base::TimePoint PlacementCheckedAt;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_DISPATCHER_H
