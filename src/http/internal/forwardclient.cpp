#include "http/forwardclient.h"

#include "forwardconnection.h"
#include "listencheck.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <map>
#include <utility>
#include <vector>

namespace kingcuphub::http {

namespace {

using SteadyClock = std::chrono::steady_clock;
using ConnectionPtr = std::shared_ptr<ForwardConnection>;

/// How often kept connections past their time are closed.
constexpr std::chrono::milliseconds PruneEvery{1000};

class PooledForwardClient final : public ForwardClient {
public:
  PooledForwardClient(asio::io_context &Loop, ForwardSettings Settings)
      : Loop(Loop), Settings(Settings), PruneTimer(Loop) {
    this->prune();
  }

  PooledForwardClient(const PooledForwardClient &) = delete;
  PooledForwardClient &operator=(const PooledForwardClient &) = delete;

  ~PooledForwardClient() override {
    *this->Alive = false;
    for (const ConnectionPtr &Each : std::exchange(this->Open, {}))
      Each->close();
  }

  std::shared_ptr<ForwardCall> start(const Peer &To, ForwardRequest Request,
                                     ForwardCallbacks Callbacks) override {
    ConnectionPtr Connection = this->takeIdle(To.Name, Request.Avoid);
    if (Connection) {
      ++this->Counts.Reused;
    } else {
      ++this->Counts.Connected;
      Connection = this->makeConnection(To);
    }
    return Connection->start(std::move(Request), std::move(Callbacks));
  }

  void checkListening(const Peer &To,
                      std::function<void(ListenState)> Done) override {
    std::make_shared<ListenCheck>(this->Loop, std::move(Done))
        ->start(To, this->Settings.ConnectTimeout);
  }

  void forget(const std::string &Name) override {
    auto Found = this->Idle.find(Name);
    if (Found == this->Idle.end())
      return;
    for (const ConnectionPtr &Each : std::exchange(Found->second, {}))
      Each->close();
    this->Idle.erase(Name);
  }

  ForwardCounts counts() const override { return this->Counts; }

private:
  ConnectionPtr makeConnection(const Peer &To) {
    auto New = std::make_shared<ForwardConnection>(
        this->Loop, ConnectionId{++this->LastId}, To, this->Settings,
        ForwardConnection::PoolHandlers{
            [this, Live = this->Alive](const ConnectionPtr &Which) {
              if (*Live)
                this->Idle[Which->peer().Name].push_back(Which);
            },
            [this, Live = this->Alive](const ConnectionPtr &Which) {
              if (*Live)
                this->drop(Which);
            }});
    this->Open.push_back(New);
    return New;
  }

  /// The one that was used last, as it is the least likely to have ended.
  ConnectionPtr takeIdle(const std::string &Name,
                         const std::set<ConnectionId> &Avoid) {
    this->closeExpired(Name);
    auto Found = this->Idle.find(Name);
    if (Found == this->Idle.end())
      return nullptr;
    std::vector<ConnectionPtr> &Kept = Found->second;
    auto Last = std::find_if(Kept.rbegin(), Kept.rend(),
                             [&Avoid](const ConnectionPtr &Each) {
                               return Avoid.count(Each->id()) == 0;
                             });
    if (Last == Kept.rend())
      return nullptr;
    ConnectionPtr Out = *Last;
    Kept.erase(std::next(Last).base());
    return Out;
  }

  void drop(const ConnectionPtr &Which) {
    auto Remove = [&Which](std::vector<ConnectionPtr> &From) {
      From.erase(std::remove(From.begin(), From.end(), Which), From.end());
    };
    Remove(this->Open);
    if (auto Found = this->Idle.find(Which->peer().Name);
        Found != this->Idle.end())
      Remove(Found->second);
  }

  void prune() {
    this->PruneTimer.expires_after(PruneEvery);
    this->PruneTimer.async_wait(
        [this, Live = this->Alive](asio::error_code Failed) {
          if (Failed || !*Live)
            return;
          this->closeExpired();
          this->prune();
        });
  }

  void closeExpired() {
    std::vector<std::string> Names;
    for (const auto &[Name, Kept] : this->Idle)
      Names.push_back(Name);
    for (const std::string &Name : Names)
      this->closeExpired(Name);
  }

  void closeExpired(const std::string &Name) {
    auto Found = this->Idle.find(Name);
    if (Found == this->Idle.end())
      return;
    auto Now = SteadyClock::now();
    std::vector<ConnectionPtr> Expired;
    for (const ConnectionPtr &Each : Found->second)
      if (!Each->usable(Now))
        Expired.push_back(Each);
    for (const ConnectionPtr &Each : Expired)
      Each->close();
  }

  asio::io_context &Loop;
  ForwardSettings Settings;
  asio::steady_timer PruneTimer;
  std::vector<ConnectionPtr> Open;
  std::map<std::string, std::vector<ConnectionPtr>> Idle;
  ForwardCounts Counts;
  std::uint64_t LastId = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace

std::string_view endName(ForwardEnd End) {
  switch (End) {
  case ForwardEnd::Complete:
    return "complete";
  case ForwardEnd::ConnectionEnded:
    return "connection-ended";
  case ForwardEnd::CannotConnect:
    return "cannot-connect";
  case ForwardEnd::Cut:
    return "cut";
  case ForwardEnd::Malformed:
    return "malformed";
  }
  return "unknown";
}

std::unique_ptr<ForwardClient> makeForwardClient(asio::io_context &Loop,
                                                 ForwardSettings Settings) {
  return std::make_unique<PooledForwardClient>(Loop, Settings);
}

} // namespace kingcuphub::http
