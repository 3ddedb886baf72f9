#ifndef KINGCUPHUB_CONTROL_INTERNAL_DELTA_H
#define KINGCUPHUB_CONTROL_INTERNAL_DELTA_H

/// \file
/// What one instance tells many others, by differences.
///
/// Load pattern: adapters come and go many times a second on tens of targets
/// while tens of instances on slow links follow. Each change is sent once to
/// each, and one that missed some gets what changed since. No I/O and no clock.

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace kingcuphub::control {

/// What changed after \p Base up to \p Revision; a base of 0 means everything.
template <typename Key, typename Value> struct Difference {
  std::uint64_t Base = 0;
  std::uint64_t Revision = 0;
  /// Values that are new or other than before; none for those that are gone.
  std::vector<std::pair<Key, std::optional<Value>>> Changes;
};

/// The side that tells: values with the revision in which each last changed.
template <typename Key, typename Value> class ChangeBook {
public:
  using Values = std::map<Key, Value>;

  /// Forgets everything; revisions go on, so that no earlier one is met again.
  void clear() {
    this->Entries.clear();
    this->Oldest = ++this->Newest;
  }

  /// Takes over all values; says whether any of them is news.
  bool update(const Values &All) {
    std::uint64_t Next = this->Newest + 1;
    bool News = false;
    for (const auto &[Id, New] : All) {
      Entry &Of = this->Entries[Id];
      if (Of.Content == New)
        continue;
      Of = {New, Next};
      News = true;
    }
    for (auto &[Id, Of] : this->Entries) {
      if (!Of.Content || All.count(Id) != 0)
        continue;
      Of = {std::nullopt, Next};
      News = true;
    }
    if (News)
      this->Newest = Next;
    return News;
  }

  std::uint64_t revision() const { return this->Newest; }

  /// Everything where \p Base is not one of this book's revisions.
  Difference<Key, Value> since(std::uint64_t Base) const {
    bool Known = Base >= this->Oldest && Base <= this->Newest;
    Difference<Key, Value> Out{Known ? Base : 0, this->Newest, {}};
    for (const auto &[Id, Of] : this->Entries) {
      bool Listed = Known ? Of.ChangedIn > Base : Of.Content.has_value();
      if (Listed)
        Out.Changes.emplace_back(Id, Of.Content);
    }
    return Out;
  }

private:
  struct Entry {
    /// None once it is gone.
    std::optional<Value> Content;
    std::uint64_t ChangedIn = 0;
  };

  std::map<Key, Entry> Entries;
  std::uint64_t Oldest = 1;
  std::uint64_t Newest = 1;
};

/// The side that is told.
template <typename Key, typename Value> class ChangeReader {
public:
  /// Whoever tells has changed: the next difference has to be everything.
  void forget() { this->Revision = 0; }

  /// Takes a difference in; false if it builds on one that was missed.
  bool apply(const Difference<Key, Value> &News) {
    if (News.Base > this->Revision || News.Revision < this->Revision)
      return false;
    if (News.Base == 0)
      this->Values.clear();
    for (const auto &[Id, New] : News.Changes) {
      if (New)
        this->Values.insert_or_assign(Id, *New);
      else
        this->Values.erase(Id);
    }
    this->Revision = News.Revision;
    return true;
  }

  std::uint64_t revision() const { return this->Revision; }
  const std::map<Key, Value> &values() const { return this->Values; }

private:
  std::map<Key, Value> Values;
  std::uint64_t Revision = 0;
};

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_DELTA_H
