#include "catalog/targetoutage.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::catalog;
using std::chrono::milliseconds;

namespace {

base::TimePoint at(int Millis) {
  return base::TimePoint(std::chrono::hours(1)) + milliseconds(Millis);
}

} // namespace

/// The holder alone is turned away for 3 s; others read for themselves.
TEST(TargetOutageTest, AStoreThatServesOthersHasNoOutage) {
  TargetOutageDetector Outages;
  for (int Each = 0; Each <= 2000; Each += 500)
    Outages.onServed(at(Each));
  for (int Each = 3800; Each <= 4800; Each += 250)
    Outages.onServed(at(Each));
  Outages.onServed(at(5300));
  EXPECT_FALSE(Outages.lastOutage());
  EXPECT_EQ(Outages.lastServed(), at(5300));
}

TEST(TargetOutageTest, EntriesMayHaveLapsedWhereNobodyWasServed) {
  TargetOutageDetector Outages;
  Outages.onServed(at(0));
  Outages.onServed(at(2400));
  Outages.onServed(at(2900));
  EXPECT_EQ(Outages.lastOutage(), at(2400));
}

/// Shorter than a running target may miss.
TEST(TargetOutageTest, AShortOutageLetsNoEntryLapse) {
  TargetOutageDetector Outages;
  Outages.onServed(at(0));
  Outages.onServed(at(1900));
  EXPECT_FALSE(Outages.lastOutage());
}

/// An instance's report arrives after the holder has read the list.
TEST(TargetOutageTest, ALateReportTakesAnOutageBack) {
  TargetOutageDetector Outages;
  Outages.onServed(at(0));
  Outages.onServed(at(3000));
  EXPECT_TRUE(Outages.lastOutage());
  Outages.onServed(at(1500));
  EXPECT_FALSE(Outages.lastOutage());
}

TEST(TargetOutageTest, WhatIsLongAgoIsForgotten) {
  TargetOutageDetector Outages;
  Outages.onServed(at(0));
  for (int Each = 3000; Each <= 20000; Each += 1000)
    Outages.onServed(at(Each));
  EXPECT_FALSE(Outages.lastOutage());
}

/// An instance that was turned away hears from a new holder.
TEST(TargetOutageTest, WhatAnotherInstanceKnowsTakesAnOutageBack) {
  TargetOutageDetector Outages;
  Outages.onServed(at(0));
  Outages.onServed(at(6000));
  EXPECT_EQ(Outages.servedSince(), at(6000));
  Outages.onServedThroughout(at(4500), at(6100));
  EXPECT_EQ(Outages.lastOutage(), at(4500));
  Outages.onServedThroughout(at(1000), at(6200));
  EXPECT_FALSE(Outages.lastOutage());
  EXPECT_EQ(Outages.servedSince(), at(0));
}
