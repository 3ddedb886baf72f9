#include "base/memorybudget.h"

#include <gtest/gtest.h>

using namespace kingcuphub::base;

TEST(MemoryBudgetTest, SharesDoNotExceedWhatTheProcessLeaves) {
  for (std::size_t Megabytes : {16U, 64U, 160U, 260U, 4096U}) {
    std::size_t Whole = Megabytes << 20U;
    MemoryLimits Limits = memoryLimits(Whole);
    EXPECT_GT(Limits.LargeRequests, 0U);
    EXPECT_GT(Limits.SmallRequests, 0U);
    EXPECT_GT(Limits.Answers, 0U);
    EXPECT_LT(Limits.LargeRequests + Limits.SmallRequests + Limits.Answers,
              Whole);
  }
}

TEST(MemoryBudgetTest, AReservationThatDoesNotFitHasNoEffect) {
  auto Budget = std::make_shared<MemoryBudget>(MemoryLimits{100, 10, 10});
  MemoryReservation First(Budget, MemoryShare::LargeRequests);
  MemoryReservation Second(Budget, MemoryShare::LargeRequests);
  EXPECT_TRUE(First.resize(70));
  EXPECT_FALSE(Second.resize(31));
  EXPECT_EQ(Second.size(), 0U);
  EXPECT_EQ(Budget->left(MemoryShare::LargeRequests), 30U);
  EXPECT_TRUE(Second.resize(30));
  EXPECT_TRUE(First.resize(10));
  EXPECT_EQ(Budget->left(MemoryShare::LargeRequests), 60U);
  EXPECT_EQ(Budget->left(MemoryShare::SmallRequests), 10U);
}

TEST(MemoryBudgetTest, AllBytesAreGivenBack) {
  auto Budget = std::make_shared<MemoryBudget>(MemoryLimits{100, 10, 10});
  {
    MemoryReservation First(Budget, MemoryShare::Answers);
    First.record(25);
    EXPECT_TRUE(Budget->overdrawn(MemoryShare::Answers));
    EXPECT_EQ(Budget->left(MemoryShare::Answers), 0U);
    MemoryReservation Moved(std::move(First));
    EXPECT_EQ(Budget->used(MemoryShare::Answers), 25U);
    MemoryReservation Assigned(Budget, MemoryShare::Answers);
    Assigned.record(5);
    Assigned = std::move(Moved);
    EXPECT_EQ(Budget->used(MemoryShare::Answers), 25U);
  }
  EXPECT_EQ(Budget->used(MemoryShare::Answers), 0U);
}
