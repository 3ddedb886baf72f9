#ifndef KINGCUPHUB_FORWARDING_EVENTFRAMER_H
#define KINGCUPHUB_FORWARDING_EVENTFRAMER_H

/// \file
/// Splits a server-sent event stream into complete events, so that a stream
/// that breaks off within an event is not taken for complete, and can be
/// resumed at another target without a truncated or duplicate event. No I/O.

#include "forwarding/eventscanner.h"

#include <string>
#include <string_view>

namespace kingcuphub::forwarding {

class EventFramer {
public:
  /// Returns the events that are complete with \p Bytes, unchanged.
  std::string feed(std::string_view Bytes);
  /// Discards an incomplete event after its stream has broken off.
  void discardIncomplete();
  /// The bytes after the last complete event.
  const std::string &incomplete() const { return this->Incomplete; }
  /// Hands out the bytes of an event that is too large to be kept whole.
  std::string takeIncomplete();
  bool insideEvent() const { return this->Scanner.insideEvent(); }
  /// The id most recently set by a complete event; empty if there was none.
  const std::string &lastId() const { return this->LastId; }

private:
  void parseId(std::string_view Events);

  EventScanner Scanner;
  std::string Incomplete;
  std::string LastId;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_EVENTFRAMER_H
