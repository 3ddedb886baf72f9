#ifndef KINGCUPHUB_BASE_MEMORYBUDGET_H
#define KINGCUPHUB_BASE_MEMORYBUDGET_H

/// \file
/// The memory of a process that requests and answers may occupy, over all
/// connections. No I/O and no clock. Not thread-safe.

#include <array>
#include <cstddef>
#include <memory>

namespace kingcuphub::base {

/// What memory is held for. Each share is bounded by itself, so that one use
/// leaves the others their room.
enum class MemoryShare {
  /// Requests with large bodies.
  LargeRequests,
  /// Requests with small bodies.
  SmallRequests,
  /// Answers that are held, and bytes that callers have not taken yet.
  Answers,
};
inline constexpr std::size_t MemoryShareCount = 3;

/// The bytes of each share.
struct MemoryLimits {
  std::size_t LargeRequests = 0;
  std::size_t SmallRequests = 0;
  std::size_t Answers = 0;
};

/// Divides the bytes that a process may occupy in all: what it needs for itself
/// is subtracted first.
MemoryLimits memoryLimits(std::size_t ProcessBytes);

class MemoryBudget {
public:
  explicit MemoryBudget(const MemoryLimits &Limits);

  /// In bytes.
  std::size_t limit(MemoryShare Of) const { return this->at(Of).Limit; }
  std::size_t used(MemoryShare Of) const { return this->at(Of).Used; }
  /// Bytes that are free; 0 if the share is exhausted or overdrawn.
  std::size_t left(MemoryShare Of) const;
  bool overdrawn(MemoryShare Of) const;

private:
  friend class MemoryReservation;
  struct Account {
    std::size_t Limit = 0;
    std::size_t Used = 0;
  };

  const Account &at(MemoryShare Of) const {
    return this->Accounts[static_cast<std::size_t>(Of)];
  }
  Account &at(MemoryShare Of) {
    return this->Accounts[static_cast<std::size_t>(Of)];
  }

  std::array<Account, MemoryShareCount> Accounts;
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

/// Bytes taken from a share, given back at the end of the object. Without a
/// budget there is no bound.
class MemoryReservation {
public:
  MemoryReservation() = default;
  MemoryReservation(MemoryBudgetPtr Budget, MemoryShare From);
  MemoryReservation(MemoryReservation &&Other) noexcept;
  MemoryReservation &operator=(MemoryReservation &&Other) noexcept;
  ~MemoryReservation();

  /// Changes the reservation to \p Bytes; false and without effect if they are
  /// more than the share has left.
  bool resize(std::size_t Bytes);
  /// Records \p Bytes that are occupied already. May overdraw the share.
  void record(std::size_t Bytes);
  /// In bytes.
  std::size_t size() const { return this->Bytes; }
  MemoryShare from() const { return this->From; }

private:
  MemoryBudgetPtr Budget;
  MemoryShare From = MemoryShare::LargeRequests;
  std::size_t Bytes = 0;
};

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_MEMORYBUDGET_H
