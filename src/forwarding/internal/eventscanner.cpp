#include "forwarding/eventscanner.h"

#include <utility>

namespace kingcuphub::forwarding {

std::size_t EventScanner::scan(std::string_view Bytes) {
  std::size_t OutsideUpTo = 0;
  for (std::size_t Index = 0; Index < Bytes.size(); ++Index) {
    if (this->takeLineEnd(Bytes[Index])) {
      if (!this->insideEvent())
        OutsideUpTo = Index + 1;
    } else if (this->Line == LineState::Empty) {
      this->Line = Bytes[Index] == ':' ? LineState::Comment : LineState::Field;
    }
  }
  return OutsideUpTo;
}

/// Returns whether the byte belongs to the end of a line.
bool EventScanner::takeLineEnd(char Each) {
  bool Second = std::exchange(this->AfterReturn, Each == '\r') && Each == '\n';
  if (Second)
    return true;
  if (Each != '\r' && Each != '\n')
    return false;
  switch (std::exchange(this->Line, LineState::Empty)) {
  case LineState::Empty:
    this->HasFields = false;
    break;
  case LineState::Comment:
    break;
  case LineState::Field:
    this->HasFields = true;
    break;
  }
  return true;
}

} // namespace kingcuphub::forwarding
