#include "common/rawcaller.h"

#include <asio/write.hpp>

namespace kingcuphub::standin {

namespace {

using asio::ip::tcp;

constexpr std::string_view EndOfHead = "\r\n\r\n";

} // namespace

RawCaller::RawCaller(asio::io_context &Loop, std::uint16_t Port)
    : RawCaller(Loop, {asio::ip::address_v4::loopback(), Port}) {}

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
