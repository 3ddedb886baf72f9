#include "forwardconnection.h"

#include "discardunsent.h"

#include <asio/post.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <utility>

namespace kingcuphub::http {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Keep-alive probes of the operating system, a second apart, find a
/// connection that has gone silent while nothing is being sent.
constexpr int ProbeSeconds = 1;
constexpr int ProbeCount = 2;

template <int Level, int Name>
using IntegerOption = asio::detail::socket_option::integer<Level, Name>;

bool isBodyCopied(const ForwardRequest &Request) {
  return Request.Body && Request.Body->size() <= MaxCopiedBodyBytes;
}

/// The head, and the body if it is copied.
std::string requestBytes(const ForwardRequest &Request) {
  std::size_t BodySize = Request.Body ? Request.Body->size() : 0;
  std::string Out;
  Out.reserve(1024 + (isBodyCopied(Request) ? BodySize : 0));
  Out.append(Request.Method).append(" ").append(Request.Target);
  Out += " HTTP/1.1\r\n";
  for (const Header &Each : Request.Headers)
    Out.append(Each.Name).append(": ").append(Each.Value).append("\r\n");
  if (BodySize > 0 || (Request.Method != "GET" && Request.Method != "HEAD"))
    Out += "Content-Length: " + std::to_string(BodySize) + "\r\n";
  Out += "\r\n";
  if (isBodyCopied(Request))
    Out += *Request.Body;
  return Out;
}

/// The seconds of `timeout=N` in a Keep-Alive header; 0 if not told.
int statedTimeout(std::string_view KeepAlive) {
  constexpr std::string_view Name = "timeout=";
  std::size_t At = KeepAlive.find(Name);
  if (At == std::string_view::npos)
    return 0;
  KeepAlive.remove_prefix(At + Name.size());
  int Seconds = 0;
  auto [End, Failed] = std::from_chars(
      KeepAlive.data(), KeepAlive.data() + KeepAlive.size(), Seconds);
  return Failed == std::errc() ? Seconds : 0;
}

} // namespace

/// The handle of one call; without effect once the call has ended.
class ForwardConnection::Call final : public ForwardCall {
public:
  explicit Call(ForwardConnection &Connection)
      : Connection(Connection.weak_from_this()), Number(Connection.Calls),
        Id(Connection.Id), Reused(Connection.Reused) {}

  void cancel() override {
    if (auto Alive = this->current())
      Alive->close();
  }

  void pause() override {
    if (auto Alive = this->current())
      Alive->Paused = true;
  }

  void resume() override {
    auto Alive = this->current();
    if (!Alive || !Alive->Paused)
      return;
    Alive->Paused = false;
    if (Alive->At == Phase::Busy)
      Alive->read();
  }

  ConnectionId connection() const override { return this->Id; }
  bool reused() const override { return this->Reused; }

private:
  std::shared_ptr<ForwardConnection> current() const {
    auto Alive = this->Connection.lock();
    bool UnderWay =
        Alive && Alive->Calls == this->Number &&
        (Alive->At == Phase::Connecting || Alive->At == Phase::Busy);
    return UnderWay ? Alive : nullptr;
  }

  std::weak_ptr<ForwardConnection> Connection;
  std::uint64_t Number;
  ConnectionId Id;
  bool Reused;
};

ForwardConnection::ForwardConnection(asio::io_context &Loop, ConnectionId Id,
                                     Peer NewTo, ForwardSettings NewSettings,
                                     PoolHandlers NewPool)
    : Socket(Loop), ConnectTimer(Loop), Id(Id), To(std::move(NewTo)),
      Settings(NewSettings), Pool(std::move(NewPool)),
      Parser(MessageKind::Response, NewSettings.MaxHeadBytes,
             {[this](MessageHead Head) { this->onHead(std::move(Head)); },
              [this](std::string_view Piece) {
                if (this->Callbacks.OnData)
                  this->Callbacks.OnData(Piece);
              }}),
      Reader(this->Socket), Writer(this->Socket) {}

bool ForwardConnection::usable(SteadyClock::time_point Now) const {
  return this->At == Phase::Idle && Now < this->UsableUntil;
}

std::shared_ptr<ForwardCall>
ForwardConnection::start(ForwardRequest Request,
                         ForwardCallbacks NewCallbacks) {
  ++this->Calls;
  this->Callbacks = std::move(NewCallbacks);
  this->Outgoing = requestBytes(Request);
  this->OutgoingBody = isBodyCopied(Request) ? nullptr : Request.Body;
  this->Sending = false;
  this->RequestSent = false;
  this->Paused = false;
  this->Parser.reset(Request.Method != "HEAD");
  if (this->At == Phase::Idle) {
    this->Reused = true;
    this->sendRequest();
  } else {
    this->connect();
  }
  return std::make_shared<Call>(*this);
}

void ForwardConnection::connect() {
  this->At = Phase::Connecting;
  asio::error_code Bad;
  auto Address = asio::ip::make_address(this->To.Address, Bad);
  if (Bad) {
    asio::post(this->Socket.get_executor(),
               [Alive = this->shared_from_this(), Bad] {
                 Alive->end(ForwardEnd::CannotConnect, Bad.message());
               });
    return;
  }
  this->Reader.start(this->weak_from_this(),
                     [this](asio::error_code Failed, std::string_view Bytes) {
                       this->onRead(Failed, Bytes);
                     });
  this->Writer.start(
      this->weak_from_this(),
      {[this] { this->RequestSent = true; },
       [this](asio::error_code Failed) { this->onSendFailed(Failed); }});
  this->ConnectTimer.expires_after(this->Settings.ConnectTimeout);
  this->ConnectTimer.async_wait(
      [this, Weak = this->weak_from_this()](asio::error_code Failed) {
        auto Alive = Weak.lock();
        if (Alive && !Failed && this->At == Phase::Connecting)
          this->end(ForwardEnd::CannotConnect, "connect timeout");
      });
  this->Socket.async_connect(
      {Address, this->To.Port},
      [this, Alive = this->shared_from_this()](asio::error_code Failed) {
        if (this->At != Phase::Connecting)
          return;
        this->ConnectTimer.cancel();
        if (Failed) {
          this->end(ForwardEnd::CannotConnect, Failed.message());
          return;
        }
        this->setOptions();
        this->sendRequest();
        this->read();
      });
}

void ForwardConnection::setOptions() {
  asio::error_code Ignored;
  // Without these options a silent peer is found later, by a timeout.
  this->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  this->Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  this->Socket.set_option(
      IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(ProbeSeconds), Ignored);
  this->Socket.set_option(
      IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(ProbeSeconds), Ignored);
  this->Socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(ProbeCount),
                          Ignored);
  this->Socket.set_option(
      IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(
          static_cast<int>(this->Settings.SilenceTimeout.count())),
      Ignored);
}

void ForwardConnection::sendRequest() {
  this->At = Phase::Busy;
  this->Sending = true;
  this->Writer.send(std::exchange(this->Outgoing, {}));
  if (auto Body = std::exchange(this->OutgoingBody, nullptr))
    this->Writer.send(std::move(Body));
}

/// Reading goes on, as a whole response may have arrived. Linux reports the
/// error of a connection only once, so that a read after a failed write sees an
/// end in order. A reset that comes after the peer's own end in order is
/// reported as broken_pipe, and cuts no response.
void ForwardConnection::onSendFailed(asio::error_code Failed) {
  if (Failed != asio::error::broken_pipe)
    this->SendError = Failed;
}

void ForwardConnection::read() {
  if (this->Paused || this->At == Phase::Closed)
    return;
  this->Reader.read();
}

void ForwardConnection::onRead(asio::error_code Failed,
                               std::string_view Bytes) {
  if (this->At == Phase::Closed)
    return;
  if (this->At == Phase::Idle) {
    this->close();
    return;
  }
  if (!Failed) {
    this->onBytes(Bytes);
    this->read();
    return;
  }
  asio::error_code Why = this->SendError ? this->SendError : Failed;
  bool Orderly = Why == asio::error::eof;
  if (Orderly && this->Parser.finish().Complete) {
    this->end(ForwardEnd::ConnectionEnded, "");
    return;
  }
  this->end(ForwardEnd::Cut, Why.message());
}

void ForwardConnection::onBytes(std::string_view Bytes) {
  MessageParser::Progress Done = this->Parser.feed(Bytes);
  if (this->At != Phase::Busy)
    return;
  Bytes.remove_prefix(Done.Consumed);
  if (Done.Failed) {
    this->end(ForwardEnd::Malformed, Done.Failed.message());
    return;
  }
  if (Done.Complete)
    this->onComplete(!Bytes.empty());
}

void ForwardConnection::onHead(MessageHead Head) {
  this->KeepAlive = Head.KeepAlive;
  this->IdleFor = this->idleTime(Head);
  if (this->Callbacks.OnHead)
    this->Callbacks.OnHead(std::move(Head));
}

std::chrono::milliseconds
ForwardConnection::idleTime(const MessageHead &Head) const {
  int Stated = statedTimeout(Head.header("Keep-Alive"));
  if (Stated <= 0)
    return this->Settings.DefaultIdle;
  constexpr double MillisPerSecond = 1000;
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      Stated * MillisPerSecond * this->Settings.IdleShare));
}

void ForwardConnection::onComplete(bool Surplus) {
  // A peer that answered before it had the whole body would take the next
  // request for the rest of it.
  bool Keep = this->KeepAlive && !Surplus && this->RequestSent;
  auto Alive = this->shared_from_this();
  ForwardCallbacks Ended = std::exchange(this->Callbacks, {});
  ForwardResult Result{ForwardEnd::Complete, true, this->Reused, ""};
  if (Keep) {
    this->At = Phase::Idle;
    this->UsableUntil = SteadyClock::now() + this->IdleFor;
    this->Paused = false;
    this->read();
    this->Pool.OnIdle(Alive);
  } else {
    this->close();
  }
  if (Ended.OnDone)
    Ended.OnDone(Result);
}

void ForwardConnection::end(ForwardEnd How, std::string Detail) {
  if (this->At == Phase::Closed)
    return;
  ForwardCallbacks Ended = std::exchange(this->Callbacks, {});
  ForwardResult Result{How, this->Sending, this->Reused, std::move(Detail)};
  this->close();
  if (Ended.OnDone)
    Ended.OnDone(Result);
}

void ForwardConnection::close() {
  if (this->At == Phase::Closed)
    return;
  this->At = Phase::Closed;
  // One of them may be running.
  asio::post(this->Socket.get_executor(),
             [Old = std::exchange(this->Callbacks, {})] {});
  this->ConnectTimer.cancel();
  asio::error_code Ignored;
  if (this->Socket.is_open())
    discardUnsentOnClose(this->Socket.native_handle());
  // The peer sees the end either way.
  this->Socket.close(Ignored);
  this->Pool.OnClosed(this->shared_from_this());
}

} // namespace kingcuphub::http
