#include "residency/enginetracker.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::residency {

namespace {

/// Adapter loads in progress on one engine at a time.
constexpr std::size_t MaxArrivingAdapters = 4;

void addItem(catalog::HeldModels &To, const Item &What) {
  if (!What.isAdapter())
    To.try_emplace(What.Model);
  else if (auto Found = To.find(What.Model); Found != To.end())
    Found->second.Adapters.insert(What.Adapter);
}

void removeItem(catalog::HeldModels &From, const Item &What) {
  if (!What.isAdapter())
    From.erase(What.Model);
  else if (auto Found = From.find(What.Model); Found != From.end())
    Found->second.Adapters.erase(What.Adapter);
}

std::set<Item> itemsOf(const catalog::HeldModels &Models) {
  std::set<Item> Out;
  for (const auto &[Model, Held] : Models) {
    Out.insert({Model, {}});
    for (const base::AdapterId &Each : Held.Adapters)
      Out.insert({Model, Each});
  }
  return Out;
}

} // namespace

const catalog::Engine *
EngineTracker::engineKind(const catalog::ServiceId &Id) const {
  const catalog::Service *Service =
      this->Catalog ? this->Catalog->service(Id) : nullptr;
  return Service != nullptr && Service->Engine ? &*Service->Engine : nullptr;
}

double EngineTracker::sizeOf(const catalog::Engine &Of,
                             const Item &What) const {
  auto Found = Of.Models.find(What.Model);
  if (Found == Of.Models.end())
    return 0;
  return What.isAdapter() ? Found->second.AdapterMb : Found->second.WeightsMb;
}

bool EngineTracker::isUsable(const catalog::Target &Of) const {
  return !Of.Entry.Leaving && !Of.EndsAt &&
         this->Targets->ZonesOut.count(Of.Entry.Zone) == 0;
}

const catalog::Target *EngineTracker::target(const base::TargetId &Id) const {
  if (!this->Targets)
    return nullptr;
  auto Found = this->Targets->Targets.find(Id);
  return Found == this->Targets->Targets.end() ? nullptr : &Found->second;
}

void EngineTracker::setCatalog(catalog::CatalogPtr New, base::TimePoint Now) {
  this->Catalog = std::move(New);
  if (this->Targets)
    this->setTargets(catalog::TargetListPtr(this->Targets), Now);
}

void EngineTracker::setTargets(const catalog::TargetListPtr &New,
                               base::TimePoint Now) {
  this->Targets = New;
  for (auto Each = this->Engines.begin(); Each != this->Engines.end();)
    Each = New->Targets.count(Each->first) == 0 ? this->Engines.erase(Each)
                                                : std::next(Each);
  for (const auto &[Id, Target] : New->Targets) {
    if (this->engineKind(Target.Entry.Service) == nullptr)
      continue;
    Engine &Of = this->Engines[Id];
    if (Of.Lifetime == Target.Entry.Lifetime)
      continue;
    Engine Fresh;
    Fresh.Lifetime = Target.Entry.Lifetime;
    Fresh.LateLoads = std::move(Of.LateLoads);
    if (Of.Open && Of.Open->What.Kind == OrderKind::Load)
      Fresh.LateLoads.push_back({Of.Open->What.What, Of.Lifetime,
                                 Of.Open->What.ExpectedRevision,
                                 Now + this->Settings.MaxOrderDelay});
    Of = std::move(Fresh);
  }
}

void EngineTracker::reset() {
  for (auto &[Id, Each] : this->Engines) {
    Engine Fresh;
    Fresh.Lifetime = Each.Lifetime;
    Each = std::move(Fresh);
  }
}

std::vector<base::TargetId> EngineTracker::takeDueReports(base::TimePoint Now) {
  std::vector<base::TargetId> Due;
  for (auto &[Id, Each] : this->Engines) {
    completeArrivals(Each, Now);
    if (Each.ReportPending || Now < Each.ReportDueAt)
      continue;
    Each.ReportPending = true;
    Due.push_back(Id);
  }
  return Due;
}

/// Treats adapters past their expected load time as held until a report says
/// otherwise.
void EngineTracker::completeArrivals(Engine &Of, base::TimePoint Now) {
  for (auto Each = Of.Arriving.begin(); Each != Of.Arriving.end();) {
    if (Each->second > Now) {
      ++Each;
      continue;
    }
    addItem(Of.State.Models, Each->first);
    Each = Of.Arriving.erase(Each);
  }
}

void EngineTracker::applyReport(Engine &Of, const EngineReport &Report,
                                base::TimePoint Now) {
  Of.State = Report;
  Of.Reported = true;
  for (auto Each = Of.Arriving.begin(); Each != Of.Arriving.end();) {
    bool Fetching = Report.Fetching.count(Each->first) != 0;
    Each = Fetching ? std::next(Each) : Of.Arriving.erase(Each);
  }
  // A load that takes longer than expected is checked again soon.
  for (const Item &Each : Report.Fetching)
    Of.Arriving.try_emplace(Each, Now + this->Settings.AdapterLoadTime);
  if (!Of.Running || Report.Busy)
    return;
  // An engine does not report busy while it unloads an adapter in use.
  const Item &What = Of.Running->What;
  bool Unloading = What.isAdapter() && itemsOf(Report.Models).count(What) != 0;
  if (Unloading)
    removeItem(Of.State.Models, What);
  else
    Of.Running.reset();
}

void EngineTracker::onReport(const base::TargetId &Id,
                             const std::optional<EngineReport> &Report,
                             base::TimePoint Now) {
  auto Found = this->Engines.find(Id);
  if (Found == this->Engines.end())
    return;
  Engine &Of = Found->second;
  Of.ReportPending = false;
  // A lower revision means that the report is older than the known state.
  bool Old = Report && Of.Reported && Report->Revision < Of.State.Revision;
  if (Report && !Old) {
    bool RevisionPassed =
        Of.Open && Report->Revision > Of.Open->What.ExpectedRevision;
    // One copy of the open order may have taken effect; all others expect a
    // revision that has passed.
    if (RevisionPassed && !Of.Open->InFlight)
      Of.Open.reset();
    this->applyReport(Of, *Report, Now);
  }
  bool PollSoon = !Of.Reported || Of.Running || Of.Open || Of.State.Busy;
  Of.ReportDueAt = Now + (PollSoon ? this->Settings.BusyReportInterval
                                   : this->Settings.ReportInterval);
}

std::optional<Order> EngineTracker::beginOrder(const base::TargetId &Id,
                                               OrderKind Kind, const Item &What,
                                               FencingToken Token,
                                               base::TimePoint Now) {
  auto Found = this->Engines.find(Id);
  if (Found == this->Engines.end())
    return std::nullopt;
  Engine &Of = Found->second;
  if (!Of.Reported || Of.Open || Of.Running || Of.State.Busy)
    return std::nullopt;
  Order New{Id, Of.Lifetime, Kind, What, Of.State.Revision, Token};
  Of.Open = OpenOrder{New, Now, true};
  return New;
}

void EngineTracker::applyAccepted(Engine &Of, const Order &Sent,
                                  base::TimePoint Now) {
  Of.State.Revision = std::max(Of.State.Revision, Sent.ExpectedRevision + 1);
  if (Sent.Kind == OrderKind::Unload) {
    removeItem(Of.State.Models, Sent.What);
    Of.Arriving.erase(Sent.What);
  } else if (Sent.What.isAdapter()) {
    auto Ahead = static_cast<int>(Of.Arriving.size());
    Of.Arriving[Sent.What] = Now + this->Settings.AdapterLoadTime * (Ahead + 1);
  }
  if (!Sent.What.isAdapter() || Sent.Kind == OrderKind::Unload) {
    Of.Running = Sent;
    Of.RunningSince = Now;
  }
  // Poll for the completion of the order.
  Of.ReportDueAt = Now + this->Settings.BusyReportInterval;
}

/// Requires a new report before the engine is given another order.
void EngineTracker::requireReport(Engine &Of, base::TimePoint Now) {
  Of.Reported = false;
  Of.ReportDueAt = Now + this->Settings.ReportLag;
}

void EngineTracker::onAnswer(const Order &Sent, OrderAnswer Answer,
                             base::TimePoint Now) {
  auto Found = this->Engines.find(Sent.Target);
  if (Found == this->Engines.end() || Found->second.Lifetime != Sent.Lifetime)
    return;
  Engine &Of = Found->second;
  bool IsOpen = Of.Open && Of.Open->What.What == Sent.What &&
                Of.Open->What.ExpectedRevision == Sent.ExpectedRevision;
  if (!IsOpen)
    return;
  if (Answer == OrderAnswer::Unknown) {
    Of.Open->InFlight = false;
    Of.Open->SentAt = Now;
    if (Sent.Kind == OrderKind::Load)
      Of.LateLoads.push_back({Sent.What, Of.Lifetime, Sent.ExpectedRevision,
                              Now + this->Settings.MaxOrderDelay});
    return;
  }
  Of.Open.reset();
  switch (Answer) {
  case OrderAnswer::Accepted:
    this->applyAccepted(Of, Sent, Now);
    return;
  case OrderAnswer::Holds:
    if (Sent.Kind == OrderKind::Load) {
      addItem(Of.State.Models, Sent.What);
      return;
    }
    removeItem(Of.State.Models, Sent.What);
    // An unused adapter is unloaded at once, and the engine counts the order.
    if (Sent.What.isAdapter())
      Of.State.Revision =
          std::max(Of.State.Revision, Sent.ExpectedRevision + 1);
    return;
  case OrderAnswer::Invalid:
    Of.Refused[Sent.What] = Now + this->Settings.RefusalBackoff;
    this->requireReport(Of, Now);
    return;
  default:
    this->requireReport(Of, Now);
    return;
  }
}

std::vector<Order> EngineTracker::takeResends(FencingToken Token,
                                              base::TimePoint Now) {
  std::vector<Order> Out;
  for (auto &[Id, Each] : this->Engines) {
    if (!Each.Open || Each.Open->InFlight ||
        Now < Each.Open->SentAt + this->Settings.ResendInterval)
      continue;
    Each.Open->InFlight = true;
    Each.Open->SentAt = Now;
    Each.Open->What.Token = Token;
    Out.push_back(Each.Open->What);
  }
  return Out;
}

EngineView EngineTracker::view(const base::TargetId &Id, const Engine &Of,
                               const catalog::Target &Listed,
                               base::TimePoint Now) const {
  EngineView Out;
  Out.Target = Id;
  Out.Service = Listed.Entry.Service;
  Out.Zone = Listed.Entry.Zone;
  Out.Usable = Of.Reported && this->isUsable(Listed);
  bool Free = Out.Usable && !Of.Open && !Of.Running && !Of.State.Busy;
  Out.AcceptsModelOrder = Free && Of.Arriving.empty();
  Out.AcceptsAdapterOrder = Free && Of.Arriving.size() < MaxArrivingAdapters;
  Out.Models = Of.State.Models;
  Out.CachedWeights = Of.State.CachedWeights;
  Out.Load = Of.State.Running + Of.State.Waiting;
  Out.Reserved = itemsOf(Of.State.Models);
  auto Reserve = [&Out](const Item &What) {
    if (Out.Reserved.insert(What).second)
      Out.Loading.insert(What);
  };
  for (const Item &Each : Of.State.Fetching)
    Reserve(Each);
  for (const auto &[What, ReadyAt] : Of.Arriving)
    Reserve(What);
  if (Of.Running && Of.Running->Kind == OrderKind::Load)
    Reserve(Of.Running->What);
  if (Of.Running && Of.Running->Kind == OrderKind::Unload)
    Out.Reserved.insert(Of.Running->What);
  if (Of.Open && Of.Open->What.Kind == OrderKind::Load)
    Reserve(Of.Open->What.What);
  if (Of.Open && Of.Open->What.Kind == OrderKind::Unload)
    removeItem(Out.Models, Of.Open->What.What);
  for (const LateLoad &Each : Of.LateLoads)
    if (Now < Each.Until && (Each.Lifetime != Of.Lifetime ||
                             Each.ExpectedRevision == Of.State.Revision))
      Out.Reserved.insert(Each.What);
  for (const auto &[What, Until] : Of.Refused)
    if (Now < Until)
      Out.Reserved.insert(What);
  auto FreesModel = [](const Order &Each) {
    return Each.Kind == OrderKind::Unload && !Each.What.isAdapter();
  };
  Out.FreesMemory = (Of.Running && FreesModel(*Of.Running)) ||
                    (Of.Open && FreesModel(Of.Open->What));
  const catalog::Engine *Kind = this->engineKind(Listed.Entry.Service);
  for (const Item &Each : Out.Reserved) {
    Out.ReservedMb += Kind == nullptr ? 0 : this->sizeOf(*Kind, Each);
    Out.ReservedAdapters += Each.isAdapter() ? 1 : 0;
  }
  return Out;
}

std::vector<EngineView> EngineTracker::views(base::TimePoint Now) const {
  std::vector<EngineView> Out;
  for (const auto &[Id, Each] : this->Engines)
    if (const catalog::Target *Listed = this->target(Id))
      Out.push_back(this->view(Id, Each, *Listed, Now));
  return Out;
}

catalog::HeldStates EngineTracker::held(base::TimePoint Now) const {
  catalog::HeldStates Out;
  for (const auto &[Id, Each] : this->Engines) {
    if (!Each.Reported)
      continue;
    catalog::HeldModels Models = Each.State.Models;
    for (const auto &[What, ReadyAt] : Each.Arriving)
      if (ReadyAt <= Now)
        addItem(Models, What);
    if (Each.Open && Each.Open->What.Kind == OrderKind::Unload)
      removeItem(Models, Each.Open->What.What);
    Out[Id] = {Each.Lifetime, std::move(Models)};
  }
  return Out;
}

std::map<std::pair<catalog::ServiceId, base::ModelId>, base::TimePoint>
EngineTracker::loadingModels(base::TimePoint Now) const {
  std::map<std::pair<catalog::ServiceId, base::ModelId>, base::TimePoint> Out;
  for (const auto &[Id, Each] : this->Engines) {
    const catalog::Target *Listed = this->target(Id);
    if (!Each.Running || Each.Running->Kind != OrderKind::Load ||
        Each.Running->What.isAdapter() || Listed == nullptr)
      continue;
    const base::ModelId &Model = Each.Running->What.Model;
    const catalog::Engine *Kind = this->engineKind(Listed->Entry.Service);
    auto Known = Kind == nullptr ? decltype(Kind->Models.end())()
                                 : Kind->Models.find(Model);
    if (Kind == nullptr || Known == Kind->Models.end())
      continue;
    bool Cached = Each.State.CachedWeights.count(Model) != 0;
    auto Takes = Cached ? Known->second.DiskLoad : Known->second.StoreLoad;
    // A load past its estimate is expected by the next report.
    base::TimePoint At =
        std::max(Each.RunningSince + Takes,
                 Now + std::chrono::duration_cast<base::Duration>(
                           this->Settings.BusyReportInterval));
    auto [Entry, New] = Out.try_emplace({Listed->Entry.Service, Model}, At);
    if (!New)
      Entry->second = std::min(Entry->second, At);
  }
  return Out;
}

std::optional<base::TimePoint>
EngineTracker::nextAdapterArrival(base::TimePoint Now) const {
  std::optional<base::TimePoint> First;
  for (const auto &[Id, Each] : this->Engines)
    for (const auto &[What, ReadyAt] : Each.Arriving)
      if (ReadyAt > Now && (!First || ReadyAt < *First))
        First = ReadyAt;
  return First;
}

} // namespace kingcuphub::residency
