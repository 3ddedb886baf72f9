#ifndef KINGCUPHUB_AGENT_INTERNAL_PEERLINKS_H
#define KINGCUPHUB_AGENT_INTERNAL_PEERLINKS_H

/// \file
/// Connections to other agents, made when there is something to send and
/// closed when there has not been for a while.

#include "base/clock.h"
#include "base/ids.h"
#include "messaging/messaging.h"

#include <functional>
#include <map>
#include <memory>
#include <peer.pb.h>

namespace kingcuphub::agent {

class PeerLinks {
public:
  using Handler = std::function<void(std::string_view)>;

  PeerLinks(messaging::Messaging &Messaging, Handler OnMessage)
      : Messaging(Messaging), OnMessage(std::move(OnMessage)) {}

  void send(const base::InstanceId &To, const wire::PeerMessage &Message,
            base::TimePoint Now);
  /// Drops the connection; the next message makes a new one.
  void reconnect(const base::InstanceId &To) { this->close(To); }
  void closeIdle(base::TimePoint Now);
  /// Through all connections since the start.
  messaging::TrafficCount traffic() const;
  std::size_t open() const { return this->Links.size(); }

private:
  struct Link {
    std::unique_ptr<messaging::MessageClient> Client;
    base::TimePoint UsedAt;
  };

  void close(const base::InstanceId &To);
  static void add(messaging::TrafficCount &To,
                  const messaging::TrafficCount &More);

  messaging::Messaging &Messaging;
  Handler OnMessage;
  std::map<base::InstanceId, Link> Links;
  messaging::TrafficCount Closed;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_PEERLINKS_H
