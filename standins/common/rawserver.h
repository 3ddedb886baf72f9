#ifndef KINGCUPHUB_STANDINS_COMMON_RAWSERVER_H
#define KINGCUPHUB_STANDINS_COMMON_RAWSERVER_H

/// \file
/// Accepts connections whose answers a test writes byte by byte.
/// All calls and callbacks happen on the thread that runs the loop.

#include "common/rawconnection.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <set>

namespace kingcuphub::standin {

/// Hands each request that arrives to its handler, which writes the answer.
class RawServer {
public:
  RawServer(asio::io_context &Loop, RawConnection::Handler Take,
            HandOver When = HandOver::WholeRequest);
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;
  ~RawServer();

  std::uint16_t port() const;
  /// Accepts and reads nothing until resume(), as a process that does not run:
  /// the system still takes connections and bytes.
  void pause();
  void resume();
  /// Stops listening and ends every connection in order, as the kernel does for
  /// a process that ends.
  void end();
  /// Connections accepted so far.
  unsigned accepted() const { return this->Accepted; }

private:
  void accept();

  asio::ip::tcp::acceptor Listener;
  RawConnection::Handler Take;
  HandOver When;
  std::set<std::shared_ptr<RawConnection>> Connections;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  unsigned Accepted = 0;
  bool Paused = false;
  bool Accepting = false;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_RAWSERVER_H
