#ifndef KINGCUPHUB_STANDINS_COMMON_ASYNCCALLER_H
#define KINGCUPHUB_STANDINS_COMMON_ASYNCCALLER_H

/// \file
/// A caller whose messages may be larger than the system's buffers, and that
/// may refrain from reading. All calls and callbacks happen on the thread that
/// runs the loop.

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace kingcuphub::standin {

class AsyncCaller {
public:
  /// Reads nothing before startReading().
  AsyncCaller(asio::io_context &Loop, std::uint16_t Port);
  AsyncCaller(const AsyncCaller &) = delete;
  AsyncCaller &operator=(const AsyncCaller &) = delete;
  ~AsyncCaller();

  /// Called once. \p Body is not copied.
  void send(std::string Head, std::shared_ptr<const std::string> Body = {});
  void startReading();
  /// Of the answer; 0 until it begins.
  int status() const;
  /// The beginning of what has been read.
  const std::string &beginning() const { return this->Beginning; }
  /// Bytes that have been read, the beginning included.
  std::size_t receivedBytes() const { return this->ReceivedBytes; }
  /// Whether reading has found the connection's end.
  bool ended() const { return this->Ended; }

private:
  void read();

  std::shared_ptr<asio::ip::tcp::socket> Socket;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::string Head;
  std::shared_ptr<const std::string> Body;
  std::array<char, 16384> Buffer{};
  std::string Beginning;
  std::size_t ReceivedBytes = 0;
  bool Ended = false;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_ASYNCCALLER_H
