#ifndef KINGCUPHUB_FORWARDING_INTERNAL_TARGETENDCHECK_H
#define KINGCUPHUB_FORWARDING_INTERNAL_TARGETENDCHECK_H

/// \file
/// Finds out whether a target has ended after its connections were closed in
/// the middle of answers. A process that ends takes all its connections with it
/// and refuses the next one; a target that only breaks off answers goes on to
/// listen.

#include "dispatch/crashevidence.h"
#include "http/forwardclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcuphub::forwarding {

/// A request whose answer was broken off, or whose end nothing states.
struct BrokenOffRequest {
  base::TargetId Target;
  catalog::Lifetime Lifetime;
  http::Peer Peer;
  dispatch::PromptParts Prompt;
  /// Called if the target has ended.
  std::function<void()> OnTargetEnd;
};

class TargetEndCheck {
public:
  /// \p Found is called for each end, and again if further requests turn out to
  /// have ended with it.
  TargetEndCheck(asio::io_context &Loop, http::ForwardClient &Client,
                 const base::Clock &Clock,
                 std::function<void(dispatch::TargetEnd)> Found);
  TargetEndCheck(const TargetEndCheck &) = delete;
  TargetEndCheck &operator=(const TargetEndCheck &) = delete;
  ~TargetEndCheck() { *this->Alive = false; }

  void onBrokenOff(BrokenOffRequest Request);

private:
  struct Check {
    explicit Check(asio::io_context &Loop) : Timer(Loop) {}

    asio::steady_timer Timer;
    std::vector<BrokenOffRequest> Requests;
  };

  void start(const std::string &Name);
  void finish(const std::string &Name, http::ListenState State);

  asio::io_context &Loop;
  http::ForwardClient &Client;
  const base::Clock &Clock;
  std::function<void(dispatch::TargetEnd)> Found;
  /// By the name of the peer.
  std::map<std::string, std::unique_ptr<Check>> Checks;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_INTERNAL_TARGETENDCHECK_H
