#ifndef KINGCUPHUB_GATEWAY_INTERNAL_CREDITLINK_H
#define KINGCUPHUB_GATEWAY_INTERNAL_CREDITLINK_H

/// \file
/// Between the credit book and the agent's messages: generations of credit,
/// and what of it was spent.

#include "admission/creditbook.h"
#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <functional>
#include <link.pb.h>
#include <map>

namespace kingcuphub::gateway {

/// Credit that was taken, to be put back in part or whole.
struct CreditTaken {
  base::QuantityId Quantity;
  std::int64_t Amount = 0;
  std::uint64_t Generation = 0;
};

class CreditLink {
public:
  using Sender = std::function<void(wire::GatewayMessage)>;

  explicit CreditLink(Sender Send) : Send(std::move(Send)), Book({}) {}

  admission::CreditBook &book() { return this->Book; }
  /// States that \p Amount was taken from the book and is used up.
  CreditTaken spent(const base::QuantityId &Quantity, std::int64_t Amount);
  /// Takes one slot, which putBack() frees again; false if there is none.
  bool takeSlot(base::TimePoint Now, const base::QuantityId &Quantity,
                CreditTaken &Out);
  /// Takes \p Amount of what was spent back, unless it is void by now.
  void unspend(const CreditTaken &From, std::int64_t Amount);
  void freeSlot(const CreditTaken &Slot);

  void onCredit(base::TimePoint Now, const wire::Credit &Credit);
  /// Voids what is held of any other generation.
  void onGeneration(base::TimePoint Now, std::uint64_t New);
  /// Sends what the book asks for and gives back.
  void onTime(base::TimePoint Now);
  /// Hands everything back; the gateway is leaving.
  void returnAll(base::TimePoint Now);

private:
  void ask(const admission::AskCredit &What);
  void giveBack(const admission::ReturnCredit &What);
  void sendRefunds();
  std::int64_t takeSpent(const base::QuantityId &Quantity);

  Sender Send;
  admission::CreditBook Book;
  std::uint64_t Generation = 0;
  /// Spent and not reported, for each quantity that was ever held.
  std::map<base::QuantityId, std::int64_t> Unreported;
  /// Reported as spent and not needed after all.
  std::map<base::QuantityId, std::int64_t> Refunds;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_INTERNAL_CREDITLINK_H
