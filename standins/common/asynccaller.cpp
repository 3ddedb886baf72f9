#include "common/asynccaller.h"

#include <algorithm>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

namespace kingcuphub::standin {

namespace {

using asio::ip::tcp;

constexpr std::size_t KeptBytes = 4096;
/// Small, so that a caller that does not read holds up the peer soon.
constexpr int ReceiveBuffer = 8192;

} // namespace

AsyncCaller::AsyncCaller(asio::io_context &Loop, std::uint16_t Port)
    : Socket(std::make_shared<tcp::socket>(Loop, tcp::v4())) {
  this->Socket->set_option(
      asio::socket_base::receive_buffer_size(ReceiveBuffer));
  this->Socket->connect({asio::ip::address_v4::loopback(), Port});
}

AsyncCaller::~AsyncCaller() {
  *this->Alive = false;
  asio::error_code Ignored;
  this->Socket->close(Ignored);
}

void AsyncCaller::send(std::string NewHead,
                       std::shared_ptr<const std::string> NewBody) {
  this->Head = std::move(NewHead);
  this->Body = std::move(NewBody);
  std::array<asio::const_buffer, 2> Buffers = {asio::buffer(this->Head)};
  if (this->Body)
    Buffers[1] = asio::buffer(*this->Body);
  // A refused body is not taken to its end.
  asio::async_write(*this->Socket, Buffers,
                    [Kept = this->Socket](asio::error_code, std::size_t) {});
}

void AsyncCaller::startReading() { this->read(); }

int AsyncCaller::status() const {
  constexpr std::size_t At = std::string_view("HTTP/1.1 ").size();
  constexpr std::size_t Digits = 3;
  int Out = 0;
  if (this->Beginning.size() >= At + Digits)
    std::from_chars(this->Beginning.data() + At,
                    this->Beginning.data() + At + Digits, Out);
  return Out;
}

void AsyncCaller::read() {
  this->Socket->async_read_some(
      asio::buffer(this->Buffer),
      [this, Live = this->Alive, Kept = this->Socket](asio::error_code Failed,
                                                      std::size_t Size) {
        if (!*Live)
          return;
        std::size_t Left =
            KeptBytes - std::min(KeptBytes, this->Beginning.size());
        this->Beginning.append(this->Buffer.data(), std::min(Left, Size));
        this->ReceivedBytes += Size;
        if (!Failed)
          this->read();
        else
          this->Ended = true;
      });
}

} // namespace kingcuphub::standin
