#ifndef KINGCUPHUB_REPLAY_REPLAYER_H
#define KINGCUPHUB_REPLAY_REPLAYER_H

/// \file
/// Replays a trace against the callers' ports of a deployment and checks each
/// outcome that the trace states.

#include "base/clock.h"
#include "base/error.h"
#include "http/httpclient.h"
#include "replay/measures.h"
#include "replay/trace.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcuphub::replay {

struct ReplaySettings {
  /// ADDRESS:PORT of the gateways' callers' ports; requests take turns.
  std::vector<std::string> Callers;
  /// ADDRESS:PORT of an agent's API, and an operator's token; empty where the
  /// trace's operators' events are left out.
  std::string Api;
  std::string Token;
  /// Secrets of the trace's keys that exist already; others are made.
  std::map<base::KeyId, std::string> Secrets;
  /// Trace seconds in a second.
  double Speed = 1;
};

class Replayer {
public:
  /// \p Of outlives the replayer.
  Replayer(asio::io_context &Loop, const base::Clock &Clock,
           http::HttpClient &Http, const Trace &Of, ReplaySettings Settings);
  Replayer(const Replayer &) = delete;
  Replayer &operator=(const Replayer &) = delete;
  ~Replayer();

  /// Configures the accounts where there is an API, replays every event, and
  /// calls \p Done once the last answer is in.
  void start(std::function<void(const Measures &)> Done);

private:
  void configure(std::size_t Account);
  void playDue();
  void play(const TraceRequest &Event);
  void play(const TraceZone &Event);
  void play(const TraceKey &Event);
  void play(const TracePreset &Event);
  void change(const std::string &Body, std::function<void()> Then);
  void take(const TraceRequest &Asked, base::TimePoint SentAt,
            const http::TransferResult &Result, const http::Response &Answer);
  void readMoves(std::function<void()> Then);
  void finishWhenIdle();
  const std::string &secretOf(const base::KeyId &Key);

  asio::io_context &Loop;
  const base::Clock &Clock;
  http::HttpClient &Http;
  const Trace &Of;
  ReplaySettings Settings;
  asio::steady_timer Timer;
  std::shared_ptr<bool> Alive;
  std::function<void(const Measures &)> Done;
  Measures Counted;
  base::TimePoint StartedAt;
  std::size_t Next = 0;
  std::size_t Running = 0;
  std::size_t NextCaller = 0;
  bool ZoneOut = false;
};

} // namespace kingcuphub::replay

#endif // KINGCUPHUB_REPLAY_REPLAYER_H
