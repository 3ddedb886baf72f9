#include "peerlimits.h"

namespace kingcuphub::agent {

namespace {

/// A request to a cold target whose gateway died has ended by then.
constexpr std::chrono::seconds LostSlotHold{60};

} // namespace

PeerLimits::Limits PeerLimits::current() const {
  Limits Out;
  wire::ConfigState Saved = this->Config.save();
  std::map<std::string, base::Offset> ChangedAt;
  for (const wire::ObjectChange &Each : Saved.changes())
    ChangedAt[Each.object()] = {Each.offset()};
  for (const wire::AccountPut &Each : Saved.accounts())
    Out[{"account/" + Each.account() + "/tokens"}] =
        shares::tokenLimit(Each.tokens_per_second(), Each.burst_tokens(),
                           ChangedAt["account/" + Each.account()]);
  for (const wire::TargetPut &Each : Saved.targets())
    Out[{"target/" + Each.target() + "/cold-slots"}] = shares::slotLimit(
        Each.cold_slots(), LostSlotHold, ChangedAt["target/" + Each.target()]);
  return Out;
}

void PeerLimits::update(base::TimePoint Now) {
  Limits New = this->current();
  for (const auto &[Quantity, Whole] : this->Known)
    if (New.count(Quantity) == 0)
      this->Part.removeLimit(Quantity, Now);
  for (const auto &[Quantity, Whole] : New) {
    auto Found = this->Known.find(Quantity);
    if (Found == this->Known.end() || Found->second != Whole)
      this->Part.setLimit(Quantity, Whole, Now);
  }
  this->Known = std::move(New);
}

} // namespace kingcuphub::agent
