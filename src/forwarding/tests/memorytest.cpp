#include "common/asynccaller.h"
#include "forwarderfixture.h"

#include <malloc.h>
#include <set>

using namespace kingcuphub;
using namespace kingcuphub::forwarding;
using standin::AsyncCaller;

namespace {

constexpr std::size_t Megabyte = 1U << 20U;
constexpr base::MemoryLimits Limits{10 * Megabyte, Megabyte, 4 * Megabyte};
/// The buffers of a caller, of its target and of their connections.
constexpr std::size_t PerCaller = 128U << 10U;
constexpr std::size_t LargeBody = Megabyte;
/// More than the system's buffers hold of an answer.
constexpr std::size_t MoreThanIsBuffered = 8 * Megabyte;

std::size_t heapBytes() {
  struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

/// Targets that keep nothing of the requests that they get.
class MemoryTest : public ForwarderTest {
protected:
  MemoryTest() {
    this->Memory = std::make_shared<base::MemoryBudget>(Limits);
    this->HeldLimit = 128U << 10U;
    this->RouteTimeout = milliseconds(60000);
    this->Objective = milliseconds(20000);
  }

  void SetUp() override {
    ForwarderTest::SetUp();
    this->Target = this->listen(
        [this](const http::Request &Asked, http::ResponseWriterPtr Answer) {
          std::string Id(Asked.header("Id"));
          this->Ran.insert(Id);
          this->Serve(Id, std::move(Answer));
        });
    this->configure(catalog::Repetition::Never, true);
    catalog::TargetList List;
    catalog::Target &Only = List.Targets[{"t"}];
    Only.Entry.Id = {"t"};
    Only.Entry.Service = {"s"};
    Only.Entry.Slots = 1000;
    Only.Entry.Address = {"127.0.0.1", this->Target->port()};
    this->Traffic->setTargets(
        std::make_shared<const catalog::TargetList>(List));
    this->Before = heapBytes();
  }

  static std::string headOf(const std::string &Id, const std::string &Framing) {
    return "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nKey: k\r\nId: " + Id +
           "\r\n" + Framing + "\r\n";
  }

  std::unique_ptr<AsyncCaller> call(const std::string &Id,
                                    std::shared_ptr<const std::string> Body,
                                    bool Reads = true) {
    auto Out =
        std::make_unique<AsyncCaller>(this->Loop, this->FrontServer->port());
    std::size_t Size = Body ? Body->size() : 0;
    Out->send(headOf(Id, "Content-Length: " + std::to_string(Size) + "\r\n"),
              std::move(Body));
    if (Reads)
      Out->startReading();
    return Out;
  }

  template <typename Predicate> bool runUntil(Predicate Holds) {
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!Holds() && std::chrono::steady_clock::now() < Deadline) {
      this->Loop.run_one_for(milliseconds(20));
      this->Peak = std::max(this->Peak,
                            heapBytes() - std::min(heapBytes(), this->Before));
    }
    return Holds();
  }

  void runFor(milliseconds Time) {
    auto End = std::chrono::steady_clock::now() + Time;
    this->runUntil([End] { return std::chrono::steady_clock::now() >= End; });
  }

  static std::vector<http::Header> headers(const std::string &Id) {
    return {{"Id", Id},
            {"Proof", "p"},
            {"Content-Type", "application/octet-stream"}};
  }

  static void respond(const std::string &Id,
                      const http::ResponseWriterPtr &Answer) {
    Answer->respond({200, headers(Id), "ok"});
  }

  /// Writes whenever the last piece has been taken, without end.
  static void serveWithoutEnd(const std::string &Id,
                              const http::ResponseWriterPtr &Answer) {
    constexpr std::size_t PieceBytes = 16U << 10U;
    Answer->beginStream(200, headers(Id));
    auto Write = [Weak = std::weak_ptr<http::ResponseWriter>(Answer)] {
      if (auto To = Weak.lock())
        To->write(std::string(PieceBytes, 'a'));
    };
    Answer->onSent(Write);
    Write();
  }

  /// Requests with the ids PREFIX0 and so on that are answered by 200.
  void expectSmallOnesServed(const std::string &Prefix) {
    constexpr int Count = 20;
    auto Small = std::make_shared<const std::string>(1000, 'b');
    std::vector<std::unique_ptr<AsyncCaller>> Callers;
    Callers.reserve(Count);
    for (int Index = 0; Index < Count; ++Index)
      Callers.push_back(this->call(Prefix + std::to_string(Index), Small));
    EXPECT_TRUE(this->runUntil([&Callers] {
      return std::all_of(Callers.begin(), Callers.end(),
                         [](const auto &Each) { return Each->status() != 0; });
    }));
    for (const auto &Each : Callers)
      EXPECT_EQ(Each->status(), 200) << Each->beginning();
  }

  bool allGivenBack() const {
    using base::MemoryShare;
    return this->Memory->used(MemoryShare::LargeRequests) == 0 &&
           this->Memory->used(MemoryShare::SmallRequests) == 0 &&
           this->Memory->used(MemoryShare::Answers) == 0;
  }

  std::unique_ptr<http::HttpServer> Target;
  std::function<void(const std::string &, http::ResponseWriterPtr)> Serve =
      respond;
  std::set<std::string> Ran;
  std::size_t Before = 0;
  std::size_t Peak = 0;
};

} // namespace

TEST_F(MemoryTest, LargeRequestsAtOnceAreNotKeptBeyondTheMemory) {
  constexpr std::size_t Count = 52;
  std::map<std::string, http::ResponseWriterPtr> Held;
  this->Serve = [&Held](const std::string &Id, http::ResponseWriterPtr Answer) {
    if (Id.front() == 's')
      respond(Id, Answer);
    else
      Held[Id] = std::move(Answer);
  };
  auto Large = std::make_shared<const std::string>(LargeBody, 'a');
  std::map<std::string, std::unique_ptr<AsyncCaller>> Callers;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    std::string Id = "l" + std::to_string(Index);
    Callers[Id] = this->call(Id, Large);
  }
  auto Refused = [&Callers] {
    return static_cast<std::size_t>(
        std::count_if(Callers.begin(), Callers.end(), [](const auto &Each) {
          return Each.second->status() != 0;
        }));
  };
  EXPECT_TRUE(this->runUntil(
      [&] { return !Held.empty() && Held.size() + Refused() == Count; }));
  // The target reads the bodies that the instance sends it.
  constexpr std::size_t Most = 2 * Limits.LargeRequests + Limits.SmallRequests +
                               Limits.Answers + Count * PerCaller;
  EXPECT_LT(this->Peak, Most);
  EXPECT_EQ(Held.size(),
            Limits.LargeRequests / (LargeBody + http::MaxCopiedBodyBytes));
  for (const auto &[Id, Each] : Callers) {
    if (Held.count(Id) > 0)
      continue;
    EXPECT_EQ(Each->status(), 503) << Id;
    EXPECT_NE(Each->beginning().find("Retry-After"), std::string::npos) << Id;
    EXPECT_EQ(this->Ran.count(Id), 0U) << Id;
  }
  this->expectSmallOnesServed("s");
  for (const auto &[Id, Answer] : std::exchange(Held, {}))
    respond(Id, Answer);
  EXPECT_TRUE(this->runUntil([&] { return Refused() == Count; }));
  EXPECT_TRUE(this->runUntil([this] { return this->allGivenBack(); }));
  this->Serve = respond;
  auto Later = this->call("later", Large);
  EXPECT_TRUE(this->runUntil([&Later] { return Later->status() == 200; }));
}

TEST_F(MemoryTest, ABodyOfUnknownLengthIsRefusedWhenItNoLongerFits) {
  auto Chunk = [](std::size_t Size) {
    std::array<char, 32> Digits{};
    std::snprintf(Digits.data(), Digits.size(), "%zx\r\n", Size);
    return std::make_shared<const std::string>(Digits.data() +
                                               std::string(Size, 'a') + "\r\n");
  };
  auto Medium = Chunk(3 * Megabyte);
  auto Large = Chunk(8 * Megabyte);
  auto Huge = Chunk(15 * Megabyte);
  this->Before = heapBytes();
  auto Send = [this](std::shared_ptr<const std::string> Body) {
    auto Out =
        std::make_unique<AsyncCaller>(this->Loop, this->FrontServer->port());
    Out->send(headOf("q", "Transfer-Encoding: chunked\r\n"), std::move(Body));
    Out->startReading();
    return Out;
  };
  auto First = Send(Medium);
  this->runFor(milliseconds(300));
  EXPECT_EQ(First->status(), 0);
  auto Second = Send(Large);
  EXPECT_TRUE(this->runUntil([&Second] { return Second->status() != 0; }));
  EXPECT_EQ(Second->status(), 503);
  First.reset();
  EXPECT_TRUE(this->runUntil([this] { return this->allGivenBack(); }));
  auto Third = Send(Huge);
  EXPECT_TRUE(this->runUntil([&Third] { return Third->status() != 0; }));
  EXPECT_EQ(Third->status(), 413);
  EXPECT_TRUE(this->Ran.empty());
  // A body that is moved to grow is there twice.
  EXPECT_LT(this->Peak, 2 * Limits.LargeRequests);
}

TEST_F(MemoryTest, ARequestThatNeverFitsIsNotAskedToComeBack) {
  AsyncCaller Caller(this->Loop, this->FrontServer->port());
  Caller.send(headOf("q", "Expect: 100-continue\r\nContent-Length: " +
                              std::to_string(12 * Megabyte) + "\r\n"));
  Caller.startReading();
  EXPECT_TRUE(this->runUntil([&Caller] { return Caller.status() != 0; }));
  EXPECT_EQ(Caller.status(), 413);
  EXPECT_EQ(Caller.beginning().find("Retry-After"), std::string::npos);
}

TEST_F(MemoryTest, EndlessAnswersToSlowReadersAreNotKeptBeyondTheMemory) {
  constexpr std::size_t Count = 60;
  this->Serve = [](const std::string &Id, http::ResponseWriterPtr Answer) {
    if (Id.front() == 's') {
      respond(Id, Answer);
      return;
    }
    serveWithoutEnd(Id, Answer);
    // Keeps the writer until its connection ends.
    Answer->onClosed([Answer] {});
  };
  std::vector<std::unique_ptr<AsyncCaller>> Callers;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Callers.push_back(this->call("e" + std::to_string(Index), nullptr, false));
  this->runFor(milliseconds(2000));
  EXPECT_LT(this->Peak, Limits.Answers + Count * PerCaller);
  this->expectSmallOnesServed("s");
  // All of them go on once they read.
  for (const auto &Each : Callers)
    Each->startReading();
  EXPECT_TRUE(this->runUntil([&Callers] {
    return std::all_of(Callers.begin(), Callers.end(), [](const auto &Each) {
      return Each->receivedBytes() > MoreThanIsBuffered;
    });
  }));
  for (const auto &Each : Callers)
    EXPECT_FALSE(Each->ended());
}

TEST_F(MemoryTest, LargeRequestsSlowReadersAndEndlessAnswersComeAtOnce) {
  constexpr std::size_t Count = 30;
  std::vector<http::ResponseWriterPtr> Held;
  this->Serve = [&Held](const std::string &Id, http::ResponseWriterPtr Answer) {
    if (Id.front() == 's') {
      respond(Id, Answer);
      return;
    }
    if (Id.front() == 'e')
      serveWithoutEnd(Id, Answer);
    Held.push_back(std::move(Answer));
  };
  auto Large = std::make_shared<const std::string>(LargeBody, 'a');
  std::vector<std::unique_ptr<AsyncCaller>> Callers;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Callers.push_back(this->call("e" + std::to_string(Index), nullptr, false));
    Callers.push_back(this->call("l" + std::to_string(Index), Large));
    Callers.push_back(
        this->call("e" + std::to_string(Index) + "l", Large, false));
  }
  this->runFor(milliseconds(1000));
  this->expectSmallOnesServed("s");
  EXPECT_LT(this->Peak, 2 * Limits.LargeRequests + Limits.SmallRequests +
                            Limits.Answers + 3 * Count * PerCaller);
  for (base::MemoryShare Share :
       {base::MemoryShare::LargeRequests, base::MemoryShare::SmallRequests,
        base::MemoryShare::Answers})
    EXPECT_FALSE(this->Memory->overdrawn(Share));
  Callers.clear();
  Held.clear();
  EXPECT_TRUE(this->runUntil([this] { return this->allGivenBack(); }));
}
