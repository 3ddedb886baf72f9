#include "catalog/targettable.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::catalog {

std::string_view targetChangeName(TargetChange::Kind What) {
  switch (What) {
  case TargetChange::Kind::Added:
    return "added";
  case TargetChange::Kind::Restarted:
    return "restarted";
  case TargetChange::Kind::Leaving:
    return "leaving";
  case TargetChange::Kind::TurnedCold:
    return "turned-cold";
  case TargetChange::Kind::RemovalDeferred:
    return "lapse-doubted";
  case TargetChange::Kind::Removed:
    return "removed";
  case TargetChange::Kind::ZoneOut:
    return "zone-out";
  case TargetChange::Kind::ZoneBack:
    return "zone-back";
  }
  return "changed";
}

std::string_view toldByName(std::optional<ToldBy> By) {
  if (!By)
    return "time";
  return *By == ToldBy::Store ? "store" : "holder";
}

void TargetTable::recordChange(TargetChange::Kind What, const Target &Changed,
                               std::optional<ToldBy> By) {
  this->Changes.push_back(
      {What, Changed.Entry.Id, Changed.Entry.Lifetime, Changed.Entry.Zone, By});
  this->PublishedList.reset();
}

std::optional<base::TimePoint>
TargetTable::graceEnd(base::TimePoint Now) const {
  if (!this->LastOutage ||
      Now >= *this->LastOutage + this->Settings.RemovalGrace)
    return std::nullopt;
  return *this->LastOutage + this->Settings.RemovalGrace;
}

bool TargetTable::isOutdated(const TargetEntry &Entry) const {
  auto Found = this->LatestHeartbeats.find(Entry.Id);
  if (Found == this->LatestHeartbeats.end())
    return false;
  if (Entry.Lifetime != Found->second.Lifetime)
    return Entry.Lifetime < Found->second.Lifetime;
  return Entry.Beat <= Found->second.Beat;
}

void TargetTable::onEntry(const TargetEntry &Entry, base::TimePoint Now,
                          ToldBy By) {
  if (this->isOutdated(Entry))
    return;
  // The list of this holder may be older than the read by which the target was
  // found to be missing; compare() tells.
  if (auto Known = this->LatestHeartbeats.find(Entry.Id);
      By == ToldBy::Holder && Known != this->LatestHeartbeats.end() &&
      Known->second.Lifetime == Entry.Lifetime &&
      (Known->second.RemovedAt || this->DeferredRemovals.count(Entry.Id) != 0))
    return;
  this->LatestHeartbeats[Entry.Id] = {Entry.Lifetime, Entry.Beat, std::nullopt};
  this->DeferredRemovals.erase(Entry.Id);
  Target New;
  New.Entry = Entry;
  New.ReadAt = Now;
  New.ColdUntil = Now + Entry.ColdFor;
  if (Entry.TimeLeft)
    New.EndsAt = Now + *Entry.TimeLeft;
  auto [At, Added] = this->Current.Targets.try_emplace(Entry.Id, New);
  if (Added) {
    this->recordChange(TargetChange::Kind::Added, New, By);
    if (Entry.Leaving)
      this->recordChange(TargetChange::Kind::Leaving, New, By);
    return;
  }
  Target Old = std::exchange(At->second, New);
  bool SameLifetime = Old.Entry.Lifetime == Entry.Lifetime;
  // Within one lifetime, a target that is leaving never returns to service.
  At->second.Entry.Leaving |= SameLifetime && Old.Entry.Leaving;
  if (!At->second.EndsAt && SameLifetime)
    At->second.EndsAt = Old.EndsAt;
  this->PublishedList.reset();
  if (!SameLifetime)
    this->recordChange(TargetChange::Kind::Restarted, New, By);
  if (At->second.Entry.Leaving && (!SameLifetime || !Old.Entry.Leaving))
    this->recordChange(TargetChange::Kind::Leaving, New, By);
  if (New.ColdUntil > Now && Old.ColdUntil <= Now)
    this->recordChange(TargetChange::Kind::TurnedCold, New, By);
}

void TargetTable::onRemoved(const base::TargetId &Id, base::TimePoint Now,
                            ToldBy By) {
  auto Found = this->Current.Targets.find(Id);
  if (Found == this->Current.Targets.end())
    return;
  auto Due = this->graceEnd(Now);
  if (By == ToldBy::Holder || !Due || Found->second.Entry.Leaving) {
    this->remove(Id, Now, By);
    return;
  }
  if (!this->DeferredRemovals.try_emplace(Id, Now).second)
    return;
  this->recordChange(TargetChange::Kind::RemovalDeferred, Found->second, By);
  this->Changes.back().DueAt = Due;
}

void TargetTable::onCompleteList(const std::vector<TargetEntry> &Entries,
                                 base::TimePoint Now) {
  std::set<base::TargetId> Listed;
  for (const TargetEntry &Each : Entries) {
    Listed.insert(Each.Id);
    this->onEntry(Each, Now);
  }
  std::vector<base::TargetId> Absent;
  for (const auto &[Id, Each] : this->Current.Targets)
    if (Listed.count(Id) == 0)
      Absent.push_back(Id);
  for (const base::TargetId &Id : Absent)
    this->onRemoved(Id, Now);
}

void TargetTable::remove(const base::TargetId &Id, base::TimePoint Now,
                         std::optional<ToldBy> By) {
  this->DeferredRemovals.erase(Id);
  auto Found = this->Current.Targets.find(Id);
  if (Found == this->Current.Targets.end())
    return;
  this->LatestHeartbeats[Id].RemovedAt = Now;
  this->recordChange(TargetChange::Kind::Removed, Found->second, By);
  this->Current.Targets.erase(Found);
}

void TargetTable::compare(const std::vector<const Target *> &Listed,
                          base::TimePoint AsOf, base::TimePoint Now) {
  std::vector<base::TargetId> Absent;
  auto Next = Listed.begin();
  for (const auto &[Id, Each] : this->Current.Targets) {
    while (Next != Listed.end() && (*Next)->Entry.Id < Id)
      ++Next;
    bool IsListed = Next != Listed.end() && (*Next)->Entry.Id == Id;
    if (!IsListed && Each.ReadAt < AsOf)
      Absent.push_back(Id);
  }
  for (const base::TargetId &Id : Absent)
    this->remove(Id, Now, ToldBy::Holder);
  for (const Target *Each : Listed) {
    auto Deferred = this->DeferredRemovals.find(Each->Entry.Id);
    if (Deferred != this->DeferredRemovals.end() && Deferred->second < AsOf)
      this->DeferredRemovals.erase(Deferred);
    if (this->Current.Targets.count(Each->Entry.Id) != 0)
      continue;
    auto Known = this->LatestHeartbeats.find(Each->Entry.Id);
    bool RemovedLater =
        Known != this->LatestHeartbeats.end() &&
        (Known->second.Lifetime > Each->Entry.Lifetime ||
         (Known->second.RemovedAt && *Known->second.RemovedAt >= AsOf));
    if (!RemovedLater && !Each->Entry.Leaving)
      this->restore(*Each);
  }
}

/// Lists a target again that has been rewritten without another change.
void TargetTable::restore(const Target &Listed) {
  Target New = Listed;
  New.ColdUntil = New.ReadAt + New.Entry.ColdFor;
  if (New.Entry.TimeLeft)
    New.EndsAt = New.ReadAt + *New.Entry.TimeLeft;
  LatestHeartbeat &Known = this->LatestHeartbeats[New.Entry.Id];
  if (Known.Lifetime < New.Entry.Lifetime || Known.Beat < New.Entry.Beat)
    Known = {New.Entry.Lifetime, New.Entry.Beat, std::nullopt};
  Known.RemovedAt.reset();
  this->Current.Targets.emplace(New.Entry.Id, New);
  this->recordChange(TargetChange::Kind::Added, New, ToldBy::Holder);
}

void TargetTable::setZonesOut(std::set<base::ZoneId> Zones) {
  if (Zones == this->Current.ZonesOut)
    return;
  for (const base::ZoneId &Each : Zones)
    if (this->Current.ZonesOut.count(Each) == 0)
      this->Changes.push_back(
          {TargetChange::Kind::ZoneOut, {}, {}, Each, ToldBy::Store});
  for (const base::ZoneId &Each : this->Current.ZonesOut)
    if (Zones.count(Each) == 0)
      this->Changes.push_back(
          {TargetChange::Kind::ZoneBack, {}, {}, Each, ToldBy::Store});
  this->Current.ZonesOut = std::move(Zones);
  this->PublishedList.reset();
}

void TargetTable::tick(base::TimePoint Now) {
  std::vector<base::TargetId> Expired;
  if (!this->graceEnd(Now))
    for (const auto &[Id, Since] : this->DeferredRemovals)
      Expired.push_back(Id);
  for (const base::TargetId &Id : Expired)
    this->remove(Id, Now, std::nullopt);
  for (const auto &[Id, Each] : this->Current.Targets)
    if (Each.EndsAt && *Each.EndsAt <= Now)
      Expired.push_back(Id);
  for (const base::TargetId &Id : Expired)
    this->remove(Id, Now, std::nullopt);
}

TargetListPtr TargetTable::list() {
  if (!this->PublishedList) {
    ++this->Current.Revision;
    this->PublishedList = std::make_shared<const TargetList>(this->Current);
  }
  return this->PublishedList;
}

std::vector<TargetChange> TargetTable::takeChanges() {
  return std::exchange(this->Changes, {});
}

} // namespace kingcuphub::catalog
