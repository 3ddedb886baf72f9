#include "replay/generator.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace kingcuphub::replay {

namespace {

/// Everything that tells the two deployments apart.
struct Shape {
  const char *Name;
  unsigned Zones;
  unsigned Engines;
  unsigned Services;
  unsigned Models;
  unsigned Adapters;
  unsigned LoadsAtOnce;
  unsigned AdapterLoadsAtOnce;
  /// Part of the trace at which demand is highest, and how wide the peak is.
  double PeakAt;
  double PeakWidth;
  /// Mean demand of all models, in tokens a second.
  double MeanTokens;
};

constexpr Shape ZemgaleShape{"zemgale", 3, 9, 3, 20, 40, 6, 50, 0.5, 0.3, 7000};
constexpr Shape SoyapathShape{"soyapath", 4,  9,    4,    15,   55,
                              2,          15, 0.25, 0.12, 16000};

constexpr std::int64_t AcceleratorMegaBytes = 80000;
constexpr std::int64_t LeastWeightMegaBytes = 7000;
constexpr std::int64_t MostWeightMegaBytes = 16000;
constexpr std::int64_t KvMegaBytes = 6000;
constexpr std::int64_t AdapterMegaBytes = 200;
constexpr unsigned Accounts = 5;
constexpr std::int64_t BurstSeconds = 20;
/// Demand swings between a floor and ten times of it.
constexpr double Swing = 10;
constexpr double MeanRequestTokens = 600;
constexpr std::int64_t LeastTokens = 16;
constexpr std::chrono::milliseconds MorningDeadline{10000};
constexpr std::chrono::milliseconds EveningDeadline{60000};
/// The parts of the trace in which a zone is out, an account sends too much
/// and a key changes.
constexpr double ZoneOutFrom = 0.55;
constexpr double ZoneOutUntil = 0.75;
constexpr double FloodFrom = 0.3;
constexpr double FloodUntil = 0.4;
constexpr double FloodFactor = 4;
constexpr double NewKeyAt = 0.45;
constexpr double OldKeyUntil = 0.5;
/// Seconds after a withdrawal in which either outcome is right.
constexpr std::chrono::seconds KeySettles{8};

/// Uniform in [0, 1), the same with every standard library.
class Uniform {
public:
  explicit Uniform(std::uint64_t Seed) : Source(Seed) {}
  double operator()() {
    constexpr double Steps = 9007199254740992.0;
    return static_cast<double>(this->Source() >> 11U) / Steps;
  }
  std::size_t below(std::size_t Count) {
    return static_cast<std::size_t>((*this)() * static_cast<double>(Count));
  }

private:
  std::mt19937_64 Source;
};

const Shape &shapeOf(DeploymentKind Kind) {
  return Kind == DeploymentKind::Zemgale ? ZemgaleShape : SoyapathShape;
}

/// One burst of a model: from a floor to the top within minutes.
struct Burst {
  double From;
  double Length;
};

/// How one model's demand runs over the trace.
struct ModelCurve {
  double Mean = 0;
  std::vector<Burst> Bursts;
};

constexpr double LeastBurst = 0.06;
constexpr double MostBurst = 0.16;
constexpr double BurstRamp = 0.02;
constexpr unsigned BurstsPerModel = 2;

std::vector<ModelCurve> curvesOf(const Shape &Of, std::uint64_t Seed) {
  Uniform Random(Seed);
  std::vector<ModelCurve> Out(Of.Models);
  double Sum = 0;
  for (std::size_t Rank = 0; Rank < Out.size(); ++Rank) {
    Out[Rank].Mean = 1 / std::pow(static_cast<double>(Rank) + 1, 0.7);
    Sum += Out[Rank].Mean;
    for (unsigned Each = 0; Each < BurstsPerModel; ++Each)
      Out[Rank].Bursts.push_back(
          {Random(), LeastBurst + (MostBurst - LeastBurst) * Random()});
  }
  for (ModelCurve &Each : Out)
    Each.Mean *= Of.MeanTokens / Sum;
  return Out;
}

/// From 1 outside of bursts to Swing within one.
double swingAt(const ModelCurve &Of, double Part) {
  double Height = 0;
  for (const Burst &Each : Of.Bursts) {
    double Into = Part - Each.From;
    double Left = Each.From + Each.Length - Part;
    Height = std::max(Height, std::min(Into, Left) / BurstRamp);
  }
  return 1 + (Swing - 1) * std::clamp(Height, 0.0, 1.0);
}

double dayAt(const Shape &Of, double Part) {
  double Off = (Part - Of.PeakAt) / Of.PeakWidth;
  return 0.5 + std::exp(-Off * Off);
}

/// A model's mean swing, to scale its demand by.
constexpr double MeanSwing = 1 + (Swing - 1) * 0.18;

/// Makes the events of one trace, second by second.
class TrafficMaker {
public:
  TrafficMaker(DeploymentKind Kind, const GeneratorSettings &Settings)
      : Settings(Settings), Random(Settings.Seed + 1),
        Demand(demandOf(Kind, Settings)) {
    this->Out.Header = deploymentOf(Kind);
    this->Out.Header.Seed = Settings.Seed;
    this->Out.Header.Length = Settings.Length;
  }

  Trace make() {
    for (const TraceAccount &Each : this->Out.Header.Accounts)
      this->Out.Events.push_back(
          TraceKey{{}, Each.Id, this->keyOf(Each.Id, 1), false});
    this->addOperators();
    for (std::chrono::seconds At{0}; At < this->Settings.Length; ++At)
      this->addSecond(At);
    std::stable_sort(this->Out.Events.begin(), this->Out.Events.end(),
                     [](const TraceEvent &Left, const TraceEvent &Right) {
                       return timeOf(Left) < timeOf(Right);
                     });
    return std::move(this->Out);
  }

private:
  TraceTime partOf(double Part) const {
    return TraceTime(static_cast<std::int64_t>(
        Part * static_cast<double>(TraceTime(this->Settings.Length).count())));
  }

  base::KeyId keyOf(const base::AccountId &Account, unsigned Number) const {
    return {Account.Value + "-key-" + std::to_string(Number)};
  }

  void addOperators() {
    const base::ZoneId &Zone = this->Out.Header.Targets.front().Zone;
    const base::AccountId &Changing = this->Out.Header.Accounts[1].Id;
    auto &Events = this->Out.Events;
    Events.push_back(TracePreset{{}, "ordinary"});
    Events.push_back(TraceKey{this->partOf(NewKeyAt), Changing,
                              this->keyOf(Changing, 2), false});
    Events.push_back(TraceKey{this->partOf(OldKeyUntil), Changing,
                              this->keyOf(Changing, 1), true});
    Events.push_back(TraceZone{this->partOf(ZoneOutFrom), Zone, true});
    Events.push_back(TraceZone{this->partOf(ZoneOutUntil), Zone, false});
  }

  void addSecond(std::chrono::seconds At) {
    std::vector<double> Rates = this->Demand(At);
    for (std::size_t Model = 0; Model < Rates.size(); ++Model) {
      double Requests = Rates[Model] / MeanRequestTokens;
      while (Requests > 0) {
        if (Requests >= 1 || this->Random() < Requests)
          this->addRequest(At, Model);
        Requests -= 1;
      }
    }
  }

  void addRequest(std::chrono::seconds At, std::size_t Model) {
    const TraceHeader &Header = this->Out.Header;
    const TraceModel &Asked = Header.Models[Model];
    TraceRequest New;
    New.At = At + TraceTime(static_cast<std::int64_t>(this->Random() * 1000));
    New.Number = this->NextNumber++;
    // A few accounts are large.
    double Skewed = this->Random();
    New.Account =
        Header.Accounts[static_cast<std::size_t>(Skewed * Skewed * Accounts)]
            .Id;
    New.Model = Asked.Id;
    if (!Asked.Adapters.empty() && this->Random() < 0.6)
      New.Adapter =
          Asked.Adapters[this->Random.below(Asked.Adapters.size())].Id;
    double Size = -std::log(1 - this->Random()) * MeanRequestTokens / 2;
    New.PromptTokens =
        LeastTokens + static_cast<std::int64_t>(std::min(Size, 4000.0));
    New.OutputTokens = LeastTokens + static_cast<std::int64_t>(
                                         this->Random() * MeanRequestTokens);
    New.Deadline = this->Random() < 0.8 ? MorningDeadline : EveningDeadline;
    this->addKey(New);
    this->Out.Events.push_back(New);
    bool Floods = New.Account == Header.Accounts.back().Id &&
                  New.At >= this->partOf(FloodFrom) &&
                  New.At < this->partOf(FloodUntil);
    for (double More = 1; Floods && More < FloodFactor; ++More) {
      TraceRequest Extra = New;
      Extra.Number = this->NextNumber++;
      Extra.WithinRate = false;
      Extra.Outcome = Expected::Any;
      this->Out.Events.push_back(Extra);
    }
  }

  /// Callers of the account with the changing keys use the new one once it is
  /// given; a tenth of them never change.
  void addKey(TraceRequest &To) {
    To.Key = this->keyOf(To.Account, 1);
    if (To.Account != this->Out.Header.Accounts[1].Id ||
        To.At < this->partOf(NewKeyAt))
      return;
    bool Stays = this->Random() < 0.1;
    TraceTime Withdrawn = this->partOf(OldKeyUntil);
    if (!Stays && To.At >= this->partOf(NewKeyAt) + KeySettles)
      To.Key = this->keyOf(To.Account, 2);
    else if (To.At >= Withdrawn + KeySettles)
      To.Outcome = Expected::Unauthorized;
    else if (To.At >= Withdrawn - KeySettles)
      To.Outcome = Expected::Any;
  }

  const GeneratorSettings &Settings;
  Uniform Random;
  DemandCurve Demand;
  Trace Out;
  std::uint64_t NextNumber = 0;
};

} // namespace

std::optional<DeploymentKind> parseDeploymentKind(std::string_view Name) {
  if (Name == "zemgale")
    return DeploymentKind::Zemgale;
  if (Name == "soyapath")
    return DeploymentKind::Soyapath;
  return std::nullopt;
}

TraceHeader deploymentOf(DeploymentKind Kind) {
  const Shape &Of = shapeOf(Kind);
  TraceHeader Out;
  Out.Deployment = Of.Name;
  Out.LoadsAtOnce = Of.LoadsAtOnce;
  Out.AdapterLoadsAtOnce = Of.AdapterLoadsAtOnce;
  Uniform Random(static_cast<std::uint64_t>(Of.Models));
  for (unsigned Index = 0; Index < Of.Engines + Of.Services; ++Index) {
    bool Engine = Index < Of.Engines;
    TraceTarget Target;
    Target.Id = {(Engine ? "engine-" : "service-") + std::to_string(Index)};
    Target.Zone = {"zone-" + std::to_string(1 + Index % Of.Zones)};
    if (Engine)
      Target.AcceleratorMegaBytes = {AcceleratorMegaBytes,
                                     AcceleratorMegaBytes};
    Target.Fencing = Index % 2 == 0;
    Out.Targets.push_back(std::move(Target));
  }
  for (unsigned Index = 0; Index < Of.Models; ++Index) {
    TraceModel Model;
    Model.Id = {"model-" + std::to_string(Index)};
    double Spread =
        static_cast<double>(MostWeightMegaBytes - LeastWeightMegaBytes);
    Model.WeightMegaBytes =
        LeastWeightMegaBytes + static_cast<std::int64_t>(Random() * Spread);
    Model.KvMegaBytes = KvMegaBytes;
    Out.Models.push_back(std::move(Model));
  }
  for (unsigned Index = 0; Index < Of.Adapters; ++Index)
    Out.Models[Index % Of.Models].Adapters.push_back(
        {{"adapter-" + std::to_string(Index)}, AdapterMegaBytes});
  for (unsigned Index = 0; Index < Accounts; ++Index) {
    double Rate = Of.MeanTokens / (Index + 1.0);
    Out.Accounts.push_back({{"account-" + std::to_string(Index)},
                            Rate,
                            static_cast<std::int64_t>(Rate) * BurstSeconds});
  }
  return Out;
}

DemandCurve demandOf(DeploymentKind Kind, const GeneratorSettings &Settings) {
  const Shape &Of = shapeOf(Kind);
  return [Of, Curves = curvesOf(Of, Settings.Seed), Length = Settings.Length,
          Scale = Settings.Scale](std::chrono::seconds At) {
    double Part =
        static_cast<double>(At.count()) /
        static_cast<double>(std::max<std::int64_t>(1, Length.count()));
    std::vector<double> Out;
    for (const ModelCurve &Each : Curves)
      Out.push_back(Scale * Each.Mean * swingAt(Each, Part) / MeanSwing *
                    dayAt(Of, Part));
    return Out;
  };
}

Trace generate(DeploymentKind Kind, const GeneratorSettings &Settings) {
  return TrafficMaker(Kind, Settings).make();
}

} // namespace kingcuphub::replay
