#ifndef KINGCUPHUB_HTTP_INTERNAL_LISTENCHECK_H
#define KINGCUPHUB_HTTP_INTERNAL_LISTENCHECK_H

/// \file
/// Finds out whether a process listens at an address, by a connection that is
/// closed at once.

#include "http/forwardclient.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

namespace kingcuphub::http {

class ListenCheck final : public std::enable_shared_from_this<ListenCheck> {
public:
  ListenCheck(asio::io_context &Loop, std::function<void(ListenState)> Done)
      : Socket(Loop), Timer(Loop), Done(std::move(Done)) {}

  void start(const Peer &To, std::chrono::milliseconds Timeout);

private:
  void end(ListenState Found);

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::function<void(ListenState)> Done;
};

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_INTERNAL_LISTENCHECK_H
