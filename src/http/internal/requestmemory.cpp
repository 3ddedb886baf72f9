#include "http/requestmemory.h"

#include "http/forwardclient.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::http {

namespace {

/// What a request occupies while it is sent to a target.
std::size_t occupied(std::size_t HeadBytes, std::size_t BodyBytes) {
  return 2 * HeadBytes + BodyBytes + std::min(BodyBytes, MaxCopiedBodyBytes);
}

} // namespace

std::optional<MemoryRefusal> RequestMemory::reserve(std::size_t HeadBytes,
                                                    std::size_t BodyBytes) {
  if (!this->Budget)
    return std::nullopt;
  using base::MemoryShare;
  std::size_t Needed = occupied(HeadBytes, BodyBytes);
  // The earlier reservation counts as free only within its own share.
  auto TakeFrom = [this, Needed](MemoryShare Share) {
    if (this->Held.from() == Share && this->Held.size() > 0)
      return this->Held.resize(Needed);
    base::MemoryReservation New(this->Budget, Share);
    if (!New.resize(Needed))
      return false;
    this->Held = std::move(New);
    return true;
  };
  if (BodyBytes <= SmallBodyBytes && TakeFrom(MemoryShare::SmallRequests))
    return std::nullopt;
  if (TakeFrom(MemoryShare::LargeRequests))
    return std::nullopt;
  return Needed > this->Budget->limit(MemoryShare::LargeRequests)
             ? MemoryRefusal::NeverFits
             : MemoryRefusal::NoRoom;
}

} // namespace kingcuphub::http
