#include "streamwriter.h"

#include <asio/post.hpp>
#include <utility>

namespace kingcuphub::http {

StreamWriter::StreamWriter(asio::ip::tcp::socket &Socket) : Socket(Socket) {}

void StreamWriter::start(std::weak_ptr<void> NewOwner, Handlers NewTake) {
  this->Owner = std::move(NewOwner);
  this->Take = std::move(NewTake);
}

void StreamWriter::send(std::string Bytes) {
  if (Bytes.empty())
    return;
  if (this->unsent() == 0)
    this->ProgressAt = std::chrono::steady_clock::now();
  if (this->Queued.empty())
    this->Queued = std::move(Bytes);
  else
    this->Queued += Bytes;
  if (this->Scheduled || this->Waiting)
    return;
  this->Scheduled = true;
  asio::post(this->Socket.get_executor(), [this, Weak = this->Owner] {
    if (auto Alive = Weak.lock())
      this->flush(std::move(Alive));
  });
}

void StreamWriter::flushNow() {
  if (this->unsent() == 0)
    return;
  this->Leaving += std::exchange(this->Queued, {});
  this->writeSome();
  this->Leaving.clear();
  this->Taken = 0;
}

void StreamWriter::flush(std::shared_ptr<void> Alive) {
  this->Scheduled = false;
  if (this->Waiting)
    return;
  while (!this->Queued.empty()) {
    this->Leaving = std::exchange(this->Queued, {});
    asio::error_code Failed = this->writeSome();
    if (Failed == asio::error::would_block) {
      this->waitForRoom(std::move(Alive));
      return;
    }
    if (Failed) {
      this->Take.OnFailed();
      return;
    }
  }
  this->Take.OnAllSent();
}

asio::error_code StreamWriter::writeSome() {
  asio::error_code Failed;
  if (!this->Socket.non_blocking())
    this->Socket.non_blocking(true, Failed);
  while (!Failed && this->Taken < this->Leaving.size()) {
    std::size_t Size = this->Socket.write_some(
        asio::buffer(this->Leaving.data() + this->Taken,
                     this->Leaving.size() - this->Taken),
        Failed);
    if (Size == 0)
      continue;
    this->Taken += Size;
    this->ProgressAt = std::chrono::steady_clock::now();
  }
  if (Failed)
    return Failed;
  this->Leaving.clear();
  this->Taken = 0;
  return {};
}

void StreamWriter::waitForRoom(std::shared_ptr<void> Alive) {
  this->Waiting = true;
  this->Socket.async_wait(
      asio::ip::tcp::socket::wait_write,
      [this, Alive = std::move(Alive)](asio::error_code Failed) mutable {
        this->Waiting = false;
        if (Failed == asio::error::operation_aborted)
          return;
        if (!Failed)
          Failed = this->writeSome();
        if (Failed == asio::error::would_block)
          this->waitForRoom(std::move(Alive));
        else if (Failed)
          this->Take.OnFailed();
        else
          this->flush(std::move(Alive));
      });
}

} // namespace kingcuphub::http
