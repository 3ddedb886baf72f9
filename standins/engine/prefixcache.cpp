#include "prefixcache.h"

#include "base/hashing.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace kingcuphub::standin {

namespace {

constexpr std::size_t PrefixBytes = 256;
constexpr std::size_t KeptEvents = 10000;

std::string hexOf(std::uint64_t Value) {
  std::array<char, 17> Out{};
  std::snprintf(Out.data(), Out.size(), "%016" PRIx64, Value);
  return Out.data();
}

} // namespace

PrefixCache::PrefixCache(const EngineSettings &Settings) : Settings(Settings) {}

void PrefixCache::store(base::TimePoint Now, const std::string &Model,
                        const std::string &Prompt) {
  std::string Prefix =
      hexOf(base::stableHash(Model + "\n" + Prompt.substr(0, PrefixBytes)));
  auto Found = std::find(this->Prefixes.begin(), this->Prefixes.end(), Prefix);
  if (Found != this->Prefixes.end()) {
    this->Prefixes.splice(this->Prefixes.begin(), this->Prefixes, Found);
    return;
  }
  this->Prefixes.push_front(Prefix);
  this->publish(Now, "stored", Prefix);
  auto Room = static_cast<std::size_t>(this->Settings.CachePrefixes);
  if (this->Prefixes.size() <= Room)
    return;
  this->publish(Now, "evicted", this->Prefixes.back());
  this->Prefixes.pop_back();
}

void PrefixCache::publish(base::TimePoint Now, const char *Kind,
                          const std::string &Prefix) {
  std::uint64_t Sequence = this->NextSequence++;
  auto Gap = static_cast<std::uint64_t>(this->Settings.CacheEventGap);
  if (Gap > 0 && Sequence % Gap == Gap - 1)
    return;
  this->Events.push_back({Sequence, Now, Kind, Prefix});
  if (this->Events.size() > KeptEvents)
    this->Events.pop_front();
}

nlohmann::json PrefixCache::events(base::TimePoint Now,
                                   std::uint64_t From) const {
  nlohmann::json Out = {{"events", nlohmann::json::array()}};
  std::uint64_t Next = From;
  for (const Event &Each : this->Events) {
    if (Each.At + this->Settings.CacheEventLag > Now)
      break;
    if (Each.Sequence < From)
      continue;
    Out["events"].push_back({{"sequence", Each.Sequence},
                             {"kind", Each.Kind},
                             {"prefix", Each.Prefix}});
    Next = Each.Sequence + 1;
  }
  Out["next"] = Next;
  return Out;
}

} // namespace kingcuphub::standin
