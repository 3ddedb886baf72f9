/// \file
/// Compares the routing policies on one bursty trace, with reports that lag
/// and cache events that come late and with gaps. Gateways run the real
/// Router; targets are a few lines that batch, queue and cache prefixes.

#include "routing/router.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include <cxxopts.hpp>

using namespace kingcuphub;
using namespace kingcuphub::routing;
using std::chrono::milliseconds;

namespace {

constexpr int Gateways = 9;
constexpr int Targets = 12;
constexpr int Zones = 3;
constexpr int SlotsPerTarget = 16;
constexpr int Prefixes = 400;
constexpr std::size_t CachedPerTarget = 60;
constexpr double PrefillMs = 120;
constexpr double CachedPrefillMs = 20;
constexpr double TokenMs = 15;
constexpr double ReportEveryMs = 100;
constexpr double TraceSeconds = 120;

struct Arrival {
  double AtMs = 0;
  int Gateway = 0;
  std::uint64_t Prefix = 0;
  int Tokens = 0;
};

struct Scenario {
  double LagMs = 100;
  /// Cache events come this late; negative for no hints at all.
  double EventLagMs = -1;
  double EventLoss = 0;
};

struct Outcome {
  double P50 = 0;
  double P99 = 0;
  double CacheHits = 0;
};

std::vector<Arrival> makeTrace(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Gap(1);
  std::uniform_int_distribution<int> Gateway(0, Gateways - 1);
  std::geometric_distribution<int> Length(1.0 / 100);
  std::vector<Arrival> Out;
  double Now = 0;
  while (Now < TraceSeconds * 1000) {
    bool Burst = std::fmod(Now, 10000) < 2500;
    double PerSecond = Burst ? 85 : 35;
    Now += Gap(Random) * 1000 / PerSecond;
    // A few prefixes are far commoner than the rest.
    double Draw = std::generate_canonical<double, 53>(Random);
    auto Prefix = static_cast<std::uint64_t>(Draw * Draw * Draw * Prefixes);
    Out.push_back({Now, Gateway(Random), Prefix + 1, 20 + Length(Random)});
  }
  return Out;
}

base::TimePoint at(double Ms) {
  return base::TimePoint(std::chrono::hours(1)) +
         std::chrono::microseconds(static_cast<std::int64_t>(Ms * 1000));
}

/// A target that runs up to its slots and queues the rest.
struct SimTarget {
  struct Job {
    double ArrivedMs = 0;
    std::uint64_t Prefix = 0;
    int Tokens = 0;
    int Gateway = 0;
  };
  int Running = 0;
  std::deque<Job> Queue;
  std::deque<std::uint64_t> Cache;

  bool touch(std::uint64_t Prefix) {
    auto Found = std::find(this->Cache.begin(), this->Cache.end(), Prefix);
    bool Hit = Found != this->Cache.end();
    if (Hit)
      this->Cache.erase(Found);
    this->Cache.push_front(Prefix);
    if (this->Cache.size() > CachedPerTarget)
      this->Cache.pop_back();
    return Hit;
  }
};

class Simulation {
public:
  Simulation(RoutePolicy Policy, Scenario Case, std::uint64_t Seed)
      : Case(Case), Random(Seed), Engines(Targets) {
    state::Config Config;
    for (int Index = 0; Index < Targets; ++Index) {
      state::Target New;
      New.Id = idOf(Index);
      New.Zone = {"z" + std::to_string(Index % Zones)};
      New.WarmSlots = {SlotsPerTarget};
      Config.Targets[New.Id] = New;
    }
    for (int Index = 0; Index < Gateways; ++Index) {
      RouterSettings Settings;
      Settings.Zone = {"z" + std::to_string(Index % Zones)};
      Settings.Policy = Policy;
      this->Routers.emplace_back(std::move(Settings), Seed + Index);
      this->Routers.back().configure(Config);
    }
  }

  Outcome run(const std::vector<Arrival> &Trace) {
    this->report(0);
    for (const Arrival &Each : Trace)
      this->post(Each.AtMs, [this, Each](double Now) {
        this->route(Each, Each.AtMs, Now);
      });
    while (!this->Events.empty()) {
      Event Next = this->Events.top();
      this->Events.pop();
      Next.Run(Next.AtMs);
    }
    std::sort(this->FirstTokens.begin(), this->FirstTokens.end());
    auto Quantile = [this](double Part) {
      return this->FirstTokens[static_cast<std::size_t>(
          Part * static_cast<double>(this->FirstTokens.size() - 1))];
    };
    return {Quantile(0.5), Quantile(0.99),
            static_cast<double>(this->Hits) /
                static_cast<double>(this->FirstTokens.size())};
  }

private:
  struct Event {
    double AtMs = 0;
    std::uint64_t Order = 0;
    std::function<void(double)> Run;
    bool operator<(const Event &Other) const {
      return this->AtMs != Other.AtMs ? this->AtMs > Other.AtMs
                                      : this->Order > Other.Order;
    }
  };

  static base::TargetId idOf(int Index) {
    return {"t" + std::to_string(Index)};
  }
  static int indexOf(const base::TargetId &Id) {
    return std::stoi(Id.Value.substr(1));
  }

  void post(double AtMs, std::function<void(double)> Run) {
    this->Events.push({AtMs, ++this->LastOrder, std::move(Run)});
  }

  void report(double Now) {
    ++this->Sequence;
    for (int Index = 0; Index < Targets; ++Index) {
      LoadReport New;
      New.Incarnation = {1};
      New.Sequence = this->Sequence;
      New.MeasuredAt = at(Now);
      New.Running = this->Engines[Index].Running;
      New.Waiting =
          static_cast<std::int64_t>(this->Engines[Index].Queue.size());
      New.Models = {"m"};
      double Lag = this->Sequence == 1 ? 0 : this->Case.LagMs;
      this->post(Now + Lag, [this, Index, New](double) {
        for (Router &Each : this->Routers)
          Each.target(idOf(Index))->reported(New);
      });
    }
    if (Now < TraceSeconds * 1000)
      this->post(Now + ReportEveryMs,
                 [this](double Later) { this->report(Later); });
  }

  void route(const Arrival &Each, double ArrivedMs, double Now) {
    constexpr double RetryMs = 20;
    bool Hints = this->Case.EventLagMs >= 0;
    RouteQuery Query{"m", {}, Hints ? Each.Prefix : 0, {}};
    Router &Gateway = this->Routers[Each.Gateway];
    RouteResult Result = Gateway.choose(Query, at(Now));
    auto *Found = std::get_if<Chosen>(&Result);
    if (Found == nullptr) {
      this->post(Now + RetryMs, [this, Each, ArrivedMs](double Later) {
        this->route(Each, ArrivedMs, Later);
      });
      return;
    }
    Gateway.target(Found->Target)->started(at(Now));
    int Index = indexOf(Found->Target);
    this->Engines[Index].Queue.push_back(
        {ArrivedMs, Each.Prefix, Each.Tokens, Each.Gateway});
    this->startNext(Index, Now);
  }

  void startNext(int Index, double Now) {
    SimTarget &Engine = this->Engines[Index];
    if (Engine.Running >= SlotsPerTarget || Engine.Queue.empty())
      return;
    SimTarget::Job Job = Engine.Queue.front();
    Engine.Queue.pop_front();
    ++Engine.Running;
    bool Hit = Engine.touch(Job.Prefix);
    this->Hits += Hit ? 1 : 0;
    if (!Hit)
      this->announce(Index, Job.Prefix, Now);
    double Crowd = 1 + static_cast<double>(Engine.Running) / SlotsPerTarget;
    double Prefill = (Hit ? CachedPrefillMs : PrefillMs) * Crowd;
    this->FirstTokens.push_back(Now + Prefill - Job.ArrivedMs);
    double End = Now + Prefill + Job.Tokens * TokenMs * Crowd;
    this->post(End, [this, Index, Job](double Later) {
      --this->Engines[Index].Running;
      this->Routers[Job.Gateway]
          .target(idOf(Index))
          ->ended(RequestEnd::Done, at(Later));
      this->startNext(Index, Later);
    });
  }

  void announce(int Index, std::uint64_t Prefix, double Now) {
    if (this->Case.EventLagMs < 0)
      return;
    bool Lost = std::generate_canonical<double, 53>(this->Random) <
                this->Case.EventLoss;
    this->post(Now + this->Case.EventLagMs,
               [this, Index, Prefix, Lost](double) {
                 for (Router &Each : this->Routers) {
                   if (Lost)
                     Each.hints().eventsMissed(idOf(Index));
                   else
                     Each.hints().stored(idOf(Index), Prefix);
                 }
               });
  }

  Scenario Case;
  std::mt19937_64 Random;
  std::vector<SimTarget> Engines;
  std::vector<Router> Routers;
  std::priority_queue<Event> Events;
  std::uint64_t LastOrder = 0;
  std::uint64_t Sequence = 0;
  std::vector<double> FirstTokens;
  std::uint64_t Hits = 0;
};

struct NamedPolicy {
  const char *Name;
  RoutePolicy Policy;
};

void compare(const char *Title, Scenario Case,
             const std::vector<Arrival> &Trace, std::uint64_t Seed) {
  const std::vector<NamedPolicy> Policies = {
      {"power of two", PowerOfTwoPolicy{}},
      {"random", RandomPolicy{}},
      {"round robin", RoundRobinPolicy{}},
      {"least reported", LeastReportedPolicy{}}};
  for (const auto &[Name, Policy] : Policies) {
    Outcome Result = Simulation(Policy, Case, Seed).run(Trace);
    std::printf("| %s | %s | %.0f | %.0f | %.0f%% |\n", Title, Name, Result.P50,
                Result.P99, Result.CacheHits * 100);
  }
}

} // namespace

int main(int Count, char **Values) {
  cxxopts::Options Options("routingbench", "Compares the routing policies");
  Options.add_options()("seed", "Seed of the trace",
                        cxxopts::value<std::uint64_t>()->default_value("1"));
  auto Seed = Options.parse(Count, Values)["seed"].as<std::uint64_t>();
  std::vector<Arrival> Trace = makeTrace(Seed);
  std::printf("seed %llu, %zu requests, %d gateways, %d targets\n\n",
              static_cast<unsigned long long>(Seed), Trace.size(), Gateways,
              Targets);
  std::printf("| reports and events | policy | first token p50 ms | p99 ms | "
              "cache hits |\n|---|---|---|---|---|\n");
  compare("reports 0.1 s late", {100}, Trace, Seed);
  compare("reports 1 s late", {1000}, Trace, Seed);
  compare("reports 5 s late", {5000}, Trace, Seed);
  compare("1 s late, events 0.2 s late", {1000, 200, 0}, Trace, Seed);
  compare("1 s late, events 2 s late, 5% lost", {1000, 2000, 0.05}, Trace,
          Seed);
}
