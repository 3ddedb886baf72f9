#include "forwarding/eventframer.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::forwarding {

namespace {

constexpr std::string_view IdField = "id:";
constexpr std::string_view LineEnds = "\r\n";

} // namespace

std::string EventFramer::feed(std::string_view Bytes) {
  std::size_t Before = this->Incomplete.size();
  this->Incomplete.append(Bytes);
  std::size_t Complete = this->Scanner.scan(Bytes);
  if (Complete == 0)
    return {};
  Complete += Before;
  std::string Out = this->Incomplete.substr(0, Complete);
  this->Incomplete.erase(0, Complete);
  this->parseId(Out);
  return Out;
}

void EventFramer::discardIncomplete() {
  this->Incomplete.clear();
  this->Scanner = {};
}

std::string EventFramer::takeIncomplete() {
  return std::exchange(this->Incomplete, {});
}

void EventFramer::parseId(std::string_view Events) {
  while (!Events.empty()) {
    std::string_view Line = Events.substr(0, Events.find_first_of(LineEnds));
    Events.remove_prefix(std::min(Events.size(), Line.size() + 1));
    if (Line.substr(0, IdField.size()) != IdField)
      continue;
    Line.remove_prefix(IdField.size());
    if (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    this->LastId = Line;
  }
}

} // namespace kingcuphub::forwarding
