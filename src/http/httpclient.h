#ifndef KINGCUPHUB_HTTP_HTTPCLIENT_H
#define KINGCUPHUB_HTTP_HTTPCLIENT_H

/// \file
/// An HTTP/1.1 client on the caller's Asio loop (libcurl's multi interface). A
/// request that has ended without its answer does not arrive later: what the
/// peer's machine has not acknowledged by then is discarded.
/// All calls and callbacks happen on the thread that runs the loop.

#include "base/clock.h"
#include "http/httpmessage.h"

#include <asio/io_context.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuphub::http {

/// Bytes of a response's heads; each line counts HeadLineCost beside its own.
constexpr std::size_t DefaultMaxHeadBytes = 64U << 10U;
/// What keeping one line of a head takes beside its bytes.
constexpr std::size_t HeadLineCost = 256;
/// Bytes of a body that fetch() collects.
constexpr std::size_t DefaultMaxBodyBytes = 1U << 20U;

/// How an outgoing request is made.
struct ClientRequest {
  std::string Method = "GET";
  /// As in `http://127.0.0.1:8080/v1/models`.
  std::string Url;
  std::vector<Header> Headers;
  std::string Body;
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Bounds the whole transfer; zero is no bound.
  std::chrono::milliseconds TotalTimeout{0};
  /// Ends the transfer if the peer's machine acknowledges none of the bytes
  /// sent for this long; zero is the system's limit. Holds for a connection
  /// from its start, so that all requests to a peer should state the same.
  std::chrono::milliseconds UnacknowledgedTimeout{0};
  /// Asked right before the request leaves, which may be long after start()
  /// where the process was stopped or the peer was slow to accept; if it
  /// returns false, nothing is sent. May be empty.
  std::function<bool()> MayStillSend;
  /// Takes a new connection and does not keep it afterwards.
  bool FreshConnection = false;
  /// Bounds all heads of the transfer together: interim ones, the final one and
  /// the trailers.
  std::size_t MaxHeadBytes = DefaultMaxHeadBytes;
  /// Bounds the body in bytes; a larger Content-Length is refused at once.
  /// Without a value fetch() applies DefaultMaxBodyBytes, and start(), which
  /// keeps nothing, has no bound.
  std::optional<std::size_t> MaxBodyBytes;
};

/// Why a transfer ended.
enum class TransferEnd {
  /// The whole answer has arrived.
  Complete,
  /// No connection could be made.
  CannotConnect,
  /// A time limit passed.
  TimedOut,
  /// The connection broke, the answer was cut short, or what came is no HTTP
  /// answer.
  Cut,
  /// The response passed a bound and was dropped with its connection.
  TooLarge,
  /// cancel() was called; onDone is not called.
  Cancelled,
};

struct TransferResult {
  TransferEnd End = TransferEnd::Complete;
  /// 0 if no answer has begun.
  int Status = 0;
  /// True unless no byte of the request can have left.
  bool MayHaveBeenSent = false;
  /// For the log.
  std::string Detail;
  /// What has ended the body of a Complete transfer.
  BodyEnd EndedBy = BodyEnd::Stated;
};

struct TransferId {
  std::uint64_t Value = 0;
  auto operator<=>(const TransferId &) const = default;
};

/// What a transfer reports; each may be empty.
struct TransferCallbacks {
  std::function<void(int Status, const std::vector<Header> &)> OnHead;
  std::function<void(std::string_view)> OnData;
  std::function<void(const TransferResult &)> OnDone;
};

class HttpClient {
public:
  virtual ~HttpClient() = default;
  virtual TransferId start(ClientRequest Request,
                           TransferCallbacks Callbacks) = 0;
  /// Drops a transfer and its connection; no callback follows.
  virtual void cancel(TransferId Id) = 0;
  virtual std::size_t running() const = 0;

  /// start() with the answer collected whole; the response's status is 0
  /// where none came, and the response is empty where it was too large.
  TransferId fetch(ClientRequest Request,
                   std::function<void(const TransferResult &, Response)> Done);
};

struct HttpClientSettings {
  /// Bytes of the heads and of the bounded bodies of all transfers under way.
  /// An instance may call hundreds of targets at once, so that the bound of
  /// each transfer alone would not keep it within its memory. Past this one,
  /// the transfers that have used most of their own bounds are dropped as too
  /// large.
  std::size_t MaxBytesUnderWay = 32U << 20U;
};

std::unique_ptr<HttpClient> makeHttpClient(asio::io_context &Loop,
                                           HttpClientSettings Settings = {});

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_HTTPCLIENT_H
