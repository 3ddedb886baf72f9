#include "http/requestmemory.h"

#include <array>
#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::http;

namespace {

constexpr std::size_t Head = 500;
constexpr std::size_t Megabyte = 1U << 20U;
constexpr std::size_t SmallBody = 1000;

base::MemoryBudgetPtr makeBudget() {
  return std::make_shared<base::MemoryBudget>(
      base::MemoryLimits{10 * Megabyte, Megabyte, Megabyte});
}

} // namespace

TEST(RequestMemoryTest, LargeRequestsLeaveSmallOnesTheirRoom) {
  auto Budget = makeBudget();
  std::array<RequestMemory, 20> Large;
  std::size_t Taken = 0;
  for (RequestMemory &Each : Large) {
    Each = RequestMemory(Budget);
    auto Refused = Each.reserve(Head, 2 * Megabyte);
    if (Refused)
      EXPECT_EQ(*Refused, MemoryRefusal::NoRoom);
    else
      ++Taken;
  }
  EXPECT_EQ(Taken, 4U);
  RequestMemory Small(Budget);
  EXPECT_FALSE(Small.reserve(Head, SmallBody));
}

TEST(RequestMemoryTest, ARequestThatNeverFitsIsNotAskedToComeBack) {
  auto Budget = makeBudget();
  RequestMemory Memory(Budget);
  EXPECT_EQ(Memory.reserve(Head, 11 * Megabyte), MemoryRefusal::NeverFits);
  EXPECT_EQ(Budget->used(base::MemoryShare::LargeRequests), 0U);
}

TEST(RequestMemoryTest, AGrowingBodyHasOneReservationAtATime) {
  auto Budget = makeBudget();
  {
    RequestMemory Memory(Budget);
    EXPECT_FALSE(Memory.reserve(Head, SmallBody));
    EXPECT_EQ(Budget->used(base::MemoryShare::SmallRequests), Memory.size());
    EXPECT_FALSE(Memory.reserve(Head, 6 * Megabyte));
    EXPECT_EQ(Budget->used(base::MemoryShare::SmallRequests), 0U);
    EXPECT_FALSE(Memory.reserve(Head, 9 * Megabyte));
    EXPECT_EQ(Budget->used(base::MemoryShare::LargeRequests), Memory.size());
  }
  EXPECT_EQ(Budget->used(base::MemoryShare::LargeRequests), 0U);
}
