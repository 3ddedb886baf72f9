#include "control/internal/catalogproof.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::control;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};
constexpr StorePosition Old{3};
constexpr StorePosition New{7};

} // namespace

/// A late answer proves the state at the time the read was sent.
TEST(CatalogProofTest, AReadCountsFromWhenItWasSent) {
  CatalogProof Proof;
  EXPECT_EQ(Proof.provenAt(), base::TimePoint{});
  Proof.onRead({Start, Old});
  EXPECT_EQ(Proof.provenAt(), Start);
  Proof.onRead({Start + milliseconds(500), Old});
  EXPECT_EQ(Proof.provenAt(), Start + milliseconds(500));
}

/// A page of a longer answer proves nothing.
TEST(CatalogProofTest, AReadThatStopsBeforeTheEndProvesNothing) {
  CatalogProof Proof;
  Proof.onRead({Start, Old, false});
  EXPECT_EQ(Proof.provenAt(), base::TimePoint{});
  EXPECT_EQ(Proof.own(), Old);
}

/// Load pattern: a change is acknowledged while this instance gets no answer
/// from the store; the holder learns of it first.
TEST(CatalogProofTest, TheHoldersReportProvesOnlyTheSamePosition) {
  CatalogProof Proof;
  Proof.onRead({Start - milliseconds(100), Old});
  Proof.onReported(Old, Start);
  EXPECT_EQ(Proof.provenAt(), Start);
  Proof.onNewer();
  EXPECT_EQ(Proof.provenAt(), base::TimePoint{});
  EXPECT_EQ(Proof.lastProvenAt(), Start);
  // A holder that has read further proves nothing.
  Proof.onReported(New, Start + milliseconds(900));
  EXPECT_EQ(Proof.provenAt(), base::TimePoint{});
  Proof.onRead({Start + milliseconds(1000), New});
  // Nor does one that has read less.
  Proof.onReported(Old, Start + milliseconds(1200));
  EXPECT_EQ(Proof.provenAt(), Start + milliseconds(1000));
  Proof.onReported(New, Start + milliseconds(1200));
  EXPECT_EQ(Proof.provenAt(), Start + milliseconds(1200));
}
