#include "answerlimits.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace kingcuphub::forwarding {

namespace {

/// The part of the free memory that one answer may take.
constexpr std::size_t AnswerDivisor = 8;
/// A part of the share is left for what was read before a limit fell.
constexpr std::size_t ReserveDivisor = 4;
/// Enough for a usual event or short answer, which would otherwise lose its
/// chance of being repeated.
constexpr std::size_t LeastKept = 16U << 10U;

} // namespace

AnswerLimits::AnswerLimits(Settings Most, base::MemoryBudgetPtr NewBudget)
    : Most(Most), Budget(std::move(NewBudget)) {}

std::size_t AnswerLimits::free() const {
  if (!this->Budget)
    return std::numeric_limits<std::size_t>::max();
  std::size_t Reserve =
      this->Budget->limit(base::MemoryShare::Answers) / ReserveDivisor;
  std::size_t Left = this->Budget->left(base::MemoryShare::Answers);
  return Left - std::min(Left, Reserve);
}

std::size_t AnswerLimits::maxHeld() const {
  return std::min(this->Most.MaxHeld,
                  std::max(LeastKept, this->free() / AnswerDivisor));
}

std::size_t AnswerLimits::maxPiece() const {
  return std::min(this->Most.MaxPiece,
                  std::max(LeastKept, this->free() / AnswerDivisor));
}

std::size_t AnswerLimits::maxUnsent() const {
  return std::min(this->Most.MaxUnsent, this->free() / AnswerDivisor);
}

base::MemoryReservation AnswerLimits::makeReservation() const {
  return {this->Budget, base::MemoryShare::Answers};
}

} // namespace kingcuphub::forwarding
