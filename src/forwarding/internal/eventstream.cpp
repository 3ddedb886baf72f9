#include "eventstream.h"

namespace kingcuphub::forwarding {

bool isEventStream(const http::MessageHead &Head, bool ByDefault) {
  bool Success = Head.Status >= 200 && Head.Status < 300;
  if (!Success || !Head.header("Content-Encoding").empty())
    return false;
  std::string_view Type = Head.header("Content-Type");
  Type = Type.substr(0, Type.find(';'));
  while (!Type.empty() && Type.back() == ' ')
    Type.remove_suffix(1);
  return Type.empty() ? ByDefault : http::equalNames(Type, "text/event-stream");
}

} // namespace kingcuphub::forwarding
