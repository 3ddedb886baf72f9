#include "serverconnection.h"

#include "base/log.h"
#include "base/visitor.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cstdio>
#include <utility>

namespace kingcuphub::http {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Bytes of a next request that are read ahead while one is answered.
constexpr std::size_t MaxBacklog = 65536;
/// The part of the free memory that one connection's read-ahead may take.
constexpr std::size_t BacklogDivisor = 8;
/// How long a caller that sends nothing may take to close after the last
/// answer.
constexpr std::chrono::milliseconds LingerTime{1000};
/// How often a connection's time limits are looked at.
constexpr std::chrono::milliseconds WatchEvery{500};

std::string headOf(int Status, const std::vector<Header> &Headers,
                   bool KeepAlive) {
  std::string Out = "HTTP/1.1 " + std::to_string(Status) + " ";
  Out += reasonOf(Status);
  Out += "\r\n";
  for (const Header &Each : Headers)
    Out.append(Each.Name).append(": ").append(Each.Value).append("\r\n");
  if (!KeepAlive)
    Out += "Connection: close\r\n";
  return Out;
}

std::string bytesOf(const Response &Whole, bool KeepAlive, bool WithBody) {
  std::string Out = headOf(Whole.Status, Whole.Headers, KeepAlive);
  if (!isBodyless(Whole.Status))
    Out += "Content-Length: " + std::to_string(Whole.Body.size()) + "\r\n";
  Out += "\r\n";
  if (WithBody && !isBodyless(Whole.Status))
    Out += Whole.Body;
  return Out;
}

std::size_t sizeOf(const MessageHead &Head) {
  // The separators and line ends of a header.
  constexpr std::size_t PerHeader = 4;
  std::size_t Out = Head.Method.size() + Head.Target.size();
  for (const Header &Each : Head.Headers)
    Out += Each.Name.size() + Each.Value.size() + PerHeader;
  return Out;
}

Response defaultRefusal(MemoryRefusal Why) {
  constexpr int BodyTooLarge = 413;
  constexpr int Unavailable = 503;
  if (Why == MemoryRefusal::NeverFits)
    return {BodyTooLarge, {}, ""};
  return {Unavailable, {{"Retry-After", "1"}}, ""};
}

std::string framingHeader(const BodyFraming &Framing) {
  return std::visit(
      base::Visitor{[](const NoBody &) { return std::string(); },
                    [](const KnownLength &Known) {
                      return "Content-Length: " + std::to_string(Known.Bytes) +
                             "\r\n";
                    },
                    [](const Chunks &) {
                      return std::string("Transfer-Encoding: chunked\r\n");
                    },
                    [](const UntilClose &) { return std::string(); }},
      Framing);
}

} // namespace

/// The answer to the request that the connection has handed over.
class ServerConnection::Answer final : public ResponseWriter {
public:
  Answer(std::shared_ptr<ServerConnection> Connection, bool HeadOnly)
      : Connection(std::move(Connection)), HeadOnly(HeadOnly) {}
  Answer(const Answer &) = delete;
  Answer &operator=(const Answer &) = delete;
  ~Answer() override {
    if (!this->Done)
      this->Connection->close();
  }

  void respond(const Response &Whole) override {
    if (this->Done || this->Begun)
      return;
    if (Whole.EndedBy == BodyEnd::Connection) {
      this->beginStream(Whole.Status, Whole.Headers, UntilClose{});
      this->write(Whole.Body);
      this->finish();
      return;
    }
    this->Connection->send(bytesOf(Whole, this->keepAlive(), !this->HeadOnly));
    this->end();
  }

  void beginStream(int Status, const std::vector<Header> &Headers,
                   const BodyFraming &Framing) override {
    if (this->Done || this->Begun)
      return;
    this->Begun = true;
    BodyFraming Used = Framing;
    if (isBodyless(Status))
      Used = NoBody{};
    else if (std::holds_alternative<Chunks>(Used) &&
             !this->Connection->KnowsChunks)
      Used = UntilClose{};
    this->Chunked = std::holds_alternative<Chunks>(Used);
    if (std::holds_alternative<UntilClose>(Used) && !this->HeadOnly)
      this->Connection->endByReset();
    std::string Bytes = headOf(Status, Headers, this->keepAlive());
    Bytes += framingHeader(Used);
    Bytes += "\r\n";
    this->Connection->send(std::move(Bytes));
  }

  void write(std::string Chunk) override {
    if (this->Done || !this->Begun || Chunk.empty() || this->HeadOnly)
      return;
    if (!this->Chunked) {
      this->Connection->send(std::move(Chunk));
      return;
    }
    std::array<char, 20> Size{};
    int Digits =
        std::snprintf(Size.data(), Size.size(), "%zx\r\n", Chunk.size());
    std::string Bytes;
    Bytes.reserve(Chunk.size() + static_cast<std::size_t>(Digits) + 2);
    Bytes.append(Size.data(), static_cast<std::size_t>(Digits));
    Bytes.append(Chunk).append("\r\n");
    this->Connection->send(std::move(Bytes));
  }

  void finish() override {
    if (this->Done || !this->Begun)
      return;
    if (this->Chunked && !this->HeadOnly)
      this->Connection->send("0\r\n\r\n");
    this->end();
  }

  void abort() override {
    if (this->Done)
      return;
    this->Done = true;
    this->Gone = nullptr;
    this->Connection->close();
  }

  bool isOpen() const override { return this->Connection->At != Phase::Closed; }

  std::size_t unsentBytes() const override {
    return this->Connection->Writer.unsent();
  }

  void onClosed(std::function<void()> NewGone) override {
    this->Gone = std::move(NewGone);
  }

  void onSent(std::function<void()> NewSent) override {
    this->Sent = std::move(NewSent);
  }

  void connectionClosed() {
    if (std::exchange(this->Done, true))
      return;
    this->Sent = nullptr;
    if (auto Callback = std::exchange(this->Gone, nullptr))
      Callback();
  }

  void allSent() {
    if (this->Sent)
      this->Sent();
  }

private:
  bool keepAlive() {
    if (this->Connection->Shared->Draining)
      this->Connection->KeepAlive = false;
    return this->Connection->KeepAlive;
  }

  void end() {
    this->Done = true;
    this->Gone = nullptr;
    this->Sent = nullptr;
    this->Connection->answerDone();
  }

  std::shared_ptr<ServerConnection> Connection;
  std::function<void()> Gone;
  std::function<void()> Sent;
  bool HeadOnly;
  bool Begun = false;
  bool Chunked = false;
  bool Done = false;
};

ServerConnection::ServerConnection(asio::ip::tcp::socket NewSocket,
                                   std::shared_ptr<ServerState> NewShared)
    : Socket(std::move(NewSocket)), Shared(std::move(NewShared)),
      Parser(MessageKind::Request, this->Shared->Limits.MaxHeaderBytes,
             {[this](MessageHead Head) { this->onHead(std::move(Head)); },
              [this](std::string_view Piece) { this->onBody(Piece); }}),
      Reader(this->Socket), Writer(this->Socket),
      Timer(this->Socket.get_executor()),
      BacklogMemory(this->Shared->Memory.Budget,
                    base::MemoryShare::SmallRequests),
      UnsentMemory(this->Shared->Memory.Budget, base::MemoryShare::Answers),
      Since(SteadyClock::now()) {}

void ServerConnection::start() {
  asio::error_code Ignored;
  // Without the option answers are only slower.
  this->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  this->Reader.start(this->weak_from_this(),
                     [this](asio::error_code Failed, std::string_view Bytes) {
                       this->onRead(Failed, Bytes);
                     });
  this->Writer.start(this->weak_from_this(),
                     {[this] { this->onAllSent(); },
                      [this](asio::error_code) { this->close(); }});
  this->read();
  this->watch();
}

void ServerConnection::close() {
  if (this->At == Phase::Closed)
    return;
  this->At = Phase::Closed;
  auto Alive = this->shared_from_this();
  this->Writer.flushNow();
  asio::error_code Ignored;
  // The peer sees the end either way.
  this->Socket.close(Ignored);
  this->Timer.cancel();
  this->recordUnsent();
  this->Shared->Connections.erase(Alive);
  if (auto Answering = this->Current.lock())
    Answering->connectionClosed();
}

void ServerConnection::closeIfIdle() {
  bool Idle = this->At == Phase::Reading && this->Backlog.empty() &&
              !this->Parser.inMessage();
  if (Idle)
    this->close();
}

void ServerConnection::read() {
  std::size_t Limit = MaxBacklog;
  if (const auto &Budget = this->Shared->Memory.Budget)
    Limit = std::min(Limit, Budget->left(base::MemoryShare::SmallRequests) /
                                BacklogDivisor);
  if (this->At == Phase::Closed || this->Backlog.size() > Limit)
    return;
  this->Reader.read();
}

void ServerConnection::onRead(asio::error_code Failed, std::string_view Bytes) {
  if (this->At == Phase::Closed)
    return;
  if (Failed) {
    this->close();
    return;
  }
  this->LastReadAt = SteadyClock::now();
  if (this->At != Phase::Lingering)
    this->Backlog.append(Bytes);
  if (this->At == Phase::Reading)
    this->parse();
  this->BacklogMemory.record(this->Backlog.size());
  this->read();
}

void ServerConnection::parse() {
  auto Alive = this->shared_from_this();
  if (this->Backlog.empty())
    return;
  bool WasInMessage = this->Parser.inMessage();
  std::string Bytes = std::exchange(this->Backlog, {});
  MessageParser::Progress Done = this->Parser.feed(Bytes);
  if (this->At != Phase::Reading)
    return;
  if (!WasInMessage && this->Parser.inMessage())
    this->Since = SteadyClock::now();
  this->Backlog = Bytes.substr(Done.Consumed);
  this->BacklogMemory.record(this->Backlog.size());
  if (Done.Failed) {
    constexpr int HeadTooLarge = 431;
    constexpr int BadRequest = 400;
    this->reject(Done.Failed == ParseErrc::HeadTooLarge ? HeadTooLarge
                                                        : BadRequest);
    return;
  }
  if (Done.Complete)
    this->dispatch();
}

void ServerConnection::onHead(MessageHead Head) {
  this->KeepAlive = Head.KeepAlive;
  this->KnowsChunks = Head.KnowsChunks;
  this->Incoming = {};
  this->IncomingHeadBytes = sizeOf(Head);
  this->Incoming.Method = std::move(Head.Method);
  std::size_t Question = Head.Target.find('?');
  this->Incoming.Path = Head.Target.substr(0, Question);
  if (Question != std::string::npos)
    this->Incoming.Query = Head.Target.substr(Question + 1);
  this->Incoming.Target = std::move(Head.Target);
  this->Incoming.Headers = std::move(Head.Headers);
  this->Incoming.Memory =
      std::make_shared<RequestMemory>(this->Shared->Memory.Budget);
  if (Head.length().value_or(0) > this->Shared->Limits.MaxBodyBytes) {
    constexpr int BodyTooLarge = 413;
    this->reject(BodyTooLarge);
    return;
  }
  std::size_t Length = Head.length().value_or(0);
  if (!this->makeRoom(Length, Length))
    return;
  if (this->Incoming.header("Expect") == "100-continue")
    this->send("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::onBody(std::string_view Piece) {
  if (this->At != Phase::Reading)
    return;
  std::size_t Needed = this->Incoming.Body.size() + Piece.size();
  std::size_t Limit = this->Shared->Limits.MaxBodyBytes;
  if (Needed > Limit) {
    constexpr int BodyTooLarge = 413;
    this->reject(BodyTooLarge);
    return;
  }
  std::size_t Room = this->Incoming.Body.capacity();
  std::size_t Doubled = std::max(Needed, std::min(2 * Room, Limit));
  if (Needed > Room && !this->makeRoom(Needed, Doubled))
    return;
  this->Incoming.Body.append(Piece);
}

bool ServerConnection::makeRoom(std::size_t Least, std::size_t Wanted) {
  std::optional<MemoryRefusal> Refused;
  for (std::size_t Bytes : {Wanted, (Least + Wanted) / 2, Least}) {
    Refused = this->Incoming.Memory->reserve(this->IncomingHeadBytes, Bytes);
    if (!Refused) {
      // A string that is not empty may take twice its capacity.
      std::string Larger;
      Larger.reserve(Bytes);
      Larger.append(this->Incoming.Body);
      this->Incoming.Body = std::move(Larger);
      return true;
    }
  }
  this->refuseForMemory(*Refused);
  return false;
}

void ServerConnection::refuseForMemory(MemoryRefusal Why) {
  this->Incoming.Body = {};
  this->Incoming.Memory.reset();
  const auto &Refuse = this->Shared->Memory.Refuse;
  this->respondAndLinger(Refuse ? Refuse(this->Incoming, Why)
                                : defaultRefusal(Why));
}

void ServerConnection::dispatch() {
  this->At = Phase::Answering;
  this->Since = SteadyClock::now();
  auto New = std::make_shared<Answer>(this->shared_from_this(),
                                      this->Incoming.Method == "HEAD");
  this->Current = New;
  this->Shared->Handler(std::move(this->Incoming), std::move(New));
}

void ServerConnection::reject(int Status) {
  this->respondAndLinger({Status, {}, ""});
}

void ServerConnection::respondAndLinger(const Response &Whole) {
  bool HeadOnly = std::exchange(this->Incoming, {}).Method == "HEAD";
  this->KeepAlive = false;
  this->send(bytesOf(Whole, false, !HeadOnly));
  this->linger();
}

void ServerConnection::send(std::string Bytes) {
  if (this->At == Phase::Closed)
    return;
  this->Writer.send(std::move(Bytes));
  this->recordUnsent();
}

void ServerConnection::recordUnsent() {
  this->UnsentMemory.record(
      this->At == Phase::Closed ? 0 : this->Writer.ownBytes());
  const auto &Budget = this->Shared->Memory.Budget;
  if (!Budget || !Budget->overdrawn(base::MemoryShare::Answers) ||
      std::exchange(this->Shared->ChecksUnsent, true))
    return;
  // By then the sockets have been offered the bytes.
  asio::post(this->Socket.get_executor(),
             [Alive = this->shared_from_this()] { Alive->dropSlowReaders(); });
}

void ServerConnection::dropSlowReaders() {
  this->Shared->ChecksUnsent = false;
  const auto &Budget = this->Shared->Memory.Budget;
  for (const auto &Each : this->Shared->Connections)
    Each->UnsentMemory.record(Each->Writer.ownBytes());
  while (Budget->overdrawn(base::MemoryShare::Answers)) {
    const auto &Open = this->Shared->Connections;
    auto Largest = std::max_element(
        Open.begin(), Open.end(), [](const auto &Left, const auto &Right) {
          return Left->unsentMemory() < Right->unsentMemory();
        });
    if (Largest == Open.end() || (*Largest)->unsentMemory() == 0)
      return;
    ServerConnection &Dropped = **Largest;
    base::logEvent(base::LogLevel::Warn, "slow-reader-dropped",
                   {{"unsent_bytes", Dropped.unsentMemory()}});
    Dropped.close();
  }
}

void ServerConnection::endByReset() {
  this->KeepAlive = false;
  asio::error_code Ignored;
  // With this option the system resets the connection on every close, also
  // when the process is killed.
  this->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
}

void ServerConnection::endSending() {
  asio::error_code Ignored;
  this->Socket.set_option(asio::socket_base::linger(false, 0), Ignored);
  // A peer that has gone already needs no end of stream.
  this->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
}

void ServerConnection::onAllSent() {
  this->recordUnsent();
  if (this->At == Phase::Lingering) {
    this->endSending();
    return;
  }
  if (auto Answering = this->Current.lock())
    Answering->allSent();
}

void ServerConnection::answerDone() {
  this->Current.reset();
  if (this->At != Phase::Answering)
    return;
  if (!this->KeepAlive) {
    this->linger();
    return;
  }
  this->At = Phase::Reading;
  this->Since = SteadyClock::now();
  this->Parser.setMaxHeadBytes(this->Shared->Limits.MaxHeaderBytes);
  this->Parser.reset();
  if (!this->Backlog.empty())
    asio::post(this->Socket.get_executor(),
               [this, Alive = this->shared_from_this()] {
                 if (this->At == Phase::Reading)
                   this->parse();
                 this->read();
               });
  this->read();
}

void ServerConnection::linger() {
  this->At = Phase::Lingering;
  this->Since = SteadyClock::now();
  this->Backlog = {};
  this->BacklogMemory.record(0);
  if (this->Writer.unsent() == 0)
    this->endSending();
  this->read();
}

bool ServerConnection::overdue() const {
  auto Now = SteadyClock::now();
  const CallerLimits &Limits = this->Shared->Limits;
  if (this->Writer.unsent() > 0 &&
      Now - this->Writer.progressAt() > Limits.WriteTimeout)
    return true;
  if (this->At == Phase::Lingering)
    return this->Writer.unsent() == 0 &&
           (Now - std::max(this->Since, this->LastReadAt) > LingerTime ||
            Now - this->Since > Limits.ReadTimeout);
  if (this->At == Phase::Reading && !this->Parser.inMessage())
    return Now - this->Since > Limits.IdleTimeout;
  return false;
}

void ServerConnection::watch() {
  this->Timer.expires_after(WatchEvery);
  this->Timer.async_wait([this, Weak = this->weak_from_this()](
                             asio::error_code Failed) {
    auto Alive = Weak.lock();
    if (!Alive || Failed || this->At == Phase::Closed)
      return;
    if (this->overdue()) {
      this->close();
      return;
    }
    if (this->At == Phase::Reading && this->Parser.inMessage() &&
        SteadyClock::now() - this->Since > this->Shared->Limits.ReadTimeout) {
      constexpr int RequestTimeout = 408;
      this->reject(RequestTimeout);
    }
    this->watch();
  });
}

} // namespace kingcuphub::http
