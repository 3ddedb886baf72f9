#include "common/rawconnection.h"

#include <asio/write.hpp>
#include <utility>

namespace kingcuphub::standin {

namespace {

using asio::ip::tcp;

constexpr std::size_t MaxHeadBytes = 65536;
constexpr std::string_view EndOfHead = "\r\n\r\n";

tcp::endpoint loopback(std::uint16_t Port) {
  return {asio::ip::address_v4::loopback(), Port};
}

} // namespace

RawConnection::RawConnection(tcp::socket Socket, Handler Take)
    : Socket(std::move(Socket)), Take(std::move(Take)),
      Parser(http::MessageKind::Request, MaxHeadBytes,
             {[this](http::MessageHead Head) {
                this->Incoming = {};
                this->Incoming.Method = std::move(Head.Method);
                this->Incoming.Path =
                    Head.Target.substr(0, Head.Target.find('?'));
                this->Incoming.Target = std::move(Head.Target);
                this->Incoming.Headers = std::move(Head.Headers);
              },
              [this](std::string_view Piece) {
                this->Incoming.Body.append(Piece);
              }}) {}

void RawConnection::start() { this->read(); }

void RawConnection::write(std::string_view Bytes) {
  asio::error_code Ignored;
  // A peer that has gone is one of the things that a test may cause.
  asio::write(this->Socket, asio::buffer(Bytes), Ignored);
}

void RawConnection::close() {
  asio::error_code Ignored;
  this->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
}

void RawConnection::reset() {
  asio::error_code Ignored;
  this->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  this->Socket.close(Ignored);
}

void RawConnection::read() {
  this->Socket.async_read_some(asio::buffer(this->Buffer),
                               [Self = this->shared_from_this()](
                                   asio::error_code Failed, std::size_t N) {
                                 if (Failed) {
                                   Self->PeerGone = true;
                                   asio::error_code Ignored;
                                   Self->Socket.close(Ignored);
                                   return;
                                 }
                                 Self->take({Self->Buffer.data(), N});
                                 if (Self->Socket.is_open())
                                   Self->read();
                               });
}

void RawConnection::take(std::string_view Bytes) {
  while (!Bytes.empty()) {
    http::MessageParser::Progress Done = this->Parser.feed(Bytes);
    if (Done.Failed || !Done.Complete)
      return;
    Bytes.remove_prefix(Done.Consumed);
    this->Parser.reset();
    ++this->Requests;
    this->Take(std::exchange(this->Incoming, {}), this->shared_from_this());
  }
}

RawServer::RawServer(asio::io_context &Loop, RawConnection::Handler Take)
    : Listener(Loop, loopback(0)), Take(std::move(Take)) {
  this->accept();
}

RawServer::~RawServer() {
  for (const auto &Each : this->Connections)
    Each->reset();
}

std::uint16_t RawServer::port() const {
  return this->Listener.local_endpoint().port();
}

void RawServer::accept() {
  this->Listener.async_accept([this](asio::error_code Failed, tcp::socket New) {
    if (Failed)
      return;
    ++this->Accepted;
    auto Each = std::make_shared<RawConnection>(std::move(New), this->Take);
    this->Connections.insert(Each);
    Each->start();
    this->accept();
  });
}

RawCaller::RawCaller(asio::io_context &Loop, std::uint16_t Port)
    : RawCaller(Loop, loopback(Port)) {}

RawCaller::RawCaller(asio::io_context &Loop, const tcp::endpoint &To)
    : Socket(std::make_shared<tcp::socket>(Loop)) {
  asio::error_code Failed;
  this->Socket->connect(To, Failed);
  if (Failed)
    this->Ended = Ending::Reset;
  else
    this->read();
}

RawCaller::~RawCaller() {
  *this->Alive = false;
  this->close();
}

void RawCaller::send(std::string_view Bytes) {
  asio::error_code Ignored;
  asio::write(*this->Socket, asio::buffer(Bytes), Ignored);
}

void RawCaller::close() {
  asio::error_code Ignored;
  this->Socket->close(Ignored);
}

std::string RawCaller::head() const {
  std::size_t End = this->Received.find(EndOfHead);
  return End == std::string::npos
             ? ""
             : this->Received.substr(0, End + EndOfHead.size());
}

std::string RawCaller::body() const {
  return this->Received.substr(this->head().size());
}

void RawCaller::read() {
  this->Socket->async_read_some(
      asio::buffer(this->Buffer),
      [this, Live = this->Alive, Kept = this->Socket](asio::error_code Failed,
                                                      std::size_t Size) {
        if (!*Live)
          return;
        this->Received.append(this->Buffer.data(), Size);
        if (!Failed)
          this->read();
        else
          this->Ended =
              Failed == asio::error::eof ? Ending::InOrder : Ending::Reset;
      });
}

} // namespace kingcuphub::standin
