/// \file
/// Compares three ways to keep a limit over all instances, on one trace with
/// the same faults: shares, a static split and a single leased owner. The
/// instances run the real Membership and Shares over simulated messages.

#include "membership/membership.h"
#include "shares/agreement.h"
#include "shares/epochplanner.h"
#include "shares/shares.h"
#include "shares/tests/oracle.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <random>

using namespace kingcuphub;
using namespace std::chrono_literals;
using base::Duration;
using base::TimePoint;
using membership::MemberName;
using shares::tests::BucketOracle;

namespace {

constexpr TimePoint Start{1h};
constexpr Duration TickPeriod = 50ms;
constexpr Duration RetryPeriod = 10ms;
/// How long a request waits for tokens before it is refused.
constexpr Duration MaxWait = 250ms;
constexpr Duration Bound = 3s;
constexpr Duration LeaseTime = 10s;
constexpr Duration LogDelay = 10ms;
/// Message and byte overhead of one ZeroMQ frame over TCP.
constexpr std::size_t FrameBytes = 60;

struct BenchOptions {
  std::size_t Nodes = 9;
  std::size_t Accounts = 5;
  double Load = 0.9;
  double HotShare = 0.9;
  std::uint64_t Seed = 20261204;
  std::size_t Holders = 0;
  Duration Phase = 60s;
  /// Instances find each other in this time; nothing is asked or counted.
  Duration WarmUp = 10s;
};

struct Account {
  base::QuantityId Id;
  double Rate = 0;
  double Burst = 0;
};

struct Arrival {
  TimePoint At;
  std::size_t Account = 0;
  std::size_t Node = 0;
  std::int64_t Cost = 0;
  /// One bucket for all instances would have admitted it.
  bool WithinRate = false;
};

constexpr const char *PhaseNames[] = {"calm", "death", "log out"};

struct PhaseResult {
  std::int64_t Within = 0;
  std::int64_t Refused = 0;
};

struct Outcome {
  PhaseResult Phase[3];
  double Overshoot = 0;
  double MessagesPerNodeSecond = 0;
  double BytesPerNodeSecond = 0;
  double BusiestBytesPerSecond = 0;
};

std::vector<Account> makeAccounts(std::size_t Count) {
  std::vector<Account> Out;
  double Rate = 10000;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Out.push_back(
        {{"account/" + std::to_string(Index) + "/tokens"}, Rate, Rate * 4});
    Rate = std::max(500.0, Rate / 2);
  }
  return Out;
}

/// Poisson arrivals; most of the first account's at node 0, the others' spread.
std::vector<Arrival> makeTrace(const BenchOptions &Options,
                               const std::vector<Account> &Accounts) {
  std::mt19937_64 Random(Options.Seed);
  std::uniform_int_distribution<std::int64_t> Cost(20, 600);
  constexpr double MeanCost = 310;
  std::uniform_real_distribution<> Chance(0, 1);
  std::vector<Arrival> Out;
  TimePoint Begin = Start + Options.WarmUp;
  TimePoint End = Begin + 3 * Options.Phase;
  for (std::size_t Index = 0; Index < Accounts.size(); ++Index) {
    std::exponential_distribution<> Gap(Options.Load * Accounts[Index].Rate /
                                        MeanCost);
    std::uniform_int_distribution<std::size_t> Spread(0, Options.Nodes - 1);
    BucketOracle Ideal;
    Ideal.setLimit(Accounts[Index].Rate, Accounts[Index].Burst, {}, Start);
    for (TimePoint At = Begin;;) {
      At += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap(Random)));
      if (At >= End)
        break;
      bool Hot = Index == 0 && Chance(Random) < Options.HotShare;
      Arrival Each{At, Index, Hot ? 0 : Spread(Random), Cost(Random), false};
      // Nobody is asked at the instance that dies.
      if (Each.Node == Options.Nodes - 1)
        Each.Node = 0;
      Each.WithinRate = Ideal.level(At) >= static_cast<double>(Each.Cost);
      if (Each.WithinRate)
        Ideal.spend(static_cast<double>(Each.Cost), At);
      Out.push_back(Each);
    }
  }
  std::sort(Out.begin(), Out.end(),
            [](const Arrival &Left, const Arrival &Right) {
              return Left.At < Right.At;
            });
  return Out;
}

/// Events by time; ties in the order they were made.
class Simulation {
public:
  void at(TimePoint When, std::function<void()> Call) {
    this->Events.push({When, this->Next++, std::move(Call)});
  }
  void run(TimePoint End) {
    while (!this->Events.empty() && this->Events.top().When <= End) {
      Event Each = this->Events.top();
      this->Events.pop();
      this->Now = Each.When;
      Each.Call();
    }
  }
  TimePoint now() const { return this->Now; }

private:
  struct Event {
    TimePoint When;
    std::uint64_t Order = 0;
    std::function<void()> Call;
    bool operator<(const Event &Other) const {
      return std::tie(Other.When, Other.Order) <
             std::tie(this->When, this->Order);
    }
  };
  std::priority_queue<Event> Events;
  std::uint64_t Next = 0;
  TimePoint Now = Start;
};

/// One way to keep the limits.
class Scheme {
public:
  virtual ~Scheme() = default;
  virtual const char *name() const = 0;
  virtual bool spend(const Arrival &Each) = 0;
  virtual void kill(std::size_t) {}
  virtual void restart(std::size_t) {}
  virtual void setLogOut(bool) {}
  virtual void report(Outcome &, Duration) const {}
};

struct Traffic {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

/// The real Membership and Shares on every node.
class SharesScheme final : public Scheme {
public:
  SharesScheme(Simulation &Sim, const BenchOptions &Options,
               const std::vector<Account> &Accounts)
      : Sim(Sim), Options(Options), Accounts(Accounts), Random(Options.Seed),
        Nodes(Options.Nodes), Counts(Options.Nodes) {
    for (std::size_t Index = 0; Index < Options.Nodes; ++Index)
      this->restart(Index);
  }
  const char *name() const override { return "shares"; }

  bool spend(const Arrival &Each) override {
    Node &At = this->Nodes[Each.Node];
    if (!At.Part)
      return false;
    const base::QuantityId &Id = this->Accounts[Each.Account].Id;
    shares::Commands Out;
    // What comes in parts is kept until the request can have all of it.
    std::int64_t &Purse = At.Purses[Each.Account];
    if (Purse < Each.Cost)
      Purse +=
          At.Part->take(Id, Each.Cost - Purse, this->Sim.now(), Out).Amount;
    this->carryOut(Each.Node, Out);
    if (Purse < Each.Cost)
      return false;
    Purse -= Each.Cost;
    At.TouchedAt[Each.Account] = this->Sim.now();
    At.Part->spend(Id, Each.Cost, this->Sim.now());
    return true;
  }
  void kill(std::size_t Index) override {
    this->Nodes[Index].Part.reset();
    this->Nodes[Index].Peers.reset();
  }
  void restart(std::size_t Index) override {
    Node &Each = this->Nodes[Index];
    Each = Node{};
    Each.Name = {nameOf(Index), {++this->LastLife}, {zoneOf(Index)}};
    Each.Peers = std::make_unique<membership::Membership>(
        Each.Name, "bench", membership::Settings{},
        std::mt19937_64(this->Random()));
    Each.Part = std::make_unique<shares::Shares>(Each.Name, this->settings());
    Each.Planner = std::make_unique<shares::EpochPlanner>(
        Each.Name, shares::EpochPlannerSettings{});
    std::vector<membership::ListedInstance> Listed;
    for (std::size_t Other = 0; Other < this->Options.Nodes; ++Other)
      Listed.push_back({nameOf(Other), {zoneOf(Other)}, false});
    Each.Peers->setListed(Listed);
    for (const Account &Limit : this->Accounts)
      Each.Part->setLimit(
          Limit.Id,
          shares::tokenLimit(Limit.Rate, static_cast<std::int64_t>(Limit.Burst),
                             {}),
          this->Sim.now());
    auto Phase = std::chrono::milliseconds(this->Random() % 50);
    std::uint64_t Life = this->LastLife;
    this->Sim.at(this->Sim.now() + Phase,
                 [this, Index, Life] { this->tick(Index, Life); });
  }
  void setLogOut(bool Out) override { this->LogOut = Out; }
  void report(Outcome &To, Duration Over) const override {
    double Seconds = std::chrono::duration<double>(Over).count();
    Traffic Sum;
    std::uint64_t Most = 0;
    for (const Traffic &Each : this->Counts) {
      Sum.Messages += Each.Messages;
      Sum.Bytes += Each.Bytes;
      Most = std::max(Most, Each.Bytes);
    }
    auto Nodes = static_cast<double>(this->Options.Nodes);
    To.MessagesPerNodeSecond =
        static_cast<double>(Sum.Messages) / Seconds / Nodes;
    To.BytesPerNodeSecond = static_cast<double>(Sum.Bytes) / Seconds / Nodes;
    To.BusiestBytesPerSecond = static_cast<double>(Most) / Seconds;
  }

private:
  struct Node {
    MemberName Name;
    std::unique_ptr<membership::Membership> Peers;
    std::unique_ptr<shares::Shares> Part;
    std::unique_ptr<shares::EpochPlanner> Planner;
    shares::Agreement Agreed;
    std::size_t Applied = 0;
    std::map<std::size_t, std::int64_t> Purses;
    std::map<std::size_t, TimePoint> TouchedAt;
    std::optional<TimePoint> ReadAt;
  };
  struct EpochRecord {
    TimePoint At;
    wire::Epoch New;
    wire::Epoch Former;
  };

  static base::InstanceId nameOf(std::size_t Index) {
    return {"tcp://10.0.0.1:" + std::to_string(10000 + Index)};
  }
  static std::string zoneOf(std::size_t Index) {
    return "zone-" + std::to_string(Index % 3);
  }
  shares::Settings settings() const {
    shares::Settings Out;
    Out.FreshnessBound = Bound;
    if (this->Options.Holders != 0)
      Out.Holders = {this->Options.Holders, this->Options.Holders, 1, 1};
    return Out;
  }
  wire::Epoch newest() const {
    return this->Log.empty() ? wire::Epoch{} : this->Log.back().New;
  }

  void tick(std::size_t Index, std::uint64_t Life) {
    Node &Each = this->Nodes[Index];
    if (!Each.Part || Each.Name.Incarnation.Value != Life)
      return;
    this->readLog(Index);
    this->prove(Each);
    Each.Peers->setVersions({{1}, Each.Part->epoch().Number});
    this->carryOut(Index, Each.Peers->tick(this->Sim.now()));
    this->carryOut(Index, Each.Part->tick(this->Sim.now()));
    this->returnIdle(Each);
    this->propose(Each);
    this->Sim.at(this->Sim.now() + TickPeriod,
                 [this, Index, Life] { this->tick(Index, Life); });
  }
  void returnIdle(Node &Each) {
    for (auto &[Account, Purse] : Each.Purses) {
      if (Purse == 0 || this->Sim.now() - Each.TouchedAt[Account] < 300ms)
        continue;
      Each.Part->giveBack(this->Accounts[Account].Id, Purse, this->Sim.now());
      Purse = 0;
    }
  }
  void readLog(std::size_t Index) {
    Node &Each = this->Nodes[Index];
    while (!this->LogOut && Each.Applied < this->Log.size() &&
           this->Log[Each.Applied].At <= this->Sim.now()) {
      const EpochRecord &Next = this->Log[Each.Applied++];
      Each.Agreed.learnEpoch(Next.New, Next.Former);
      this->carryOut(
          Index, Each.Part->learnEpoch(Next.New, Next.Former, this->Sim.now()));
    }
    if (!this->LogOut)
      Each.ReadAt = this->Sim.now();
  }
  /// The witnesses of the known epoch.
  std::set<base::InstanceId> witnesses(const Node &Each) const {
    std::set<base::InstanceId> Out;
    if (Each.Applied > 0)
      for (const std::string &Name :
           this->Log[Each.Applied - 1].New.witnesses())
        Out.insert({Name});
    return Out;
  }
  void prove(Node &Each) {
    std::set<base::InstanceId> Asked = this->witnesses(Each);
    bool LogFresh = Each.ReadAt && this->Sim.now() - *Each.ReadAt < 500ms;
    bool Behind = this->LastAgreed < Each.Part->epoch().Number;
    Each.Peers->setPolled(LogFresh && !Behind ? std::set<base::InstanceId>{}
                                              : Asked);
    std::vector<TimePoint> Answers;
    for (const base::InstanceId &Name : Asked) {
      const membership::MemberView *Found = Each.Peers->find(Name);
      if (Name == Each.Name.Instance)
        Answers.push_back(this->Sim.now());
      else if (Found != nullptr && Found->ExchangedAt)
        Answers.push_back(*Found->ExchangedAt);
    }
    std::sort(Answers.begin(), Answers.end(), std::greater<>());
    if (LogFresh)
      Each.Part->setProven(*Each.ReadAt);
    if (Answers.size() > Asked.size() / 2 && !Asked.empty())
      Each.Part->setProven(Answers[Asked.size() / 2]);
    shares::AgreedVersions Known = Each.Agreed.update(
        [&](const MemberName &Name) -> std::optional<shares::AgreedVersions> {
          if (Name == Each.Name)
            return shares::AgreedVersions{Each.Part->epoch().Number, {1}};
          const membership::MemberView *Found = Each.Peers->find(Name.Instance);
          if (Found == nullptr || Found->Name != Name)
            return std::nullopt;
          return shares::AgreedVersions{Found->ReportedVersions.Epoch,
                                        Found->ReportedVersions.Config};
        });
    Each.Part->setAgreed(Known, this->Sim.now());
    std::set<base::InstanceId> Gone;
    for (const membership::MemberView &Peer : Each.Peers->peers())
      if (Peer.Status != membership::MemberStatus::Alive)
        Gone.insert(Peer.Name.Instance);
    Each.Part->setUnreachable(std::move(Gone));
    this->LastAgreed = std::max(this->LastAgreed, Known.Epoch);
  }
  void propose(Node &Each) {
    if (this->LogOut || Each.Applied != this->Log.size())
      return;
    auto New =
        Each.Planner->plan(Each.Peers->live(), this->newest(), this->Sim.now());
    if (New && shares::follows(*New, this->newest()))
      this->Log.push_back({this->Sim.now() + LogDelay, *New, this->newest()});
  }

  void carryOut(std::size_t From, const membership::Commands &All) {
    for (const membership::Command &Each : All) {
      if (const auto *Sent = std::get_if<membership::SendHeartbeat>(&Each))
        this->send(From, Sent->To, Sent->Message);
      if (const auto *Answered = std::get_if<membership::Answer>(&Each))
        this->send(From, Answered->To, Answered->Message);
    }
  }
  void carryOut(std::size_t From, const shares::Commands &All) {
    for (const shares::Command &Each : All)
      if (const auto *Sent = std::get_if<shares::SendToPeer>(&Each))
        this->send(From, Sent->To.Instance, Sent->Message);
  }
  void send(std::size_t From, const base::InstanceId &To,
            wire::PeerMessage Message) {
    Message.set_deployment("bench");
    std::size_t Size = Message.ByteSizeLong() + FrameBytes;
    bool Measured = this->Sim.now() >= Start + this->Options.WarmUp;
    if (Measured) {
      ++this->Counts[From].Messages;
      this->Counts[From].Bytes += Size;
    }
    std::uint64_t Port = std::stoull(To.Value.substr(To.Value.rfind(':') + 1));
    std::size_t Index = Port - 10000;
    auto Delay = 300us + std::chrono::microseconds(this->Random() % 1500);
    this->Sim.at(this->Sim.now() + Delay, [this, Index, Size, Measured,
                                           Message = std::move(Message)] {
      Node &Each = this->Nodes[Index];
      if (Measured)
        this->Counts[Index].Bytes += Size;
      if (!Each.Part)
        return;
      this->carryOut(Index, Each.Peers->receive(Message, this->Sim.now()));
      this->carryOut(Index, Each.Part->receive(Message, this->Sim.now()));
    });
  }

  Simulation &Sim;
  const BenchOptions &Options;
  const std::vector<Account> &Accounts;
  std::mt19937_64 Random;
  std::vector<Node> Nodes;
  std::vector<Traffic> Counts;
  std::vector<EpochRecord> Log;
  bool LogOut = false;
  std::uint64_t LastLife = 0;
  base::EpochNumber LastAgreed;
};

/// Every instance has a fixed part.
class StaticScheme final : public Scheme {
public:
  StaticScheme(Simulation &Sim, const BenchOptions &Options,
               const std::vector<Account> &Accounts)
      : Sim(Sim), Parts(Options.Nodes) {
    auto Count = static_cast<double>(Options.Nodes);
    for (std::vector<BucketOracle> &Each : this->Parts)
      for (const Account &Limit : Accounts) {
        Each.emplace_back();
        Each.back().setLimit(Limit.Rate / Count, Limit.Burst / Count, {},
                             Start);
      }
  }
  const char *name() const override { return "static split"; }
  bool spend(const Arrival &Each) override {
    BucketOracle &Part = this->Parts[Each.Node][Each.Account];
    auto Cost = static_cast<double>(Each.Cost);
    return Part.level(this->Sim.now()) >= Cost &&
           Part.spend(Cost, this->Sim.now());
  }

private:
  Simulation &Sim;
  std::vector<std::vector<BucketOracle>> Parts;
};

/// One instance holds a lease and every bucket; the others ask it for each
/// request. A new owner starts from nothing after the lease has run out.
class OwnerScheme final : public Scheme {
public:
  OwnerScheme(Simulation &Sim, const BenchOptions &Options,
              const std::vector<Account> &Accounts)
      : Sim(Sim), Options(Options), Buckets(Accounts.size()) {
    for (std::size_t Index = 0; Index < Accounts.size(); ++Index)
      this->Buckets[Index].setLimit(Accounts[Index].Rate, Accounts[Index].Burst,
                                    {}, Start);
    this->Owner = Options.Nodes - 1;
  }
  const char *name() const override { return "leased owner"; }
  bool spend(const Arrival &Each) override {
    if (this->Sim.now() < this->NoneUntil ||
        this->Sim.now() >= this->ValidUntil)
      return false;
    ++this->Asks;
    BucketOracle &Whole = this->Buckets[Each.Account];
    auto Cost = static_cast<double>(Each.Cost);
    return Whole.level(this->Sim.now()) >= Cost &&
           Whole.spend(Cost, this->Sim.now());
  }
  void kill(std::size_t Index) override {
    if (Index != this->Owner)
      return;
    this->Owner = 0;
    this->NoneUntil = this->Sim.now() + LeaseTime;
    // The new owner does not know what was spent.
    for (std::size_t Each = 0; Each < this->Buckets.size(); ++Each) {
      double Level = this->Buckets[Each].level(this->NoneUntil);
      this->Buckets[Each].spend(Level, this->NoneUntil);
    }
  }
  void setLogOut(bool Out) override {
    // A lease that cannot be renewed runs out.
    this->ValidUntil = Out ? this->Sim.now() + LeaseTime : TimePoint::max();
  }
  void report(Outcome &To, Duration Over) const override {
    constexpr double BytesAnAsk = 2 * (60.0 + FrameBytes);
    double Rate = static_cast<double>(this->Asks) /
                  std::chrono::duration<double>(Over).count();
    auto Nodes = static_cast<double>(this->Options.Nodes);
    To.MessagesPerNodeSecond = 2 * Rate / Nodes;
    To.BytesPerNodeSecond = 2 * Rate * BytesAnAsk / Nodes;
    To.BusiestBytesPerSecond = Rate * BytesAnAsk;
  }

private:
  Simulation &Sim;
  const BenchOptions &Options;
  std::vector<BucketOracle> Buckets;
  std::size_t Owner = 0;
  TimePoint NoneUntil = Start;
  TimePoint ValidUntil = TimePoint::max();
  std::uint64_t Asks = 0;
};

/// Feeds the trace to a scheme and counts what it refuses.
class Run {
public:
  Run(const BenchOptions &Options, const std::vector<Account> &Accounts,
      const std::vector<Arrival> &Trace)
      : Options(Options), Trace(Trace), Oracles(Accounts.size()) {
    for (std::size_t Index = 0; Index < Accounts.size(); ++Index)
      this->Oracles[Index].setLimit(Accounts[Index].Rate, Accounts[Index].Burst,
                                    {}, Start);
  }

  Outcome play(Simulation &Sim, Scheme &Way) {
    TimePoint Begin = Start + this->Options.WarmUp;
    this->scheduleFaults(Sim, Way, Begin);
    for (const Arrival &Each : this->Trace)
      Sim.at(Each.At, [&, Item = &Each] { this->offer(Sim, Way, *Item); });
    TimePoint End = Begin + 3 * this->Options.Phase;
    Sim.run(End);
    for (const BucketOracle &Each : this->Oracles)
      this->Result.Overshoot =
          std::max(this->Result.Overshoot, Each.overshoot());
    Way.report(this->Result, End - Begin);
    return this->Result;
  }

private:
  void scheduleFaults(Simulation &Sim, Scheme &Way, TimePoint Begin) {
    std::size_t Victim = this->Options.Nodes - 1;
    Duration Phase = this->Options.Phase;
    Sim.at(Begin + Phase, [&Way, Victim] { Way.kill(Victim); });
    Sim.at(Begin + Phase + Phase / 2, [&Way, Victim] { Way.restart(Victim); });
    Sim.at(Begin + 2 * Phase, [&Way] { Way.setLogOut(true); });
    Sim.at(Begin + 3 * Phase - Phase / 4, [&Way] { Way.setLogOut(false); });
  }
  void offer(Simulation &Sim, Scheme &Way, const Arrival &Each) {
    if (Way.spend(Each)) {
      this->Oracles[Each.Account].spend(static_cast<double>(Each.Cost),
                                        Sim.now());
      return this->count(Each, true);
    }
    if (Sim.now() - Each.At >= MaxWait)
      return this->count(Each, false);
    Sim.at(Sim.now() + RetryPeriod,
           [this, &Sim, &Way, Item = &Each] { this->offer(Sim, Way, *Item); });
  }
  void count(const Arrival &Each, bool Admitted) {
    auto Index = (Each.At - Start - this->Options.WarmUp) / this->Options.Phase;
    PhaseResult &In = this->Result.Phase[std::min<std::int64_t>(Index, 2)];
    if (!Each.WithinRate)
      return;
    ++In.Within;
    In.Refused += Admitted ? 0 : 1;
  }

  const BenchOptions &Options;
  const std::vector<Arrival> &Trace;
  std::vector<BucketOracle> Oracles;
  Outcome Result;
};

void print(const BenchOptions &Options, const char *Name, const Outcome &Of) {
  std::printf("| %zu | %s | %zu | %.3f |", Options.Nodes, Name, Options.Holders,
              Of.Overshoot);
  for (const PhaseResult &Each : Of.Phase)
    std::printf(" %.3f%% |", Each.Within == 0
                                 ? 0.0
                                 : 100.0 * static_cast<double>(Each.Refused) /
                                       static_cast<double>(Each.Within));
  std::printf(" %.1f | %.0f | %.0f |\n", Of.MessagesPerNodeSecond,
              Of.BytesPerNodeSecond, Of.BusiestBytesPerSecond);
  std::fflush(stdout);
}

template <typename Way>
void measure(const BenchOptions &Options, const std::vector<Account> &Accounts,
             const std::vector<Arrival> &Trace) {
  Simulation Sim;
  Way Scheme(Sim, Options, Accounts);
  Run Each(Options, Accounts, Trace);
  Outcome Result = Each.play(Sim, Scheme);
  print(Options, Scheme.name(), Result);
}

} // namespace

int main(int Count, char **Values) {
  cxxopts::Options Parser("sharesbench", "limits over all instances, compared");
  auto Add = Parser.add_options();
  Add("nodes", "instances", cxxopts::value<std::size_t>()->default_value("9"));
  Add("accounts", "accounts",
      cxxopts::value<std::size_t>()->default_value("5"));
  Add("load", "offered load by the rate",
      cxxopts::value<double>()->default_value("0.9"));
  Add("holders", "holders a quantity; 0 by the policy",
      cxxopts::value<std::size_t>()->default_value("0"));
  Add("phase", "seconds of each of the three phases",
      cxxopts::value<int>()->default_value("60"));
  Add("warm-up", "seconds before the phases",
      cxxopts::value<int>()->default_value("10"));
  Add("seed", "of trace and faults",
      cxxopts::value<std::uint64_t>()->default_value("20261204"));
  Add("only-shares", "leave the baselines out");
  auto Given = Parser.parse(Count, Values);
  BenchOptions Options;
  Options.Nodes = Given["nodes"].as<std::size_t>();
  Options.Accounts = Given["accounts"].as<std::size_t>();
  Options.Load = Given["load"].as<double>();
  Options.Holders = Given["holders"].as<std::size_t>();
  Options.Phase = std::chrono::seconds(Given["phase"].as<int>());
  Options.WarmUp = std::chrono::seconds(Given["warm-up"].as<int>());
  Options.Seed = Given["seed"].as<std::uint64_t>();
  std::vector<Account> Accounts = makeAccounts(Options.Accounts);
  std::vector<Arrival> Trace = makeTrace(Options, Accounts);
  std::printf("| nodes | way | holders | overshoot | refused calm |"
              " refused %s | refused %s | messages/s/node |"
              " bytes/s/node in+out | busiest node |\n",
              PhaseNames[1], PhaseNames[2]);
  std::printf("|--|--|--|--|--|--|--|--|--|--|\n");
  measure<SharesScheme>(Options, Accounts, Trace);
  if (Given.count("only-shares") != 0)
    return 0;
  measure<StaticScheme>(Options, Accounts, Trace);
  measure<OwnerScheme>(Options, Accounts, Trace);
  return 0;
}
