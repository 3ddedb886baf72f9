#include "catalog/targettable.h"

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

void TargetTable::recordChange(TargetChange::Kind What, const Target &Changed) {
  this->Changes.push_back(
      {What, Changed.Entry.Id, Changed.Entry.Lifetime, Changed.Entry.Zone});
  this->PublishedList.reset();
}

void TargetTable::onOutage(base::TimePoint Now) { this->LastOutage = Now; }

bool TargetTable::isOutdated(const TargetEntry &Entry) const {
  auto Found = this->LatestHeartbeats.find(Entry.Id);
  if (Found == this->LatestHeartbeats.end())
    return false;
  if (Entry.Lifetime != Found->second.Lifetime)
    return Entry.Lifetime < Found->second.Lifetime;
  return Entry.Beat <= Found->second.Beat;
}

void TargetTable::onEntry(const TargetEntry &Entry, base::TimePoint Now) {
  if (this->isOutdated(Entry))
    return;
  this->LatestHeartbeats[Entry.Id] = {Entry.Lifetime, Entry.Beat};
  this->DeferredRemovals.erase(Entry.Id);
  Target New;
  New.Entry = Entry;
  New.ReadAt = Now;
  New.ColdUntil = Now + Entry.ColdFor;
  if (Entry.TimeLeft)
    New.EndsAt = Now + *Entry.TimeLeft;
  auto [At, Added] = this->Current.Targets.try_emplace(Entry.Id, New);
  if (Added) {
    this->recordChange(TargetChange::Kind::Added, New);
    if (Entry.Leaving)
      this->recordChange(TargetChange::Kind::Leaving, New);
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
    this->recordChange(TargetChange::Kind::Restarted, New);
  if (At->second.Entry.Leaving && (!SameLifetime || !Old.Entry.Leaving))
    this->recordChange(TargetChange::Kind::Leaving, New);
  if (New.ColdUntil > Now && Old.ColdUntil <= Now)
    this->recordChange(TargetChange::Kind::TurnedCold, New);
}

void TargetTable::onRemoved(const base::TargetId &Id, base::TimePoint Now) {
  auto Found = this->Current.Targets.find(Id);
  if (Found == this->Current.Targets.end())
    return;
  bool DuringGrace =
      this->LastOutage && Now < *this->LastOutage + this->Settings.RemovalGrace;
  if (!DuringGrace || Found->second.Entry.Leaving) {
    this->remove(Id);
    return;
  }
  auto [At, New] = this->DeferredRemovals.try_emplace(
      Id, *this->LastOutage + this->Settings.RemovalGrace);
  if (New)
    this->recordChange(TargetChange::Kind::RemovalDeferred, Found->second);
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

void TargetTable::remove(const base::TargetId &Id) {
  this->DeferredRemovals.erase(Id);
  auto Found = this->Current.Targets.find(Id);
  if (Found == this->Current.Targets.end())
    return;
  this->recordChange(TargetChange::Kind::Removed, Found->second);
  this->Current.Targets.erase(Found);
}

void TargetTable::setZonesOut(std::set<base::ZoneId> Zones) {
  if (Zones == this->Current.ZonesOut)
    return;
  for (const base::ZoneId &Each : Zones)
    if (this->Current.ZonesOut.count(Each) == 0)
      this->Changes.push_back({TargetChange::Kind::ZoneOut, {}, {}, Each});
  for (const base::ZoneId &Each : this->Current.ZonesOut)
    if (Zones.count(Each) == 0)
      this->Changes.push_back({TargetChange::Kind::ZoneBack, {}, {}, Each});
  this->Current.ZonesOut = std::move(Zones);
  this->PublishedList.reset();
}

void TargetTable::tick(base::TimePoint Now) {
  std::vector<base::TargetId> Expired;
  for (const auto &[Id, Until] : this->DeferredRemovals)
    if (Now >= Until)
      Expired.push_back(Id);
  for (const base::TargetId &Id : Expired)
    this->remove(Id);
  for (const auto &[Id, Each] : this->Current.Targets)
    if (Each.EndsAt && *Each.EndsAt <= Now)
      Expired.push_back(Id);
  for (const base::TargetId &Id : Expired)
    this->remove(Id);
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
