#include "routing/prefixhints.h"

#include "base/hashing.h"

namespace kingcuphub::routing {

namespace {

constexpr std::size_t PrefixBytes = 256;

} // namespace

std::uint64_t prefixHash(std::string_view Prompt) {
  return base::stableHash(Prompt.substr(0, PrefixBytes));
}

void PrefixHints::stored(const base::TargetId &Target, std::uint64_t Prefix) {
  Cache &Each = this->Caches[Target];
  if (auto Found = Each.Positions.find(Prefix); Found != Each.Positions.end()) {
    Each.Order.splice(Each.Order.begin(), Each.Order, Found->second);
    return;
  }
  Each.Order.push_front(Prefix);
  Each.Positions[Prefix] = Each.Order.begin();
  this->shrink(Each, this->Capacity);
}

void PrefixHints::evicted(const base::TargetId &Target, std::uint64_t Prefix) {
  auto Cached = this->Caches.find(Target);
  if (Cached == this->Caches.end())
    return;
  Cache &Each = Cached->second;
  if (auto Found = Each.Positions.find(Prefix); Found != Each.Positions.end()) {
    Each.Order.erase(Found->second);
    Each.Positions.erase(Found);
  }
}

void PrefixHints::eventsMissed(const base::TargetId &Target) {
  if (auto Cached = this->Caches.find(Target); Cached != this->Caches.end())
    this->shrink(Cached->second, Cached->second.Order.size() / 2);
}

void PrefixHints::forget(const base::TargetId &Target) {
  this->Caches.erase(Target);
}

bool PrefixHints::holds(const base::TargetId &Target,
                        std::uint64_t Prefix) const {
  auto Cached = this->Caches.find(Target);
  return Cached != this->Caches.end() &&
         Cached->second.Positions.count(Prefix) != 0;
}

void PrefixHints::shrink(Cache &Each, std::size_t Size) const {
  while (Each.Order.size() > Size) {
    Each.Positions.erase(Each.Order.back());
    Each.Order.pop_back();
  }
}

} // namespace kingcuphub::routing
