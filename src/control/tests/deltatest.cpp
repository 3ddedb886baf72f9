#include "../internal/delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub::control;

namespace {

using Source = DeltaSource<int, int>;
using Receiver = DeltaReceiver<int, int>;

} // namespace

TEST(DeltaTest, OneChangeAmongManyIsSentAlone) {
  Source Sender;
  Source::Values All;
  for (int Id = 0; Id < 60; ++Id)
    All[Id] = 0;
  Sender.update(All);
  std::uint64_t Before = Sender.revision();
  All[7] = 1;
  EXPECT_TRUE(Sender.update(All));
  EXPECT_EQ(Sender.since(Before).Changes.size(), 1U);
  EXPECT_FALSE(Sender.update(All));
}

TEST(DeltaTest, AReceiverThatMissedADeltaRejectsLaterOnes) {
  Source Sender;
  Receiver Received;
  Sender.update({{1, 1}});
  ASSERT_TRUE(Received.apply(Sender.since(0)));
  std::uint64_t Missed = Sender.revision() + 1;
  Sender.update({{1, 2}});
  Sender.update({{1, 2}, {2, 2}});
  EXPECT_FALSE(Received.apply(Sender.since(Missed)));
  EXPECT_TRUE(Received.apply(Sender.since(Received.revision())));
  EXPECT_EQ(Received.values(), (Source::Values{{1, 2}, {2, 2}}));
}

RC_GTEST_PROP(DeltaTest, AReceiverCatchesUpWithOneDelta, ()) {
  Source Sender;
  Receiver Received;
  Source::Values All;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  for (int Step : Steps) {
    std::uint64_t Before = Sender.revision();
    if (Step == 0) {
      Sender.clear();
    } else if (Step % 3 == 0) {
      All.erase(Step % 5);
    } else {
      All[Step % 5] = Step;
    }
    Sender.update(All);
    // Some deltas are lost.
    if (Step % 2 == 0)
      Received.apply(Sender.since(Before));
    if (Received.revision() == Sender.revision())
      RC_ASSERT(Received.values() == All);
  }
  RC_ASSERT(Received.apply(Sender.since(Received.revision())));
  RC_ASSERT(Received.values() == All);
}
