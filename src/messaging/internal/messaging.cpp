#include "messaging/messaging.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <cerrno>
#include <utility>
#include <vector>
#include <zmq.hpp>

namespace kingcuphub::messaging {

namespace {

constexpr int SendQueueMessages = 20000;
constexpr int ReconnectMillis = 50;
constexpr int MaxReconnectMillis = 500;
constexpr int HeartbeatMillis = 500;
constexpr int HeartbeatTimeoutMillis = 1500;
constexpr int MaxMessageBytes = 64 << 20;
constexpr std::size_t BatchMessages = 256;
constexpr const char *AuthEndpoint = "inproc://zeromq.zap.01";

std::string textOf(int Code) {
  switch (static_cast<MessagingErrc>(Code)) {
  case MessagingErrc::CannotBind:
    return "cannot bind";
  case MessagingErrc::CannotConnect:
    return "cannot connect";
  case MessagingErrc::BadKey:
    return "not a CURVE key";
  }
  return "unknown messaging error";
}

const base::EnumCategory Category("messaging", textOf);

/// Repeats a call that a signal has interrupted.
template <typename Call> auto uninterrupted(Call Do) {
  while (true) {
    try {
      return Do();
    } catch (const zmq::error_t &Failure) {
      if (Failure.num() != EINTR)
        throw;
    }
  }
}

/// A ZeroMQ socket whose readiness is watched on the loop.
class Socket {
public:
  Socket(asio::io_context &Loop, zmq::context_t &Context, zmq::socket_type Type)
      : Loop(Loop), Raw(Context, Type), Descriptor(Loop),
        Alive(std::make_shared<bool>(true)) {
    this->Raw.set(zmq::sockopt::linger, 0);
    this->Raw.set(zmq::sockopt::sndhwm, SendQueueMessages);
    this->Raw.set(zmq::sockopt::rcvhwm, SendQueueMessages);
    this->Raw.set(zmq::sockopt::reconnect_ivl, ReconnectMillis);
    this->Raw.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectMillis);
    this->Raw.set(zmq::sockopt::heartbeat_ivl, HeartbeatMillis);
    this->Raw.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMillis);
    this->Raw.set(zmq::sockopt::maxmsgsize,
                  static_cast<std::int64_t>(MaxMessageBytes));
  }

  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  ~Socket() {
    *this->Alive = false;
    if (this->Descriptor.is_open())
      this->Descriptor.release();
  }

  /// Starts reading; \p OnParts takes each message's frames.
  void start(std::function<void(std::vector<zmq::message_t> &)> NewOnParts) {
    this->OnParts = std::move(NewOnParts);
    this->Descriptor.assign(this->Raw.get(zmq::sockopt::fd));
    this->wait();
    this->schedule();
  }

  /// Sends frames or drops them all.
  bool send(std::vector<zmq::message_t> Parts) {
    for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
      auto Flags = zmq::send_flags::dontwait;
      if (Index + 1 < Parts.size())
        Flags = Flags | zmq::send_flags::sndmore;
      if (!this->trySend(Parts[Index], Flags))
        return false;
    }
    this->schedule();
    return true;
  }

  zmq::socket_t &raw() { return this->Raw; }

private:
  bool trySend(zmq::message_t &Part, zmq::send_flags Flags) {
    try {
      return uninterrupted(
          [&] { return this->Raw.send(Part, Flags).has_value(); });
    } catch (const zmq::error_t &) {
      return false;
    }
  }

  void wait() {
    this->Descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [this, Live = this->Alive](asio::error_code Failed) {
          if (Failed || !*Live)
            return;
          this->drain();
          if (*Live)
            this->wait();
        });
  }

  /// ZeroMQ's descriptor is edge-triggered and may be used up by a send, so
  /// the socket is looked at again from the loop.
  void schedule() {
    if (std::exchange(this->Scheduled, true))
      return;
    asio::post(this->Loop, [this, Live = this->Alive] {
      if (!*Live)
        return;
      this->Scheduled = false;
      this->drain();
    });
  }

  void drain() {
    auto Live = this->Alive;
    for (std::size_t Count = 0; Count < BatchMessages; ++Count) {
      std::vector<zmq::message_t> Parts = this->receive();
      if (Parts.empty())
        return;
      this->OnParts(Parts);
      if (!*Live)
        return;
    }
    this->schedule();
  }

  std::vector<zmq::message_t> receive() {
    std::vector<zmq::message_t> Parts;
    bool More = true;
    while (More) {
      zmq::message_t Part;
      auto Received = uninterrupted(
          [&] { return this->Raw.recv(Part, zmq::recv_flags::dontwait); });
      if (!Received)
        return {};
      More = Part.more();
      Parts.push_back(std::move(Part));
    }
    return Parts;
  }

  asio::io_context &Loop;
  zmq::socket_t Raw;
  asio::posix::stream_descriptor Descriptor;
  std::function<void(std::vector<zmq::message_t> &)> OnParts;
  std::shared_ptr<bool> Alive;
  bool Scheduled = false;
};

void countSent(TrafficCount &Count, bool Sent, std::size_t Bytes) {
  Count.Dropped += Sent ? 0 : 1;
  Count.MessagesOut += Sent ? 1 : 0;
  Count.BytesOut += Sent ? Bytes : 0;
}

class Server final : public MessageServer {
public:
  Server(asio::io_context &Loop, zmq::context_t &Context,
         const std::optional<CurveKeys> &Keys, const std::string &Endpoint,
         Handler OnMessage)
      : Link(Loop, Context, zmq::socket_type::router) {
    if (Keys) {
      this->Link.raw().set(zmq::sockopt::curve_server, true);
      this->Link.raw().set(zmq::sockopt::curve_secretkey, Keys->Secret);
    }
    this->Link.raw().bind(Endpoint);
    this->Link.start([this, OnMessage = std::move(OnMessage)](
                         std::vector<zmq::message_t> &Parts) {
      if (Parts.size() != 2)
        return;
      ++this->Count.MessagesIn;
      this->Count.BytesIn += Parts[1].size();
      OnMessage(ClientName{Parts[0].to_string()}, Parts[1].to_string_view());
    });
  }

  std::string endpoint() const override {
    return this->Link.raw().get(zmq::sockopt::last_endpoint);
  }

  void send(const ClientName &To, std::string_view Message) override {
    std::vector<zmq::message_t> Parts;
    Parts.emplace_back(To.Value);
    Parts.emplace_back(Message);
    countSent(this->Count, this->Link.send(std::move(Parts)), Message.size());
  }

  TrafficCount traffic() const override { return this->Count; }

private:
  mutable Socket Link;
  TrafficCount Count;
};

class Client final : public MessageClient {
public:
  Client(asio::io_context &Loop, zmq::context_t &Context,
         const std::optional<CurveKeys> &Keys, const std::string &Endpoint,
         Handler OnMessage)
      : Link(Loop, Context, zmq::socket_type::dealer) {
    if (Keys) {
      this->Link.raw().set(zmq::sockopt::curve_serverkey, Keys->Public);
      this->Link.raw().set(zmq::sockopt::curve_publickey, Keys->Public);
      this->Link.raw().set(zmq::sockopt::curve_secretkey, Keys->Secret);
    }
    this->Link.raw().connect(Endpoint);
    this->Link.start([this, OnMessage = std::move(OnMessage)](
                         std::vector<zmq::message_t> &Parts) {
      ++this->Count.MessagesIn;
      this->Count.BytesIn += Parts.back().size();
      OnMessage(Parts.back().to_string_view());
    });
  }

  void send(std::string_view Message) override {
    std::vector<zmq::message_t> Parts;
    Parts.emplace_back(Message);
    countSent(this->Count, this->Link.send(std::move(Parts)), Message.size());
  }

  TrafficCount traffic() const override { return this->Count; }

private:
  Socket Link;
  TrafficCount Count;
};

/// Answers ZeroMQ's authentication requests (RFC 27): a client is admitted
/// if its public key is the deployment's.
class Authenticator {
public:
  Authenticator(asio::io_context &Loop, zmq::context_t &Context,
                const CurveKeys &Keys)
      : Link(Loop, Context, zmq::socket_type::rep) {
    char Decoded[33] = {};
    zmq_z85_decode(reinterpret_cast<std::uint8_t *>(Decoded),
                   Keys.Public.c_str());
    this->Admitted.assign(Decoded, 32);
    this->Link.raw().bind(AuthEndpoint);
    this->Link.start(
        [this](std::vector<zmq::message_t> &Parts) { this->answer(Parts); });
  }

  std::uint64_t refused() const { return this->Refused; }

private:
  /// Frames asked: version, id, domain, address, identity, mechanism, key.
  void answer(const std::vector<zmq::message_t> &Asked) {
    bool Good = Asked.size() == 7 && Asked[5].to_string_view() == "CURVE" &&
                Asked[6].to_string_view() == this->Admitted;
    if (!Good)
      ++this->Refused;
    std::string Id = Asked.size() > 1 ? Asked[1].to_string() : "";
    std::vector<zmq::message_t> Parts;
    for (std::string_view Part :
         {std::string_view("1.0"), std::string_view(Id),
          std::string_view(Good ? "200" : "400"),
          std::string_view(Good ? "OK" : "use the deployment's key"),
          std::string_view(""), std::string_view("")})
      Parts.emplace_back(Part);
    this->Link.send(std::move(Parts));
  }

  Socket Link;
  std::string Admitted;
  std::uint64_t Refused = 0;
};

class ZmqMessaging final : public Messaging {
public:
  ZmqMessaging(asio::io_context &Loop, std::optional<CurveKeys> Keys)
      : Loop(Loop), Keys(std::move(Keys)) {
    if (this->Keys)
      this->Auth =
          std::make_unique<Authenticator>(Loop, this->Context, *this->Keys);
  }

  base::Result<std::unique_ptr<MessageServer>>
  serve(const std::string &Endpoint,
        MessageServer::Handler OnMessage) override {
    try {
      return std::unique_ptr<MessageServer>(
          std::make_unique<Server>(this->Loop, this->Context, this->Keys,
                                   Endpoint, std::move(OnMessage)));
    } catch (const zmq::error_t &Failure) {
      return base::fail(MessagingErrc::CannotBind,
                        Endpoint + " cannot be bound (" + Failure.what() +
                            "); free the port or set another");
    }
  }

  base::Result<std::unique_ptr<MessageClient>>
  connect(const std::string &Endpoint,
          MessageClient::Handler OnMessage) override {
    try {
      return std::unique_ptr<MessageClient>(
          std::make_unique<Client>(this->Loop, this->Context, this->Keys,
                                   Endpoint, std::move(OnMessage)));
    } catch (const zmq::error_t &Failure) {
      return base::fail(MessagingErrc::CannotConnect,
                        Endpoint + " is no address to connect to (" +
                            Failure.what() +
                            "); write tcp://ADDRESS:PORT with an IP number");
    }
  }

  std::uint64_t refusedKeys() const override {
    return this->Auth ? this->Auth->refused() : 0;
  }

private:
  asio::io_context &Loop;
  std::optional<CurveKeys> Keys;
  zmq::context_t Context;
  std::unique_ptr<Authenticator> Auth;
};

} // namespace

std::error_code make_error_code(MessagingErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

CurveKeys makeCurveKeys() {
  char Public[41] = {};
  char Secret[41] = {};
  zmq_curve_keypair(Public, Secret);
  return {Public, Secret};
}

base::Result<std::unique_ptr<Messaging>>
makeMessaging(asio::io_context &Loop, std::optional<CurveKeys> Keys) {
  std::uint8_t Decoded[32];
  if (Keys && (Keys->Public.size() != 40 || Keys->Secret.size() != 40 ||
               zmq_z85_decode(Decoded, Keys->Public.c_str()) == nullptr ||
               zmq_z85_decode(Decoded, Keys->Secret.c_str()) == nullptr))
    return base::fail(MessagingErrc::BadKey,
                      "the peer keys are not CURVE keys of 40 Z85 characters; "
                      "make a pair with `kingcuphub peer-keys`");
  return std::unique_ptr<Messaging>(
      std::make_unique<ZmqMessaging>(Loop, std::move(Keys)));
}

} // namespace kingcuphub::messaging
