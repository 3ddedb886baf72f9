#include "cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::shares;
using namespace kingcuphub::shares::tests;

namespace {

constexpr double Rate = 1000;
constexpr std::int64_t Burst = 2000;
constexpr std::int64_t SlotCount = 5;
constexpr std::int64_t MaxCost = 300;
constexpr double MaxDrift = 500e-6;
constexpr base::Duration Hold = 2s;

struct Event {
  int Kind = 0;
  std::size_t Node = 0;
  int Amount = 0;
};

void showValue(const Event &Each, std::ostream &Out) {
  Out << '{' << Each.Kind << ' ' << Each.Node << ' ' << Each.Amount << '}';
}

constexpr int Kinds = 17;

void apply(Cluster &All, const Event &Each) {
  std::size_t Node = Each.Node % All.size();
  double Part = Each.Amount / 100.0;
  auto Nobody = [](std::size_t) { return false; };
  switch (Each.Kind) {
  case 0:
    All.kill(Node);
    break;
  case 1:
    All.start(Node);
    break;
  case 2:
    All.pause(Node, Each.Amount * 100ms);
    break;
  case 3:
    All.pauseGateway(Node, Each.Amount * 100ms);
    break;
  case 4:
    All.restartGateway(Node);
    break;
  case 5:
    All.setFaults({Part / 2, Part / 3, Each.Amount * 10ms});
    break;
  case 6:
    All.setLogOut(Each.Amount % 2 == 0);
    break;
  case 7:
    All.cutLog(Node, Each.Amount % 2 == 0);
    break;
  case 8:
    All.isolate(Node, Each.Amount % 2 == 0);
    break;
  case 9:
  case 10:
    All.appendEpoch(Nobody);
    break;
  case 11:
    // This may leave out an instance that is alive.
    All.appendEpoch([&](std::size_t Index) { return Index == Node; });
    break;
  case 12:
    All.appendLimit(
        Tokens, tokenLimit(Rate * (0.1 + Part),
                           Burst / 10 + std::int64_t{20} * Each.Amount, {}));
    break;
  case 13:
    All.kill(Node);
    All.start(Node);
    All.appendEpoch(Nobody);
    break;
  default:
    break;
  }
}

/// Applies demand above the rate to all gateways, and most of it to one.
void drive(Cluster &All, std::mt19937_64 &Random, base::Duration For) {
  All.run(For, [&] {
    for (int Tries = 0; Tries < 3; ++Tries) {
      std::size_t Node = Random() % 2 == 0 ? 0 : Random() % All.size();
      All.spend(Node, 1 + static_cast<std::int64_t>(Random() % MaxCost));
      if (Random() % 8 == 0)
        All.refund(Node, static_cast<std::int64_t>(Random() % MaxCost));
      if (Random() % 4 == 0)
        All.borrow(Random() % All.size(),
                   std::chrono::milliseconds(Random() % 1000));
    }
  });
}

Settings fuzzSettings(std::size_t MaxHolders) {
  Settings Out;
  Out.Holders.MaxHolders = MaxHolders;
  Out.Holders.UnitsPerSecondPerHolder = 100;
  Out.Holders.MinUnitsPerHolder = 100;
  return Out;
}

} // namespace

namespace rc {
template <> struct Arbitrary<Event> {
  static Gen<Event> arbitrary() {
    return gen::build<Event>(
        gen::set(&Event::Kind, gen::inRange(0, Kinds)),
        gen::set(&Event::Node, gen::inRange<std::size_t>(0, 12)),
        gen::set(&Event::Amount, gen::inRange(0, 100)));
  }
};
} // namespace rc

RC_GTEST_PROP(SharesFuzzTest, SpendingInNoWindowExceedsRateTimesTimePlusBurst,
              (std::vector<Event> Events)) {
  const auto Count = *rc::gen::inRange<std::size_t>(1, 8);
  const auto MaxHolders = *rc::gen::inRange<std::size_t>(1, 8);
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  std::mt19937_64 Random(Seed);
  Cluster All(Count, Seed, fuzzSettings(MaxHolders));
  for (std::size_t Index = 0; Index < Count; ++Index)
    All.setDrift(Index, Index % 2 == 0 ? 1 + MaxDrift : 1 - MaxDrift);
  All.appendLimit(Tokens, tokenLimit(Rate, Burst, {}));
  All.appendLimit(Slots, slotLimit(SlotCount, Hold, {}));
  All.appendEpoch([](std::size_t) { return false; });
  drive(All, Random, 1s);
  for (const Event &Each : Events) {
    apply(All, Each);
    drive(All, Random, Each.Amount * 40ms);
    RC_ASSERT(All.overshoot() < 0.001);
    RC_ASSERT(All.withinLimits());
  }
}

RC_GTEST_PROP(SharesFuzzTest, AllUnitsAreRecoveredOnceAllFaultsEnd,
              (std::vector<Event> Events)) {
  const auto Count = *rc::gen::inRange<std::size_t>(1, 8);
  const auto MaxHolders = *rc::gen::inRange<std::size_t>(1, 8);
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  std::mt19937_64 Random(Seed);
  Cluster All(Count, Seed, fuzzSettings(MaxHolders));
  All.appendLimit(Tokens, tokenLimit(Rate, Burst, {}));
  All.appendEpoch([](std::size_t) { return false; });
  for (const Event &Each : Events) {
    apply(All, Each);
    drive(All, Random, Each.Amount * 20ms);
  }
  All.setFaults({});
  All.setLogOut(false);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    All.cutLog(Index, false);
    All.isolate(Index, false);
    All.start(Index);
  }
  All.run(15s);
  All.appendLimit(Tokens, tokenLimit(Rate, Burst, {}));
  All.appendEpoch([](std::size_t) { return false; });
  All.run(15s);
  RC_ASSERT(All.held(Tokens).Units == Burst);
  RC_ASSERT(All.held(Tokens).RefillMicros ==
            static_cast<std::int64_t>(Rate) * MicrosPerUnit);
  RC_ASSERT(All.held(Tokens).Free == Burst);
}
