#include "dispatch/usageshares.h"

#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::dispatch;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Step{25};
constexpr milliseconds ReportEvery{250};
constexpr milliseconds WindowLength{8000};
constexpr double Rate = 80000;
constexpr double Burst = 80000;
constexpr std::size_t InstanceCount = 8;

/// Instances with their limits, one holder of the shares at a time, and a
/// network that can be cut for some of them.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random(Seed) {
    this->Account.Id = {"account"};
    this->Account.RatePerSecond = Rate;
    this->Account.Burst = Burst;
    this->Shares.start(this->Now);
    for (Member &Each : this->Members)
      Each.Limit.setInstances(InstanceCount);
  }

  /// Every instance is asked for \p Factor times its even part of the rate,
  /// some for far more.
  void run(milliseconds Time, double Factor) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
      this->Now += Step;
      if (Passed % milliseconds(3000) == milliseconds(0))
        this->drawWeights();
      for (std::size_t Index = 0; Index < InstanceCount; ++Index)
        this->serve(Index, Factor);
      this->deliver();
    }
  }

  void changeHolder() { this->Shares.start(this->Now); }
  void cut(std::size_t Index, bool Cut) { this->Members[Index].Cut = Cut; }
  double admittedPerSecond() const {
    double Sum = 0;
    for (const auto &[At, Amount] : this->Admitted)
      Sum += Amount;
    return Sum / std::chrono::duration<double>(WindowLength).count();
  }
  double Worst = 0;

private:
  struct Member {
    UsageLimit Limit;
    base::TimePoint ReportedAt;
    double Weight = 1;
    bool Cut = false;
  };
  struct Reply {
    base::TimePoint At;
    std::size_t To = 0;
    std::vector<AccountGrant> Grants;
    base::TimePoint ValidUntil;
  };

  void drawWeights() {
    std::uniform_real_distribution<double> Draw(0, 4);
    for (Member &Each : this->Members)
      Each.Weight = Draw(this->Random);
  }

  void serve(std::size_t Index, double Factor) {
    Member &Of = this->Members[Index];
    double Wanted = Rate * Factor * Of.Weight / InstanceCount *
                    std::chrono::duration<double>(Step).count();
    constexpr double RequestSize = 900;
    for (Of.Limit.setInstances(InstanceCount); Wanted > 0;
         Wanted -= RequestSize)
      if (!Of.Limit.take(this->Account, RequestSize, this->Now))
        this->admit(RequestSize);
    if (this->Now < Of.ReportedAt + ReportEvery)
      return;
    Of.ReportedAt = this->Now;
    auto Use = Of.Limit.takeUse(this->Now);
    if (Of.Cut)
      return;
    std::uniform_int_distribution<int> Delay(1, 200);
    this->Replies.push_back(
        {this->Now + milliseconds(Delay(this->Random)), Index,
         this->Shares.onUse({std::to_string(Index)}, Use, this->Now),
         this->Now + UsageSharesSettings{}.GrantLasts});
  }

  void deliver() {
    for (auto Each = this->Replies.begin(); Each != this->Replies.end();) {
      if (Each->At > this->Now) {
        ++Each;
        continue;
      }
      for (const AccountGrant &Grant : Each->Grants)
        this->Members[Each->To].Limit.setGrant(Grant.Account, Grant.Part,
                                               Each->ValidUntil);
      Each = this->Replies.erase(Each);
    }
  }

  void admit(double Amount) {
    this->Admitted.emplace_back(this->Now, Amount);
    while (this->Admitted.front().first + WindowLength < this->Now)
      this->Admitted.pop_front();
    double Sum = 0;
    for (const auto &[At, Each] : this->Admitted)
      Sum += Each;
    this->Worst = std::max(this->Worst, Sum);
  }

  std::mt19937_64 Random;
  base::TimePoint Now{std::chrono::hours(1)};
  catalog::Account Account;
  UsageShares Shares{UsageSharesSettings{}};
  std::array<Member, InstanceCount> Members;
  std::deque<Reply> Replies;
  std::deque<std::pair<base::TimePoint, double>> Admitted;
};

/// The deployments' bound on a window: a tenth above rate and burst, and a
/// slack of seven thousand tokens.
constexpr double Bound = (Rate * 8 + Burst) * 1.1 + 7000;

} // namespace

/// An account sends six times its rate through instances that change, some of
/// them cut off, while the holder of the shares changes.
RC_GTEST_PROP(UsageTest, AllInstancesTogetherStayWithinTheLimit, ()) {
  Fleet All(*rc::gen::arbitrary<std::uint64_t>());
  All.run(milliseconds(2000), *rc::gen::inRange(0, 2));
  for (int Round = 0; Round < 4; ++Round) {
    auto Index = *rc::gen::inRange<std::size_t>(0, InstanceCount);
    All.cut(Index, *rc::gen::arbitrary<bool>());
    if (*rc::gen::arbitrary<bool>())
      All.changeHolder();
    All.run(milliseconds(*rc::gen::inRange(500, 7000)),
            *rc::gen::inRange(0, 7));
  }
  RC_ASSERT(All.Worst <= Bound);
}

/// In calm, what is asked for within the rate is admitted wherever it arrives.
TEST(UsageTest, AnAccountGetsMostOfItsRateWhereverItsCallersAre) {
  Fleet All(7);
  All.run(milliseconds(20000), 1.5);
  EXPECT_GE(All.admittedPerSecond(), 0.8 * Rate);
}
