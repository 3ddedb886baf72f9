#include "fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::membership;
using namespace kingcuphub::membership::tests;

namespace {

constexpr std::size_t MaxSize = 12;
constexpr base::Duration SettlingTime = 40s;

struct Event {
  int Kind = 0;
  std::size_t Node = 0;
  std::size_t Other = 0;
  int Amount = 0;
};

void showValue(const Event &Each, std::ostream &Out) {
  Out << '{' << Each.Kind << ' ' << Each.Node << ' ' << Each.Other << ' '
      << Each.Amount << '}';
}

rc::Gen<Event> anyEvent() {
  return rc::gen::build<Event>(
      rc::gen::set(&Event::Kind, rc::gen::inRange(0, 8)),
      rc::gen::set(&Event::Node, rc::gen::inRange<std::size_t>(0, MaxSize)),
      rc::gen::set(&Event::Other, rc::gen::inRange<std::size_t>(0, MaxSize)),
      rc::gen::set(&Event::Amount, rc::gen::inRange(0, 100)));
}

void apply(Fleet &All, const Event &Each) {
  std::size_t Node = Each.Node % All.size();
  switch (Each.Kind) {
  case 0:
    All.kill(Node);
    break;
  case 1:
    All.start(Node);
    break;
  case 2:
    All.leave(Node);
    break;
  case 3:
    All.pause(Node, Each.Amount * 100ms);
    break;
  case 4:
    All.silence(Node, Each.Other % All.size());
    break;
  case 5:
    All.setFaults(
        {Each.Amount / 200.0, Each.Amount / 300.0, Each.Amount * 10ms});
    break;
  case 6:
    All.kill(Node);
    All.start(Node);
    break;
  default:
    break;
  }
  All.run(Each.Amount * 50ms);
}

} // namespace

namespace rc {
template <> struct Arbitrary<Event> {
  static Gen<Event> arbitrary() { return anyEvent(); }
};
} // namespace rc

// After any sequence of events, once the network works again, every running
// instance considers exactly the running ones alive.
RC_GTEST_PROP(MembershipFuzzTest, RunningInstancesAgreeEventually,
              (std::vector<Event> Events)) {
  const auto Count = *rc::gen::inRange<std::size_t>(1, MaxSize + 1);
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  Fleet All(Count, Seed);
  for (std::size_t Index = 0; Index < Count; ++Index)
    All.setDrift(Index, 1.0 + 1e-4 * static_cast<double>(Index));
  All.run(5s);
  for (const Event &Each : Events)
    apply(All, Each);
  All.setFaults({});
  All.run(SettlingTime);
  RC_ASSERT(All.agrees());
}
