#ifndef KINGCUPHUB_DELIVERY_SSEPARSER_H
#define KINGCUPHUB_DELIVERY_SSEPARSER_H

/// \file
/// Splits a stream of server-sent events into the data of each event.

#include <string>
#include <string_view>
#include <vector>

namespace kingcuphub::delivery {

class SseParser {
public:
  /// The longest event that is kept; a stream with a longer one is broken.
  static constexpr std::size_t MaxEventBytes = 1U << 20U;

  /// Takes the next bytes and returns the data of the events they complete.
  std::vector<std::string> feed(std::string_view Bytes);
  /// True once an event was longer than MaxEventBytes.
  bool overflowed() const { return this->Overflowed; }
  /// True where the stream stopped inside an event.
  bool midEvent() const { return !this->Line.empty() || !this->Data.empty(); }

private:
  void takeLine(std::vector<std::string> &Events);

  std::string Line;
  std::string Data;
  bool HasData = false;
  bool Overflowed = false;
};

} // namespace kingcuphub::delivery

#endif // KINGCUPHUB_DELIVERY_SSEPARSER_H
