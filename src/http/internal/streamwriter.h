#ifndef KINGCUPHUB_HTTP_INTERNAL_STREAMWRITER_H
#define KINGCUPHUB_HTTP_INTERNAL_STREAMWRITER_H

/// \file
/// Writes to a socket in order. What is handed over in one turn of the loop
/// leaves in one system call.

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kingcuphub::http {

class StreamWriter {
public:
  struct Handlers {
    std::function<void()> OnAllSent;
    /// The system reports an error once: a read after it sees an end in order.
    std::function<void(asio::error_code)> OnFailed;
  };

  explicit StreamWriter(asio::ip::tcp::socket &Socket);

  /// Called once, before the first send(). \p Owner keeps the socket and the
  /// writer alive during an operation; it holds this writer.
  void start(std::weak_ptr<void> NewOwner, Handlers NewTake);
  void send(std::string Bytes);
  /// Sends the bytes from where they are.
  void send(std::shared_ptr<const std::string> Bytes);
  /// Hands the socket what it takes at once, before the socket is closed.
  void flushNow();
  /// Bytes that the socket has not taken yet.
  std::size_t unsent() const { return this->Unsent; }
  /// Memory of the bytes that were handed over and not all taken, without
  /// those that are sent from where they are.
  std::size_t ownBytes() const;
  /// When the socket last took bytes, or was first asked to.
  std::chrono::steady_clock::time_point progressAt() const {
    return this->ProgressAt;
  }

private:
  struct Piece {
    std::string Own;
    std::shared_ptr<const std::string> Shared;
    std::string_view bytes() const {
      return this->Shared ? *this->Shared : this->Own;
    }
  };

  void enqueue(Piece New);
  /// The socket has taken this many bytes.
  void advance(std::size_t Size);
  void clear();
  void flush(std::shared_ptr<void> Alive);
  /// Writes until the socket takes no more: an asynchronous write that is under
  /// way would leave open how much of it has left already.
  asio::error_code writeSome();
  void waitForRoom(std::shared_ptr<void> Alive);

  asio::ip::tcp::socket &Socket;
  std::weak_ptr<void> Owner;
  Handlers Take;
  std::deque<Piece> Pieces;
  std::size_t Unsent = 0;
  /// Bytes of the first piece that the socket has taken.
  std::size_t Taken = 0;
  bool Scheduled = false;
  /// Until the socket has room again.
  bool Waiting = false;
  std::chrono::steady_clock::time_point ProgressAt;
};

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_INTERNAL_STREAMWRITER_H
