#include "rawtargetfixture.h"

#include <algorithm>
#include <asio/write.hpp>
#include <malloc.h>

using namespace kingcuphub;
using namespace kingcuphub::forwarding;

namespace {

constexpr std::size_t EndlessTarget = 0;
constexpr std::size_t SoundTarget = 1;
constexpr std::size_t Callers = 50;
/// Of the process, for each of the requests that are under way at once.
constexpr std::size_t MaxBytesPerRequest = 256U << 10U;
constexpr milliseconds AtOnce{0};
constexpr milliseconds SlowPause{1};
constexpr std::size_t FastPiece = 65536;
constexpr std::size_t SlowPiece = 256;

struct WithoutEnd {
  const char *Name;
  /// Of a whole head that comes first; null if none does.
  const char *Framing;
  std::string Begin;
  std::string Repeated;
};

const std::array PartsWithoutEnd = {
    WithoutEnd{"empty lines", nullptr, "", "\r\n"},
    WithoutEnd{"reason", nullptr, "HTTP/1.1 200 ", "a"},
    WithoutEnd{"interim heads", nullptr, "",
               "HTTP/1.1 103 Early Hints\r\n\r\n"},
    WithoutEnd{"no HTTP", nullptr, "", "nonsense "},
    WithoutEnd{"short headers", nullptr, "HTTP/1.1 200 OK\r\n", "a:\r\n"},
    WithoutEnd{"header", nullptr, "HTTP/1.1 200 OK\r\na: ", "b"},
    WithoutEnd{"chunk size", Chunked, "", "0"},
    WithoutEnd{"chunk extension", Chunked, "1;", "a"},
    WithoutEnd{"chunk extensions", Chunked, "",
               "1;" + std::string(1000, 'a') + "\r\nx\r\n"},
    WithoutEnd{"trailers", Chunked, "0\r\n", "a: b\r\n"},
    WithoutEnd{"trailer", Chunked, "0\r\na: ", "b"},
};

std::shared_ptr<const std::string> repeated(const std::string &Text,
                                            std::size_t Size) {
  std::string Out = Text;
  while (Out.size() < Size)
    Out += Text;
  return std::make_shared<const std::string>(std::move(Out));
}

/// Highest use of the heap since it was made.
class HeapGrowth {
public:
  void sample() { this->Peak = std::max(this->Peak, used()); }
  std::size_t bytes() const { return this->Peak - this->Begin; }

private:
  /// Without what the sanitizers allocate, which have a heap of their own.
  static std::size_t used() {
    struct mallinfo2 Now = mallinfo2();
    return Now.uordblks + Now.hblkhd;
  }

  std::size_t Begin = used();
  std::size_t Peak = Begin;
};

/// A caller that reads only when it is told to.
class SlowCaller {
public:
  SlowCaller(asio::io_context &Loop, std::uint16_t Port) : Socket(Loop) {
    this->Socket.open(asio::ip::tcp::v4());
    this->Socket.set_option(asio::socket_base::receive_buffer_size(16384));
    this->Socket.connect({asio::ip::address_v4::loopback(), Port});
    this->Socket.non_blocking(true);
  }

  void send(const std::string &Bytes) {
    asio::write(this->Socket, asio::buffer(Bytes));
  }

  void read() {
    std::array<char, 65536> Buffer{};
    asio::error_code Ignored;
    // There may be nothing to read yet.
    this->Socket.read_some(asio::buffer(Buffer), Ignored);
  }

private:
  asio::ip::tcp::socket Socket;
};

struct Body {
  const char *Name;
  const char *Framing;
  const char *Repeated;
};

const std::array Bodies = {
    Body{"until the connection ends", Unframed, "abc"},
    Body{"chunks", Chunked, "3\r\nabc\r\n"},
    Body{"length", "Content-Length: 1000000000000\r\n", "abc"},
    Body{"events", Unframed, "id: 1\ndata: x\n\n"},
    Body{"events in chunks",
         "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n",
         "f\r\nid: 1\ndata: x\n\n\r\n"},
    Body{"event", "Content-Type: text/event-stream\r\n", "data: x\n"},
    Body{"line", "Content-Type: text/event-stream\r\n", "x"},
};

/// The first target answers without end, the second one as it should.
class EndlessAnswerTest : public RawTargetTest {
protected:
  EndlessAnswerTest() {
    this->ExtraRetries = 10000;
    this->Slots = Callers;
  }

  void SetUp() override {
    RawTargetTest::SetUp();
    this->RawTargets[EndlessTarget] = std::make_unique<standin::RawServer>(
        this->Loop, [this](const http::Request &Asked,
                           const std::shared_ptr<RawConnection> &Answer) {
          this->Endless.push_back(Answer);
          this->EndlessAsked.push_back(Asked);
          if (!this->Waiting)
            this->Answer(Asked, *Answer);
        });
    this->RawTargets[SoundTarget] = std::make_unique<standin::RawServer>(
        this->Loop, [this](const http::Request &Asked,
                           const std::shared_ptr<RawConnection> &Answer) {
          ++this->Sound;
          Answer->write(headOf(Asked, lengthHeader(event(1).size())) +
                        event(1));
        });
  }

  static Behaviour withoutEnd(const WithoutEnd &Part, std::size_t PieceSize,
                              milliseconds Pause) {
    auto Piece = repeated(Part.Repeated, PieceSize);
    return [Part, Piece, Pause](const http::Request &Asked,
                                RawConnection &Answer) {
      if (Part.Framing != nullptr)
        Answer.write(headOf(Asked, Part.Framing));
      Answer.write(Part.Begin);
      Answer.writeWithoutEnd(Piece, Pause);
    };
  }

  std::string request() {
    return "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q" +
           std::to_string(++this->SentRequests) +
           "\r\nKey: k\r\nContent-Length: 0\r\n\r\n";
  }

  template <typename Predicate> bool runUntil(Predicate Holds) {
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Holds() && std::chrono::steady_clock::now() < Deadline) {
      this->Loop.run_one_for(milliseconds(20));
      this->Heap.sample();
    }
    return Holds();
  }

  /// New names, so that the targets have no failures from before.
  void restart(catalog::Repetition Repeats, bool Streaming) {
    this->TargetSuffix = "-" + std::to_string(++this->Restarts);
    this->configure(Repeats, Streaming);
    this->Endless.clear();
    this->EndlessAsked.clear();
    this->Sound = 0;
    this->Waiting = false;
    this->Heap = {};
  }

  using AskingCallers = std::vector<std::unique_ptr<RawCaller>>;

  AskingCallers ask(std::size_t Count) {
    AskingCallers Out;
    for (std::size_t Each = 0; Each < Count; ++Each) {
      Out.push_back(
          std::make_unique<RawCaller>(this->Loop, this->FrontServer->port()));
      Out.back()->send(this->request());
    }
    return Out;
  }

  bool waitForAll(const AskingCallers &Asking) {
    return this->runUntil([&Asking] {
      return std::all_of(Asking.begin(), Asking.end(), [](const auto &Each) {
        return understand(*Each).End != Seen::Pending;
      });
    });
  }

  /// Callers that wait for the endless target, whose answers begin at once.
  AskingCallers askEndless(std::size_t Count) {
    this->onlyOneTarget();
    this->Waiting = true;
    AskingCallers Out = this->ask(Count);
    EXPECT_TRUE(this->runUntil(
        [this, Count] { return this->Endless.size() == Count; }));
    this->Waiting = false;
    this->listTargets(2);
    for (std::size_t Each = 0; Each < Count; ++Each)
      this->Answer(this->EndlessAsked[Each], *this->Endless[Each]);
    return Out;
  }

  bool allClosed() const {
    return std::all_of(this->Endless.begin(), this->Endless.end(),
                       [](const auto &Each) { return Each->peerGone(); });
  }

  std::size_t written() const {
    std::size_t Sum = 0;
    for (const auto &Each : this->Endless)
      Sum += Each->writtenWithoutEnd();
    return Sum;
  }

  Behaviour Answer;
  std::vector<std::shared_ptr<RawConnection>> Endless;
  std::vector<http::Request> EndlessAsked;
  /// The endless target has not begun to answer.
  bool Waiting = false;
  std::size_t Sound = 0;
  unsigned Restarts = 0;
  HeapGrowth Heap;
};

} // namespace

TEST_F(EndlessAnswerTest, FiftyAtOnceNeitherFillMemoryNorHoldUpOthers) {
  for (const WithoutEnd &Part : PartsWithoutEnd) {
    this->restart(catalog::Repetition::Idempotent, false);
    this->Answer = withoutEnd(Part, FastPiece, AtOnce);
    auto Asking = this->askEndless(Callers);
    auto Others = this->ask(Callers);
    std::move(Others.begin(), Others.end(), std::back_inserter(Asking));
    EXPECT_TRUE(this->waitForAll(Asking)) << Part.Name;
    for (const auto &Each : Asking) {
      Understood Got = understand(*Each);
      ASSERT_EQ(Got.End, Seen::Complete) << Part.Name;
      EXPECT_EQ(Got.Status, 200) << Part.Name;
      EXPECT_EQ(Got.Body, event(1)) << Part.Name;
    }
    EXPECT_TRUE(this->runUntil([this] { return this->allClosed(); }))
        << Part.Name;
    EXPECT_LE(this->Heap.bytes(), Callers * MaxBytesPerRequest) << Part.Name;
  }
}

TEST_F(EndlessAnswerTest, SlowOnesEndAsWell) {
  for (bool Streaming : {false, true}) {
    for (const WithoutEnd &Part : PartsWithoutEnd) {
      this->restart(catalog::Repetition::Never, Streaming);
      this->onlyOneTarget();
      this->Answer = withoutEnd(Part, SlowPiece, SlowPause);
      auto Asking = this->ask(1);
      EXPECT_TRUE(this->waitForAll(Asking)) << Part.Name;
      Understood Got = understand(*Asking.front());
      bool Begun = Streaming && Part.Framing != nullptr;
      EXPECT_EQ(Got.End, Begun ? Seen::BrokenOff : Seen::Complete) << Part.Name;
      EXPECT_EQ(Got.Status, Begun ? 200 : 502) << Part.Name;
      EXPECT_TRUE(this->runUntil([this] { return this->allClosed(); }))
          << Part.Name;
    }
  }
}

TEST_F(EndlessAnswerTest, TheyCountAgainstTheirTarget) {
  constexpr std::size_t Requests = 40;
  for (const WithoutEnd &Part : PartsWithoutEnd) {
    this->restart(catalog::Repetition::Never, false);
    this->Answer = withoutEnd(Part, FastPiece, AtOnce);
    for (std::size_t Each = 0; Each < Requests; ++Each)
      ASSERT_TRUE(this->waitForAll(this->ask(1))) << Part.Name;
    EXPECT_EQ(this->Endless.size() + this->Sound, Requests) << Part.Name;
    EXPECT_LE(this->Endless.size(), Requests / 4) << Part.Name;
  }
}

/// A body may be of any length; its reader's pace holds its target back.
TEST_F(EndlessAnswerTest, ABodyWithoutEndWaitsForItsReader) {
  constexpr std::size_t Readers = 4;
  constexpr milliseconds Still{200};
  // A string may have room for twice its size.
  const ForwarderSettings Limits;
  const std::size_t MaxBytes =
      Readers *
      (MaxBytesPerRequest + 2 * (Limits.MaxUnsentBytes + Limits.MaxPieceBytes));
  for (bool Streaming : {false, true}) {
    for (const Body &Sent : Bodies) {
      std::string Case =
          std::string(Sent.Name) + (Streaming ? ", streaming" : "");
      this->restart(catalog::Repetition::Never, Streaming);
      this->onlyOneTarget();
      this->Answer = withoutEnd({Sent.Name, Sent.Framing, "", Sent.Repeated},
                                FastPiece, AtOnce);
      std::vector<std::unique_ptr<SlowCaller>> Asking;
      for (std::size_t Each = 0; Each < Readers; ++Each) {
        Asking.push_back(std::make_unique<SlowCaller>(
            this->Loop, this->FrontServer->port()));
        Asking.back()->send(this->request());
      }
      std::size_t Before = 0;
      auto MovedAt = std::chrono::steady_clock::now();
      EXPECT_TRUE(this->runUntil([&] {
        auto Now = std::chrono::steady_clock::now();
        if (std::exchange(Before, this->written()) != this->written())
          MovedAt = Now;
        return this->Endless.size() == Readers && Before > 0 &&
               Now > MovedAt + Still;
      })) << Case;
      EXPECT_LE(this->Heap.bytes(), MaxBytes) << Case;
      EXPECT_TRUE(this->runUntil([&] {
        for (const auto &Each : Asking)
          Each->read();
        return this->written() > Before + Readers * FastPiece;
      })) << Case;
      EXPECT_LE(this->Heap.bytes(), MaxBytes) << Case;
      Asking.clear();
      EXPECT_TRUE(this->runUntil([this] { return this->allClosed(); })) << Case;
    }
  }
}

TEST_F(EndlessAnswerTest, AnEventOrARefusalWithoutEndIsReplaced) {
  const std::array Parts = {
      WithoutEnd{"event",
                 "Transfer-Encoding: chunked\r\n"
                 "Content-Type: text/event-stream\r\n",
                 "", chunk(std::string(4096, 'x'))},
      WithoutEnd{"refusal", nullptr,
                 "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\n",
                 "x"}};
  // A string may have room for twice its size.
  const std::size_t MaxPieceBytes = ForwarderSettings{}.MaxPieceBytes;
  for (const WithoutEnd &Part : Parts) {
    this->restart(catalog::Repetition::Resumable, true);
    this->Answer = withoutEnd(Part, FastPiece, AtOnce);
    auto Asking = this->askEndless(Callers);
    EXPECT_TRUE(this->waitForAll(Asking)) << Part.Name;
    for (const auto &Each : Asking) {
      Understood Got = understand(*Each);
      ASSERT_EQ(Got.End, Seen::Complete) << Part.Name;
      EXPECT_EQ(Got.Body, event(1)) << Part.Name;
    }
    EXPECT_TRUE(this->runUntil([this] { return this->allClosed(); }))
        << Part.Name;
    EXPECT_LE(this->Heap.bytes(),
              Callers * (MaxBytesPerRequest + 2 * MaxPieceBytes))
        << Part.Name;
  }
}
