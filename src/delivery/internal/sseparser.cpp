#include "delivery/sseparser.h"

#include <utility>

namespace kingcuphub::delivery {

std::vector<std::string> SseParser::feed(std::string_view Bytes) {
  std::vector<std::string> Events;
  while (!Bytes.empty() && !this->Overflowed) {
    std::size_t End = Bytes.find('\n');
    this->Line += Bytes.substr(0, End);
    if (this->Line.size() + this->Data.size() > MaxEventBytes)
      this->Overflowed = true;
    if (End == std::string_view::npos)
      break;
    Bytes.remove_prefix(End + 1);
    this->takeLine(Events);
  }
  return Events;
}

void SseParser::takeLine(std::vector<std::string> &Events) {
  std::string Taken = std::exchange(this->Line, {});
  if (!Taken.empty() && Taken.back() == '\r')
    Taken.pop_back();
  if (Taken.empty()) {
    if (std::exchange(this->HasData, false))
      Events.push_back(std::exchange(this->Data, {}));
    return;
  }
  std::string_view Rest = Taken;
  if (Rest.substr(0, 5) != "data:")
    return;
  Rest.remove_prefix(5);
  if (!Rest.empty() && Rest.front() == ' ')
    Rest.remove_prefix(1);
  if (this->HasData)
    this->Data += '\n';
  this->Data += Rest;
  this->HasData = true;
}

} // namespace kingcuphub::delivery
