#include "forwarding/eventframer.h"

#include <algorithm>

namespace kingcuphub::forwarding {

namespace {

constexpr std::string_view IdField = "id:";

/// Returns the end of the first event in \p Text, after its empty line.
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
  this->Incomplete.append(Bytes);
  std::string_view Left = this->Incomplete;
  std::size_t CompleteSize = 0;
  for (std::size_t End = endOfEvent(Left); End != std::string_view::npos;
       End = endOfEvent(Left)) {
    this->parseId(Left.substr(0, End));
    CompleteSize += End;
    Left.remove_prefix(End);
  }
  std::string Out = this->Incomplete.substr(0, CompleteSize);
  this->Incomplete.erase(0, CompleteSize);
  return Out;
}

void EventFramer::parseId(std::string_view Event) {
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
