#ifndef KINGCUPHUB_HTTP_MESSAGEPARSER_H
#define KINGCUPHUB_HTTP_MESSAGEPARSER_H

/// \file
/// Incremental parsing of HTTP/1.1 messages (Node's http-parser) for
/// connections that pass bytes on as they arrive. No I/O.

#include "http/bodyframing.h"
#include "http/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace kingcuphub::http {

enum class ParseErrc {
  /// Not HTTP/1.1, or a field that cannot be read; its name has to be a token.
  Malformed = 1,
  /// More than one way to tell where the body ends.
  AmbiguousLength,
  /// More bytes besides the body than allowed, or more header lines.
  HeadTooLarge,
  /// The connection ended inside the message.
  Truncated,
};
std::error_code make_error_code(ParseErrc Kind);

/// Everything before a message's body.
struct MessageHead {
  /// Of a request.
  std::string Method;
  /// Of a request: path and query as they were sent.
  std::string Target;
  /// Of a response.
  int Status = 0;
  std::vector<Header> Headers;
  /// Whether the connection may carry another message.
  bool KeepAlive = true;
  BodyFraming Framing;
  /// Whether the sender knows chunked bodies: HTTP/1.1, not 1.0.
  bool KnowsChunks = true;

  /// The length that the message states for its body, if it states one.
  std::optional<std::uint64_t> length() const {
    const auto *Known = std::get_if<KnownLength>(&this->Framing);
    return Known == nullptr ? std::nullopt : std::optional(Known->Bytes);
  }
  std::string_view header(std::string_view Name) const {
    return findHeader(this->Headers, Name);
  }
};

/// Largest number of header lines of a head.
constexpr std::size_t MaxHeaderLines = 256;

enum class MessageKind { Request, Response };

/// Parses one message after another in one direction of a connection.
class MessageParser {
public:
  struct Handlers {
    std::function<void(MessageHead)> OnHead;
    std::function<void(std::string_view)> OnBody;
  };
  /// How far one call has come.
  struct Progress {
    /// Bytes that belong to the message; the rest is for the next one.
    std::size_t Consumed = 0;
    bool Complete = false;
    std::error_code Failed;
  };

  /// \p MaxHeadBytes bounds all bytes of a message that are not its body: empty
  /// lines before it, interim responses, which are skipped, the head, chunk
  /// extensions and trailers. The framing of plain chunks is not counted.
  MessageParser(MessageKind Kind, std::size_t MaxHeadBytes, Handlers Take);
  ~MessageParser();
  MessageParser(const MessageParser &) = delete;
  MessageParser &operator=(const MessageParser &) = delete;

  Progress feed(std::string_view Bytes);
  /// The connection has ended: completes a response without a length, and is
  /// Truncated inside any other message.
  Progress finish();
  /// Makes ready for the next message. \p BodyExpected is false for the
  /// response to a HEAD request.
  void reset(bool BodyExpected = true);
  /// True between the first byte of a message and its end.
  bool inMessage() const;
  void setMaxHeadBytes(std::size_t Bytes);

private:
  class State;
  std::unique_ptr<State> Current;
};

/// Whether a header concerns one connection only and is not passed on;
/// \p Connection is the message's Connection header, which may name more.
bool isHopByHop(std::string_view Name, std::string_view Connection);

/// Whether a status is one of RFC 9110, section 15: 100 to 599.
bool isValidStatus(int Status);

/// Whether responses with this status never have a body.
bool isBodyless(int Status);

/// The status line's reason for a code; empty if unknown.
std::string_view reasonOf(int Status);

} // namespace kingcuphub::http

template <>
struct std::is_error_code_enum<kingcuphub::http::ParseErrc> : std::true_type {};

#endif // KINGCUPHUB_HTTP_MESSAGEPARSER_H
