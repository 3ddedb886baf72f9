#include "common/rawconnection.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace kingcuphub::standin {

namespace {

using asio::ip::tcp;

constexpr std::size_t MaxHeadBytes = 65536;

} // namespace

RawConnection::RawConnection(tcp::socket Socket, Handler Take, HandOver When)
    : Socket(std::move(Socket)), Take(std::move(Take)), When(When),
      Parser(http::MessageKind::Request, MaxHeadBytes,
             {[this](http::MessageHead Head) {
                this->Incoming = {};
                this->Incoming.Method = std::move(Head.Method);
                this->Incoming.Path =
                    Head.Target.substr(0, Head.Target.find('?'));
                this->Incoming.Target = std::move(Head.Target);
                this->Incoming.Headers = std::move(Head.Headers);
                this->HeadRead = true;
              },
              [this](std::string_view Piece) {
                this->Incoming.Body.append(Piece);
              }}) {}

void RawConnection::start() {
  if (!this->Paused)
    this->read();
}

void RawConnection::pause() {
  this->Paused = true;
  asio::error_code Ignored;
  // It may have ended before.
  this->Socket.cancel(Ignored);
}

void RawConnection::resume() {
  this->Paused = false;
  if (this->Socket.is_open() && !this->Reading)
    this->read();
}

void RawConnection::write(std::string_view Bytes) {
  asio::error_code Ignored;
  // A peer that has gone is one of the things that a test may cause.
  asio::write(this->Socket, asio::buffer(Bytes), Ignored);
}

void RawConnection::writeWithoutEnd(std::shared_ptr<const std::string> Piece,
                                    std::chrono::milliseconds Pause) {
  auto Timer =
      std::make_shared<asio::steady_timer>(this->Socket.get_executor(), Pause);
  Timer->async_wait([Self = this->shared_from_this(), Timer, Piece,
                     Pause](asio::error_code Failed) {
    if (Failed || !Self->Socket.is_open())
      return;
    asio::async_write(
        Self->Socket, asio::buffer(*Piece),
        [Self, Piece, Pause](asio::error_code WriteFailed, std::size_t Size) {
          Self->WrittenWithoutEnd += Size;
          if (!WriteFailed)
            Self->writeWithoutEnd(Piece, Pause);
        });
  });
}

void RawConnection::close() {
  asio::error_code Ignored;
  this->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
}

void RawConnection::end() {
  asio::error_code Ignored;
  // The peer may have ended it before.
  this->Socket.close(Ignored);
}

void RawConnection::reset() {
  asio::error_code Ignored;
  this->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  this->Socket.close(Ignored);
}

void RawConnection::read() {
  this->Reading = true;
  this->Socket.async_read_some(
      asio::buffer(this->Buffer), [Self = this->shared_from_this()](
                                      asio::error_code Failed, std::size_t N) {
        Self->Reading = false;
        bool Cancelled = Failed == asio::error::operation_aborted;
        if (Cancelled && Self->Socket.is_open()) {
          // It may have been resumed before this was called.
          if (!Self->Paused)
            Self->read();
          return;
        }
        if (Failed) {
          Self->PeerGone = true;
          asio::error_code Ignored;
          Self->Socket.close(Ignored);
          return;
        }
        Self->take({Self->Buffer.data(), N});
        if (Self->Socket.is_open() && !Self->Paused)
          Self->read();
      });
}

void RawConnection::take(std::string_view Bytes) {
  while (!Bytes.empty()) {
    http::MessageParser::Progress Done = this->Parser.feed(Bytes);
    bool AtHead = this->When == HandOver::Head && this->HeadRead;
    if (Done.Complete || AtHead)
      this->handOver();
    this->checkRead();
    if (Done.Failed || !Done.Complete)
      return;
    Bytes.remove_prefix(Done.Consumed);
    this->Parser.reset();
    this->Incoming = {};
    this->HeadRead = this->HandedOver = false;
  }
}

void RawConnection::handOver() {
  if (std::exchange(this->HandedOver, true))
    return;
  ++this->Requests;
  this->Take(this->Incoming, this->shared_from_this());
}

void RawConnection::whenRead(std::size_t BodyBytes,
                             std::function<void(RawConnection &)> Then) {
  this->AwaitedBodyBytes = BodyBytes;
  this->OnAwaitedRead = std::move(Then);
  this->checkRead();
}

void RawConnection::checkRead() {
  if (!this->OnAwaitedRead ||
      this->Incoming.Body.size() < this->AwaitedBodyBytes)
    return;
  std::exchange(this->OnAwaitedRead, nullptr)(*this);
}

} // namespace kingcuphub::standin
