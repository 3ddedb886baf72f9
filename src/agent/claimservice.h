#ifndef KINGCUPHUB_AGENT_CLAIMSERVICE_H
#define KINGCUPHUB_AGENT_CLAIMSERVICE_H

/// \file
/// Decides which request may run a call that must run at most once.

#include <chrono>
#include <functional>
#include <link.pb.h>

namespace kingcuphub::agent {

class ClaimService {
public:
  using Done = std::function<void(const wire::ClaimVerdict &)>;

  virtual ~ClaimService() = default;
  /// Answers within \p Wait.
  virtual void claim(const wire::Claim &Claim, std::chrono::milliseconds Wait,
                     Done OnVerdict) = 0;
  /// Keeps the outcome of a call whose claim was granted.
  virtual void store(const wire::ClaimResult &Result) = 0;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_CLAIMSERVICE_H
