#include "membership/membership.h"

namespace kingcuphub::membership {

std::string_view statusName(MemberStatus Status) {
  switch (Status) {
  case MemberStatus::Alive:
    return "alive";
  case MemberStatus::Suspect:
    return "suspect";
  case MemberStatus::Dead:
    return "dead";
  case MemberStatus::Left:
    return "left";
  }
  return "dead";
}

MemberName parseMember(const wire::Member &From) {
  return {{From.instance()}, {From.incarnation()}, {From.zone()}};
}

wire::Member toWire(const MemberName &From) {
  wire::Member To;
  To.set_instance(From.Instance.Value);
  To.set_incarnation(From.Incarnation.Value);
  To.set_zone(From.Zone.Value);
  return To;
}

} // namespace kingcuphub::membership
