#ifndef KINGCUPHUB_HTTP_REQUESTMEMORY_H
#define KINGCUPHUB_HTTP_REQUESTMEMORY_H

/// \file
/// Decides whether a process has the memory to take a request. No I/O and no
/// clock.

#include "base/memorybudget.h"

#include <optional>

namespace kingcuphub::http {

/// Why a request is not taken.
enum class MemoryRefusal {
  /// The request would not fit into an idle process either.
  NeverFits,
  /// Other requests occupy the memory at present.
  NoRoom,
};

/// The memory of one request, from its head until nothing keeps it.
class RequestMemory {
public:
  /// Bodies up to this many bytes have a share of the memory of their own.
  static constexpr std::size_t SmallBodyBytes = 64U << 10U;

  RequestMemory() = default;
  explicit RequestMemory(base::MemoryBudgetPtr Budget)
      : Budget(std::move(Budget)) {}

  /// Reserves what the request occupies with a head of \p HeadBytes and a body
  /// of \p BodyBytes, in place of an earlier reservation, which stays if the
  /// request is refused.
  std::optional<MemoryRefusal> reserve(std::size_t HeadBytes,
                                       std::size_t BodyBytes);
  /// In bytes.
  std::size_t size() const { return this->Held.size(); }

private:
  base::MemoryBudgetPtr Budget;
  base::MemoryReservation Held;
};

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_REQUESTMEMORY_H
