#ifndef KINGCUPHUB_FORWARDING_EVENTFRAMER_H
#define KINGCUPHUB_FORWARDING_EVENTFRAMER_H

/// \file
/// Cuts an event stream into whole events, so that a stream which breaks off
/// inside one can be taken up by another target without a torn or doubled
/// event. No I/O.

#include <string>
#include <string_view>

namespace kingcuphub::forwarding {

class EventFramer {
public:
  /// The whole events that \p Bytes complete, byte for byte.
  std::string feed(std::string_view Bytes);
  /// Drops the begun event, as its stream broke off.
  void dropRest() { this->Rest.clear(); }
  /// The bytes behind the last whole event.
  const std::string &rest() const { return this->Rest; }
  /// The id of the last whole event; empty if there was none.
  const std::string &lastId() const { return this->LastId; }

private:
  void readId(std::string_view Event);

  std::string Rest;
  std::string LastId;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_EVENTFRAMER_H
