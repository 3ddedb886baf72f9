#include "streamwriter.h"

#include <array>
#include <asio/post.hpp>
#include <utility>

namespace kingcuphub::http {

StreamWriter::StreamWriter(asio::ip::tcp::socket &Socket) : Socket(Socket) {}

void StreamWriter::start(std::weak_ptr<void> NewOwner, Handlers NewTake) {
  this->Owner = std::move(NewOwner);
  this->Take = std::move(NewTake);
}

void StreamWriter::send(std::string Bytes) {
  this->enqueue({std::move(Bytes), nullptr});
}

void StreamWriter::send(std::shared_ptr<const std::string> Bytes) {
  this->enqueue({"", std::move(Bytes)});
}

std::size_t StreamWriter::ownBytes() const {
  std::size_t Out = 0;
  for (const Piece &Each : this->Pieces)
    Out += Each.Own.capacity();
  return Out;
}

void StreamWriter::enqueue(Piece New) {
  std::size_t Size = New.bytes().size();
  if (Size == 0)
    return;
  if (this->Unsent == 0)
    this->ProgressAt = std::chrono::steady_clock::now();
  this->Unsent += Size;
  // A piece that has left in part is not enlarged, as its beginning would be
  // kept with it.
  bool Joins = !this->Pieces.empty() && !New.Shared &&
               !this->Pieces.back().Shared &&
               (this->Pieces.size() > 1 || this->Taken == 0);
  if (Joins)
    this->Pieces.back().Own += New.Own;
  else
    this->Pieces.push_back(std::move(New));
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
  this->writeSome();
  this->clear();
}

void StreamWriter::advance(std::size_t Size) {
  this->Unsent -= Size;
  this->Taken += Size;
  while (!this->Pieces.empty() &&
         this->Taken >= this->Pieces.front().bytes().size()) {
    this->Taken -= this->Pieces.front().bytes().size();
    this->Pieces.pop_front();
  }
}

void StreamWriter::clear() {
  this->Pieces.clear();
  this->Unsent = 0;
  this->Taken = 0;
}

void StreamWriter::flush(std::shared_ptr<void> Alive) {
  this->Scheduled = false;
  if (this->Waiting)
    return;
  asio::error_code Failed = this->writeSome();
  if (Failed == asio::error::would_block)
    this->waitForRoom(std::move(Alive));
  else if (Failed)
    this->Take.OnFailed(Failed);
  else
    this->Take.OnAllSent();
}

asio::error_code StreamWriter::writeSome() {
  asio::error_code Failed;
  if (!this->Socket.non_blocking())
    this->Socket.non_blocking(true, Failed);
  while (!Failed && !this->Pieces.empty()) {
    std::string_view First = this->Pieces.front().bytes();
    First.remove_prefix(this->Taken);
    std::string_view Second;
    if (this->Pieces.size() > 1)
      Second = this->Pieces[1].bytes();
    std::array<asio::const_buffer, 2> Buffers = {
        asio::buffer(First.data(), First.size()),
        asio::buffer(Second.data(), Second.size())};
    std::size_t Size = this->Socket.write_some(Buffers, Failed);
    if (Size == 0)
      continue;
    this->advance(Size);
    this->ProgressAt = std::chrono::steady_clock::now();
  }
  return Failed;
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
          this->Take.OnFailed(Failed);
        else
          this->flush(std::move(Alive));
      });
}

} // namespace kingcuphub::http
