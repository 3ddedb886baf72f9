#ifndef KINGCUPHUB_FORWARDING_INTERNAL_EXCHANGE_H
#define KINGCUPHUB_FORWARDING_INTERNAL_EXCHANGE_H

/// \file
/// One request from its arrival to its answer: admitted, placed at a target or
/// made to wait, sent, and its answer passed on. Ends once, with an answer, a
/// visibly broken one, or the caller's departure.

#include "base/log.h"
#include "forwarding/eventframer.h"
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
  /// The account's tokens have been taken.
  void admitted();
  /// The account's tokens are not to be had in time.
  void overLimit(std::chrono::milliseconds RetryAfter);
  /// Takes in a new catalog while nothing of the request has been sent.
  void reconsider();
  /// Whether a target can take it now; remembers which.
  bool canBeSent();
  /// Sends it to the target that canBeSent() found.
  void sendNow();
  /// Its time in the line is over.
  void waitedTooLong();
  /// What it waits for, if that is a model or adapter that no target holds.
  std::optional<std::pair<catalog::ServiceId, residency::Item>> lacking() const;

private:
  enum class Mode {
    /// No answer has begun.
    Silent,
    /// The target refuses the request unrun; its answer is dropped.
    Refused,
    /// The answer is held until it is whole.
    Held,
    /// The answer is passed on as it arrives.
    Passed,
  };

  base::TimePoint now() const { return this->Context.Clock.now(); }
  bool resolve();
  bool resolveAccount();
  /// Tells the caller that a route or key is not there, unless the catalog that
  /// says so may be out of date.
  void denyBy(int Status, std::string_view Reason);
  void admit();
  void chooseService();
  void countUse();
  std::int64_t amount() const;
  dispatch::TargetQuery query() const;

  void dispatch();
  void enqueue();
  void giveUp(const dispatch::RefuseNow &Why);
  void standInLine(std::chrono::milliseconds Limit);
  dispatch::WaitContext waitContext() const;
  std::chrono::milliseconds patience() const;
  std::chrono::milliseconds loadTime() const;
  void leaveLine();

  void send(const base::TargetId &Target);
  SendFacts sendFacts(base::TimePoint Now) const;
  void onHead(const http::MessageHead &Head);
  void noteWordOfTarget(const AnswerFacts &Said);
  void onData(std::string_view Bytes);
  void onDone(const http::ForwardResult &Result);
  void pass(std::string Bytes);
  void passEvents(std::string_view Bytes);
  void cutRefusal();
  /// Closes the connection to the target, if there is one.
  void dropCall();
  void beginPassing();
  void breakAttempt(const char *Why);
  void endAttempt(dispatch::AttemptEnd How);

  void afterRefused();
  void afterHeld();
  void afterPassed();
  void afterBroken(bool MayHaveRun, const std::string &Why);
  bool mayRepeat(unsigned RunsSoFar) const;
  bool payForRepeat();

  void watch();
  void onTimer();
  std::chrono::milliseconds silenceLimit() const;
  bool isReplaceable();

  void
  refuse(int Status, std::string_view Reason,
         std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt);
  std::chrono::milliseconds spread(std::chrono::milliseconds Time) const;
  void abort(std::string_view Reason);
  void callerGone();
  void end(std::string_view Outcome, int Status, std::string_view Reason);
  void log(base::LogLevel Level, std::string_view Event,
           nlohmann::json Fields) const;

  TrafficContext &Context;
  http::Request Asked;
  std::shared_ptr<const std::string> Body;
  http::ResponseWriterPtr Answer;
  dispatch::RequestFacts Facts;
  base::RequestId Number;
  base::TimePoint ReceivedAt;
  base::TimePoint AnswerBy;

  catalog::CatalogPtr Catalog;
  const catalog::Route *Route = nullptr;
  const catalog::Account *Account = nullptr;
  catalog::ServiceId Service;
  bool UsageTaken = false;

  bool InLine = false;
  dispatch::WaitFor WaitsFor = dispatch::WaitFor::Capacity;
  /// When a place is free, where the targets have said it.
  std::optional<base::TimePoint> CapacityAt;
  std::optional<base::TargetId> Chosen;

  std::set<base::TargetId> Tried;
  std::optional<base::TargetId> Target;
  std::shared_ptr<http::ForwardCall> Call;
  unsigned Attempt = 0;
  /// Attempts that may have run the request, and ones that certainly have not.
  unsigned Runs = 0;
  unsigned Unrun = 0;
  base::TimePoint SentAt;
  base::TimePoint ProgressAt;
  Mode Receiving = Mode::Silent;
  http::MessageHead Head;
  AnswerFacts HeadFacts;
  std::string Held;
  /// Bytes of a refusal's body, which are dropped.
  std::size_t Dropped = 0;
  /// The caller has the head of an answer.
  bool Begun = false;
  std::optional<base::TimePoint> FirstByteAt;
  EventFramer Events;
  asio::steady_timer Timer;
  bool Ended = false;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_INTERNAL_EXCHANGE_H
