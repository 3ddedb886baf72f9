#include "base/memorybudget.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::base {

namespace {

/// Code, control state, logs and the buffers of connections.
constexpr std::size_t OwnBytes = 80U << 20U;
/// Of a small machine's memory, the process itself gets at most this part.
constexpr double MaxOwnPart = 0.5;
constexpr double LargeRequestsPart = 0.6;
constexpr double SmallRequestsPart = 0.15;

std::size_t part(std::size_t Of, double Part) {
  return static_cast<std::size_t>(static_cast<double>(Of) * Part);
}

} // namespace

MemoryLimits memoryLimits(std::size_t ProcessBytes) {
  std::size_t Shared =
      ProcessBytes - std::min(OwnBytes, part(ProcessBytes, MaxOwnPart));
  MemoryLimits Out;
  Out.LargeRequests = part(Shared, LargeRequestsPart);
  Out.SmallRequests = part(Shared, SmallRequestsPart);
  Out.Answers = Shared - Out.LargeRequests - Out.SmallRequests;
  return Out;
}

MemoryBudget::MemoryBudget(const MemoryLimits &Limits) {
  this->at(MemoryShare::LargeRequests).Limit = Limits.LargeRequests;
  this->at(MemoryShare::SmallRequests).Limit = Limits.SmallRequests;
  this->at(MemoryShare::Answers).Limit = Limits.Answers;
}

std::size_t MemoryBudget::left(MemoryShare Of) const {
  const Account &Share = this->at(Of);
  return Share.Limit - std::min(Share.Limit, Share.Used);
}

bool MemoryBudget::overdrawn(MemoryShare Of) const {
  return this->at(Of).Used > this->at(Of).Limit;
}

MemoryReservation::MemoryReservation(MemoryBudgetPtr Budget, MemoryShare From)
    : Budget(std::move(Budget)), From(From) {}

MemoryReservation::MemoryReservation(MemoryReservation &&Other) noexcept
    : Budget(std::move(Other.Budget)), From(Other.From),
      Bytes(std::exchange(Other.Bytes, 0)) {}

MemoryReservation &
MemoryReservation::operator=(MemoryReservation &&Other) noexcept {
  if (this == &Other)
    return *this;
  this->record(0);
  this->Budget = std::move(Other.Budget);
  this->From = Other.From;
  this->Bytes = std::exchange(Other.Bytes, 0);
  return *this;
}

MemoryReservation::~MemoryReservation() { this->record(0); }

bool MemoryReservation::resize(std::size_t NewBytes) {
  bool Grows = NewBytes > this->Bytes;
  if (Grows && this->Budget &&
      NewBytes - this->Bytes > this->Budget->left(this->From))
    return false;
  this->record(NewBytes);
  return true;
}

void MemoryReservation::record(std::size_t NewBytes) {
  if (this->Budget) {
    std::size_t &Used = this->Budget->at(this->From).Used;
    Used = Used - this->Bytes + NewBytes;
  }
  this->Bytes = NewBytes;
}

} // namespace kingcuphub::base
