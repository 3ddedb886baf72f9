#ifndef KINGCUPHUB_AGENT_INTERNAL_PERIODICTIMER_H
#define KINGCUPHUB_AGENT_INTERNAL_PERIODICTIMER_H

/// \file
/// Calls a function at an interval on the control loop.

#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace kingcuphub::agent {

class PeriodicTimer {
public:
  PeriodicTimer(asio::io_context &Loop, std::chrono::milliseconds Interval,
                std::function<void()> Call)
      : Timer(Loop), Interval(Interval), Call(std::move(Call)),
        Alive(std::make_shared<bool>(true)) {}
  PeriodicTimer(const PeriodicTimer &) = delete;
  PeriodicTimer &operator=(const PeriodicTimer &) = delete;
  ~PeriodicTimer() { *this->Alive = false; }

  void start() {
    this->Timer.expires_after(this->Interval);
    this->Running = true;
    this->Timer.async_wait([this, Live = this->Alive](asio::error_code Failed) {
      if (Failed || !*Live || !this->Running)
        return;
      this->start();
      this->Call();
    });
  }

  void stop() {
    this->Running = false;
    this->Timer.cancel();
  }

private:
  asio::steady_timer Timer;
  std::chrono::milliseconds Interval;
  std::function<void()> Call;
  std::shared_ptr<bool> Alive;
  bool Running = false;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_INTERNAL_PERIODICTIMER_H
