#include "common/endlessserver.h"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <set>
#include <utility>

namespace kingcuphub::standin {

namespace {

using asio::ip::tcp;

constexpr std::size_t FastPieceBytes = 64U << 10U;
/// Small, so that what was sent is about what the caller has taken.
constexpr int SendBufferBytes = 16 << 10;

} // namespace

struct EndlessServer::State {
  EndlessAnswer Answer;
  std::set<std::shared_ptr<Connection>> Open;
  std::size_t Sent = 0;
  unsigned Accepted = 0;
  unsigned Ended = 0;
};

class EndlessServer::Connection
    : public std::enable_shared_from_this<Connection> {
public:
  Connection(tcp::socket New, std::shared_ptr<State> Shared)
      : Socket(std::move(New)), Timer(this->Socket.get_executor()),
        Shared(std::move(Shared)) {}

  void start() {
    asio::error_code Ignored;
    this->Socket.set_option(
        asio::socket_base::send_buffer_size(SendBufferBytes), Ignored);
    this->Socket.async_read_some(asio::buffer(this->Request),
                                 [Self = this->shared_from_this()](
                                     asio::error_code Failed, std::size_t) {
                                   if (Failed)
                                     return Self->finish();
                                   Self->awaitEnd();
                                   Self->send(Self->Shared->Answer.Begin);
                                 });
  }

  void close() {
    asio::error_code Ignored;
    this->Timer.cancel();
    this->Socket.close(Ignored);
  }

private:
  /// A slow connection notices the caller's end by reading.
  void awaitEnd() {
    this->Socket.async_read_some(asio::buffer(this->Request),
                                 [Self = this->shared_from_this()](
                                     asio::error_code Failed, std::size_t) {
                                   if (Failed)
                                     return Self->finish();
                                   Self->awaitEnd();
                                 });
  }

  void send(std::string Bytes) {
    this->Piece = std::move(Bytes);
    this->sendRest(0);
  }

  void sendRest(std::size_t From) {
    if (From == this->Piece.size())
      return this->next();
    this->Socket.async_write_some(
        asio::buffer(this->Piece) + From,
        [Self = this->shared_from_this(), From](asio::error_code Failed,
                                                std::size_t Count) {
          Self->Shared->Sent += Count;
          if (Failed)
            return Self->finish();
          Self->sendRest(From + Count);
        });
  }

  void next() {
    const EndlessAnswer &Answer = this->Shared->Answer;
    if (Answer.Pause.count() == 0) {
      std::string Bytes;
      do
        Bytes += Answer.Repeated;
      while (Bytes.size() < FastPieceBytes);
      return this->send(std::move(Bytes));
    }
    this->Timer.expires_after(Answer.Pause);
    this->Timer.async_wait(
        [Self = this->shared_from_this()](asio::error_code Failed) {
          if (!Failed)
            Self->send(Self->Shared->Answer.Repeated);
        });
  }

  void finish() {
    this->close();
    if (this->Shared->Open.erase(this->shared_from_this()) != 0)
      ++this->Shared->Ended;
  }

  tcp::socket Socket;
  asio::steady_timer Timer;
  std::shared_ptr<State> Shared;
  std::array<char, 4096> Request{};
  std::string Piece;
};

EndlessServer::EndlessServer(asio::io_context &Loop, EndlessAnswer Answer)
    : Listener(Loop, {asio::ip::address_v4::loopback(), 0}),
      Current(std::make_shared<State>()) {
  this->Current->Answer = std::move(Answer);
  this->accept();
}

EndlessServer::~EndlessServer() {
  for (const auto &Each : std::exchange(this->Current->Open, {}))
    Each->close();
}

std::uint16_t EndlessServer::port() const {
  return this->Listener.local_endpoint().port();
}

std::size_t EndlessServer::sent() const { return this->Current->Sent; }

unsigned EndlessServer::accepted() const { return this->Current->Accepted; }

unsigned EndlessServer::ended() const { return this->Current->Ended; }

void EndlessServer::accept() {
  this->Listener.async_accept([this](asio::error_code Failed, tcp::socket New) {
    if (Failed)
      return;
    ++this->Current->Accepted;
    auto Each = std::make_shared<Connection>(std::move(New), this->Current);
    this->Current->Open.insert(Each);
    Each->start();
    this->accept();
  });
}

} // namespace kingcuphub::standin
