#include "http/httpserver.h"

#include "serverconnection.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace kingcuphub::http {

namespace {

/// How long to wait before accepting again where the process has no more
/// descriptors; callers wait in the listener's queue meanwhile.
constexpr std::chrono::milliseconds AcceptPause{100};

std::string textOf(int Code) {
  switch (static_cast<HttpErrc>(Code)) {
  case HttpErrc::CannotListen:
    return "cannot listen";
  }
  return "unknown HTTP error";
}

const base::EnumCategory Category("http", textOf);

class AsioServer final : public HttpServer {
public:
  AsioServer(asio::io_context &Loop, const ServerSettings &Settings,
             RequestHandler Handler)
      : Shared(std::make_shared<ServerState>()), Listener(Loop), Pause(Loop) {
    this->Shared->Limits = Settings.Limits;
    this->Shared->Memory = Settings.Memory;
    this->Shared->Handler = std::move(Handler);
    asio::ip::tcp::endpoint At(asio::ip::make_address(Settings.Address),
                               Settings.Port);
    this->Listener.open(At.protocol());
    this->Listener.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    this->Listener.bind(At);
    this->Listener.listen();
    this->Port = this->Listener.local_endpoint().port();
    this->accept();
  }

  ~AsioServer() override { this->close(); }

  std::uint16_t port() const override { return this->Port; }

  void setLimits(const CallerLimits &Limits) override {
    this->Shared->Limits = Limits;
  }

  void endKeptConnections() override { this->Shared->Draining = true; }

  void stopAccepting() override {
    this->Shared->Draining = true;
    asio::error_code Ignored;
    // Closing a listener reports nothing that could be acted on.
    this->Listener.close(Ignored);
    this->Pause.cancel();
    auto Open = this->Shared->Connections;
    for (const auto &Each : Open)
      Each->closeIfIdle();
  }

  void close() override {
    this->stopAccepting();
    auto Open = this->Shared->Connections;
    for (const auto &Each : Open)
      Each->close();
  }

  std::size_t openConnections() const override {
    return this->Shared->Connections.size();
  }

private:
  void accept() {
    this->Listener.async_accept(
        [this, Alive = std::weak_ptr<ServerState>(this->Shared)](
            asio::error_code Failed, asio::ip::tcp::socket Socket) {
          if (Alive.expired() || Failed == asio::error::operation_aborted)
            return;
          if (Failed) {
            this->acceptLater();
            return;
          }
          auto New = std::make_shared<ServerConnection>(std::move(Socket),
                                                        this->Shared);
          this->Shared->Connections.insert(New);
          New->start();
          this->accept();
        });
  }

  void acceptLater() {
    this->Pause.expires_after(AcceptPause);
    this->Pause.async_wait([this, Alive = std::weak_ptr<ServerState>(
                                      this->Shared)](asio::error_code Failed) {
      if (!Alive.expired() && !Failed)
        this->accept();
    });
  }

  std::shared_ptr<ServerState> Shared;
  asio::ip::tcp::acceptor Listener;
  asio::steady_timer Pause;
  std::uint16_t Port = 0;
};

} // namespace

std::error_code make_error_code(HttpErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

base::Result<std::unique_ptr<HttpServer>>
startHttpServer(asio::io_context &Loop, const ServerSettings &Settings,
                RequestHandler Handler) {
  try {
    return std::unique_ptr<HttpServer>(
        std::make_unique<AsioServer>(Loop, Settings, std::move(Handler)));
  } catch (const std::exception &Failure) {
    return base::fail(HttpErrc::CannotListen,
                      Settings.Address + ":" + std::to_string(Settings.Port) +
                          " cannot be listened on (" + Failure.what() +
                          "); free the port or set another");
  }
}

} // namespace kingcuphub::http
