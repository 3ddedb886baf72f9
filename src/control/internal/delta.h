#ifndef KINGCUPHUB_CONTROL_INTERNAL_DELTA_H
#define KINGCUPHUB_CONTROL_INTERNAL_DELTA_H

/// \file
/// Synchronizes a map from one instance to many others by deltas.
///
/// Load pattern: adapters are loaded and unloaded many times a second on tens
/// of targets while tens of instances follow over slow links. Each change is
/// sent to each of them once; a receiver that missed some gets all changes
/// since its revision. No I/O and no clock.

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace kingcuphub::control {

/// The changes after revision Base up to Revision. A delta with Base 0 has all
/// values.
template <typename Key, typename Value> struct Delta {
  std::uint64_t Base = 0;
  std::uint64_t Revision = 0;
  /// New and changed values; none for removed ones.
  std::vector<std::pair<Key, std::optional<Value>>> Changes;
};

/// The sending side: values with the revision in which each last changed.
template <typename Key, typename Value> class DeltaSource {
public:
  using Values = std::map<Key, Value>;

  /// Removes all values. Revisions keep rising, so that none is used twice.
  void clear() {
    this->Entries.clear();
    this->Oldest = ++this->Newest;
  }

  /// Replaces all values; returns whether any of them changed.
  bool update(const Values &All) {
    std::uint64_t Next = this->Newest + 1;
    bool Changed = false;
    for (const auto &[Id, New] : All) {
      Entry &Stored = this->Entries[Id];
      if (Stored.Content == New)
        continue;
      Stored = {New, Next};
      Changed = true;
    }
    for (auto &[Id, Stored] : this->Entries) {
      if (!Stored.Content || All.count(Id) != 0)
        continue;
      Stored = {std::nullopt, Next};
      Changed = true;
    }
    if (Changed)
      this->Newest = Next;
    return Changed;
  }

  std::uint64_t revision() const { return this->Newest; }

  /// The delta after \p Base, or all values if \p Base is not a revision since
  /// the last clear().
  Delta<Key, Value> since(std::uint64_t Base) const {
    bool Known = Base >= this->Oldest && Base <= this->Newest;
    Delta<Key, Value> Out{Known ? Base : 0, this->Newest, {}};
    for (const auto &[Id, Stored] : this->Entries) {
      bool Listed =
          Known ? Stored.ChangedIn > Base : Stored.Content.has_value();
      if (Listed)
        Out.Changes.emplace_back(Id, Stored.Content);
    }
    return Out;
  }

private:
  struct Entry {
    /// None if the value was removed.
    std::optional<Value> Content;
    std::uint64_t ChangedIn = 0;
  };

  std::map<Key, Entry> Entries;
  std::uint64_t Oldest = 1;
  std::uint64_t Newest = 1;
};

/// The receiving side.
template <typename Key, typename Value> class DeltaReceiver {
public:
  /// Handles that the sender has changed: the next delta must have all values.
  void forget() { this->Revision = 0; }

  /// Applies a delta; returns false if it builds on a missed one or is older
  /// than the values.
  bool apply(const Delta<Key, Value> &Incoming) {
    if (Incoming.Base > this->Revision || Incoming.Revision < this->Revision)
      return false;
    if (Incoming.Base == 0)
      this->Values.clear();
    for (const auto &[Id, New] : Incoming.Changes) {
      if (New)
        this->Values.insert_or_assign(Id, *New);
      else
        this->Values.erase(Id);
    }
    this->Revision = Incoming.Revision;
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
