#ifndef KINGCUPHUB_FORWARDING_INTERNAL_ANSWERLIMITS_H
#define KINGCUPHUB_FORWARDING_INTERNAL_ANSWERLIMITS_H

/// \file
/// How much of one answer may be kept, by what all of them leave free. No I/O
/// and no clock.
///
/// Load pattern: many callers read slowly while their targets go on, or many
/// targets send without end. Each answer may take a fixed part of what is left,
/// so that limits fall before the memory is exhausted, and targets are read no
/// faster than callers take their bytes.

#include "base/memorybudget.h"

#include <cstddef>

namespace kingcuphub::forwarding {

class AnswerLimits {
public:
  /// The limits of one answer while there is enough memory, in bytes.
  struct Settings {
    std::size_t MaxHeld = 0;
    std::size_t MaxPiece = 0;
    std::size_t MaxUnsent = 0;
  };

  AnswerLimits(Settings Most, base::MemoryBudgetPtr Budget);

  /// Of an answer that is buffered until it is complete.
  std::size_t maxHeld() const;
  /// Of an event that is kept until it is complete.
  std::size_t maxPiece() const;
  /// Bytes that wait for the caller. At 0 each piece is sent before the next is
  /// read.
  std::size_t maxUnsent() const;
  /// For the bytes that an exchange keeps of its answer.
  base::MemoryReservation makeReservation() const;

private:
  std::size_t free() const;

  Settings Most;
  base::MemoryBudgetPtr Budget;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_INTERNAL_ANSWERLIMITS_H
