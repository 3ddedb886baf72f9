#ifndef KINGCUPHUB_FORWARDING_EVENTSCANNER_H
#define KINGCUPHUB_FORWARDING_EVENTSCANNER_H

/// \file
/// Finds the ends of events in a server-sent event stream, byte by byte: an
/// event ends with an empty line, and lines end with CR, LF or both. No I/O.

#include <cstddef>
#include <string_view>

namespace kingcuphub::forwarding {

class EventScanner {
public:
  /// Returns up to where \p Bytes end outside an event; 0 if nowhere.
  std::size_t scan(std::string_view Bytes);
  /// Whether a field has begun whose event has not ended. A comment is no part
  /// of an event.
  bool insideEvent() const {
    return this->HasFields || this->Line == LineState::Field;
  }

private:
  enum class LineState { Empty, Comment, Field };

  bool takeLineEnd(char Each);

  LineState Line = LineState::Empty;
  bool HasFields = false;
  /// The last byte was a CR, so that an LF belongs to the same line end.
  bool AfterReturn = false;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_EVENTSCANNER_H
