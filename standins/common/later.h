#ifndef KINGCUPHUB_STANDINS_COMMON_LATER_H
#define KINGCUPHUB_STANDINS_COMMON_LATER_H

/// \file
/// Running a function on the loop after a delay.

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace kingcuphub::standin {

/// Calls \p Work once after \p Delay; without a delay from the loop's queue.
template <typename Function>
void runLater(asio::io_context &Loop, std::chrono::steady_clock::duration Delay,
              Function Work) {
  if (Delay <= std::chrono::steady_clock::duration::zero()) {
    asio::post(Loop, std::move(Work));
    return;
  }
  auto Timer = std::make_shared<asio::steady_timer>(Loop, Delay);
  Timer->async_wait(
      [Timer, Work = std::move(Work)](std::error_code Failure) mutable {
        if (!Failure)
          Work();
      });
}

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_COMMON_LATER_H
