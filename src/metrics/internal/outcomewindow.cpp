#include "metrics/outcomewindow.h"

namespace kingcuphub::metrics {

std::int64_t OutcomeWindow::slotNumber(base::TimePoint Now) {
  return Now.time_since_epoch() / SlotLength;
}

void OutcomeWindow::add(base::TimePoint Now, bool Good) {
  std::int64_t Number = slotNumber(Now);
  std::lock_guard Lock(this->Guard);
  Slot &Current = this->Slots[static_cast<std::size_t>(Number) % SlotCount];
  if (Current.Number != Number)
    Current = Slot{Number, {}};
  ++(Good ? Current.Outcomes.Good : Current.Outcomes.Bad);
}

OutcomeCount OutcomeWindow::count(base::TimePoint Now,
                                  std::chrono::seconds Length) const {
  std::int64_t Newest = slotNumber(Now);
  std::int64_t Oldest = Newest - Length / SlotLength + 1;
  OutcomeCount Out;
  std::lock_guard Lock(this->Guard);
  for (const Slot &Each : this->Slots) {
    if (Each.Number < Oldest || Each.Number > Newest)
      continue;
    Out.Good += Each.Outcomes.Good;
    Out.Bad += Each.Outcomes.Bad;
  }
  return Out;
}

} // namespace kingcuphub::metrics
