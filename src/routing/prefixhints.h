#ifndef KINGCUPHUB_ROUTING_PREFIXHINTS_H
#define KINGCUPHUB_ROUTING_PREFIXHINTS_H

/// \file
/// Tracks which targets probably have a prompt's prefix in their cache. Cache
/// events arrive late and some are lost, so a hint may influence a choice but
/// never decides it alone. Does no I/O and reads no clock.

#include "base/ids.h"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace kingcuphub::routing {

/// Hashes the first bytes of a prompt; hints and cache events identify a prefix
/// by this hash.
std::uint64_t prefixHash(std::string_view Prompt);

class PrefixHints {
public:
  /// \p Capacity is the number of prefixes remembered per target.
  explicit PrefixHints(std::size_t Capacity) : Capacity(Capacity) {}

  void stored(const base::TargetId &Target, std::uint64_t Prefix);
  void evicted(const base::TargetId &Target, std::uint64_t Prefix);
  /// Records that events were missed: drops the older half of the target's
  /// prefixes.
  void eventsMissed(const base::TargetId &Target);
  void forget(const base::TargetId &Target);
  bool holds(const base::TargetId &Target, std::uint64_t Prefix) const;

private:
  struct Cache {
    /// Most recently stored first.
    std::list<std::uint64_t> Order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        Positions;
  };

  void shrink(Cache &Each, std::size_t Size) const;

  std::size_t Capacity;
  std::unordered_map<base::TargetId, Cache> Caches;
};

} // namespace kingcuphub::routing

#endif // KINGCUPHUB_ROUTING_PREFIXHINTS_H
