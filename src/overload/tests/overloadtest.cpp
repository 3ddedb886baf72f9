#include "overload/admissioncontroller.h"
#include "overload/admissionfilter.h"

#include <gtest/gtest.h>
#include <random>

using namespace kingcuphub;
using namespace kingcuphub::overload;
using std::chrono::milliseconds;

namespace {

const ServiceModel What{{"pool"}, {"m"}};
constexpr unsigned Urgent = 0;
constexpr unsigned Relaxed = 3;

/// Instances that ask for more of one model than its engines take, which refuse
/// the rest.
class OverloadTest : public testing::Test {
protected:
  struct Outcome {
    int Asked = 0;
    int Admitted = 0;
    int Full = 0;
    int Served = 0;
  };

  /// \p Asks: requests of each interval, by class and account.
  void play(std::chrono::seconds For,
            const std::map<std::pair<unsigned, std::string>, int> &Asks,
            int Capacity) {
    for (base::TimePoint End = this->Now + For; this->Now < End;
         this->Now += milliseconds(250)) {
      int Taken = 0;
      for (int Turn = 0; Turn < 100; ++Turn)
        for (const auto &[Of, Count] : Asks)
          if (Turn < Count)
            this->ask(Of.first, Of.second, Taken, Capacity);
      for (AdmissionFilter &Each : this->Instances)
        this->Holder.onArrivals(Each.take());
      if (this->HolderLives && this->Holder.tick(this->Now))
        for (AdmissionFilter &Each : this->Instances)
          Each.setLevels(this->Holder.levels(), this->Now);
    }
  }

  void ask(unsigned Class, const std::string &Account, int &Taken,
           int Capacity) {
    AdmissionFilter &At = this->Instances[this->Random() % Count];
    Outcome &Of = this->Seen[{Class, Account}];
    ++Of.Asked;
    std::uniform_real_distribution<double> Draw(0, 1);
    if (At.refuses({What, Class, {Account}}, Draw(this->Random), this->Now))
      return;
    ++Of.Admitted;
    At.onSent(What);
    if (++Taken <= Capacity) {
      ++Of.Served;
      return;
    }
    ++Of.Full;
    At.onFull(What);
  }

  Outcome total() const {
    Outcome Out;
    for (const auto &[Of, Each] : this->Seen) {
      Out.Asked += Each.Asked;
      Out.Admitted += Each.Admitted;
      Out.Full += Each.Full;
      Out.Served += Each.Served;
    }
    return Out;
  }

  static constexpr std::size_t Count = 20;
  AdmissionController Holder{AdmissionControllerSettings{}};
  std::vector<AdmissionFilter> Instances =
      std::vector<AdmissionFilter>(Count, AdmissionFilter({}));
  std::mt19937_64 Random{5};
  base::TimePoint Now{std::chrono::hours(1)};
  bool HolderLives = true;
  std::map<std::pair<unsigned, std::string>, Outcome> Seen;
};

} // namespace

// Guards against spending the budget of retries on engines that are full: half
// of what is asked for can't be served.
TEST_F(OverloadTest, FewArrivalsMeetFullEnginesAndTheirPlacesAreUsed) {
  std::map<std::pair<unsigned, std::string>, int> Asks = {{{Urgent, "a"}, 40},
                                                          {{Relaxed, "a"}, 40}};
  this->play(std::chrono::seconds(3), Asks, 40);
  this->Seen.clear();
  this->play(std::chrono::seconds(20), Asks, 40);
  EXPECT_LT(this->total().Full, this->total().Admitted * 5 / 100);
  EXPECT_GT(this->total().Served, 80 * 40 * 85 / 100);
}

TEST_F(OverloadTest, LessUrgentRequestsAreRefusedFirst) {
  std::map<std::pair<unsigned, std::string>, int> Asks = {{{Urgent, "a"}, 40},
                                                          {{Relaxed, "a"}, 40}};
  this->play(std::chrono::seconds(20), Asks, 50);
  const Outcome &First = this->Seen[{Urgent, "a"}];
  const Outcome &Second = this->Seen[{Relaxed, "a"}];
  EXPECT_GT(First.Admitted, First.Asked * 95 / 100);
  EXPECT_LT(Second.Admitted, Second.Asked * 60 / 100);
}

// Guards against one account's burst costing the others of its class.
TEST_F(OverloadTest, TheAccountThatAsksForMostIsRefusedFirst) {
  this->play(std::chrono::seconds(20),
             {{{Urgent, "hot"}, 80}, {{Urgent, "small"}, 10}}, 40);
  const Outcome &Hot = this->Seen[{Urgent, "hot"}];
  const Outcome &Small = this->Seen[{Urgent, "small"}];
  EXPECT_GT(Small.Admitted, Small.Asked * 9 / 10);
  EXPECT_LT(Hot.Admitted, Hot.Asked * 6 / 10);
}

TEST_F(OverloadTest, WithoutOverloadNothingIsRefused) {
  this->play(std::chrono::seconds(10), {{{Relaxed, "a"}, 30}}, 40);
  EXPECT_EQ(this->total().Admitted, this->total().Asked);
  // And all is admitted again soon after one.
  this->play(std::chrono::seconds(5), {{{Relaxed, "a"}, 80}}, 40);
  this->play(std::chrono::seconds(4), {{{Relaxed, "a"}, 30}}, 40);
  this->Seen.clear();
  this->play(std::chrono::seconds(2), {{{Relaxed, "a"}, 30}}, 40);
  EXPECT_EQ(this->total().Admitted, this->total().Asked);
}

// Failure: the holder dies during an overload. Levels that nobody confirms are
// not applied for ever.
TEST_F(OverloadTest, LevelsOfADeadHolderLapse) {
  this->play(std::chrono::seconds(5), {{{Relaxed, "a"}, 90}}, 30);
  this->HolderLives = false;
  this->play(std::chrono::seconds(2), {{{Relaxed, "a"}, 90}}, 30);
  this->Seen.clear();
  this->play(std::chrono::seconds(2), {{{Relaxed, "a"}, 90}}, 30);
  EXPECT_EQ(this->total().Admitted, this->total().Asked);
}
