#ifndef KINGCUPHUB_HTTP_INTERNAL_STREAMREADER_H
#define KINGCUPHUB_HTTP_INTERNAL_STREAMREADER_H

/// \file
/// Reads from a socket, one read at a time.

#include <array>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace kingcuphub::http {

class StreamReader {
public:
  /// What was read, empty if it failed; valid until the next read().
  using Handler = std::function<void(asio::error_code, std::string_view)>;

  explicit StreamReader(asio::ip::tcp::socket &Socket) : Socket(Socket) {}

  /// Called once, before the first read(). \p Owner keeps the socket and the
  /// reader alive during an operation; it holds this reader.
  void start(std::weak_ptr<void> NewOwner, Handler NewTake);
  /// Begins to read unless a read is under way.
  void read();

private:
  asio::ip::tcp::socket &Socket;
  std::weak_ptr<void> Owner;
  Handler Take;
  std::array<char, 16384> Buffer{};
  bool Pending = false;
};

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_INTERNAL_STREAMREADER_H
