#ifndef KINGCUPHUB_HTTP_HTTPSERVER_H
#define KINGCUPHUB_HTTP_HTTPSERVER_H

/// \file
/// An HTTP/1.1 server on the caller's Asio loop. All calls and callbacks
/// happen on the thread that runs the loop. A request is handed over whole;
/// one whose length is in doubt is answered 400 and ends its connection. One
/// that finds no memory is refused before its body is kept; of callers that
/// don't read, the one with the most unsent bytes is dropped first.

#include "base/error.h"
#include "http/bodyframing.h"
#include "http/httpmessage.h"
#include "http/requestmemory.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kingcuphub::http {

enum class HttpErrc { CannotListen = 1 };
std::error_code make_error_code(HttpErrc Kind);

/// What one caller may send, and how long it may take. A message over a limit
/// is answered with 413 or 431 and ends its connection.
struct CallerLimits {
  std::size_t MaxBodyBytes = 16U << 20U;
  /// Of all of a request that is not its body, as MessageParser counts it.
  std::size_t MaxHeaderBytes = 16U << 10U;
  /// The longest time that a caller may take to send one whole request.
  std::chrono::milliseconds ReadTimeout{10000};
  /// How long a connection is kept without a request.
  std::chrono::milliseconds IdleTimeout{30000};
  /// A caller that takes no byte of its answer for this long is dropped.
  std::chrono::milliseconds WriteTimeout{10000};
};

/// Bounds what the connections of a server hold together.
struct ServerMemory {
  /// Not bounded if there is none.
  base::MemoryBudgetPtr Budget;
  /// Makes the answer to a request that is not taken; only its head is known.
  std::function<Response(const Request &Head, MemoryRefusal Why)> Refuse;
};

/// Where a server listens.
struct ServerSettings {
  std::string Address = "127.0.0.1";
  /// 0 takes a free port from the kernel.
  std::uint16_t Port = 0;
  CallerLimits Limits{};
  ServerMemory Memory{};
};

/// The answer to one request: either respond() once, or beginStream(),
/// write() any number of times and finish(). A writer that is dropped
/// unanswered closes its connection.
class ResponseWriter {
public:
  virtual ~ResponseWriter() = default;
  virtual void respond(const Response &Whole) = 0;
  /// Starts an answer that is written in pieces and sends its head. With
  /// UntilClose, finish() ends the connection in order, and every other end of
  /// it is a reset.
  virtual void beginStream(int Status, const std::vector<Header> &Headers,
                           const BodyFraming &Framing) = 0;
  void beginStream(int Status, const std::vector<Header> &Headers) {
    this->beginStream(Status, Headers, Chunks{});
  }
  virtual void write(std::string Chunk) = 0;
  virtual void finish() = 0;
  /// Closes the connection so that the caller sees a cut answer.
  virtual void abort() = 0;
  /// False once the caller has gone.
  virtual bool isOpen() const = 0;
  /// Bytes handed to write() that the socket has not taken yet.
  virtual std::size_t unsentBytes() const = 0;
  /// \p Gone is called once if the caller goes before the answer is complete.
  virtual void onClosed(std::function<void()> Gone) = 0;
  /// \p Sent is called each time that all bytes handed to write() have left.
  virtual void onSent(std::function<void()> Sent) = 0;
};

using ResponseWriterPtr = std::shared_ptr<ResponseWriter>;
using RequestHandler = std::function<void(Request, ResponseWriterPtr)>;

class HttpServer {
public:
  virtual ~HttpServer() = default;
  /// The port it listens on, also where the kernel chose it.
  virtual std::uint16_t port() const = 0;
  /// Applies to messages that begin from now on.
  virtual void setLimits(const CallerLimits &Limits) = 0;
  /// From now on each answer ends its connection; new ones are accepted.
  virtual void endKeptConnections() = 0;
  /// Stops accepting and closes connections without a request; others live on
  /// until their next answer.
  virtual void stopAccepting() = 0;
  /// Closes the listener and every open connection.
  virtual void close() = 0;
  virtual std::size_t openConnections() const = 0;
};

/// Starts listening; fails if the address is taken.
base::Result<std::unique_ptr<HttpServer>>
startHttpServer(asio::io_context &Loop, const ServerSettings &Settings,
                RequestHandler Handler);

} // namespace kingcuphub::http

template <>
struct std::is_error_code_enum<kingcuphub::http::HttpErrc> : std::true_type {};

#endif // KINGCUPHUB_HTTP_HTTPSERVER_H
