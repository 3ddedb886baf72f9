#include "../internal/delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub::control;

namespace {

using Book = ChangeBook<int, int>;
using Reader = ChangeReader<int, int>;

} // namespace

TEST(ChangeBookTest, OneChangeAmongManyIsSentAlone) {
  Book Told;
  Book::Values All;
  for (int Id = 0; Id < 60; ++Id)
    All[Id] = 0;
  Told.update(All);
  std::uint64_t Before = Told.revision();
  All[7] = 1;
  EXPECT_TRUE(Told.update(All));
  EXPECT_EQ(Told.since(Before).Changes.size(), 1U);
  EXPECT_FALSE(Told.update(All));
}

TEST(ChangeBookTest, AReaderThatMissedADifferenceTakesNoLaterOne) {
  Book Told;
  Reader Reads;
  Told.update({{1, 1}});
  ASSERT_TRUE(Reads.apply(Told.since(0)));
  std::uint64_t Missed = Told.revision() + 1;
  Told.update({{1, 2}});
  Told.update({{1, 2}, {2, 2}});
  EXPECT_FALSE(Reads.apply(Told.since(Missed)));
  EXPECT_TRUE(Reads.apply(Told.since(Reads.revision())));
  EXPECT_EQ(Reads.values(), (Book::Values{{1, 2}, {2, 2}}));
}

RC_GTEST_PROP(ChangeBookTest, WhoeverAsksAgainBelievesWhatWasTold, ()) {
  Book Told;
  Reader Reads;
  Book::Values All;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
  for (int Step : Steps) {
    std::uint64_t Before = Told.revision();
    if (Step == 0) {
      Told.clear();
    } else if (Step % 3 == 0) {
      All.erase(Step % 5);
    } else {
      All[Step % 5] = Step;
    }
    Told.update(All);
    // Some differences are lost on the way.
    if (Step % 2 == 0)
      Reads.apply(Told.since(Before));
    if (Reads.revision() == Told.revision())
      RC_ASSERT(Reads.values() == All);
  }
  RC_ASSERT(Reads.apply(Told.since(Reads.revision())));
  RC_ASSERT(Reads.values() == All);
}
