#ifndef KINGCUPHUB_STANDINS_COMMON_ENDLESSSERVER_H
#define KINGCUPHUB_STANDINS_COMMON_ENDLESSSERVER_H

/// \file
/// A faulty server that never stops answering, for tests of what a caller keeps
/// of it. All calls and callbacks happen on the thread that runs the loop.

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace kingcuphub::standin {

/// What an EndlessServer sends on each connection once a request has begun.
struct EndlessAnswer {
  std::string Begin;
  /// Sent again and again until the caller closes.
  std::string Repeated;
  /// Between two pieces; zero sends as fast as the caller reads.
  std::chrono::milliseconds Pause{0};
};

class EndlessServer {
public:
  EndlessServer(asio::io_context &Loop, EndlessAnswer Answer);
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;
  ~EndlessServer();

  std::uint16_t port() const;
  /// Bytes that the kernel has taken from the server, on all connections.
  std::size_t sent() const;
  unsigned accepted() const;
  /// Connections that the caller has ended.
  unsigned ended() const;

private:
  struct State;
  class Connection;

  void accept();

  asio::ip::tcp::acceptor Listener;
  std::shared_ptr<State> Current;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_ENDLESSSERVER_H
