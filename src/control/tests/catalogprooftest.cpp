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

/// A read that hangs proves nothing; one that is answered late proves what was
/// so when it was asked for.
TEST(CatalogProofTest, AReadCountsFromWhenItWasAsked) {
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

/// Load pattern: version 7 is acknowledged while the store is silent to this
/// instance, whose holder hears of it first.
TEST(CatalogProofTest, TheHoldersWordProvesTheSameVersionOnly) {
  CatalogProof Proof;
  Proof.onWord(Old, Old, Start);
  EXPECT_EQ(Proof.provenAt(), Start);
  // A holder that is behind proves nothing.
  Proof.onWord(Old, New, Start + milliseconds(900));
  EXPECT_EQ(Proof.provenAt(), Start);
  Proof.onNewer();
  EXPECT_EQ(Proof.provenAt(), base::TimePoint{});
  Proof.onWord(New, New, Start + milliseconds(1200));
  EXPECT_EQ(Proof.provenAt(), Start + milliseconds(1200));
}
