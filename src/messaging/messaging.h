#ifndef KINGCUPHUB_MESSAGING_MESSAGING_H
#define KINGCUPHUB_MESSAGING_MESSAGING_H

/// \file
/// ZeroMQ sockets on the caller's Asio loop: whole messages of bytes between
/// the system's own processes. All calls and callbacks happen on the loop's
/// thread. Nothing here blocks; a message that cannot be queued is dropped
/// and counted.

#include "base/error.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuphub::messaging {

enum class MessagingErrc { CannotBind = 1, CannotConnect, BadKey };
std::error_code make_error_code(MessagingErrc Kind);

/// A CURVE key pair of a deployment, in Z85; each instance holds the same one
/// and admits no other.
struct CurveKeys {
  std::string Public;
  std::string Secret;
};

/// A new pair.
CurveKeys makeCurveKeys();

/// Bytes and messages through one socket since it was made.
struct TrafficCount {
  std::uint64_t MessagesIn = 0;
  std::uint64_t MessagesOut = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t Dropped = 0;
};

/// Names one connected client to its server while the connection lives.
struct ClientName {
  std::string Value;
  auto operator<=>(const ClientName &) const = default;
};

/// The listening end; answers clients by name.
class MessageServer {
public:
  using Handler = std::function<void(const ClientName &, std::string_view)>;
  virtual ~MessageServer() = default;
  /// As in `tcp://127.0.0.1:4567`, with the port that was bound.
  virtual std::string endpoint() const = 0;
  virtual void send(const ClientName &To, std::string_view Message) = 0;
  virtual TrafficCount traffic() const = 0;
};

/// The connecting end; reconnects by itself.
class MessageClient {
public:
  using Handler = std::function<void(std::string_view)>;
  virtual ~MessageClient() = default;
  virtual void send(std::string_view Message) = 0;
  virtual TrafficCount traffic() const = 0;
};

/// The process's ZeroMQ context; outlives its sockets. Where keys are given,
/// every socket made from it is encrypted and admits only the same keys.
class Messaging {
public:
  virtual ~Messaging() = default;
  /// \p Endpoint as in `tcp://127.0.0.1:0`; port 0 takes a free one.
  virtual base::Result<std::unique_ptr<MessageServer>>
  serve(const std::string &Endpoint, MessageServer::Handler OnMessage) = 0;
  virtual base::Result<std::unique_ptr<MessageClient>>
  connect(const std::string &Endpoint, MessageClient::Handler OnMessage) = 0;
  /// Connections refused because their key was not the deployment's.
  virtual std::uint64_t refusedKeys() const = 0;
};

base::Result<std::unique_ptr<Messaging>>
makeMessaging(asio::io_context &Loop, std::optional<CurveKeys> Keys);

} // namespace kingcuphub::messaging

template <>
struct std::is_error_code_enum<kingcuphub::messaging::MessagingErrc>
    : std::true_type {};

#endif // KINGCUPHUB_MESSAGING_MESSAGING_H
