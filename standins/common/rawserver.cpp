#include "common/rawserver.h"

#include <utility>

namespace kingcuphub::standin {

namespace {

using asio::ip::tcp;

} // namespace

RawServer::RawServer(asio::io_context &Loop, RawConnection::Handler Take,
                     HandOver When)
    : Listener(Loop, {asio::ip::address_v4::loopback(), 0}),
      Take(std::move(Take)), When(When) {
  this->accept();
}

RawServer::~RawServer() {
  *this->Alive = false;
  for (const auto &Each : this->Connections)
    Each->reset();
}

std::uint16_t RawServer::port() const {
  return this->Listener.local_endpoint().port();
}

void RawServer::end() {
  asio::error_code Ignored;
  // It may have ended before.
  this->Listener.close(Ignored);
  for (const auto &Each : std::exchange(this->Connections, {}))
    Each->end();
}

void RawServer::pause() {
  this->Paused = true;
  asio::error_code Ignored;
  // It may have ended before.
  this->Listener.cancel(Ignored);
  for (const auto &Each : this->Connections)
    Each->pause();
}

void RawServer::resume() {
  this->Paused = false;
  for (const auto &Each : this->Connections)
    Each->resume();
  if (this->Listener.is_open() && !this->Accepting)
    this->accept();
}

void RawServer::accept() {
  this->Accepting = true;
  this->Listener.async_accept(
      [this, Live = this->Alive](asio::error_code Failed, tcp::socket New) {
        if (!*Live)
          return;
        this->Accepting = false;
        bool Cancelled = Failed == asio::error::operation_aborted;
        if (!this->Listener.is_open() || (Failed && !Cancelled))
          return;
        if (!Failed) {
          ++this->Accepted;
          auto Each = std::make_shared<RawConnection>(std::move(New),
                                                      this->Take, this->When);
          this->Connections.insert(Each);
          if (this->Paused)
            Each->pause();
          Each->start();
        }
        if (!this->Paused)
          this->accept();
      });
}

} // namespace kingcuphub::standin
