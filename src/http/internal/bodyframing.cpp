#include "http/bodyframing.h"

#include "base/visitor.h"

namespace kingcuphub::http {

std::string_view framingName(const BodyFraming &Framing) {
  return std::visit(
      base::Visitor{[](const NoBody &) { return "none"; },
                    [](const KnownLength &) { return "length"; },
                    [](const Chunks &) { return "chunks"; },
                    [](const UntilClose &) { return "connection"; }},
      Framing);
}

} // namespace kingcuphub::http
