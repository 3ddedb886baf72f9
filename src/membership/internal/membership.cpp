#include "membership/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace kingcuphub::membership {

namespace {

/// News of a change is sent this many times the binary logarithm of the
/// number of members.
constexpr unsigned NewsSendFactor = 3;

wire::MemberNews::Status toWire(MemberStatus Status) {
  switch (Status) {
  case MemberStatus::Alive:
    return wire::MemberNews::STATUS_ALIVE;
  case MemberStatus::Suspect:
    return wire::MemberNews::STATUS_SUSPECT;
  case MemberStatus::Dead:
    return wire::MemberNews::STATUS_DEAD;
  case MemberStatus::Left:
    return wire::MemberNews::STATUS_LEFT;
  }
  return wire::MemberNews::STATUS_UNSPECIFIED;
}

std::optional<MemberStatus> parse(wire::MemberNews::Status Status) {
  switch (Status) {
  case wire::MemberNews::STATUS_ALIVE:
    return MemberStatus::Alive;
  case wire::MemberNews::STATUS_SUSPECT:
    return MemberStatus::Suspect;
  case wire::MemberNews::STATUS_DEAD:
    return MemberStatus::Dead;
  case wire::MemberNews::STATUS_LEFT:
    return MemberStatus::Left;
  default:
    return std::nullopt;
  }
}

template <typename Body> Versions versionsOf(const Body &From) {
  return {{From.config_offset()}, {From.epoch()}, {From.reduced_offset()}};
}

bool isLive(MemberStatus Status) {
  return Status == MemberStatus::Alive || Status == MemberStatus::Suspect;
}

} // namespace

Membership::Membership(MemberName Self, std::string Deployment,
                       Settings Options, std::mt19937_64 Random)
    : Self(std::move(Self)), Deployment(std::move(Deployment)),
      Options(Options), Random(Random) {}

Commands Membership::tick(base::TimePoint Now) {
  Commands Out;
  if (this->HasLeft)
    return Out;
  this->discountPause(Now);
  this->checkProbes(Now, Out);
  this->checkSuspects(Now, Out);
  this->probePolled(Now, Out);
  if (this->LastRoundAt && Now - *this->LastRoundAt < this->Options.Period)
    return Out;
  this->LastRoundAt = Now;
  this->probeRandom(Now, Out);
  this->probeListed(Out);
  return Out;
}

Commands Membership::receive(const wire::PeerMessage &Message,
                             base::TimePoint Now) {
  Commands Out;
  MemberName From = parseMember(Message.from());
  if (this->HasLeft || Message.deployment() != this->Deployment ||
      From.Instance.empty() || From.Instance == this->Self.Instance)
    return Out;
  switch (Message.body_case()) {
  case wire::PeerMessage::kHeartbeat: {
    const wire::Heartbeat &Body = Message.heartbeat();
    this->onDirectMessage(From, Body.refutation(), Now, Out);
    this->applyNews(Body.news(), Now, Out);
    this->recordVersions(From, versionsOf(Body));
    this->answer(Message, Out);
    break;
  }
  case wire::PeerMessage::kHeartbeatAck: {
    const wire::HeartbeatAck &Body = Message.heartbeat_ack();
    this->onDirectMessage(From, Body.refutation(), Now, Out);
    this->applyNews(Body.news(), Now, Out);
    this->recordVersions(From, versionsOf(Body));
    this->onAnswer(From, Body);
    break;
  }
  case wire::PeerMessage::kLeave:
    this->applyUpdate({From, MemberStatus::Left, 0}, Now, Out);
    break;
  default:
    break;
  }
  return Out;
}

void Membership::setListed(std::vector<ListedInstance> List) {
  this->Listed = std::move(List);
}

void Membership::setPolled(std::set<base::InstanceId> Peers) {
  this->Polled = std::move(Peers);
}

void Membership::setVersions(Versions Own) {
  this->SentVersions.Config = std::max(this->SentVersions.Config, Own.Config);
  this->SentVersions.Epoch = Own.Epoch;
  this->SentVersions.Reduced = Own.Reduced;
}

Commands Membership::leave() {
  Commands Out;
  if (this->HasLeft)
    return Out;
  this->HasLeft = true;
  std::vector<base::InstanceId> To = this->livePeers();
  std::shuffle(To.begin(), To.end(), this->Random);
  To.resize(std::min<std::size_t>(To.size(), this->newsSendCount()));
  for (const base::InstanceId &Each : To) {
    wire::PeerMessage Message = this->envelope();
    Message.mutable_leave();
    Out.push_back(SendHeartbeat{Each, std::move(Message)});
  }
  return Out;
}

std::vector<MemberView> Membership::peers() const {
  std::vector<MemberView> Out;
  Out.reserve(this->Peers.size());
  for (const auto &[Id, Each] : this->Peers)
    Out.push_back(Each.View);
  return Out;
}

std::vector<MemberName> Membership::live() const {
  std::vector<MemberName> Out{this->Self};
  for (const auto &[Id, Each] : this->Peers)
    if (isLive(Each.View.Status))
      Out.push_back(Each.View.Name);
  std::sort(Out.begin(), Out.end());
  return Out;
}

const MemberView *Membership::find(const base::InstanceId &Instance) const {
  auto Found = this->Peers.find(Instance);
  return Found == this->Peers.end() ? nullptr : &Found->second.View;
}

wire::PeerMessage Membership::envelope() const {
  wire::PeerMessage Out;
  Out.set_deployment(this->Deployment);
  *Out.mutable_from() = membership::toWire(this->Self);
  return Out;
}

void Membership::addOwnNews(
    google::protobuf::RepeatedPtrField<wire::MemberNews> &To) {
  if (this->OwnRemainingSends == 0)
    return;
  --this->OwnRemainingSends;
  wire::MemberNews *Added = To.Add();
  *Added->mutable_member() = membership::toWire(this->Self);
  Added->set_status(wire::MemberNews::STATUS_ALIVE);
  Added->set_refutation(this->OwnRefutation);
}

void Membership::addNewsOf(
    const Peer &Which,
    google::protobuf::RepeatedPtrField<wire::MemberNews> &To) {
  wire::MemberNews *Added = To.Add();
  *Added->mutable_member() = membership::toWire(Which.View.Name);
  Added->set_status(toWire(Which.View.Status));
  Added->set_refutation(Which.Refutation);
}

void Membership::addNews(
    const base::InstanceId &Receiver,
    google::protobuf::RepeatedPtrField<wire::MemberNews> &To) {
  this->addOwnNews(To);
  // A receiver that is not considered alive is told so, so that it can refute.
  auto Known = this->Peers.find(Receiver);
  if (Known != this->Peers.end() &&
      Known->second.View.Status != MemberStatus::Alive)
    this->addNewsOf(Known->second, To);
  std::vector<Peer *> Fresh;
  for (auto &[Id, Each] : this->Peers)
    if (Each.RemainingSends > 0 && Id != Receiver)
      Fresh.push_back(&Each);
  std::sort(Fresh.begin(), Fresh.end(),
            [](const Peer *Left, const Peer *Right) {
              return std::tie(Right->RemainingSends, Left->View.Name) <
                     std::tie(Left->RemainingSends, Right->View.Name);
            });
  for (Peer *Each : Fresh) {
    if (static_cast<std::size_t>(To.size()) >= this->Options.MaxNews)
      return;
    --Each->RemainingSends;
    this->addNewsOf(*Each, To);
  }
}

template <typename Body> void Membership::writeVersions(Body &To) const {
  To.set_config_offset(this->SentVersions.Config.Value);
  To.set_epoch(this->SentVersions.Epoch.Value);
  To.set_reduced_offset(this->SentVersions.Reduced.Value);
  To.set_refutation(this->OwnRefutation);
}

void Membership::probe(Peer &To, base::TimePoint Now, Commands &Out) {
  if (To.Pending)
    return;
  To.Pending = Probe{this->NextNonce++, Now, false};
  this->sendProbe(To, Out);
}

void Membership::sendProbe(Peer &To, Commands &Out) {
  wire::PeerMessage Message = this->envelope();
  wire::Heartbeat &Body = *Message.mutable_heartbeat();
  Body.set_nonce(To.Pending->Nonce);
  this->writeVersions(Body);
  this->addNews(To.View.Name.Instance, *Body.mutable_news());
  Out.push_back(SendHeartbeat{To.View.Name.Instance, std::move(Message)});
}

void Membership::discountPause(base::TimePoint Now) {
  base::Duration Gap = this->LastTickAt ? Now - *this->LastTickAt : 0s;
  this->LastTickAt = Now;
  if (Gap < this->Options.AnswerTimeout)
    return;
  // This process was paused: answers may be waiting unread, so missing ones do
  // not show that a peer is late.
  for (auto &[Id, Each] : this->Peers) {
    Each.Pending.reset();
    if (Each.View.Status == MemberStatus::Suspect)
      Each.ChangedAt += Gap;
  }
}

void Membership::checkProbes(base::TimePoint Now, Commands &Out) {
  for (auto &[Id, Each] : this->Peers) {
    if (!Each.Pending)
      continue;
    base::Duration Waited = Now - Each.Pending->SentAt;
    if (Waited >= 2 * this->Options.AnswerTimeout) {
      Each.Pending.reset();
      if (Each.View.Status == MemberStatus::Alive)
        this->setStatus(Each, MemberStatus::Suspect, Now, Out);
      continue;
    }
    if (Waited < this->Options.AnswerTimeout || Each.Pending->Resent)
      continue;
    // An old connection may stay silent forever while a new one works.
    Each.Pending->Resent = true;
    Out.push_back(Reconnect{Id});
    this->sendProbe(Each, Out);
  }
}

void Membership::checkSuspects(base::TimePoint Now, Commands &Out) {
  std::vector<base::InstanceId> Forgotten;
  for (auto &[Id, Each] : this->Peers) {
    base::Duration Since = Now - Each.ChangedAt;
    if (Each.View.Status == MemberStatus::Suspect &&
        Since >= this->Options.SuspicionTime)
      this->setStatus(Each, MemberStatus::Dead, Now, Out);
    else if (!isLive(Each.View.Status) && Since >= this->Options.ForgetAfter)
      Forgotten.push_back(Id);
  }
  for (const base::InstanceId &Each : Forgotten)
    this->Peers.erase(Each);
}

void Membership::probePolled(base::TimePoint Now, Commands &Out) {
  for (const base::InstanceId &Id : this->Polled) {
    auto Found = this->Peers.find(Id);
    if (Found == this->Peers.end() || !isLive(Found->second.View.Status))
      continue;
    Peer &Each = Found->second;
    if (Each.LastPolledAt &&
        Now - *Each.LastPolledAt < this->Options.PolledPeriod)
      continue;
    Each.LastPolledAt = Now;
    this->probe(Each, Now, Out);
  }
}

std::vector<base::InstanceId> Membership::livePeers() const {
  std::vector<base::InstanceId> Out;
  for (const auto &[Id, Each] : this->Peers)
    if (isLive(Each.View.Status))
      Out.push_back(Id);
  return Out;
}

void Membership::probeRandom(base::TimePoint Now, Commands &Out) {
  // A shuffled pass over all peers bounds the time until each one's turn.
  std::size_t Sent = 0;
  bool Refilled = false;
  while (Sent < this->Options.Fanout) {
    if (this->ProbeQueue.empty()) {
      if (Refilled)
        return;
      Refilled = true;
      this->ProbeQueue = this->livePeers();
      std::shuffle(this->ProbeQueue.begin(), this->ProbeQueue.end(),
                   this->Random);
      if (this->ProbeQueue.empty())
        return;
    }
    auto Found = this->Peers.find(this->ProbeQueue.back());
    this->ProbeQueue.pop_back();
    if (Found == this->Peers.end() || !isLive(Found->second.View.Status))
      continue;
    this->probe(Found->second, Now, Out);
    ++Sent;
  }
}

void Membership::probeListed(Commands &Out) {
  std::vector<const ListedInstance *> Unknown;
  for (const ListedInstance &Each : this->Listed) {
    if (Each.Instance == this->Self.Instance)
      continue;
    auto Found = this->Peers.find(Each.Instance);
    if (Found == this->Peers.end() || !isLive(Found->second.View.Status))
      Unknown.push_back(&Each);
    else
      this->ContactedListed.erase(Each.Instance);
  }
  if (Unknown.empty())
    return;
  std::uniform_int_distribution<std::size_t> Pick(0, Unknown.size() - 1);
  wire::PeerMessage Message = this->envelope();
  wire::Heartbeat &Body = *Message.mutable_heartbeat();
  Body.set_nonce(this->NextNonce++);
  this->writeVersions(Body);
  const base::InstanceId &To = Unknown[Pick(this->Random)]->Instance;
  this->addNews(To, *Body.mutable_news());
  if (!this->ContactedListed.insert(To).second)
    Out.push_back(Reconnect{To});
  Out.push_back(SendHeartbeat{To, std::move(Message)});
}

void Membership::applyUpdate(const MemberUpdate &News, base::TimePoint Now,
                             Commands &Out) {
  if (News.Member.Instance == this->Self.Instance) {
    this->refute(News);
    return;
  }
  auto Found = this->Peers.find(News.Member.Instance);
  if (Found == this->Peers.end()) {
    if (!isLive(News.Status))
      return;
    Peer &Added = this->Peers[News.Member.Instance];
    Added.View.Name = News.Member;
    Added.Refutation = News.Refutation;
    this->setStatus(Added, News.Status, Now, Out);
    return;
  }
  Peer &Known = Found->second;
  if (News.Member.Incarnation < Known.View.Name.Incarnation)
    return;
  if (News.Member.Incarnation > Known.View.Name.Incarnation) {
    Known = Peer{};
    Known.View.Name = News.Member;
    Known.Refutation = News.Refutation;
    this->setStatus(Known, News.Status, Now, Out);
    return;
  }
  // Within one incarnation Left is final; otherwise the higher refutation
  // number wins, then the worse status.
  auto PrecedenceOf = [](MemberStatus Status, std::uint64_t Refutation) {
    return std::make_tuple(Status == MemberStatus::Left, Refutation,
                           static_cast<int>(Status));
  };
  if (PrecedenceOf(News.Status, News.Refutation) <=
      PrecedenceOf(Known.View.Status, Known.Refutation))
    return;
  Known.Refutation = std::max(Known.Refutation, News.Refutation);
  if (Known.View.Status != News.Status)
    this->setStatus(Known, News.Status, Now, Out);
}

void Membership::refute(const MemberUpdate &News) {
  bool OfThisIncarnation = News.Member.Incarnation == this->Self.Incarnation;
  if (!OfThisIncarnation || News.Status == MemberStatus::Alive ||
      News.Refutation < this->OwnRefutation)
    return;
  this->OwnRefutation = News.Refutation + 1;
  this->OwnRemainingSends = this->newsSendCount();
}

void Membership::onDirectMessage(const MemberName &From,
                                 std::uint64_t Refutation, base::TimePoint Now,
                                 Commands &Out) {
  this->applyUpdate({From, MemberStatus::Alive, Refutation}, Now, Out);
  auto Found = this->Peers.find(From.Instance);
  // A message from the peer itself restarts the timeout of its suspicion here.
  // Only a refutation or a new incarnation clears the suspicion, here and at
  // other instances.
  if (Found != this->Peers.end() && Found->second.View.Name == From &&
      Found->second.View.Status == MemberStatus::Suspect)
    Found->second.ChangedAt = Now;
}

void Membership::setStatus(Peer &Which, MemberStatus Status,
                           base::TimePoint Now, Commands &Out) {
  Which.View.Status = Status;
  Which.ChangedAt = Now;
  Which.RemainingSends = this->newsSendCount();
  if (!isLive(Status))
    Which.Pending.reset();
  Out.push_back(MemberChanged{Which.View.Name, Status});
}

void Membership::applyNews(
    const google::protobuf::RepeatedPtrField<wire::MemberNews> &News,
    base::TimePoint Now, Commands &Out) {
  for (const wire::MemberNews &Each : News)
    if (auto Status = parse(Each.status());
        Status && !Each.member().instance().empty())
      this->applyUpdate(
          {parseMember(Each.member()), *Status, Each.refutation()}, Now, Out);
}

void Membership::answer(const wire::PeerMessage &Asked, Commands &Out) {
  wire::PeerMessage Message = this->envelope();
  wire::HeartbeatAck &Body = *Message.mutable_heartbeat_ack();
  Body.set_nonce(Asked.heartbeat().nonce());
  this->writeVersions(Body);
  this->addNews({Asked.from().instance()}, *Body.mutable_news());
  Out.push_back(Answer{{Asked.from().instance()}, std::move(Message)});
}

void Membership::onAnswer(const MemberName &From,
                          const wire::HeartbeatAck &Body) {
  auto Found = this->Peers.find(From.Instance);
  if (Found == this->Peers.end() || Found->second.View.Name != From)
    return;
  Peer &Sender = Found->second;
  if (!Sender.Pending || Sender.Pending->Nonce != Body.nonce())
    return;
  Sender.View.ExchangedAt = Sender.Pending->SentAt;
  Sender.Pending.reset();
}

void Membership::recordVersions(const MemberName &From,
                                const Versions &Reported) {
  this->SentVersions.Config =
      std::max(this->SentVersions.Config, Reported.Config);
  auto Found = this->Peers.find(From.Instance);
  if (Found != this->Peers.end() && Found->second.View.Name == From)
    Found->second.View.ReportedVersions = Reported;
}

unsigned Membership::newsSendCount() const {
  return NewsSendFactor *
         static_cast<unsigned>(std::bit_width(this->Peers.size() + 2));
}

} // namespace kingcuphub::membership
