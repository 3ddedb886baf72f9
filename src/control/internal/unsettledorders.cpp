#include "control/unsettledorders.h"

namespace kingcuphub::control {

void writeUnsettled(const std::vector<residency::UnsettledOrders> &Orders,
                    UnsettledMessages &To) {
  for (const residency::UnsettledOrders &Each : Orders) {
    wire::UnsettledOrders &Out = *To.Add();
    Out.set_instance(Each.Sender.Instance.Value);
    Out.set_incarnation(Each.Sender.Incarnation.Value);
    Out.set_target(Each.Engine.Value);
    Out.set_lifetime(Each.Lifetime.Value);
    Out.set_left_ms(static_cast<std::int32_t>(Each.Left.count()));
  }
}

std::vector<residency::UnsettledOrders>
readUnsettled(const UnsettledMessages &From) {
  std::vector<residency::UnsettledOrders> Out;
  for (const wire::UnsettledOrders &Each : From)
    Out.push_back({{{Each.instance()}, {Each.incarnation()}},
                   {Each.target()},
                   {Each.lifetime()},
                   std::chrono::milliseconds(Each.left_ms())});
  return Out;
}

} // namespace kingcuphub::control
