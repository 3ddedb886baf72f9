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

double EngineTracker::sizeOf(const catalog::Engine &Kind,
                             const Item &What) const {
  auto Found = Kind.Models.find(What.Model);
  if (Found == Kind.Models.end())
    return 0;
  return What.isAdapter() ? Found->second.AdapterMb : Found->second.WeightsMb;
}

bool EngineTracker::isUsable(const catalog::Target &Target) const {
  return !Target.Entry.Leaving && !Target.EndsAt &&
         this->Targets->ZonesOut.count(Target.Entry.Zone) == 0;
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
    Engine &Entry = this->Engines[Id];
    if (Entry.Lifetime == Target.Entry.Lifetime)
      continue;
    Engine Fresh;
    Fresh.Lifetime = Target.Entry.Lifetime;
    Fresh.LateLoads = std::move(Entry.LateLoads);
    if (Entry.Open && Entry.Open->What.Kind == OrderKind::Load)
      Fresh.LateLoads.push_back({Entry.Open->What.What, Entry.Lifetime,
                                 Entry.Open->What.ExpectedRevision,
                                 Now + this->Settings.MaxOrderDelay});
    Entry = std::move(Fresh);
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
    Each.ReportAskedAt = Now;
    Due.push_back(Id);
  }
  return Due;
}

/// Treats adapters past their expected load time as held until a report says
/// otherwise.
void EngineTracker::completeArrivals(Engine &Entry, base::TimePoint Now) {
  for (auto Each = Entry.Arriving.begin(); Each != Entry.Arriving.end();) {
    if (Each->second > Now) {
      ++Each;
      continue;
    }
    addItem(Entry.State.Models, Each->first);
    Each = Entry.Arriving.erase(Each);
  }
}

void EngineTracker::applyReport(Engine &Entry, const EngineReport &Report,
                                base::TimePoint Now) {
  Entry.State = Report;
  Entry.Reported = true;
  for (auto Each = Entry.Arriving.begin(); Each != Entry.Arriving.end();) {
    bool Fetching = Report.Fetching.count(Each->first) != 0;
    Each = Fetching ? std::next(Each) : Entry.Arriving.erase(Each);
  }
  // A load that takes longer than expected is checked again soon.
  for (const Item &Each : Report.Fetching)
    Entry.Arriving.try_emplace(Each, Now + this->Settings.AdapterLoadTime);
  if (!Entry.Running || Report.Busy)
    return;
  // An engine does not report busy while it unloads an adapter in use.
  const Item &What = Entry.Running->What;
  bool Unloading = What.isAdapter() && itemsOf(Report.Models).count(What) != 0;
  if (Unloading)
    removeItem(Entry.State.Models, What);
  else
    Entry.Running.reset();
}

void EngineTracker::onReport(const base::TargetId &Id,
                             const std::optional<EngineReport> &Report,
                             base::TimePoint Now) {
  auto Found = this->Engines.find(Id);
  if (Found == this->Engines.end())
    return;
  Engine &Entry = Found->second;
  Entry.ReportPending = false;
  // A lower revision means that the report is older than the known state.
  bool Old =
      Report && Entry.Reported && Report->Revision < Entry.State.Revision;
  if (Report && !Old) {
    bool RevisionPassed =
        Entry.Open && Report->Revision > Entry.Open->What.ExpectedRevision;
    // One copy of the open order may have taken effect; all others expect a
    // revision that has passed.
    if (RevisionPassed && !Entry.Open->InFlight)
      Entry.Open.reset();
    else if (Entry.Open && !Entry.Open->InFlight)
      Entry.Open->EngineHeard |= Entry.ReportAskedAt >= Entry.Open->SentAt;
    this->applyReport(Entry, *Report, Now);
  }
  bool PollSoon =
      !Entry.Reported || Entry.Running || Entry.Open || Entry.State.Busy;
  Entry.ReportDueAt = Now + (PollSoon ? this->Settings.BusyReportInterval
                                      : this->Settings.ReportInterval);
}

std::optional<Order> EngineTracker::beginOrder(const base::TargetId &Id,
                                               OrderKind Kind, const Item &What,
                                               FencingToken Token,
                                               base::TimePoint Now) {
  auto Found = this->Engines.find(Id);
  if (Found == this->Engines.end())
    return std::nullopt;
  Engine &Entry = Found->second;
  if (!Entry.Reported || Entry.Open || Entry.Running || Entry.State.Busy)
    return std::nullopt;
  Order New{Id, Entry.Lifetime, Kind, What, Entry.State.Revision, Token};
  Entry.Open = OpenOrder{New, Now, true};
  return New;
}

void EngineTracker::withdraw(const base::TargetId &Id, const Item &Model,
                             std::string_view Reason, base::TimePoint Now) {
  if (auto Found = this->Engines.find(Id); Found != this->Engines.end())
    Found->second.Withdrawn = WithdrawnModel{Model, Reason, Now};
}

std::vector<EngineTracker::DueUnload> EngineTracker::takeDueUnloads(
    base::TimePoint Now,
    const std::function<bool(const base::TargetId &)> &Admits) {
  std::vector<DueUnload> Out;
  for (auto &[Id, Each] : this->Engines) {
    if (!Each.Withdrawn ||
        Now < Each.Withdrawn->At + this->Settings.WithdrawTime)
      continue;
    bool Admitted = !Admits || Admits(Id);
    if (Admitted)
      Out.push_back({Id, Each.Withdrawn->Model, Each.Withdrawn->Reason});
    else if (Now < Each.Withdrawn->At + this->Settings.MaxWithdrawTime)
      continue;
    Each.Withdrawn.reset();
  }
  return Out;
}

void EngineTracker::applyAccepted(Engine &Entry, const Order &Sent,
                                  base::TimePoint Now) {
  Entry.State.Revision =
      std::max(Entry.State.Revision, Sent.ExpectedRevision + 1);
  if (Sent.Kind == OrderKind::Unload) {
    removeItem(Entry.State.Models, Sent.What);
    Entry.Arriving.erase(Sent.What);
  } else if (Sent.What.isAdapter()) {
    auto Ahead = static_cast<int>(Entry.Arriving.size());
    Entry.Arriving[Sent.What] =
        Now + this->Settings.AdapterLoadTime * (Ahead + 1);
  }
  if (!Sent.What.isAdapter() || Sent.Kind == OrderKind::Unload) {
    Entry.Running = Sent;
    Entry.RunningSince = Now;
  }
  // Poll for the completion of the order.
  Entry.ReportDueAt = Now + this->Settings.BusyReportInterval;
}

/// Requires a new report before the engine is given another order.
void EngineTracker::requireReport(Engine &Entry, base::TimePoint Now) {
  Entry.Reported = false;
  Entry.ReportDueAt = Now + this->Settings.ReportLag;
}

void EngineTracker::onAnswer(const Order &Sent, OrderAnswer Answer,
                             base::TimePoint Now) {
  auto Found = this->Engines.find(Sent.Target);
  if (Found == this->Engines.end() || Found->second.Lifetime != Sent.Lifetime)
    return;
  Engine &Entry = Found->second;
  bool IsOpen = Entry.Open && Entry.Open->What.What == Sent.What &&
                Entry.Open->What.ExpectedRevision == Sent.ExpectedRevision;
  if (!IsOpen)
    return;
  if (Answer == OrderAnswer::Unknown) {
    Entry.Open->InFlight = false;
    Entry.Open->SentAt = Now;
    Entry.ReportDueAt = std::min(Entry.ReportDueAt, Now);
    if (Sent.Kind == OrderKind::Load)
      Entry.LateLoads.push_back({Sent.What, Entry.Lifetime,
                                 Sent.ExpectedRevision,
                                 Now + this->Settings.MaxOrderDelay});
    return;
  }
  Entry.Open.reset();
  switch (Answer) {
  case OrderAnswer::Accepted:
    this->applyAccepted(Entry, Sent, Now);
    return;
  case OrderAnswer::Holds:
    if (Sent.Kind == OrderKind::Load) {
      addItem(Entry.State.Models, Sent.What);
      return;
    }
    removeItem(Entry.State.Models, Sent.What);
    // An unused adapter is unloaded at once, and the engine counts the order.
    if (Sent.What.isAdapter())
      Entry.State.Revision =
          std::max(Entry.State.Revision, Sent.ExpectedRevision + 1);
    return;
  case OrderAnswer::Invalid:
    Entry.Refused[Sent.What] = Now + this->Settings.RefusalBackoff;
    this->requireReport(Entry, Now);
    return;
  default:
    this->requireReport(Entry, Now);
    return;
  }
}

std::vector<Order> EngineTracker::takeResends(FencingToken Token,
                                              base::TimePoint Now,
                                              const Admission &Admits) {
  std::vector<Order> Out;
  for (auto &[Id, Each] : this->Engines) {
    bool Due = Each.Open && !Each.Open->InFlight && Each.Open->EngineHeard &&
               Now >= Each.Open->SentAt + this->Settings.ResendInterval &&
               (!Admits || Admits(Id));
    if (!Due)
      continue;
    Each.Open->InFlight = true;
    Each.Open->EngineHeard = false;
    Each.Open->SentAt = Now;
    Each.Open->What.Token = Token;
    Out.push_back(Each.Open->What);
  }
  return Out;
}

EngineView EngineTracker::view(const base::TargetId &Id, const Engine &Entry,
                               const catalog::Target &Listed,
                               base::TimePoint Now) const {
  EngineView Out;
  Out.Target = Id;
  Out.Service = Listed.Entry.Service;
  Out.Zone = Listed.Entry.Zone;
  Out.Usable = Entry.Reported && this->isUsable(Listed);
  bool Free = Out.Usable && !Entry.Open && !Entry.Running && !Entry.Withdrawn &&
              !Entry.State.Busy;
  Out.AcceptsModelOrder = Free && Entry.Arriving.empty();
  Out.AcceptsAdapterOrder = Free && Entry.Arriving.size() < MaxArrivingAdapters;
  Out.Models = Entry.State.Models;
  Out.CachedWeights = Entry.State.CachedWeights;
  Out.Load = Entry.State.Running + Entry.State.Waiting;
  Out.Reserved = itemsOf(Entry.State.Models);
  auto Reserve = [&Out](const Item &What) {
    if (Out.Reserved.insert(What).second)
      Out.Loading.insert(What);
  };
  for (const Item &Each : Entry.State.Fetching)
    Reserve(Each);
  for (const auto &[What, ReadyAt] : Entry.Arriving)
    Reserve(What);
  if (Entry.Running && Entry.Running->Kind == OrderKind::Load)
    Reserve(Entry.Running->What);
  if (Entry.Running && Entry.Running->Kind == OrderKind::Unload)
    Out.Reserved.insert(Entry.Running->What);
  if (Entry.Open && Entry.Open->What.Kind == OrderKind::Load)
    Reserve(Entry.Open->What.What);
  if (Entry.Open && Entry.Open->What.Kind == OrderKind::Unload)
    removeItem(Out.Models, Entry.Open->What.What);
  if (Entry.Withdrawn)
    removeItem(Out.Models, Entry.Withdrawn->Model);
  for (const LateLoad &Each : Entry.LateLoads)
    if (Now < Each.Until && (Each.Lifetime != Entry.Lifetime ||
                             Each.ExpectedRevision == Entry.State.Revision))
      Out.Reserved.insert(Each.What);
  for (const auto &[What, Until] : Entry.Refused)
    if (Now < Until)
      Out.Reserved.insert(What);
  auto FreesModel = [](const Order &Each) {
    return Each.Kind == OrderKind::Unload && !Each.What.isAdapter();
  };
  Out.FreesMemory = Entry.Withdrawn.has_value() ||
                    (Entry.Running && FreesModel(*Entry.Running)) ||
                    (Entry.Open && FreesModel(Entry.Open->What));
  const catalog::Engine *Kind = this->engineKind(Listed.Entry.Service);
  for (const Item &Each : Out.Reserved) {
    Out.ReservedMb += Kind == nullptr ? 0 : this->sizeOf(*Kind, Each);
    Out.ReservedAdapters += Each.isAdapter() ? 1 : 0;
  }
  return Out;
}

std::vector<EngineView> EngineTracker::views(base::TimePoint Now,
                                             const Admission &Admits) const {
  std::vector<EngineView> Out;
  for (const auto &[Id, Each] : this->Engines) {
    const catalog::Target *Listed = this->target(Id);
    if (Listed == nullptr)
      continue;
    Out.push_back(this->view(Id, Each, *Listed, Now));
    if (Admits && !Admits(Id))
      Out.back().AcceptsModelOrder = Out.back().AcceptsAdapterOrder = false;
  }
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
    if (Each.Withdrawn)
      removeItem(Models, Each.Withdrawn->Model);
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
