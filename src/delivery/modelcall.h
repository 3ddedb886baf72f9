#ifndef KINGCUPHUB_DELIVERY_MODELCALL_H
#define KINGCUPHUB_DELIVERY_MODELCALL_H

/// \file
/// The attempts at one call of a model, from the first to the whole answer or
/// a truthful failure. Reads no clock and does no I/O: it is told what happens
/// and returns what is to be done.

#include "base/clock.h"
#include "base/ids.h"
#include "delivery/answerassembler.h"
#include "delivery/outcome.h"
#include "delivery/retrybudget.h"
#include "delivery/sseparser.h"
#include "http/httpmessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace kingcuphub::delivery {

struct ModelCallSettings {
  /// The longest wait for an attempt's first token.
  base::Duration FirstTokenSilence = std::chrono::seconds(10);
  /// The longest gap between two tokens.
  base::Duration TokenSilence = std::chrono::seconds(2);
  /// How long after its last token a started answer may still be resumed,
  /// also past the request's deadline.
  base::Duration ResumeWindow = std::chrono::seconds(10);
  unsigned MaxAttempts = 4;
};

/// Send the request to a target, for the tokens from FirstToken on.
struct StartAttempt {
  base::RequestId Attempt;
  base::TargetId Target;
  std::uint64_t FirstToken = 0;
  bool FreshConnection = false;
};

/// Drop the attempt's connection and have the engine cancel its work.
struct AbandonAttempt {
  base::RequestId Attempt;
  base::TargetId Target;
};

/// Pass the next token on.
struct DeliverToken {
  nlohmann::json Chunk;
};

/// Close the answer: it is whole.
struct DeliverEnd {
  WholeAnswer Answer;
};

/// The engine refused the request's content; pass its words on.
struct DeliverRejection {
  int Status = 400;
  std::string Body;
};

enum class CallFailure {
  /// No target can take it.
  NoTarget,
  /// Every target that was tried refused it unrun.
  Refused,
  /// No target that was tried could be connected to.
  Unreachable,
  /// The answer broke and could not be resumed.
  Cut,
  /// The deadline passed.
  DeadlinePassed,
};

std::string_view failureName(CallFailure Kind);

/// End the call without a whole answer.
struct FailCall {
  CallFailure Kind = CallFailure::Cut;
  Outcome Known = Outcome::Unknown;
};

using CallCommand = std::variant<StartAttempt, AbandonAttempt, DeliverToken,
                                 DeliverEnd, DeliverRejection, FailCall>;
using CallCommands = std::vector<CallCommand>;

/// Chooses a target outside the given ones for one more attempt.
using TargetPicker = std::function<std::optional<base::TargetId>(
    const std::set<base::TargetId> &Avoid)>;

struct ModelCallRequest {
  base::RequestId Id;
  base::AccountId Account;
  bool Idempotent = true;
  base::TimePoint Deadline;
};

/// How an attempt's connection ended.
struct AttemptEnd {
  /// The whole HTTP answer arrived.
  bool Complete = false;
  /// True unless no byte of the request can have left.
  bool MayHaveBeenSent = true;
};

/// The target of a call's first attempt, counted in the budget; else why there
/// is none.
tl::expected<base::TargetId, CallFailure>
pickFirst(const ModelCallRequest &Request, const TargetPicker &Pick,
          const std::set<base::TargetId> &Failed, RetryBudget &Budget,
          base::TimePoint Now);

class ModelCall {
public:
  ModelCall(ModelCallRequest Request, const ModelCallSettings &Settings,
            RetryBudget &Budget, TargetPicker Pick);

  CallCommands begin(base::TimePoint Now);
  CallCommands onHead(base::TimePoint Now, const base::RequestId &Attempt,
                      int Status, const std::vector<http::Header> &Headers);
  CallCommands onData(base::TimePoint Now, const base::RequestId &Attempt,
                      std::string_view Bytes);
  CallCommands onEnd(base::TimePoint Now, const base::RequestId &Attempt,
                     const AttemptEnd &End);
  CallCommands onTime(base::TimePoint Now);
  CallCommands onCallerGone();

  /// When onTime() is due.
  base::TimePoint nextTimeout() const;
  bool finished() const { return this->Finished; }
  unsigned attempts() const { return this->AttemptCount; }
  const base::TargetId &target() const { return this->Target; }

private:
  /// What an ended attempt tells of the request.
  enum class Evidence { NotSent, RefusedUnrun, Started };
  /// Where the next attempt goes first.
  enum class Preference { Elsewhere, SameTarget };

  bool isRunning(const base::RequestId &Attempt) const;
  void start(base::TimePoint Now, base::TargetId To, bool Fresh,
             CallCommands &Out);
  void abandon(CallCommands &Out);
  void failAttempt(base::TimePoint Now, Evidence Seen, CallCommands &Out);
  void failConnection(base::TimePoint Now, CallCommands &Out);
  void repeat(base::TimePoint Now, Preference Where, CallCommands &Out);
  std::optional<base::TargetId> nextTarget(Preference Where);
  void fail(CallFailure Kind, CallCommands &Out);
  void takeEvents(base::TimePoint Now, std::string_view Bytes,
                  CallCommands &Out);
  void takeEvent(base::TimePoint Now, AnswerEvent Event, CallCommands &Out);
  void endRefusal(base::TimePoint Now, CallCommands &Out);
  base::TimePoint lastStart() const;
  CallFailure failureKind() const;

  ModelCallRequest Request;
  const ModelCallSettings &Settings;
  RetryBudget &Budget;
  TargetPicker Pick;
  AnswerAssembler Assembler;
  SseParser Parser;

  base::RequestId Attempt;
  base::TargetId Target;
  unsigned AttemptCount = 0;
  std::set<base::TargetId> Failed;
  /// How often a connection to a target has gone silent or was cut; the
  /// target itself may be well.
  std::map<base::TargetId, unsigned> ConnectionFaults;
  base::TimePoint SilentAt;
  std::optional<base::TimePoint> LastToken;
  int Status = 0;
  std::string RefusalBody;
  bool AnyStarted = false;
  bool AnyRefused = false;
  bool Running = false;
  bool Finished = false;
};

} // namespace kingcuphub::delivery

#endif // KINGCUPHUB_DELIVERY_MODELCALL_H
