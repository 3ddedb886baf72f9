#include "state/freshness.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::state;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration Bound = 3s;

Witness witness(const std::string &Name, std::uint64_t Life = 1) {
  return {{Name}, {Life}};
}

base::TimePoint at(std::chrono::milliseconds Since) {
  return base::TimePoint(1h) + Since;
}

PeerAnswer answer(const Witness &Peer, std::chrono::milliseconds AskedAt,
                  std::uint64_t Known, std::uint64_t Vouched = 1) {
  return {Peer, at(AskedAt), {Known}, {Vouched}};
}

/// An instance that is not a witness itself. The witnesses are a, b and c, and
/// it cannot read the log beyond offset 5.
Freshness withoutLog() {
  Freshness Out(witness("x"), Bound);
  Out.setReduced({5});
  Out.onEpoch({{1}, {witness("a"), witness("b"), witness("c")}}, at(0ms));
  Out.onConfigTail(at(1ms));
  return Out;
}

} // namespace

TEST(FreshnessTest, AnOwnReadOfTheTailIsAProofForTheBound) {
  Freshness Subject(witness("x"), Bound);
  EXPECT_FALSE(Subject.proof(at(0ms)).At);
  Subject.onConfigTail(at(10ms));
  EXPECT_EQ(Subject.proof(at(3010ms)).At, at(10ms));
  EXPECT_FALSE(Subject.proof(at(3011ms)).At);
}

TEST(FreshnessTest, AMajorityOfWitnessesIsAProofDuringALogOutage) {
  Freshness Subject = withoutLog();
  Subject.onAnswer(answer(witness("a"), 9000ms, 5));
  EXPECT_FALSE(Subject.proof(at(9500ms)).At);
  Subject.onAnswer(answer(witness("b"), 9400ms, 4));
  EXPECT_EQ(Subject.proof(at(9500ms)).At, at(9000ms));
}

TEST(FreshnessTest, AWitnessWithANewerVersionInvalidatesTheProofUntilCaughtUp) {
  Freshness Subject = withoutLog();
  Subject.onAnswer(answer(witness("a"), 9000ms, 5));
  Subject.onAnswer(answer(witness("b"), 9000ms, 6));
  FreshnessProof Proof = Subject.proof(at(9500ms));
  EXPECT_FALSE(Proof.At);
  EXPECT_NE(Proof.Reason.find("newer configuration"), std::string::npos);
  Subject.setReduced({6});
  EXPECT_TRUE(Subject.proof(at(9500ms)).At);
}

TEST(FreshnessTest, ARestartedWitnessDoesNotCount) {
  Freshness Subject = withoutLog();
  Subject.onAnswer(answer(witness("a"), 9000ms, 5));
  Subject.onAnswer(answer(witness("b", 2), 9000ms, 5));
  EXPECT_FALSE(Subject.proof(at(9500ms)).At);
}

TEST(FreshnessTest, AChangeWaitsForAMajorityOfEveryEpochInUse) {
  Freshness Subject = withoutLog();
  Subject.setReduced({6});
  EXPECT_EQ(Subject.waitingFor({6}).size(), 3U);
  Subject.onAnswer(answer(witness("a"), 10ms, 6));
  Subject.onAnswer(answer(witness("b"), 10ms, 6));
  EXPECT_TRUE(Subject.waitingFor({6}).empty());
  Subject.onEpoch({{2}, {witness("d"), witness("e"), witness("f")}}, at(20ms));
  Subject.setReduced({7});
  Subject.onAnswer(answer(witness("d"), 30ms, 7, 2));
  Subject.onAnswer(answer(witness("e"), 30ms, 7, 2));
  EXPECT_EQ(Subject.waitingFor({7}),
            (std::vector<base::InstanceId>{{"a"}, {"b"}, {"c"}}));
  Subject.onAnswer(answer(witness("a"), 40ms, 6, 2));
  Subject.onEnded(witness("c"));
  EXPECT_TRUE(Subject.waitingFor({7}).empty());
}

TEST(FreshnessTest, ANewEpochIsVouchedForOnlyAfterALaterReadOfTheTail) {
  Freshness Subject(witness("x"), Bound);
  Subject.onEpoch({{1}, {witness("x")}}, at(10ms));
  Subject.onConfigTail(at(9ms));
  EXPECT_EQ(Subject.vouched(), base::EpochNumber{0});
  Subject.onConfigTail(at(11ms));
  EXPECT_EQ(Subject.vouched(), base::EpochNumber{1});
}

namespace {

/// One step of a schedule, encoded as random numbers.
using Step = std::array<std::uint8_t, 4>;

/// Simulates nodes, their log and their messages; time passes only by steps.
class Deployment {
public:
  static constexpr std::size_t NodeCount = 5;
  static constexpr std::size_t MaxEpochs = 8;

  Deployment() {
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      this->Nodes.push_back(Node(Index, 1));
    this->Tails.push_back({this->Now, 0});
    this->EpochTails.push_back({this->Now, 0});
  }

  void run(const Step &Each) {
    this->Now += 1ms;
    Node &Actor = this->Nodes[Each[1] % NodeCount];
    switch (Kinds[Each[0] % Kinds.size()]) {
    case Kind::Wait:
      this->Now += std::chrono::milliseconds(4 * Each[2]);
      break;
    case Kind::ReadConfig:
      this->readConfig(Actor, Each[2]);
      break;
    case Kind::ReadSystem:
      this->readSystem(Actor, Each[2]);
      break;
    case Kind::Exchange:
      this->exchange(Actor, Each[2] % NodeCount);
      break;
    case Kind::RequestAll:
      for (unsigned To = 0; To < NodeCount; ++To)
        this->ask(Actor, To);
      break;
    case Kind::Deliver:
      this->deliver(Each[1] + 256 * Each[2], Each[3]);
      break;
    case Kind::AppendChange:
      if (Each[3] % 4 == 0)
        this->appendEpoch(Actor, Each[2]);
      else
        this->appendChange(Actor);
      break;
    case Kind::Restart:
      if (Each[3] % 4 == 0)
        this->restart(Each[1] % NodeCount, Each[2]);
      break;
    case Kind::ToggleLogOutage:
      this->toggleLogOutage(Actor, Each[2]);
      break;
    }
    this->accept();
  }

  /// Checks that a node with a proof that began after a change was accepted has
  /// the change.
  void check() {
    for (const Node &Each : this->Nodes)
      if (auto Proof = Each.Subject.proof(this->Now); Proof.At) {
        if (!this->AcceptedChanges.empty() && *Proof.At > Each.TailReadAt)
          ++this->WitnessProofs;
        for (const Accepted &Change : this->AcceptedChanges)
          RC_ASSERT(Change.At > *Proof.At || Each.Reduced >= Change.Next);
      }
  }

  /// How many proofs, after a change was accepted, were younger than the node's
  /// last own read of the log.
  std::size_t proofsByWitnesses() const { return this->WitnessProofs; }
  std::size_t accepted() const { return this->AcceptedChanges.size(); }

private:
  enum class Kind {
    Wait,
    ReadConfig,
    ReadSystem,
    Exchange,
    RequestAll,
    Deliver,
    AppendChange,
    Restart,
    ToggleLogOutage
  };
  /// Maps a step's first number to its kind; frequent kinds are repeated.
  static constexpr std::array Kinds = {
      Kind::Wait,           Kind::ReadConfig,   Kind::ReadConfig,
      Kind::ReadConfig,     Kind::ReadConfig,   Kind::ReadConfig,
      Kind::ReadSystem,     Kind::ReadSystem,   Kind::ReadSystem,
      Kind::ReadSystem,     Kind::ReadSystem,   Kind::Exchange,
      Kind::Exchange,       Kind::Exchange,     Kind::Exchange,
      Kind::Exchange,       Kind::Exchange,     Kind::Exchange,
      Kind::Exchange,       Kind::RequestAll,   Kind::Deliver,
      Kind::Deliver,        Kind::Deliver,      Kind::Deliver,
      Kind::Deliver,        Kind::AppendChange, Kind::Restart,
      Kind::ToggleLogOutage};

  struct Change {
    std::uint64_t Next = 0;
    /// When the change was read back.
    std::optional<base::TimePoint> ReducedAt;
    /// Whether the tail of the `system` stream was read after that.
    bool Confirmed = false;
  };
  struct Accepted {
    std::uint64_t Next = 0;
    base::TimePoint At;
  };
  struct Node {
    Node(std::size_t Index, std::uint64_t Life)
        : Name(witness(std::to_string(Index), Life)), Subject(Name, Bound) {}
    Witness Name;
    Freshness Subject;
    std::uint64_t Reduced = 0;
    std::size_t EpochsRead = 0;
    base::TimePoint TailReadAt;
    bool LogCut = false;
    std::vector<Change> Changes;
  };
  struct Message {
    Witness From;
    std::size_t To = 0;
    base::TimePoint AskedAt;
    std::optional<PeerAnswer> Answer;
  };
  /// The offset of a log's tail from a point in time on.
  using Tail = std::pair<base::TimePoint, std::uint64_t>;

  bool logReachable(const Node &By) const {
    return !By.LogCut && !this->LogOut;
  }

  static std::uint64_t tailAt(const std::vector<Tail> &Tails,
                              base::TimePoint When) {
    std::uint64_t Out = 0;
    for (const auto &[Since, Value] : Tails)
      if (Since <= When)
        Out = Value;
    return Out;
  }

  /// A read that was sent a few steps ago and was served when it was sent.
  void readConfig(Node &Actor, unsigned Delay) {
    if (!this->logReachable(Actor))
      return;
    base::TimePoint SentAt = this->Now - std::chrono::milliseconds(Delay % 8);
    std::uint64_t Tail = tailAt(this->Tails, SentAt);
    Actor.Reduced = std::max(Actor.Reduced, Tail);
    Actor.Subject.setReduced({Actor.Reduced});
    Actor.Subject.onConfigTail(SentAt);
    Actor.TailReadAt = std::max(Actor.TailReadAt, SentAt);
    for (Change &Each : Actor.Changes)
      if (!Each.ReducedAt && Actor.Reduced >= Each.Next)
        Each.ReducedAt = this->Now;
  }

  void readSystem(Node &Actor, unsigned Delay) {
    if (!this->logReachable(Actor))
      return;
    base::TimePoint SentAt = this->Now - std::chrono::milliseconds(Delay % 8);
    std::uint64_t Tail = tailAt(this->EpochTails, SentAt);
    for (; Actor.EpochsRead < Tail; ++Actor.EpochsRead)
      Actor.Subject.onEpoch(this->Epochs[Actor.EpochsRead], this->Now);
    for (Change &Each : Actor.Changes)
      if (Each.ReducedAt && *Each.ReducedAt < SentAt)
        Each.Confirmed = true;
  }

  void ask(const Node &Actor, unsigned To) {
    this->Messages.push_back(
        {Actor.Name, To % NodeCount, this->Now, std::nullopt});
  }

  /// Sends a request and delivers its answer immediately.
  void exchange(Node &Actor, std::size_t To) {
    const Node &By = this->Nodes[To];
    Actor.Subject.onAnswer(
        {By.Name, this->Now, By.Subject.known(), By.Subject.vouched()});
  }

  /// Delivers any message in transit, and may keep it to deliver it again.
  void deliver(unsigned Which, unsigned Keep) {
    if (this->Messages.empty())
      return;
    std::size_t Index = Which % this->Messages.size();
    Message Each = this->Messages[Index];
    if (Keep % 4 != 0)
      this->Messages.erase(this->Messages.begin() +
                           static_cast<std::ptrdiff_t>(Index));
    if (!Each.Answer)
      return this->answer(Each);
    Node &Asker = this->Nodes[Each.To];
    if (Asker.Name == Each.From)
      Asker.Subject.onAnswer(*Each.Answer);
  }

  void answer(const Message &Asked) {
    const Node &By = this->Nodes[Asked.To];
    Message Back = Asked;
    Back.To = std::stoul(Asked.From.Instance.Value);
    Back.Answer = PeerAnswer{By.Name, Asked.AskedAt, By.Subject.known(),
                             By.Subject.vouched()};
    this->Messages.push_back(Back);
  }

  void appendChange(Node &Actor) {
    if (!this->logReachable(Actor))
      return;
    std::uint64_t Next = this->Tails.back().second + 1;
    this->Tails.push_back({this->Now, Next});
    Actor.Changes.push_back({Next, std::nullopt, false});
  }

  void appendEpoch(const Node &Actor, unsigned Members) {
    if (!this->logReachable(Actor) || this->Epochs.size() == MaxEpochs)
      return;
    WitnessSet New{{this->Epochs.size() + 1}, {}};
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      if ((Members >> Index & 1U) == 0)
        New.Members.push_back(this->Nodes[Index].Name);
    this->Epochs.push_back(New);
    this->EpochTails.push_back({this->Now, this->Epochs.size()});
  }

  /// Starts a new incarnation, with no state or with that of another node.
  void restart(std::size_t Index, unsigned From) {
    Node Restarted(Index, this->Nodes[Index].Name.Life.Value + 1);
    Restarted.LogCut = this->Nodes[Index].LogCut;
    if (From % 2 != 0) {
      const Node &Source = this->Nodes[From / 2 % NodeCount];
      Restarted.Reduced = Source.Reduced;
      Restarted.EpochsRead = Source.EpochsRead;
      Restarted.Subject.setReduced({Restarted.Reduced});
      for (std::size_t Read = 0; Read < Restarted.EpochsRead; ++Read)
        Restarted.Subject.onEpoch(this->Epochs[Read], this->Now);
    }
    this->Nodes[Index] = Restarted;
  }

  void toggleLogOutage(Node &Actor, unsigned What) {
    if (What % 4 == 0)
      this->LogOut = !this->LogOut;
    else
      Actor.LogCut = !Actor.LogCut;
  }

  void accept() {
    for (Node &Each : this->Nodes)
      std::erase_if(Each.Changes, [this, &Each](const Change &Pending) {
        if (!Pending.Confirmed ||
            !Each.Subject.waitingFor({Pending.Next}).empty())
          return false;
        this->AcceptedChanges.push_back({Pending.Next, this->Now});
        return true;
      });
  }

  base::TimePoint Now = at(0ms);
  bool LogOut = false;
  std::size_t WitnessProofs = 0;
  std::vector<Node> Nodes;
  std::vector<Tail> Tails;
  std::vector<Tail> EpochTails;
  std::vector<WitnessSet> Epochs;
  std::vector<Message> Messages;
  std::vector<Accepted> AcceptedChanges;
};

} // namespace

RC_GTEST_PROP(FreshnessProperty,
              AnInstanceWithAProofHasEveryChangeAcceptedBefore, ()) {
  constexpr std::size_t StepCount = 1000;
  constexpr int FullSize = 100;
  auto Numbers = rc::gen::resize(FullSize, rc::gen::inRange(0, 256));
  auto Steps = *rc::gen::container<std::vector<Step>>(
      StepCount, rc::gen::map(rc::gen::container<std::vector<int>>(4, Numbers),
                              [](const std::vector<int> &From) {
                                Step Out{};
                                std::copy(From.begin(), From.end(),
                                          Out.begin());
                                return Out;
                              }));
  Deployment Subject;
  for (const Step &Each : Steps) {
    Subject.run(Each);
    Subject.check();
  }
  RC_CLASSIFY(Subject.accepted() > 0);
  RC_CLASSIFY(Subject.proofsByWitnesses() > 0);
}
