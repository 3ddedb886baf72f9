#ifndef KINGCUPHUB_HTTP_BODYFRAMING_H
#define KINGCUPHUB_HTTP_BODYFRAMING_H

/// \file
/// How an HTTP/1.1 message states where its body ends.

#include <cstdint>
#include <string_view>
#include <variant>

namespace kingcuphub::http {

struct NoBody {};
struct KnownLength {
  std::uint64_t Bytes = 0;
};
struct Chunks {};
/// The response states no end and lasts until its connection ends. An end in
/// order does not prove that it is whole; a reset proves that it is not.
struct UntilClose {};
using BodyFraming = std::variant<NoBody, KnownLength, Chunks, UntilClose>;

/// As in a log line: `none`, `length`, `chunks` or `connection`.
std::string_view framingName(const BodyFraming &Framing);

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_BODYFRAMING_H
