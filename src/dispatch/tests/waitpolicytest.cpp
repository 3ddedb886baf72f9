#include "dispatch/waitpolicy.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::dispatch;
using std::chrono::milliseconds;

namespace {

WaitContext waitContext(WaitFor For) {
  WaitContext Out;
  Out.For = For;
  Out.Patience = milliseconds(2000);
  Out.Objective = milliseconds(300);
  Out.EndsPerSecond = 10;
  Out.LoadTime = milliseconds(4000);
  return Out;
}

const WaitPolicy Policy{WaitSettings{}};

/// Simulates a service that ends \c EndsPerSecond requests while
/// \c ArrivalsPerSecond requests arrive. Counts requests that are served and
/// requests that waited in vain.
struct Overload {
  double EndsPerSecond = 0;
  double ArrivalsPerSecond = 0;
  int Served = 0;
  int InVain = 0;
  milliseconds LongestWait{0};

  void run(milliseconds Time, bool RefuseAtOnce) {
    struct Waiting {
      milliseconds Since{0};
      milliseconds Until{0};
    };
    constexpr milliseconds Step{10};
    std::deque<Waiting> Queue;
    double Ends = 0;
    double Arrivals = 0;
    for (milliseconds Now{0}; Now < Time; Now += Step) {
      double Seconds = std::chrono::duration<double>(Step).count();
      Ends = Queue.empty() ? 0 : Ends + this->EndsPerSecond * Seconds;
      for (Arrivals += this->ArrivalsPerSecond * Seconds; Arrivals >= 1;
           Arrivals -= 1) {
        WaitContext Request = waitContext(WaitFor::Capacity);
        Request.Ahead = Queue.size();
        Request.EndsPerSecond = this->EndsPerSecond;
        auto Decision = Policy.decide(Request);
        if (auto *Wait = std::get_if<WaitUpTo>(&Decision))
          Queue.push_back({Now, Now + Wait->Limit});
        else if (!RefuseAtOnce)
          Queue.push_back({Now, Now + milliseconds(900)});
      }
      while (!Queue.empty() && Queue.front().Until <= Now) {
        ++this->InVain;
        Queue.pop_front();
      }
      for (; Ends >= 1 && !Queue.empty(); Ends -= 1) {
        ++this->Served;
        this->LongestWait =
            std::max(this->LongestWait, Now - Queue.front().Since);
        Queue.pop_front();
      }
    }
  }
};

} // namespace

/// With three times as many requests as can be served, the excess is refused at
/// once: no fewer requests are served, and hardly any waits in vain.
TEST(WaitPolicyTest, AtOverloadWhatCannotBeServedIsRefusedAtOnce) {
  Overload Refusing{20, 60};
  Refusing.run(milliseconds(10000), true);
  Overload Holding{20, 60};
  Holding.run(milliseconds(10000), false);
  EXPECT_GE(Refusing.Served, Holding.Served);
  EXPECT_LE(Refusing.InVain, 5);
  EXPECT_GE(Holding.InVain, 100);
  EXPECT_LE(Refusing.LongestWait, milliseconds(900));
}

TEST(WaitPolicyTest, ALoadThatEndsTooLateIsRefusedAtOnce) {
  WaitContext Request = waitContext(WaitFor::Item);
  Request.LoadedIn = milliseconds(3000);
  auto Decision = Policy.decide(Request);
  auto *Refused = std::get_if<RefuseNow>(&Decision);
  ASSERT_NE(Refused, nullptr);
  EXPECT_EQ(Refused->RetryAfter, milliseconds(3000));
}

TEST(WaitPolicyTest, ALoadThatEndsSoonIsWaitedFor) {
  WaitContext Request = waitContext(WaitFor::Item);
  Request.LoadedIn = milliseconds(400);
  auto Decision = Policy.decide(Request);
  auto *Waits = std::get_if<WaitUpTo>(&Decision);
  ASSERT_NE(Waits, nullptr);
  EXPECT_GE(Waits->Limit, milliseconds(400));
}

TEST(WaitPolicyTest, ARefusalAfterWaitingStatesTheLoadTime) {
  EXPECT_EQ(Policy.afterWait(waitContext(WaitFor::Item)).RetryAfter,
            milliseconds(4000));
}

TEST(WaitPolicyTest, PatienceWithASilentStreamEndsBeforeTheDeadline) {
  catalog::Route Route;
  Route.Streaming = true;
  Route.Objective = milliseconds(300);
  Route.PauseObjective = milliseconds(200);
  EXPECT_EQ(Policy.patience(Route, milliseconds(500), milliseconds(11500)),
            milliseconds(1500));
  Route.Objective = milliseconds(3000);
  EXPECT_EQ(Policy.patience(Route, milliseconds(0), milliseconds(20000)),
            milliseconds(12000));
  Route.Streaming = false;
  EXPECT_EQ(Policy.patience(Route, milliseconds(0), milliseconds(1500)),
            milliseconds(1500));
}

/// No request waits longer than half of its caller's patience, and every
/// refusal has a retry time.
RC_GTEST_PROP(WaitPolicyTest, NoRequestWaitsBeyondHalfOfItsCallersPatience,
              ()) {
  WaitContext Request;
  Request.For =
      *rc::gen::element(WaitFor::Capacity, WaitFor::Item, WaitFor::Target);
  Request.Patience = milliseconds(*rc::gen::inRange(0, 20000));
  Request.Objective = milliseconds(*rc::gen::inRange(1, 5000));
  Request.Ahead = *rc::gen::inRange<std::size_t>(0, 500);
  Request.EndsPerSecond = *rc::gen::inRange(0, 200);
  if (*rc::gen::arbitrary<bool>())
    Request.LoadedIn = milliseconds(*rc::gen::inRange(0, 9000));
  auto Decision = Policy.decide(Request);
  if (auto *Waits = std::get_if<WaitUpTo>(&Decision))
    RC_ASSERT(Waits->Limit <= Request.Patience / 2);
  else
    RC_ASSERT(std::get<RefuseNow>(Decision).RetryAfter > milliseconds(0));
}
