#include "peerlinks.h"

#include "base/log.h"

namespace kingcuphub::agent {

namespace {

constexpr std::chrono::seconds IdleTime{30};

} // namespace

void PeerLinks::send(const base::InstanceId &To,
                     const wire::PeerMessage &Message, base::TimePoint Now) {
  Link &Each = this->Links[To];
  Each.UsedAt = Now;
  if (!Each.Client) {
    auto Made = this->Messaging.connect(To.Value, this->OnMessage);
    if (!Made) {
      base::logEvent(base::LogLevel::Warn, "peer_unreachable",
                     {{"peer", To.Value}, {"why", Made.error().Message}});
      this->Links.erase(To);
      return;
    }
    Each.Client = std::move(*Made);
  }
  Each.Client->send(Message.SerializeAsString());
}

void PeerLinks::closeIdle(base::TimePoint Now) {
  for (auto Each = this->Links.begin(); Each != this->Links.end();) {
    auto Next = std::next(Each);
    if (Now - Each->second.UsedAt >= IdleTime)
      this->close(base::InstanceId(Each->first));
    Each = Next;
  }
}

messaging::TrafficCount PeerLinks::traffic() const {
  messaging::TrafficCount Sum = this->Closed;
  for (const auto &[To, Each] : this->Links)
    add(Sum, Each.Client->traffic());
  return Sum;
}

void PeerLinks::close(const base::InstanceId &To) {
  auto Found = this->Links.find(To);
  if (Found == this->Links.end())
    return;
  add(this->Closed, Found->second.Client->traffic());
  this->Links.erase(Found);
}

void PeerLinks::add(messaging::TrafficCount &To,
                    const messaging::TrafficCount &More) {
  To.MessagesIn += More.MessagesIn;
  To.MessagesOut += More.MessagesOut;
  To.BytesIn += More.BytesIn;
  To.BytesOut += More.BytesOut;
  To.Dropped += More.Dropped;
}

} // namespace kingcuphub::agent
