#ifndef KINGCUPHUB_MEMBERSHIP_TESTS_FLEET_H
#define KINGCUPHUB_MEMBERSHIP_TESTS_FLEET_H

/// \file
/// A simulated group of Membership instances on a network that loses, delays,
/// duplicates and reorders messages, for tests.

#include "membership/membership.h"

#include <map>
#include <optional>
#include <set>

namespace kingcuphub::membership::tests {

constexpr base::Duration Step = 100ms;
constexpr auto Deployment = "test";

struct Faults {
  double Loss = 0;
  double Duplication = 0;
  base::Duration MaxDelay = 5ms;
};

class Fleet {
public:
  Fleet(std::size_t Size, std::uint64_t Seed, Settings Options = {})
      : Options(Options), Random(Seed) {
    for (std::size_t Index = 0; Index < Size; ++Index)
      this->Nodes.push_back({nameOf(Index), {}, {}, 1.0});
    for (std::size_t Index = 0; Index < Size; ++Index)
      this->start(Index);
  }

  static base::InstanceId nameOf(std::size_t Index) {
    return {"tcp://127.0.0.1:" + std::to_string(10000 + Index)};
  }

  void start(std::size_t Index) {
    Node &Each = this->Nodes[Index];
    if (Each.Member)
      return;
    MemberName Name{Each.Id, {++this->LastIncarnation}, {"zone-a"}};
    Each.Member.emplace(Name, Deployment, this->Options,
                        std::mt19937_64(this->Random()));
    Each.PausedUntil = {};
    this->updateLists();
  }
  void kill(std::size_t Index) { this->Nodes[Index].Member.reset(); }
  void leave(std::size_t Index) {
    Node &Each = this->Nodes[Index];
    if (!Each.Member)
      return;
    this->execute(Each, Each.Member->leave());
    Each.Member.reset();
  }
  void pause(std::size_t Index, base::Duration For) {
    this->Nodes[Index].PausedUntil = this->Now + For;
  }
  /// Drops all messages, in both directions, on the connection that \p From
  /// opened to \p To, until \p From replaces it.
  void silence(std::size_t From, std::size_t To) {
    this->SilencedConnections.insert({nameOf(From), nameOf(To)});
  }
  void setDrift(std::size_t Index, double Rate) {
    this->Nodes[Index].ClockRate = Rate;
  }
  void setFaults(Faults New) { this->NetworkFaults = New; }

  void run(base::Duration For) {
    for (base::TimePoint End = this->Now + For; this->Now < End;) {
      this->Now += Step;
      this->deliver();
      for (Node &Each : this->Nodes)
        if (this->isRunning(Each))
          this->execute(Each, Each.Member->tick(this->localTime(Each)));
    }
  }

  Membership *at(std::size_t Index) {
    Node &Each = this->Nodes[Index];
    return Each.Member ? &*Each.Member : nullptr;
  }
  std::vector<MemberName> running() const {
    std::vector<MemberName> Out;
    for (const Node &Each : this->Nodes)
      if (Each.Member)
        Out.push_back(Each.Member->self());
    std::sort(Out.begin(), Out.end());
    return Out;
  }
  /// Whether every running instance considers exactly the running ones alive.
  bool agrees() const {
    std::vector<MemberName> Want = this->running();
    for (const Node &Each : this->Nodes) {
      if (!Each.Member)
        continue;
      if (Each.Member->live() != Want)
        return false;
      for (const MemberView &Peer : Each.Member->peers())
        if (Peer.Status == MemberStatus::Suspect)
          return false;
    }
    return true;
  }
  std::size_t size() const { return this->Nodes.size(); }
  std::uint64_t reconnects() const { return this->Reconnects; }
  std::size_t largestMessage() const { return this->LargestMessageBytes; }
  std::uint64_t bytesSent() const { return this->SentBytes; }

private:
  struct Node {
    base::InstanceId Id;
    std::optional<Membership> Member;
    base::TimePoint PausedUntil;
    double ClockRate = 1;
  };
  /// The instance that opened the connection, and the one it connects to.
  using Connection = std::pair<base::InstanceId, base::InstanceId>;
  struct Transmission {
    base::InstanceId To;
    wire::PeerMessage Message;
  };

  bool isRunning(const Node &Which) const {
    return Which.Member && this->Now >= Which.PausedUntil;
  }
  base::TimePoint localTime(const Node &Which) const {
    return base::TimePoint(std::chrono::duration_cast<base::Duration>(
        this->Now.time_since_epoch() * Which.ClockRate));
  }
  double chance() {
    return std::uniform_real_distribution<>(0, 1)(this->Random);
  }

  void execute(Node &From, const Commands &All) {
    for (const Command &Each : All) {
      if (const auto *Sent = std::get_if<SendHeartbeat>(&Each))
        this->send({From.Id, Sent->To}, Sent->To, Sent->Message);
      if (const auto *Answered = std::get_if<Answer>(&Each))
        this->send({Answered->To, From.Id}, Answered->To, Answered->Message);
      if (const auto *Replaced = std::get_if<Reconnect>(&Each)) {
        ++this->Reconnects;
        this->SilencedConnections.erase({From.Id, Replaced->To});
      }
    }
  }
  void send(const Connection &Over, const base::InstanceId &To,
            const wire::PeerMessage &Message) {
    std::size_t Size = Message.ByteSizeLong();
    this->SentBytes += Size;
    this->LargestMessageBytes = std::max(this->LargestMessageBytes, Size);
    if (this->SilencedConnections.count(Over) != 0)
      return;
    int Copies = this->chance() < this->NetworkFaults.Duplication ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      if (this->chance() < this->NetworkFaults.Loss)
        continue;
      auto Delay = std::chrono::duration_cast<base::Duration>(
          this->NetworkFaults.MaxDelay * this->chance());
      this->InTransit.emplace(this->Now + Delay, Transmission{To, Message});
    }
  }
  void deliver() {
    while (!this->InTransit.empty() &&
           this->InTransit.begin()->first <= this->Now) {
      Transmission Next = std::move(this->InTransit.begin()->second);
      this->InTransit.erase(this->InTransit.begin());
      for (Node &Each : this->Nodes) {
        if (Each.Id != Next.To || !Each.Member)
          continue;
        if (!this->isRunning(Each))
          this->InTransit.emplace(Each.PausedUntil + Step, std::move(Next));
        else
          this->execute(
              Each, Each.Member->receive(Next.Message, this->localTime(Each)));
        break;
      }
    }
  }
  void updateLists() {
    std::vector<ListedInstance> All;
    for (const Node &Each : this->Nodes)
      All.push_back({Each.Id, {"zone-a"}, false});
    for (Node &Each : this->Nodes)
      if (Each.Member)
        Each.Member->setListed(All);
  }

  Settings Options;
  std::mt19937_64 Random;
  std::vector<Node> Nodes;
  std::set<Connection> SilencedConnections;
  std::multimap<base::TimePoint, Transmission> InTransit;
  Faults NetworkFaults;
  base::TimePoint Now{1h};
  std::uint64_t LastIncarnation = 0;
  std::uint64_t Reconnects = 0;
  std::uint64_t SentBytes = 0;
  std::size_t LargestMessageBytes = 0;
};

} // namespace kingcuphub::membership::tests

#endif // KINGCUPHUB_MEMBERSHIP_TESTS_FLEET_H
