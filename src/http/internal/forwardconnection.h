#ifndef KINGCUPHUB_HTTP_INTERNAL_FORWARDCONNECTION_H
#define KINGCUPHUB_HTTP_INTERNAL_FORWARDCONNECTION_H

/// \file
/// One connection to a peer, with at most one request under way. A read is
/// always pending, also while it is kept idle, so that its end, or a byte that
/// nobody asked for, is noticed before the connection is used again.

#include "http/forwardclient.h"
#include "streamreader.h"
#include "streamwriter.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

namespace kingcuphub::http {

class ForwardConnection final
    : public std::enable_shared_from_this<ForwardConnection> {
public:
  /// Called once the connection is idle, and once it has closed.
  struct PoolHandlers {
    std::function<void(const std::shared_ptr<ForwardConnection> &)> OnIdle;
    std::function<void(const std::shared_ptr<ForwardConnection> &)> OnClosed;
  };

  ForwardConnection(asio::io_context &Loop, ConnectionId Id, Peer To,
                    ForwardSettings Settings, PoolHandlers Pool);
  ForwardConnection(const ForwardConnection &) = delete;
  ForwardConnection &operator=(const ForwardConnection &) = delete;

  ConnectionId id() const { return this->Id; }
  const Peer &peer() const { return this->To; }
  /// Whether it may still be used again at this time.
  bool usable(std::chrono::steady_clock::time_point Now) const;
  /// Connects first if it has not yet.
  std::shared_ptr<ForwardCall> start(ForwardRequest Request,
                                     ForwardCallbacks NewCallbacks);
  void close();

private:
  enum class Phase { New, Connecting, Busy, Idle, Closed };
  class Call;

  void connect();
  void setOptions();
  void sendRequest();
  void onSendFailed(asio::error_code Failed);
  void read();
  void onRead(asio::error_code Failed, std::string_view Bytes);
  void onBytes(std::string_view Bytes);
  void onHead(MessageHead Head);
  void onComplete(bool Surplus);
  void end(ForwardEnd How, std::string Detail);
  std::chrono::milliseconds idleTime(const MessageHead &Head) const;

  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  ConnectionId Id;
  Peer To;
  ForwardSettings Settings;
  PoolHandlers Pool;
  MessageParser Parser;
  StreamReader Reader;
  StreamWriter Writer;
  std::string Outgoing;
  /// A large body that is not among the bytes of Outgoing.
  std::shared_ptr<const std::string> OutgoingBody;
  ForwardCallbacks Callbacks;
  /// The calls that were started here, so that an old handle does nothing.
  std::uint64_t Calls = 0;
  Phase At = Phase::New;
  bool KeepAlive = false;
  bool RequestSent = false;
  bool Sending = false;
  /// Why the connection has broken, where only the writer was told.
  asio::error_code SendError;
  bool Reused = false;
  bool Paused = false;
  std::chrono::milliseconds IdleFor{0};
  std::chrono::steady_clock::time_point UsableUntil;
};

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_INTERNAL_FORWARDCONNECTION_H
