#ifndef KINGCUPHUB_DELIVERY_SERVICECALL_H
#define KINGCUPHUB_DELIVERY_SERVICECALL_H

/// \file
/// The attempts at one call of a plain service, from the first to the whole
/// answer or a truthful failure. Reads no clock and does no I/O.

#include "base/clock.h"
#include "base/ids.h"
#include "delivery/modelcall.h"
#include "delivery/outcome.h"
#include "delivery/retrybudget.h"
#include "http/httpmessage.h"

#include <set>
#include <variant>
#include <vector>

namespace kingcuphub::delivery {

/// Send the request to a target.
struct StartServiceAttempt {
  base::RequestId Attempt;
  base::TargetId Target;
  bool FreshConnection = false;
};

/// Drop the attempt's connection.
struct DropServiceAttempt {
  base::RequestId Attempt;
};

/// Pass the target's whole answer on.
struct DeliverResponse {
  http::Response Whole;
};

using ServiceCommand = std::variant<StartServiceAttempt, DropServiceAttempt,
                                    DeliverResponse, FailCall>;
using ServiceCommands = std::vector<ServiceCommand>;

struct ServiceCallSettings {
  unsigned MaxAttempts = 3;
};

class ServiceCall {
public:
  ServiceCall(ModelCallRequest Request, ServiceCallSettings Settings,
              RetryBudget &Budget, TargetPicker Pick);

  ServiceCommands begin(base::TimePoint Now);
  /// The attempt has ended; \p Whole counts only if \p End is complete.
  ServiceCommands onEnd(base::TimePoint Now, const base::RequestId &Attempt,
                        const AttemptEnd &End, http::Response Whole);
  ServiceCommands onTime(base::TimePoint Now);
  ServiceCommands onCallerGone();

  bool finished() const { return this->Finished; }
  /// Whether a byte of the request may have reached a target.
  bool mayHaveRun() const { return this->AnySent; }
  unsigned attempts() const { return this->AttemptCount; }
  const base::TargetId &target() const { return this->Target; }

private:
  void start(base::TargetId To, ServiceCommands &Out);
  void repeat(base::TimePoint Now, ServiceCommands &Out);
  void fail(CallFailure Kind, ServiceCommands &Out);

  ModelCallRequest Request;
  ServiceCallSettings Settings;
  RetryBudget &Budget;
  TargetPicker Pick;
  base::RequestId Attempt;
  base::TargetId Target;
  std::set<base::TargetId> Failed;
  std::optional<http::Response> LastAnswer;
  unsigned AttemptCount = 0;
  bool AnySent = false;
  bool Finished = false;
};

} // namespace kingcuphub::delivery

#endif // KINGCUPHUB_DELIVERY_SERVICECALL_H
