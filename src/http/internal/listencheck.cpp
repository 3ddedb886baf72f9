#include "listencheck.h"

#include <asio/post.hpp>
#include <utility>

namespace kingcuphub::http {

void ListenCheck::start(const Peer &To, std::chrono::milliseconds Timeout) {
  asio::error_code Bad;
  auto Address = asio::ip::make_address(To.Address, Bad);
  if (Bad) {
    asio::post(this->Socket.get_executor(), [Self = this->shared_from_this()] {
      Self->end(ListenState::Unknown);
    });
    return;
  }
  this->Timer.expires_after(Timeout);
  this->Timer.async_wait(
      [Self = this->shared_from_this()](asio::error_code Failed) {
        if (!Failed)
          Self->end(ListenState::Unknown);
      });
  this->Socket.async_connect(
      {Address, To.Port},
      [Self = this->shared_from_this()](asio::error_code Failed) {
        bool Refused = Failed == asio::error::connection_refused;
        Self->end(Refused  ? ListenState::Refused
                  : Failed ? ListenState::Unknown
                           : ListenState::Listening);
      });
}

void ListenCheck::end(ListenState Found) {
  this->Timer.cancel();
  asio::error_code Ignored;
  // It has served its purpose however it ends.
  this->Socket.close(Ignored);
  if (auto Tell = std::exchange(this->Done, nullptr))
    Tell(Found);
}

} // namespace kingcuphub::http
