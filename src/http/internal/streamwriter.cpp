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
  if (this->Scheduled || !this->Leaving.empty())
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
  std::string Rest = this->Leaving.substr(this->Taken) + this->Queued;
  asio::error_code Failed;
  this->Socket.non_blocking(true, Failed);
  if (!Failed)
    this->Socket.write_some(asio::buffer(Rest), Failed);
  this->Leaving.clear();
  this->Queued.clear();
  this->Taken = 0;
}

void StreamWriter::flush(std::shared_ptr<void> Alive) {
  this->Scheduled = false;
  if (!this->Leaving.empty() || this->Queued.empty())
    return;
  this->Leaving = std::exchange(this->Queued, {});
  this->Taken = 0;
  this->writeSome(std::move(Alive));
}

void StreamWriter::writeSome(std::shared_ptr<void> Alive) {
  this->Socket.async_write_some(
      asio::buffer(this->Leaving.data() + this->Taken,
                   this->Leaving.size() - this->Taken),
      [this, Alive = std::move(Alive)](asio::error_code Failed,
                                       std::size_t Size) mutable {
        if (Failed) {
          if (Failed != asio::error::operation_aborted)
            this->Take.OnFailed();
          return;
        }
        this->ProgressAt = std::chrono::steady_clock::now();
        this->Taken += Size;
        if (this->Taken < this->Leaving.size()) {
          this->writeSome(std::move(Alive));
          return;
        }
        this->Leaving.clear();
        this->Taken = 0;
        if (!this->Queued.empty()) {
          this->flush(std::move(Alive));
          return;
        }
        this->Take.OnAllSent();
      });
}

} // namespace kingcuphub::http
