#ifndef KINGCUPHUB_FORWARDING_INTERNAL_REQUESTCOST_H
#define KINGCUPHUB_FORWARDING_INTERNAL_REQUESTCOST_H

/// \file
/// What a request costs its account and the engines, and how urgent it is. No
/// I/O and no clock.

#include "catalog/catalog.h"
#include "dispatch/requestfacts.h"

namespace kingcuphub::forwarding {

/// What the account is charged, in the account's unit.
std::int64_t tokenCost(const dispatch::RequestFacts &Request,
                       const catalog::Account &Account);

/// Engine time in milliseconds in a typical batch. Only the proportions between
/// requests matter.
double engineMillis(const dispatch::RequestFacts &Request);

/// From 0, served first, to 9, by the account's or the route's priority.
/// \p Account may be null.
unsigned urgencyOf(const catalog::Route &Route,
                   const catalog::Account *Account);

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_INTERNAL_REQUESTCOST_H
