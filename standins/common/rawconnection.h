#ifndef KINGCUPHUB_STANDINS_COMMON_RAWCONNECTION_H
#define KINGCUPHUB_STANDINS_COMMON_RAWCONNECTION_H

/// \file
/// Both ends of HTTP at the level of bytes, for tests of what an HTTP library
/// does not let one send or see: answers in any framing or none, broken off at
/// any byte, repeated, or ended in order or by a reset. All calls and callbacks
/// happen on the thread that runs the loop.

#include "http/httpmessage.h"
#include "http/messageparser.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace kingcuphub::standin {

/// The server's end of a connection.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
public:
  using Handler = std::function<void(const http::Request &,
                                     const std::shared_ptr<RawConnection> &)>;

  RawConnection(asio::ip::tcp::socket Socket, Handler Take);
  void start();

  /// For answers that fit into the socket's buffer.
  void write(std::string_view Bytes);
  /// Ends the connection in order, after what has been written.
  void close();
  /// Resets the connection; the peer may lose what has been written.
  void reset();
  /// Whether the peer has ended the connection.
  bool peerGone() const { return this->PeerGone; }
  /// Requests read on this connection.
  unsigned requests() const { return this->Requests; }

private:
  void read();
  void take(std::string_view Bytes);

  asio::ip::tcp::socket Socket;
  Handler Take;
  http::MessageParser Parser;
  http::Request Incoming;
  std::array<char, 16384> Buffer{};
  unsigned Requests = 0;
  bool PeerGone = false;
};

/// Hands each request that arrives to its handler, which writes the answer.
class RawServer {
public:
  RawServer(asio::io_context &Loop, RawConnection::Handler Take);
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;
  ~RawServer();

  std::uint16_t port() const;
  /// Connections accepted so far.
  unsigned accepted() const { return this->Accepted; }

private:
  void accept();

  asio::ip::tcp::acceptor Listener;
  RawConnection::Handler Take;
  std::set<std::shared_ptr<RawConnection>> Connections;
  unsigned Accepted = 0;
};

/// The caller's end: sends bytes and keeps all that comes back.
class RawCaller {
public:
  enum class Ending { Open, InOrder, Reset };

  RawCaller(asio::io_context &Loop, std::uint16_t Port);
  /// One that can't connect has ended.
  RawCaller(asio::io_context &Loop, const asio::ip::tcp::endpoint &To);
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;
  ~RawCaller();

  void send(std::string_view Bytes);
  void close();
  const std::string &received() const { return this->Received; }
  /// Forgets an answer that has been read.
  void clear() { this->Received.clear(); }
  Ending ending() const { return this->Ended; }
  /// Everything up to the empty line; empty until it has arrived.
  std::string head() const;
  /// Everything after the empty line, in its transfer coding.
  std::string body() const;

private:
  void read();

  std::shared_ptr<asio::ip::tcp::socket> Socket;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::array<char, 16384> Buffer{};
  std::string Received;
  Ending Ended = Ending::Open;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_RAWCONNECTION_H
