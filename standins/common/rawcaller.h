#ifndef KINGCUPHUB_STANDINS_COMMON_RAWCALLER_H
#define KINGCUPHUB_STANDINS_COMMON_RAWCALLER_H

/// \file
/// The caller's end of HTTP at the level of bytes, for tests of how an answer
/// is framed and how its connection ends. All calls and callbacks happen on the
/// thread that runs the loop.

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace kingcuphub::standin {

/// Sends bytes and keeps all that comes back.
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

#endif // KINGCUPHUB_STANDINS_COMMON_RAWCALLER_H
