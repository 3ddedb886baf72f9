#include "residency/orderledger.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::residency;
using std::chrono::milliseconds;

namespace {

const OrderSender Self{{"a"}, {2}};
const OrderSender Other{{"b"}, {1}};
const base::TargetId Engine{"e1"};
constexpr catalog::Lifetime Life{1};

class OrderLedgerTest : public testing::Test {
protected:
  bool mayOrder() const { return this->Ledger.mayOrder(Engine, this->Now); }
  void send() { this->Ledger.onSent(Engine, Life, this->Now); }
  void settle() {
    this->Ledger.onEnded(Engine);
    this->Ledger.onSettled(Engine, this->Now);
  }

  base::TimePoint Now{std::chrono::hours(1)};
  OrderLedger Ledger{Self, {}};
};

} // namespace

TEST_F(OrderLedgerTest, OneHolderOrdersAsItLikes) {
  this->Ledger.onClaim({1}, false);
  this->send();
  EXPECT_TRUE(this->mayOrder());
  this->Ledger.onEnded(Engine);
  EXPECT_TRUE(this->mayOrder());
}

TEST_F(OrderLedgerTest, AClaimAfterItsOwnRecordContinues) {
  this->Ledger.onClaim({1}, false);
  this->send();
  this->settle();
  this->Ledger.onClaim({3}, true);
  EXPECT_TRUE(this->mayOrder());
}

/// The turn that an earlier claim has to wait for is not forgotten by a later
/// one under which nothing was ordered.
TEST_F(OrderLedgerTest, ATurnOutlastsClaimsWithoutOrders) {
  this->Ledger.onClaim({1}, false);
  this->send();
  this->settle();
  this->Ledger.onClaim({5}, false);
  EXPECT_FALSE(this->mayOrder());
  this->Ledger.onClaim({7}, true);
  EXPECT_FALSE(this->mayOrder());
  this->Now += milliseconds(3300);
  EXPECT_TRUE(this->mayOrder());
}

TEST_F(OrderLedgerTest, OnlyOrdersThatWereGivenUpAreListed) {
  this->Ledger.onClaim({1}, false);
  this->send();
  EXPECT_TRUE(this->Ledger.own(this->Now).empty());
  this->Ledger.onEnded(Engine);
  ASSERT_EQ(this->Ledger.own(this->Now).size(), 1U);
  this->Ledger.onSettled(Engine, this->Now);
  EXPECT_TRUE(this->Ledger.own(this->Now).empty());
}

TEST_F(OrderLedgerTest,
       AnothersLateOrderHoldsAnEngineBackUntilItsSenderClearsIt) {
  this->Ledger.onClaim({1}, false);
  this->Ledger.inherit({{Other, Engine, Life, milliseconds(9000)}}, this->Now,
                       this->Now);
  EXPECT_FALSE(this->mayOrder());
  this->Ledger.replace(Self, {}, this->Now);
  EXPECT_FALSE(this->mayOrder());
  this->Ledger.replace(Other, {}, this->Now);
  EXPECT_TRUE(this->mayOrder());
}

TEST_F(OrderLedgerTest, AnothersLateOrderHoldsAnEngineBackForABoundedTime) {
  this->Ledger.onClaim({1}, false);
  this->Ledger.inherit({{Other, Engine, Life, milliseconds(9000)}}, this->Now,
                       this->Now);
  this->Now += milliseconds(8999);
  EXPECT_FALSE(this->mayOrder());
  this->Now += milliseconds(1);
  EXPECT_TRUE(this->mayOrder());
}

/// An engine may start again under its id, which is all that an order names.
TEST_F(OrderLedgerTest, AnEngineThatStartsAgainSettlesNothing) {
  this->Ledger.onClaim({1}, false);
  this->Ledger.inherit({{Other, Engine, Life, milliseconds(9000)}}, this->Now,
                       this->Now);
  constexpr catalog::Lifetime NextLife{2};
  this->Ledger.inherit({{Other, Engine, NextLife, milliseconds(-100)}},
                       this->Now, this->Now);
  EXPECT_FALSE(this->mayOrder());
  this->Now += milliseconds(9000);
  EXPECT_TRUE(this->mayOrder());
}

/// All processes of a machine are one holder.
TEST_F(OrderLedgerTest, AnEarlierProcesssLateOrderCountsForTheTurn) {
  this->Ledger.onClaim({1}, false);
  OrderSender Earlier{Self.Instance, {1}};
  this->Ledger.inherit({{Earlier, Engine, Life, milliseconds(-1000)}},
                       this->Now, this->Now);
  EXPECT_FALSE(this->mayOrder());
  this->Now += milliseconds(2300);
  EXPECT_TRUE(this->mayOrder());
}

/// The sender's next process would else order again within the turn.
TEST_F(OrderLedgerTest, TheLateOrderOfAnEndedProcessIsPassedOnForATurn) {
  this->Ledger.onClaim({1}, false);
  this->Ledger.inherit({{Other, Engine, Life, milliseconds(9000)}}, this->Now,
                       this->Now);
  this->Now += milliseconds(9500);
  this->Ledger.prune(this->Now);
  ASSERT_EQ(this->Ledger.all(this->Now).size(), 1U);
  EXPECT_EQ(this->Ledger.all(this->Now)[0].Left, milliseconds(-500));
  OrderLedger Next({Other.Instance, {2}}, {});
  Next.onClaim({3}, false);
  Next.inherit(this->Ledger.all(this->Now), this->Now, this->Now);
  EXPECT_FALSE(Next.mayOrder(Engine, this->Now + milliseconds(2799)));
  EXPECT_TRUE(Next.mayOrder(Engine, this->Now + milliseconds(2800)));
}

TEST_F(OrderLedgerTest, ALateOrderThatIsHeardOfLateStartsATurn) {
  this->Ledger.onClaim({1}, false);
  this->send();
  this->settle();
  this->Ledger.replace(Other, {{Other, Engine, Life, milliseconds(9000)}},
                       this->Now);
  this->Now += milliseconds(1000);
  this->Ledger.replace(Other, {}, this->Now);
  EXPECT_FALSE(this->mayOrder());
  this->Now += milliseconds(2300);
  EXPECT_TRUE(this->mayOrder());
}

/// What a broken connection has carried may be carried out seconds later.
TEST_F(OrderLedgerTest, AnOrderWhoseConnectionBrokeIsSettledAfterABoundedTime) {
  this->Ledger.onClaim({1}, false);
  this->send();
  this->Ledger.onEnded(Engine);
  this->Ledger.onCut(Engine, this->Now);
  this->Ledger.prune(this->Now + milliseconds(12999));
  EXPECT_EQ(this->Ledger.own(this->Now).size(), 1U);
  this->Ledger.prune(this->Now + milliseconds(13000));
  EXPECT_TRUE(this->Ledger.own(this->Now).empty());
  this->Now += milliseconds(13000);
  this->Ledger.onClaim({5}, false);
  EXPECT_FALSE(this->mayOrder());
  this->Now += milliseconds(3300);
  EXPECT_TRUE(this->mayOrder());
}

/// Later orders that were answered do not extend the time.
TEST_F(OrderLedgerTest, OrdersAfterABrokenConnectionDoNotDelayItsEnd) {
  this->Ledger.onClaim({1}, false);
  this->send();
  this->Ledger.onEnded(Engine);
  this->Ledger.onCut(Engine, this->Now);
  this->Now += milliseconds(8000);
  this->send();
  this->settle();
  ASSERT_EQ(this->Ledger.own(this->Now).size(), 1U);
  EXPECT_EQ(this->Ledger.own(this->Now)[0].Left, milliseconds(5000));
  this->Ledger.prune(this->Now + milliseconds(5000));
  EXPECT_TRUE(this->Ledger.own(this->Now).empty());
}

/// A record is older than what its holder has said since.
TEST_F(OrderLedgerTest, AnOlderListShortensNothing) {
  this->Ledger.onClaim({1}, false);
  this->Ledger.inherit({{Other, Engine, Life, milliseconds(9000)}}, this->Now,
                       this->Now);
  this->Ledger.inherit({{Other, Engine, Life, milliseconds(1000)}}, this->Now,
                       this->Now);
  this->Now += milliseconds(1000);
  EXPECT_FALSE(this->mayOrder());
}

/// What an ended process has sent may still arrive.
TEST_F(OrderLedgerTest, TheNextProcessOfASenderSettlesNothing) {
  this->Ledger.onClaim({1}, false);
  this->Ledger.inherit({{Other, Engine, Life, milliseconds(9000)}}, this->Now,
                       this->Now);
  this->Ledger.replace({Other.Instance, {2}}, {}, this->Now);
  this->Now += milliseconds(8999);
  EXPECT_FALSE(this->mayOrder());
  this->Now += milliseconds(1);
  EXPECT_TRUE(this->mayOrder());
}

/// Orders that are settled hold nobody back who keeps the lease.
TEST_F(OrderLedgerTest, SettledOrdersOfOthersStartNoTurn) {
  this->Ledger.onClaim({1}, false);
  this->send();
  this->settle();
  this->Ledger.inherit({{Other, Engine, Life, milliseconds(-100)}}, this->Now,
                       this->Now);
  EXPECT_TRUE(this->mayOrder());
}

TEST_F(OrderLedgerTest, WhatIsOverIsDropped) {
  this->Ledger.onClaim({1}, false);
  this->send();
  this->settle();
  this->Ledger.inherit({{Other, Engine, Life, milliseconds(100)}}, this->Now,
                       this->Now);
  this->Ledger.prune(this->Now + milliseconds(3399));
  EXPECT_EQ(this->Ledger.all(this->Now).size(), 1U);
  this->Ledger.prune(this->Now + milliseconds(3400));
  EXPECT_TRUE(this->Ledger.all(this->Now).empty());
}
