#include "creditlink.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace kingcuphub::gateway {

CreditTaken CreditLink::spent(const base::QuantityId &Quantity,
                              std::int64_t Amount) {
  this->Unreported[Quantity] += Amount;
  return {Quantity, Amount, this->Generation};
}

bool CreditLink::takeSlot(base::TimePoint Now, const base::QuantityId &Quantity,
                          CreditTaken &Out) {
  this->Unreported.try_emplace(Quantity, 0);
  if (!this->Book.take(Quantity, 1, Now))
    return false;
  Out = {Quantity, 1, this->Generation};
  return true;
}

void CreditLink::unspend(const CreditTaken &From, std::int64_t Amount) {
  if (From.Generation != this->Generation || Amount <= 0)
    return;
  // What was reported as spent may have been refilled since: only the agent
  // can tell, so it goes back there.
  std::int64_t &Spent = this->Unreported[From.Quantity];
  std::int64_t Own = std::min(Spent, Amount);
  Spent -= Own;
  this->Book.putBack(From.Quantity, Own);
  if (Amount > Own)
    this->Refunds[From.Quantity] += Amount - Own;
}

void CreditLink::sendRefunds() {
  for (const auto &[Quantity, Amount] : std::exchange(this->Refunds, {})) {
    wire::GatewayMessage Message;
    wire::CreditReturn &To = *Message.mutable_credit_return();
    To.set_quantity(Quantity.Value);
    To.set_amount(Amount);
    To.set_spent(-Amount);
    To.set_generation(this->Generation);
    this->Send(std::move(Message));
  }
}

void CreditLink::freeSlot(const CreditTaken &Slot) {
  if (Slot.Generation == this->Generation)
    this->Book.putBack(Slot.Quantity, Slot.Amount);
}

void CreditLink::onCredit(base::TimePoint Now, const wire::Credit &Credit) {
  this->onGeneration(Now, Credit.generation());
  base::QuantityId Quantity{Credit.quantity()};
  this->Unreported.try_emplace(Quantity, 0);
  this->Book.credited(Quantity, Credit.amount(), Credit.request(),
                      std::chrono::milliseconds(Credit.retry_after_ms()), Now);
}

void CreditLink::onGeneration(base::TimePoint Now, std::uint64_t New) {
  if (std::exchange(this->Generation, New) == New)
    return;
  this->Refunds.clear();
  for (auto &[Quantity, Spent] : this->Unreported) {
    Spent = 0;
    this->Book.take(Quantity, this->Book.held(Quantity), Now);
  }
}

std::int64_t CreditLink::takeSpent(const base::QuantityId &Quantity) {
  return std::exchange(this->Unreported[Quantity], 0);
}

void CreditLink::ask(const admission::AskCredit &What) {
  wire::GatewayMessage Message;
  wire::CreditRequest &To = *Message.mutable_credit_request();
  To.set_quantity(What.Quantity.Value);
  To.set_amount(What.Amount);
  To.set_request(What.Request);
  To.set_spent(this->takeSpent(What.Quantity));
  To.set_generation(this->Generation);
  this->Send(std::move(Message));
}

void CreditLink::giveBack(const admission::ReturnCredit &What) {
  wire::GatewayMessage Message;
  wire::CreditReturn &To = *Message.mutable_credit_return();
  To.set_quantity(What.Quantity.Value);
  To.set_amount(What.Amount);
  To.set_spent(this->takeSpent(What.Quantity));
  To.set_generation(this->Generation);
  this->Send(std::move(Message));
}

void CreditLink::onTime(base::TimePoint Now) {
  this->sendRefunds();
  for (const admission::CreditCommand &Each : this->Book.tick(Now)) {
    if (const auto *Ask = std::get_if<admission::AskCredit>(&Each))
      this->ask(*Ask);
    if (const auto *Return = std::get_if<admission::ReturnCredit>(&Each))
      this->giveBack(*Return);
  }
}

void CreditLink::returnAll(base::TimePoint Now) {
  this->sendRefunds();
  for (const auto &[Quantity, Spent] : this->Unreported) {
    std::int64_t Held = this->Book.held(Quantity);
    if (Held <= 0 && Spent <= 0)
      continue;
    this->Book.take(Quantity, Held, Now);
    this->giveBack({Quantity, Held});
  }
}

} // namespace kingcuphub::gateway
