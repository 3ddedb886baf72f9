#include "duties/beguncounts.h"

#include <algorithm>

namespace kingcuphub::duties {

void BegunReport::add(WindowId Window, const BegunCounts &Begun) {
  // Counts may follow a report of their window, taken at its very end.
  if (this->Confirmed && Window <= *this->Confirmed && Window.Value > 0)
    this->Confirmed = WindowId{Window.Value - 1};
  for (const auto &[Account, Count] : Begun)
    this->Windows[Window][Account] += Count;
}

std::map<WindowId, BegunCounts> BegunReport::unconfirmed(WindowId Current) {
  std::erase_if(this->Windows, [&](const auto &Each) {
    return Each.first.Value + this->KeepWindows < Current.Value;
  });
  std::map<WindowId, BegunCounts> Out;
  for (const auto &[Window, Counts] : this->Windows)
    if (Window < Current && (!this->Confirmed || *this->Confirmed < Window))
      Out[Window] = Counts;
  return Out;
}

void BegunReport::onConfirmed(WindowId Through) {
  this->Confirmed = std::max(this->Confirmed.value_or(Through), Through);
}

} // namespace kingcuphub::duties
