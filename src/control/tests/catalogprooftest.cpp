#include "control/internal/catalogproof.h"

#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::control;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint Start{std::chrono::hours(1)};
constexpr catalog::Version Old{3};
constexpr catalog::Version New{7};

} // namespace

/// A hanging read proves nothing; a late answer proves the state at the time
/// the read was sent.
TEST(CatalogProofTest, AReadCountsFromWhenItWasSent) {
  CatalogProof Proof;
  EXPECT_EQ(Proof.provenAt(), base::TimePoint{});
  Proof.onAsked(Start);
  EXPECT_EQ(Proof.provenAt(), base::TimePoint{});
  Proof.onAnswered();
  Proof.onAsked(Start + milliseconds(500));
  EXPECT_EQ(Proof.provenAt(), Start);
  Proof.onAnswered();
  EXPECT_EQ(Proof.provenAt(), Start + milliseconds(500));
}

/// Load pattern: version 7 is acknowledged while this instance gets no answer
/// from the store; the holder learns of it first.
TEST(CatalogProofTest, TheHoldersReportProvesOnlyTheSameVersion) {
  CatalogProof Proof;
  Proof.onReportedVersion(Old, Old, Start);
  EXPECT_EQ(Proof.provenAt(), Start);
  // A holder with an older version proves nothing.
  Proof.onReportedVersion(Old, New, Start + milliseconds(900));
  EXPECT_EQ(Proof.provenAt(), Start);
  Proof.onNewerVersion();
  EXPECT_EQ(Proof.provenAt(), base::TimePoint{});
  Proof.onReportedVersion(New, New, Start + milliseconds(1200));
  EXPECT_EQ(Proof.provenAt(), Start + milliseconds(1200));
}
