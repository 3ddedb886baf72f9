#ifndef KINGCUPHUB_CONTROL_UNSETTLEDORDERS_H
#define KINGCUPHUB_CONTROL_UNSETTLEDORDERS_H

/// \file
/// Conversion between unsettled orders and their messages.

#include "residency/orderledger.h"

#include <fleet.pb.h>
#include <vector>

namespace kingcuphub::control {

using UnsettledMessages =
    google::protobuf::RepeatedPtrField<wire::UnsettledOrders>;

void writeUnsettled(const std::vector<residency::UnsettledOrders> &Orders,
                    UnsettledMessages &To);
std::vector<residency::UnsettledOrders>
readUnsettled(const UnsettledMessages &From);

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_UNSETTLEDORDERS_H
