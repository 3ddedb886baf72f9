#include "streamreader.h"

#include <utility>

namespace kingcuphub::http {

void StreamReader::start(std::weak_ptr<void> NewOwner, Handler NewTake) {
  this->Owner = std::move(NewOwner);
  this->Take = std::move(NewTake);
}

void StreamReader::read() {
  if (std::exchange(this->Pending, true))
    return;
  this->Socket.async_read_some(
      asio::buffer(this->Buffer),
      [this, Alive = this->Owner.lock()](asio::error_code Failed,
                                         std::size_t Size) {
        this->Pending = false;
        this->Take(Failed, {this->Buffer.data(), Size});
      });
}

} // namespace kingcuphub::http
