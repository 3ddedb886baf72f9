#include "common/understood.h"

#include "http/messageparser.h"

namespace kingcuphub::standin {

Understood understand(const RawCaller &Caller, bool HasBody) {
  Understood Out;
  http::MessageParser Parser(
      http::MessageKind::Response, 65536,
      {[&Out](const http::MessageHead &Head) { Out.Status = Head.Status; },
       [&Out](std::string_view Piece) { Out.Body.append(Piece); }});
  Parser.reset(HasBody);
  if (Parser.feed(Caller.received()).Complete)
    Out.End = Seen::Complete;
  else if (Caller.ending() == RawCaller::Ending::Reset)
    Out.End = Seen::BrokenOff;
  else if (Caller.ending() == RawCaller::Ending::InOrder)
    Out.End = Parser.finish().Complete ? Seen::EndNotStated : Seen::BrokenOff;
  return Out;
}

} // namespace kingcuphub::standin
