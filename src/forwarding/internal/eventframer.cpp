#include "forwarding/eventframer.h"

#include <algorithm>

namespace kingcuphub::forwarding {

namespace {

constexpr std::string_view IdField = "id:";

/// The end of the first event in \p Text: behind its empty line.
std::size_t endOfEvent(std::string_view Text) {
  std::size_t Unix = Text.find("\n\n");
  std::size_t Dos = Text.find("\r\n\r\n");
  if (Unix == std::string_view::npos && Dos == std::string_view::npos)
    return std::string_view::npos;
  if (Dos == std::string_view::npos || Unix < Dos)
    return Unix + 2;
  return Dos + 4;
}

} // namespace

std::string EventFramer::feed(std::string_view Bytes) {
  this->Rest.append(Bytes);
  std::string_view Left = this->Rest;
  std::size_t Whole = 0;
  for (std::size_t End = endOfEvent(Left); End != std::string_view::npos;
       End = endOfEvent(Left)) {
    this->readId(Left.substr(0, End));
    Whole += End;
    Left.remove_prefix(End);
  }
  std::string Out = this->Rest.substr(0, Whole);
  this->Rest.erase(0, Whole);
  return Out;
}

void EventFramer::readId(std::string_view Event) {
  while (!Event.empty()) {
    std::string_view Line = Event.substr(0, Event.find('\n'));
    Event.remove_prefix(std::min(Event.size(), Line.size() + 1));
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (Line.substr(0, IdField.size()) != IdField)
      continue;
    Line.remove_prefix(IdField.size());
    if (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    this->LastId = Line;
  }
}

} // namespace kingcuphub::forwarding
