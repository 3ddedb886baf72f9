#ifndef KINGCUPHUB_SHARES_TESTS_CLUSTER_H
#define KINGCUPHUB_SHARES_TESTS_CLUSTER_H

/// \file
/// Simulates instances of Shares, each with a gateway that spends its credits,
/// over a faulty network and log. Everything spent is checked by an oracle.

#include "oracle.h"
#include "shares/agreement.h"
#include "shares/shares.h"

#include <functional>
#include <memory>
#include <random>
#include <variant>

namespace kingcuphub::shares::tests {

constexpr base::Duration Step = 10ms;
inline const base::QuantityId Tokens{"account/a/tokens"};
inline const base::QuantityId Slots{"target/t/cold-slots"};
/// Time from the agreement on a lowered limit until no instance uses the former
/// one.
constexpr base::Duration InForceAfter = 4s;

struct NetFaults {
  double Loss = 0;
  double Duplication = 0;
  base::Duration MaxDelay = 2ms;
};

struct EpochRecord {
  wire::Epoch New;
  wire::Epoch Former;
};
struct LimitRecord {
  base::QuantityId Quantity;
  Limit NewLimit;
};
using LogRecord = std::variant<EpochRecord, LimitRecord>;

/// The state of a gateway that matters to Shares.
struct Gateway {
  struct Balance {
    std::int64_t Credit = 0;
    std::int64_t Spent = 0;
    base::TimePoint TouchedAt;
  };
  std::map<base::QuantityId, Balance> Balances;
  std::uint64_t Generation = 0;
  base::Incarnation AgentIncarnation;
  std::optional<base::TimePoint> ProvenAt;
  base::TimePoint PausedUntil;
  std::uint64_t Incarnation = 0;
};

class Cluster {
public:
  Cluster(std::size_t Size, std::uint64_t Seed, Settings Options = {})
      : Options(Options), Random(Seed), Nodes(Size) {
    for (std::size_t Index = 0; Index < Size; ++Index)
      this->start(Index);
  }

  static base::InstanceId nameOf(std::size_t Index) {
    return {"tcp://127.0.0.1:" + std::to_string(20000 + Index)};
  }

  // Faults and changes.
  void start(std::size_t Index) {
    Node &Each = this->Nodes[Index];
    if (Each.Agent)
      return;
    MemberName Name{nameOf(Index), {++this->LastIncarnation}, {"z"}};
    Each.Name = Name;
    Each.Agent = std::make_unique<Shares>(Name, this->Options);
    Each.AgreementView = {};
    Each.Applied = 0;
    Each.PausedUntil = {};
    Each.ProvenAt.reset();
    // A new instance reads the log before it participates.
    if (!this->LogOut && !Each.LogCut)
      this->readLog(Each);
  }
  void kill(std::size_t Index) { this->Nodes[Index].Agent.reset(); }
  void restartGateway(std::size_t Index) {
    Node &Each = this->Nodes[Index];
    if (Each.Agent)
      Each.Agent->voidCredits(this->localTime(Each));
    Each.AttachedGateway = {};
    Each.AttachedGateway.Incarnation = ++this->LastIncarnation;
  }
  void pause(std::size_t Index, base::Duration For) {
    this->Nodes[Index].PausedUntil = this->Now + For;
  }
  void pauseGateway(std::size_t Index, base::Duration For) {
    this->Nodes[Index].AttachedGateway.PausedUntil = this->Now + For;
  }
  void setDrift(std::size_t Index, double Rate) {
    this->Nodes[Index].ClockRate = Rate;
  }
  void setFaults(NetFaults New) { this->Net = New; }
  void setLogOut(bool Out) { this->LogOut = Out; }
  void cutLog(std::size_t Index, bool Cut) { this->Nodes[Index].LogCut = Cut; }
  void isolate(std::size_t Index, bool Cut) {
    this->Nodes[Index].Isolated = Cut;
  }
  /// Appends an epoch of all running instances except those for which
  /// \p LeaveOut returns true. Does nothing while the log is unavailable.
  void appendEpoch(const std::function<bool(std::size_t)> &LeaveOut) {
    if (this->LogOut)
      return;
    wire::Epoch New;
    New.set_number(this->LastEpoch.number() + 1);
    for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index) {
      if (!this->Nodes[Index].Agent || LeaveOut(Index))
        continue;
      *New.add_members() = membership::toWire(this->Nodes[Index].Name);
      if (New.witnesses_size() < WitnessCount)
        New.add_witnesses(nameOf(Index).Value);
    }
    if (New.members_size() == 0)
      return;
    this->Log.emplace_back(EpochRecord{New, this->LastEpoch});
    this->LastEpoch = New;
  }
  void appendLimit(const base::QuantityId &Quantity, Limit NewLimit) {
    if (this->LogOut)
      return;
    NewLimit.Version = {this->Log.size()};
    this->Log.emplace_back(LimitRecord{Quantity, NewLimit});
    if (Quantity == Tokens)
      this->Oracle.setLimit(
          static_cast<double>(NewLimit.RefillMicros) / MicrosPerUnit,
          static_cast<double>(NewLimit.Units), NewLimit.Version, this->Now);
    else
      this->SlotsAllowed = NewLimit.Units;
  }

  // Traffic; spend() and borrow() return whether it was admitted.
  bool spend(std::size_t Index, std::int64_t Amount) {
    Node &Each = this->Nodes[Index];
    Gateway::Balance &Balance = Each.AttachedGateway.Balances[Tokens];
    if (!this->canServe(Each) || !this->fill(Each, Tokens, Balance, Amount))
      return false;
    Balance.Credit -= Amount;
    Balance.Spent += Amount;
    this->WithinLimits &=
        this->Oracle.spend(static_cast<double>(Amount), this->Now);
    this->Admitted += Amount;
    return true;
  }
  void refund(std::size_t Index, std::int64_t Amount) {
    Node &Each = this->Nodes[Index];
    Gateway::Balance &Balance = Each.AttachedGateway.Balances[Tokens];
    if (!Each.Agent ||
        Each.AttachedGateway.Generation != Each.Agent->generation() ||
        Each.AttachedGateway.AgentIncarnation != Each.Name.Incarnation ||
        !this->isUp(Each))
      return;
    Each.Agent->spend(Tokens, Balance.Spent, this->localTime(Each));
    Each.Refundable += Balance.Spent;
    Balance.Spent = 0;
    Amount = std::min(Amount, Each.Refundable);
    Each.Refundable -= Amount;
    Each.Agent->refund(Tokens, Amount, this->localTime(Each));
    this->Oracle.refund(static_cast<double>(Amount), this->Now);
  }
  bool borrow(std::size_t Index, base::Duration For) {
    Node &Each = this->Nodes[Index];
    Gateway::Balance &Balance = Each.AttachedGateway.Balances[Slots];
    if (!this->canServe(Each) || !this->fill(Each, Slots, Balance, 1))
      return false;
    --Balance.Credit;
    this->InUse.push_back({Index, this->Now + For,
                           Each.AttachedGateway.Generation,
                           Each.AttachedGateway.AgentIncarnation,
                           Each.AttachedGateway.Incarnation});
    this->WithinLimits &=
        static_cast<std::int64_t>(this->InUse.size()) <= this->SlotsAllowed;
    return true;
  }

  void run(base::Duration For, const std::function<void()> &EachStep = {}) {
    for (base::TimePoint End = this->Now + For; this->Now < End;) {
      this->Now += Step;
      this->deliver();
      this->endUses();
      for (Node &Each : this->Nodes)
        if (Each.Agent && this->isUp(Each))
          this->drive(Each);
      if (EachStep)
        EachStep();
    }
  }

  bool withinLimits() const { return this->WithinLimits; }
  double overshoot() const { return this->Oracle.overshoot(); }
  BucketOracle &oracle() { return this->Oracle; }
  base::TimePoint now() const { return this->Now; }
  std::size_t size() const { return this->Nodes.size(); }
  Shares *agent(std::size_t Index) { return this->Nodes[Index].Agent.get(); }
  std::int64_t admitted() const { return this->Admitted; }
  std::uint64_t messages() const { return this->Messages; }
  /// The sum of the units and refill that all running instances hold.
  HeldPart held(const base::QuantityId &Quantity) const {
    HeldPart Sum;
    for (const Node &Each : this->Nodes)
      if (Each.Agent)
        if (const Share *Part = Each.Agent->find(Quantity)) {
          Sum.Units += Part->units();
          Sum.Free += Part->free();
          Sum.RefillMicros += Part->refillMicros();
        }
    return Sum;
  }
  std::size_t running() const {
    return static_cast<std::size_t>(
        std::count_if(this->Nodes.begin(), this->Nodes.end(),
                      [](const Node &Each) { return Each.Agent != nullptr; }));
  }

private:
  static constexpr int WitnessCount = 5;
  static constexpr base::Duration PollPeriod = 50ms;
  static constexpr base::Duration CreditIdle = 1s;
  static constexpr base::Duration ReadPeriod = 200ms;
  struct Node {
    MemberName Name;
    std::unique_ptr<Shares> Agent;
    Gateway AttachedGateway;
    Agreement AgreementView;
    std::size_t Applied = 0;
    std::optional<base::TimePoint> ProvenAt;
    base::TimePoint PausedUntil;
    base::TimePoint PolledAt;
    base::TimePoint ReadAt;
    double ClockRate = 1;
    bool LogCut = false;
    bool Isolated = false;
    std::int64_t Refundable = 0;
  };
  struct Packet {
    MemberName To;
    wire::PeerMessage Message;
  };
  struct Use {
    std::size_t Index = 0;
    base::TimePoint Until;
    std::uint64_t Generation = 0;
    base::Incarnation AgentIncarnation;
    std::uint64_t GatewayIncarnation = 0;
  };

  bool isUp(const Node &Each) const { return this->Now >= Each.PausedUntil; }
  base::TimePoint localTime(const Node &Each) const {
    return base::TimePoint(std::chrono::duration_cast<base::Duration>(
        this->Now.time_since_epoch() * Each.ClockRate));
  }
  double chance() {
    return std::uniform_real_distribution<>(0, 1)(this->Random);
  }
  bool canServe(const Node &Each) const {
    return this->Now >= Each.AttachedGateway.PausedUntil &&
           Each.AttachedGateway.ProvenAt &&
           this->localTime(Each) - *Each.AttachedGateway.ProvenAt <
               this->Options.FreshnessBound;
  }

  bool fill(Node &Each, const base::QuantityId &Quantity,
            Gateway::Balance &Balance, std::int64_t Amount) {
    Balance.TouchedAt = this->Now;
    if (Balance.Credit >= Amount)
      return true;
    if (!Each.Agent || !this->isUp(Each) ||
        Each.AttachedGateway.AgentIncarnation != Each.Name.Incarnation ||
        Each.AttachedGateway.Generation != Each.Agent->generation())
      return false;
    base::TimePoint Local = this->localTime(Each);
    Each.Agent->spend(Quantity, Balance.Spent, Local);
    Each.Refundable += Quantity == Tokens ? Balance.Spent : 0;
    Balance.Spent = 0;
    Commands Out;
    Grant Given =
        Each.Agent->take(Quantity, Amount - Balance.Credit, Local, Out);
    this->carryOut(Each, Out);
    Balance.Credit += Given.Amount;
    return Balance.Credit >= Amount;
  }

  void drive(Node &Each) {
    base::TimePoint Local = this->localTime(Each);
    this->prove(Each);
    this->agree(Each);
    this->carryOut(Each, Each.Agent->tick(Local));
    this->poll(Each);
  }
  void apply(Node &Each, const LogRecord &Record) {
    base::TimePoint Local = this->localTime(Each);
    if (const auto *Epoch = std::get_if<EpochRecord>(&Record)) {
      Each.AgreementView.learnEpoch(Epoch->New, Epoch->Former);
      this->carryOut(Each,
                     Each.Agent->learnEpoch(Epoch->New, Epoch->Former, Local));
      return;
    }
    const auto &Change = std::get<LimitRecord>(Record);
    Each.Agent->setLimit(Change.Quantity, Change.NewLimit, Local);
  }
  void readLog(Node &Each) { this->readTo(Each, this->Log.size()); }
  void readTo(Node &Each, std::size_t End) {
    while (Each.Applied < End)
      this->apply(Each, this->Log[Each.Applied++]);
  }
  void prove(Node &Each) {
    if (this->Now - Each.ReadAt < ReadPeriod)
      return;
    Each.ReadAt = this->Now;
    if (!this->LogOut && !Each.LogCut) {
      this->readLog(Each);
      Each.ProvenAt = this->localTime(Each);
    } else if (this->witnessesProve(Each)) {
      Each.ProvenAt = this->localTime(Each);
    }
    if (Each.ProvenAt)
      Each.Agent->setProven(*Each.ProvenAt);
  }
  const Node *findRunning(const MemberName &Name) const {
    for (const Node &Each : this->Nodes)
      if (Each.Name == Name && Each.Agent)
        return &Each;
    return nullptr;
  }
  /// Whether a majority of the witnesses of the epoch that the instance knows
  /// answers. If so, the instance catches up with the most advanced of them.
  bool witnessesProve(Node &Each) {
    const wire::Epoch *Known = nullptr;
    for (std::size_t At = 0; At < Each.Applied; ++At)
      if (const auto *Epoch = std::get_if<EpochRecord>(&this->Log[At]))
        Known = &Epoch->New;
    if (Known == nullptr || Each.Isolated)
      return false;
    int Answers = 0;
    std::size_t MostAdvanced = 0;
    for (const wire::Member &Member : Known->members()) {
      if (std::find(Known->witnesses().begin(), Known->witnesses().end(),
                    Member.instance()) == Known->witnesses().end())
        continue;
      const Node *Witness = this->findRunning(membership::parseMember(Member));
      if (Witness == nullptr || !this->isUp(*Witness) || Witness->Isolated)
        continue;
      ++Answers;
      MostAdvanced = std::max(MostAdvanced, Witness->Applied);
    }
    if (2 * Answers <= Known->witnesses_size())
      return false;
    // The instance gets the records that it lacks from the witnesses.
    this->readTo(Each, MostAdvanced);
    return true;
  }
  void agree(Node &Each) {
    AgreedVersions Agreed = Each.AgreementView.update([&](const MemberName
                                                              &Name)
                                                          -> std::optional<
                                                              AgreedVersions> {
      const Node *Witness = this->findRunning(Name);
      if (Witness == nullptr)
        return AgreedVersions{{this->LastEpoch.number()}, {this->Log.size()}};
      if (!this->isUp(*Witness) || Witness->Isolated || Each.Isolated)
        if (Witness != &Each)
          return std::nullopt;
      return AgreedVersions{Witness->Agent->epoch().Number, {Witness->Applied}};
    });
    Each.Agent->setAgreed(Agreed, this->localTime(Each));
    this->Oracle.agreed(Agreed.Config, this->Now, InForceAfter);
  }
  void poll(Node &Each) {
    if (this->Now - Each.PolledAt < PollPeriod ||
        this->Now < Each.AttachedGateway.PausedUntil)
      return;
    Each.PolledAt = this->Now;
    Gateway &AttachedGateway = Each.AttachedGateway;
    if (AttachedGateway.AgentIncarnation != Each.Name.Incarnation ||
        AttachedGateway.Generation != Each.Agent->generation()) {
      AttachedGateway.Balances.clear();
      Each.Refundable = 0;
      AttachedGateway.AgentIncarnation = Each.Name.Incarnation;
      AttachedGateway.Generation = Each.Agent->generation();
    }
    for (auto &[Quantity, Balance] : AttachedGateway.Balances) {
      Each.Agent->spend(Quantity, Balance.Spent, this->localTime(Each));
      Each.Refundable += Quantity == Tokens ? Balance.Spent : 0;
      Balance.Spent = 0;
      if (this->Now - Balance.TouchedAt < CreditIdle)
        continue;
      Each.Agent->giveBack(Quantity, Balance.Credit, this->localTime(Each));
      Balance.Credit = 0;
    }
    if (Each.ProvenAt)
      AttachedGateway.ProvenAt = Each.ProvenAt;
  }
  void endUses() {
    std::erase_if(this->InUse, [this](const Use &Ended) {
      if (Ended.Until > this->Now)
        return false;
      Node &Each = this->Nodes[Ended.Index];
      if (Each.Agent && this->isUp(Each) &&
          Each.AttachedGateway.Incarnation == Ended.GatewayIncarnation &&
          Each.AttachedGateway.Generation == Ended.Generation &&
          Each.AttachedGateway.AgentIncarnation == Ended.AgentIncarnation &&
          Each.Agent->generation() == Ended.Generation &&
          Each.Name.Incarnation == Ended.AgentIncarnation)
        Each.Agent->giveBack(Slots, 1, this->localTime(Each));
      return true;
    });
  }

  void carryOut(Node &From, const Commands &All) {
    for (const Command &Each : All)
      if (const auto *Sent = std::get_if<SendToPeer>(&Each)) {
        ++this->Messages;
        if (From.Isolated)
          continue;
        int Copies = this->chance() < this->Net.Duplication ? 2 : 1;
        for (int Copy = 0; Copy < Copies; ++Copy) {
          if (this->chance() < this->Net.Loss)
            continue;
          auto Delay = std::chrono::duration_cast<base::Duration>(
              this->Net.MaxDelay * this->chance());
          this->InTransit.emplace(this->Now + Delay,
                                  Packet{Sent->To, Sent->Message});
        }
      }
  }
  void deliver() {
    while (!this->InTransit.empty() &&
           this->InTransit.begin()->first <= this->Now) {
      Packet Next = std::move(this->InTransit.begin()->second);
      this->InTransit.erase(this->InTransit.begin());
      for (Node &Each : this->Nodes) {
        if (Each.Name != Next.To || !Each.Agent || Each.Isolated)
          continue;
        if (!this->isUp(Each))
          this->InTransit.emplace(Each.PausedUntil, std::move(Next));
        else
          this->carryOut(
              Each, Each.Agent->receive(Next.Message, this->localTime(Each)));
        break;
      }
    }
  }

  Settings Options;
  std::mt19937_64 Random;
  std::vector<Node> Nodes;
  std::vector<LogRecord> Log;
  wire::Epoch LastEpoch;
  bool LogOut = false;
  std::multimap<base::TimePoint, Packet> InTransit;
  NetFaults Net;
  base::TimePoint Now{1h};
  std::uint64_t LastIncarnation = 0;
  BucketOracle Oracle;
  std::int64_t SlotsAllowed = 0;
  std::vector<Use> InUse;
  bool WithinLimits = true;
  std::int64_t Admitted = 0;
  std::uint64_t Messages = 0;
};

} // namespace kingcuphub::shares::tests

#endif // KINGCUPHUB_SHARES_TESTS_CLUSTER_H
