#ifndef KINGCUPHUB_STANDINS_ENGINE_PREFIXCACHE_H
#define KINGCUPHUB_STANDINS_ENGINE_PREFIXCACHE_H

/// \file
/// The cache of prompt prefixes and the events that tell of it, late and with
/// gaps.

#include "base/clock.h"
#include "enginesettings.h"

#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcuphub::standin {

class PrefixCache {
public:
  explicit PrefixCache(const EngineSettings &Settings);

  /// Stores the prompt's prefix, evicting the least recently used.
  void store(base::TimePoint Now, const std::string &Model,
             const std::string &Prompt);
  /// The events from \p From on that are due to be seen.
  nlohmann::json events(base::TimePoint Now, std::uint64_t From) const;

private:
  struct Event {
    std::uint64_t Sequence = 0;
    base::TimePoint At;
    const char *Kind = "";
    std::string Prefix;
  };

  void publish(base::TimePoint Now, const char *Kind,
               const std::string &Prefix);

  const EngineSettings &Settings;
  std::list<std::string> Prefixes;
  std::deque<Event> Events;
  std::uint64_t NextSequence = 0;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_ENGINE_PREFIXCACHE_H
