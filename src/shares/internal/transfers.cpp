#include "shares/transfers.h"

#include <algorithm>

namespace kingcuphub::shares {

wire::ShareTransfer Transfers::send(const MemberName &To,
                                    wire::ShareTransfer Message,
                                    base::TimePoint Now) {
  Outgoing &Channel = this->Out[To];
  Message.set_sequence(++Channel.LastSequence);
  Channel.Unacknowledged[Channel.LastSequence] = {Message, Now};
  return Message;
}

void Transfers::acknowledged(const MemberName &By, std::uint64_t Sequence) {
  if (auto Found = this->Out.find(By); Found != this->Out.end())
    Found->second.Unacknowledged.erase(Sequence);
}

bool Transfers::accept(const MemberName &From, std::uint64_t Sequence) {
  Incoming &Channel = this->In[From];
  if (Sequence <= Channel.AcceptedThrough ||
      !Channel.AcceptedAbove.insert(Sequence).second)
    return false;
  while (Channel.AcceptedAbove.erase(Channel.AcceptedThrough + 1) != 0)
    ++Channel.AcceptedThrough;
  return true;
}

std::vector<std::pair<MemberName, wire::ShareTransfer>>
Transfers::due(base::TimePoint Now, base::Duration Period) {
  std::vector<std::pair<MemberName, wire::ShareTransfer>> All;
  for (auto &[To, Channel] : this->Out)
    for (auto &[Sequence, Each] : Channel.Unacknowledged) {
      if (Now - Each.SentAt < Period)
        continue;
      Each.SentAt = Now;
      All.emplace_back(To, Each.Message);
    }
  return All;
}

void Transfers::forEachPending(
    const std::function<void(wire::ShareTransfer &)> &Change) {
  for (auto &[To, Channel] : this->Out)
    for (auto &[Sequence, Each] : Channel.Unacknowledged)
      Change(Each.Message);
}

bool Transfers::idle() const {
  return std::all_of(this->Out.begin(), this->Out.end(), [](const auto &Each) {
    return Each.second.Unacknowledged.empty();
  });
}

} // namespace kingcuphub::shares
