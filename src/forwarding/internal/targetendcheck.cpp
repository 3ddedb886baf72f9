#include "targetendcheck.h"

#include <utility>

namespace kingcuphub::forwarding {

namespace {

/// Requests that break off within this time share a check.
constexpr std::chrono::milliseconds CollectTime{20};
/// More are not reported of one end.
constexpr std::size_t MaxRequests = 64;

} // namespace

TargetEndCheck::TargetEndCheck(asio::io_context &Loop,
                               http::ForwardClient &Client,
                               const base::Clock &Clock,
                               std::function<void(dispatch::TargetEnd)> Found)
    : Loop(Loop), Client(Client), Clock(Clock), Found(std::move(Found)) {}

void TargetEndCheck::onBrokenOff(BrokenOffRequest Request) {
  std::string Name = Request.Peer.Name;
  auto [At, New] = this->Checks.try_emplace(Name);
  if (New)
    At->second = std::make_unique<Check>(this->Loop);
  if (At->second->Requests.size() < MaxRequests)
    At->second->Requests.push_back(std::move(Request));
  if (!New)
    return;
  At->second->Timer.expires_after(CollectTime);
  At->second->Timer.async_wait(
      [this, Live = this->Alive, Name](asio::error_code Failed) {
        if (!Failed && *Live)
          this->start(Name);
      });
}

void TargetEndCheck::start(const std::string &Name) {
  const http::Peer &To = this->Checks.at(Name)->Requests.front().Peer;
  this->Client.checkListening(
      To, [this, Live = this->Alive, Name](http::ListenState State) {
        if (*Live)
          this->finish(Name, State);
      });
}

void TargetEndCheck::finish(const std::string &Name, http::ListenState State) {
  auto Done = this->Checks.extract(Name);
  if (State != http::ListenState::Refused)
    return;
  std::vector<BrokenOffRequest> Requests = std::move(Done.mapped()->Requests);
  dispatch::TargetEnd End{Requests.front().Target,
                          Requests.front().Lifetime,
                          this->Clock.now(),
                          {}};
  for (const BrokenOffRequest &Each : Requests)
    if (!Each.Prompt.empty())
      End.Prompts.push_back(Each.Prompt);
  for (const BrokenOffRequest &Each : Requests)
    if (Each.OnTargetEnd)
      Each.OnTargetEnd();
  this->Found(std::move(End));
}

} // namespace kingcuphub::forwarding
