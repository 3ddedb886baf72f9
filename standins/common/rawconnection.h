#ifndef KINGCUPHUB_STANDINS_COMMON_RAWCONNECTION_H
#define KINGCUPHUB_STANDINS_COMMON_RAWCONNECTION_H

/// \file
/// The server's end of HTTP at the level of bytes, for tests of what an HTTP
/// library does not let one send: answers in any framing or none, broken off at
/// any byte, repeated, or ended in order or by a reset.
/// All calls and callbacks happen on the thread that runs the loop.

#include "http/httpmessage.h"
#include "http/messageparser.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kingcuphub::standin {

/// When a request is handed to the server's handler.
enum class HandOver {
  /// Once it has arrived whole.
  WholeRequest,
  /// As soon as its head has arrived; its body is read on.
  Head,
};

/// The server's end of a connection.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
public:
  using Handler = std::function<void(const http::Request &,
                                     const std::shared_ptr<RawConnection> &)>;

  RawConnection(asio::ip::tcp::socket Socket, Handler Take,
                HandOver When = HandOver::WholeRequest);
  void start();
  /// Reads nothing until resume(): what arrives waits in the system, as for a
  /// process that does not run.
  void pause();
  void resume();

  /// Calls \p Then as soon as this many bytes of the request's body have been
  /// read, at once if they have been already.
  void whenRead(std::size_t BodyBytes,
                std::function<void(RawConnection &)> Then);

  /// For answers that fit into the socket's buffer.
  void write(std::string_view Bytes);
  /// Writes \p Piece again and again until the connection ends, each time after
  /// \p Pause.
  void writeWithoutEnd(std::shared_ptr<const std::string> Piece,
                       std::chrono::milliseconds Pause);
  /// Bytes that the system has taken of writeWithoutEnd().
  std::size_t writtenWithoutEnd() const { return this->WrittenWithoutEnd; }
  /// Ends the connection in order, after what has been written.
  void close();
  /// Ends the connection in both directions, after what has been written.
  void end();
  /// Resets the connection; the peer may lose what has been written.
  void reset();
  /// Whether the peer has ended the connection.
  bool peerGone() const { return this->PeerGone; }
  /// Requests read on this connection.
  unsigned requests() const { return this->Requests; }

private:
  void read();
  void take(std::string_view Bytes);
  void handOver();
  void checkRead();

  asio::ip::tcp::socket Socket;
  Handler Take;
  HandOver When;
  http::MessageParser Parser;
  http::Request Incoming;
  std::array<char, 16384> Buffer{};
  /// Of the request that is being read.
  bool HeadRead = false;
  bool HandedOver = false;
  std::size_t AwaitedBodyBytes = 0;
  std::function<void(RawConnection &)> OnAwaitedRead;
  unsigned Requests = 0;
  std::size_t WrittenWithoutEnd = 0;
  bool PeerGone = false;
  bool Paused = false;
  bool Reading = false;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_RAWCONNECTION_H
