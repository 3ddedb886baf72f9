#ifndef KINGCUPHUB_FORWARDING_INTERNAL_EXCHANGE_H
#define KINGCUPHUB_FORWARDING_INTERNAL_EXCHANGE_H

/// \file
/// Processes one request from its arrival to its answer: admission, selection
/// of a target or waiting for one, sending, and forwarding of the answer. Ends
/// exactly once: with an answer, with an answer visibly cut off, or when the
/// caller disconnects.

#include "base/log.h"
#include "forwarding/eventframer.h"
#include "resolvedrequest.h"
#include "resumptionwait.h"
#include "trafficcontext.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kingcuphub::forwarding {

class Exchange final : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(TrafficContext &Context, http::Request NewAsked,
           http::ResponseWriterPtr NewAnswer);
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  ~Exchange();

  void start();
  /// The account's tokens have been taken, or none are needed.
  void admitted(std::optional<admission::TokensTaken> Taken);
  /// The account's tokens are not available in time.
  void tokensRefused(std::chrono::milliseconds RetryAfter);
  /// Applies a new catalog to a request that waits for tokens or for a target,
  /// unless it may have run already. Returns whether the request no longer
  /// waits, so that proceed() has to be called.
  bool reconsider();
  /// Goes on with a request that reconsider() has taken out of its queue.
  void proceed();
  base::TimePoint receivedAt() const { return this->ReceivedAt; }
  /// Selects a target that can take the request now; returns false if there is
  /// none.
  bool selectTarget();
  /// Sends the request to the target that selectTarget() selected.
  void sendToSelected();
  /// The request has reached its waiting limit in the queue.
  void onWaitExpired();
  /// Refuses the request if its prompt has been quarantined since it was
  /// admitted. Returns whether the request has ended.
  bool refuseIfQuarantined();
  /// Refuses the request if the process is stopping and may cut its answer.
  /// Returns whether the request has ended.
  bool refuseIfStopping();
  /// The model or adapter for which the request waits, if no target holds it.
  std::optional<std::pair<catalog::ServiceId, residency::Item>>
  missingItem() const;

private:
  enum class AnswerState {
    /// No answer has begun.
    NoAnswer,
    /// The target refuses the request without running it; the body is
    /// discarded.
    Refused,
    /// The answer is buffered until it is complete.
    Held,
    /// The answer is forwarded as it arrives.
    Forwarded,
  };

  /// Whether the retry budget has already granted the next attempt.
  enum class RetryPayment { Due, Taken };

  base::TimePoint now() const { return this->Context.Clock.now(); }
  /// What determines where in the queue a request waits.
  struct QueuePlace {
    base::AccountId Account;
    std::string Pool;
    unsigned Urgency = 0;
    bool operator==(const QueuePlace &) const = default;
  };

  /// Only if the request has been resolved.
  const catalog::Route &route() const { return *this->Resolved->Route; }
  /// Null if the request has no account.
  const catalog::Account *account() const {
    return this->Resolved ? this->Resolved->Account : nullptr;
  }
  /// Empty if the request has no account.
  base::AccountId accountId() const;
  /// Empty if no route is known.
  base::RouteId routeId() const;
  bool resolve();
  void setResolved(ResolvedRequest New);
  void rejectByCatalog(CatalogRejection Why);
  void stopAwaitingTokens();
  /// Returns the tokens of a request that has certainly not run.
  void returnTokens();
  /// Whether its answer ends before a stopping process cuts it, as far as is
  /// known.
  bool endsBeforeStop() const;
  void admit();
  /// Returns whether the request may be sent as far as the quarantine is
  /// concerned; refuses it otherwise.
  bool passQuarantine();
  void refuseQuarantined(const dispatch::Quarantined &Why);
  void chooseService();
  void countUse();
  std::int64_t tokenCost() const;
  dispatch::TargetQuery query() const;
  /// What requests wait for in line: the model and adapter of a service.
  std::string pool() const;
  QueuePlace queuePlace() const;
  unsigned urgency() const;

  /// Refuses the request if less of the demand for its model is admitted.
  /// Returns whether the request has ended.
  bool refuseIfOverloaded();
  bool countsArrivals() const;
  void dispatch();
  void queueOrRefuse();
  void endWithoutTarget(const dispatch::RefuseNow &Why);
  void joinQueue(std::chrono::milliseconds Limit);
  dispatch::WaitContext waitContext() const;
  std::chrono::milliseconds patience() const;
  std::chrono::milliseconds loadTime() const;
  void leaveQueue();

  void send(const base::TargetId &Target);
  SendFacts sendFacts(base::TimePoint Now) const;
  void onHead(const http::MessageHead &Head);
  void recordTargetState(const AnswerFacts &Said);
  void onData(std::string_view Bytes);
  void onDone(const http::ForwardResult &Result);
  void forward(std::string Bytes);
  void forwardPiece(std::string_view Bytes);
  bool isEventStream() const;
  void cancelRefusal();
  /// Cancels the call to the target, if there is one.
  void cancelCall();
  void beginForwarding();
  const char *endFault();
  void failAttempt(const char *Why, RetryPayment Payment = RetryPayment::Due);
  void endAttempt(dispatch::AttemptEnd How, bool ServesQueue = true);
  /// Takes the time to the first part of the answer, once for each attempt.
  void recordAnswerTime();
  /// Takes how long an attempt waited that ends without an answer, if that is
  /// longer than expected.
  void recordUnansweredWait();

  void afterRefused();
  void afterHeld();
  void afterForwarded();
  void afterFailedAttempt(bool MayHaveRun, const std::string &Why,
                          RetryPayment Payment = RetryPayment::Due);
  /// Has the end of the target looked for after a connection was closed.
  void checkTargetEnd();
  bool mayRetry(unsigned RunsSoFar) const;
  /// Charges the account for a further run, too.
  bool takeFromRetryBudget(unsigned RunsSoFar);

  std::chrono::milliseconds resumptionPatience() const;
  /// Waits to ask the budget again for another attempt, if the answer can be
  /// resumed and its caller still waits. Returns whether it waits.
  bool waitToResume(std::string_view Reason);
  void retryResumption();

  void armTimer();
  void onTimer();
  std::chrono::milliseconds silenceLimit() const;
  bool hasAlternativeTarget();
  bool mayReplaceAttempt();

  void
  refuse(int Status, std::string_view Reason,
         std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt);
  std::chrono::milliseconds addJitter(std::chrono::milliseconds Time) const;
  void abort(std::string_view Reason);
  void callerGone();
  void end(std::string_view Outcome, int Status, std::string_view Reason);
  /// Of the last attempt; empty if its answer has not begun.
  std::string_view framingForLog() const;
  void log(base::LogLevel Level, std::string_view Event,
           nlohmann::json Fields) const;

  TrafficContext &Context;
  http::Request Asked;
  std::shared_ptr<const std::string> Body;
  http::ResponseWriterPtr Answer;
  dispatch::RequestFacts Facts;
  dispatch::PromptParts SharedParts;
  base::RequestId LocalId;
  base::TimePoint ReceivedAt;
  base::TimePoint Deadline;

  /// By the last catalog that allowed the request; none before that.
  std::optional<ResolvedRequest> Resolved;
  /// Set if the request was refused by a catalog.
  std::optional<CatalogRejection> Rejection;
  catalog::ServiceId Service;
  bool Admitted = false;
  bool UseCounted = false;
  /// What the request has taken of an account's credit.
  std::optional<admission::TokensTaken> Tokens;
  /// Set if the request was refused for its account's limit.
  std::optional<dispatch::CreditStanding> Credit;

  bool InQueue = false;
  dispatch::WaitFor WaitsFor = dispatch::WaitFor::Capacity;
  /// When a target accepts requests again, if all targets have stated it.
  std::optional<base::TimePoint> CapacityAt;
  std::optional<base::TargetId> SelectedTarget;

  std::set<base::TargetId> TriedTargets;
  /// Connections on which the request was refused. A target that writes a
  /// refusal again would refuse the next attempt by it.
  std::set<http::ConnectionId> RefusedOn;
  std::optional<base::TargetId> Target;
  catalog::Lifetime TargetLifetime;
  http::Peer TargetPeer;
  std::shared_ptr<http::ForwardCall> Call;
  unsigned Attempt = 0;
  pacing::SentAttempt SentAs;
  bool AnswerTimed = false;
  bool CountedAsBegun = false;
  /// Attempts that may have run the request, and attempts that were refused
  /// without running it.
  unsigned Runs = 0;
  unsigned Refusals = 0;
  /// Targets that ended while they ran the request.
  unsigned EndedTargets = 0;
  /// Let through although its prompt is quarantined.
  bool IsTrial = false;
  base::TimePoint SentAt;
  base::TimePoint ProgressAt;
  /// A silent attempt that could not be replaced is not looked at before.
  base::TimePoint SilenceCheckAt;
  /// The budget has refused a retry since the last attempt was sent.
  bool RetryRefused = false;
  AnswerState State = AnswerState::NoAnswer;
  http::MessageHead Head;
  /// How the last answer of a target ended.
  std::optional<http::ForwardEnd> AnswerEnd;
  AnswerFacts HeadFacts;
  std::string Held;
  /// For Held and the incomplete event of Events.
  base::MemoryReservation KeptMemory;
  /// Discarded bytes of a refusal's body.
  std::size_t DiscardedBytes = 0;
  /// The head of an answer has been sent to the caller.
  bool AnswerBegun = false;
  /// Another target can go on behind the part that has been sent.
  bool AnswerResumable = false;
  /// How the answer to the caller states its end, once it has begun.
  http::BodyFraming CallerFraming;
  std::optional<base::TimePoint> FirstByteAt;
  /// When a part of the answer was last sent to the caller.
  base::TimePoint ForwardedAt;
  ResumptionWait Resumption;
  EventFramer Events;
  std::shared_ptr<std::atomic<std::size_t>> Open;
  asio::steady_timer Timer;
  bool Ended = false;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_INTERNAL_EXCHANGE_H
