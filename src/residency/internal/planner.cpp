#include "residency/planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace kingcuphub::residency {

namespace {

constexpr std::string_view ReasonAwaited = "callers-wait";
constexpr std::string_view ReasonSecondCopy = "single-copy";
constexpr std::string_view ReasonGrowth = "demand";
constexpr std::string_view ReasonUnheld = "held-nowhere";

/// One planning round. It works on copies of the engines' state.
class PlanningRound {
public:
  PlanningRound(const PlanInput &Input, const PlannerSettings &Settings)
      : Input(Input), Settings(Settings), StoreLoads(Input.StoreLoads),
        MaxLoads(maxConcurrentLoads(Input.Kind, Settings)) {
    for (const auto &[Id, Model] : Input.Kind.Models) {
      ModelState &New = this->Models[Id];
      New.Model = &Model;
      New.Demand = Input.Demand.demandOf(Input.Service, {Id, {}}, Input.Now);
      if (Model.Adapters > 0)
        this->LargestAdapterMb =
            std::max(this->LargestAdapterMb, Model.AdapterMb);
    }
    for (const EngineView &Each : Input.Engines)
      if (Each.Service == Input.Service) {
        this->Engines.push_back(Each);
        this->count(Each);
      }
  }

  std::vector<PlannedOrder> run() {
    this->placeAwaitedModels();
    this->placeAwaitedAdapters();
    if (this->Input.Slowness.empty())
      this->growModels();
    else
      this->growInProportion();
    this->placeUnheldModels();
    this->growAdapters();
    return std::move(this->Orders);
  }

private:
  struct ModelState {
    const catalog::Model *Model = nullptr;
    residency::Demand Demand;
    /// Copies on usable engines, held or being loaded.
    unsigned Copies = 0;
    double workPerCopy() const {
      return this->Demand.Work / std::max(1U, this->Copies);
    }
  };

  /// Counts the copies that the engine holds or is loading, and its unload in
  /// progress.
  void count(const EngineView &View) {
    this->PendingModelUnloads += View.Usable && View.FreesMemory ? 1 : 0;
    auto Copy = [this, &View](const base::ModelId &Id) {
      auto Found = this->Models.find(Id);
      if (View.Usable && Found != this->Models.end())
        ++Found->second.Copies;
    };
    for (const auto &[Id, Held] : View.Models) {
      Copy(Id);
      for (const base::AdapterId &Each : Held.Adapters)
        this->AdapterCopies[{Id, Each}] += View.Usable ? 1 : 0;
    }
    for (const Item &Each : View.Loading) {
      auto Held = View.Models.find(Each.Model);
      bool ModelHeld = Held != View.Models.end();
      if (!Each.isAdapter()) {
        ++this->LoadsInProgress;
        if (!ModelHeld)
          Copy(Each.Model);
      } else if (!ModelHeld || Held->second.Adapters.count(Each.Adapter) == 0) {
        this->AdapterCopies[Each] += View.Usable ? 1 : 0;
      }
    }
  }

  std::vector<ModelState *> byWork() {
    std::vector<ModelState *> Order;
    for (auto &[Id, Each] : this->Models)
      Order.push_back(&Each);
    std::stable_sort(Order.begin(), Order.end(),
                     [](const ModelState *Left, const ModelState *Right) {
                       return Left->workPerCopy() > Right->workPerCopy();
                     });
    return Order;
  }

  double freeMb(const EngineView &View) const {
    return this->Input.Kind.WeightsMb - View.ReservedMb;
  }

  /// Free memory for models, excluding what free adapter slots may need.
  double freeMbForModels(const EngineView &View) const {
    unsigned Slots = this->Input.Kind.AdapterSlots;
    unsigned FreeSlots = Slots - std::min(Slots, View.ReservedAdapters);
    return this->freeMb(View) - FreeSlots * this->LargestAdapterMb;
  }

  bool isCached(const EngineView &View, const catalog::Model &Model) const {
    return View.CachedWeights.count(Model.Id) != 0;
  }

  /// Whether the engine could load the model if it had enough free memory.
  bool mayLoad(const EngineView &View, const catalog::Model &Model) const {
    if (!View.AcceptsModelOrder || View.Reserved.count({Model.Id, {}}) != 0)
      return false;
    return this->isCached(View, Model) || this->StoreLoads > 0;
  }

  void addOrder(EngineView &At, OrderKind Kind, const Item &What,
                std::string_view Reason) {
    bool FromStore = false;
    if (!What.isAdapter() && Kind == OrderKind::Load) {
      FromStore = At.CachedWeights.count(What.Model) == 0;
      this->StoreLoads -= FromStore ? 1 : 0;
      ++this->LoadsInProgress;
      ++this->Models[What.Model].Copies;
    }
    if (What.isAdapter() && Kind == OrderKind::Load)
      ++this->AdapterCopies[What];
    At.AcceptsModelOrder = false;
    At.AcceptsAdapterOrder = false;
    this->Orders.push_back({At.Target, Kind, What, Reason, FromStore});
  }

  /// The preferred engine with enough free memory for the model.
  EngineView *findEngineFor(const catalog::Model &Model) {
    EngineView *Best = nullptr;
    for (EngineView &Each : this->Engines) {
      if (!this->mayLoad(Each, Model) ||
          this->freeMbForModels(Each) < Model.WeightsMb)
        continue;
      if (Best == nullptr || this->isBetterFor(Model, Each, *Best))
        Best = &Each;
    }
    return Best;
  }

  double slowness(const EngineView &View) const {
    auto Found = this->Input.Slowness.find(View.Target);
    return Found == this->Input.Slowness.end() ? 1 : Found->second;
  }

  /// Work per second that an engine of usual speed carries.
  double capacity() const {
    return workPerEngine(this->Input.Kind, this->Settings);
  }

  /// The work of an engine, with \p Added to it, relative to what it carries.
  double utilization(const EngineView &View, double Added = 0) const {
    return (this->workAt(View) + Added) * this->slowness(View) /
           this->capacity();
  }

  /// The work of the engines that hold the model once its copies are loaded, if
  /// its demand goes on rising meanwhile, relative to what they carry together.
  /// Fast engines take more of it.
  double utilizationOf(const ModelState &State) const {
    double Work = 0;
    double Carried = 0;
    for (const EngineView &Each : this->Engines)
      if (Each.Usable && Each.Models.count(State.Model->Id) != 0) {
        Work += this->workAt(Each);
        Carried += this->capacity() / this->slowness(Each);
      }
    double Rising =
        State.Demand.Work > 0
            ? std::clamp(State.Demand.Trend / State.Demand.Work, 0.0, 1.0)
            : 0;
    // No copy is loaded yet: the ones on their way will carry it all.
    if (Carried <= 0)
      return State.workPerCopy() / this->capacity() * (1 + Rising);
    return Work / Carried * (1 + Rising);
  }

  /// Adds as many copies of each model as its demand needs, the busiest first,
  /// as far as loads may start and engines have or can free memory.
  void growInProportion() {
    for (ModelState *Each : this->byWork()) {
      // Copies of a model with little work would not relieve its engines.
      constexpr double LeastShare = 0.2;
      bool Busy = Each->workPerCopy() >
                  LeastShare * this->Settings.GrowAboveShare * this->capacity();
      bool MayBeLost = Each->Copies == 1 &&
                       Each->Demand.Work > this->Settings.SecondCopyAbove;
      if (Each->Copies == 0 || !(Busy || MayBeLost))
        continue;
      this->addCopies(*Each);
      this->replaceForCopies(*Each);
    }
  }

  void addCopies(ModelState &State) {
    while (this->mayStartLoad()) {
      bool SecondCopy = State.Copies == 1 &&
                        State.Demand.Work > this->Settings.SecondCopyAbove;
      double Share = this->utilizationOf(State);
      if (!SecondCopy && Share < this->Settings.GrowAboveShare)
        return;
      EngineView *Engine = this->findEngineFor(*State.Model);
      if (Engine == nullptr)
        return;
      this->addOrder(*Engine, OrderKind::Load, {State.Model->Id, {}},
                     SecondCopy ? ReasonSecondCopy : ReasonGrowth);
    }
  }

  /// Unloads other models for the copies that are still missing. Unloads in
  /// progress count as ordered for the models that come first here.
  void replaceForCopies(const ModelState &State) {
    double Share = this->utilizationOf(State);
    if (Share <= this->Settings.ReplaceAboveShare)
      return;
    auto Missing = static_cast<unsigned>(std::ceil(
        State.Copies * (Share / this->Settings.ReplaceAboveShare - 1)));
    unsigned Room =
        this->MaxLoads - std::min(this->MaxLoads, this->LoadsInProgress);
    Missing = std::min(Missing, Room);
    unsigned Pending = std::min(Missing, this->PendingModelUnloads);
    this->PendingModelUnloads -= Pending;
    // unloadModelFor() would take those of other models for this one's.
    unsigned KeptPending = std::exchange(this->PendingModelUnloads, 0U);
    for (; Missing > Pending; --Missing)
      if (!this->unloadModelFor(*State.Model, State.workPerCopy(), true,
                                ReasonGrowth))
        break;
    this->PendingModelUnloads = KeptPending;
  }

  bool isBetterFor(const catalog::Model &Model, const EngineView &Left,
                   const EngineView &Right) const {
    bool LeftCached = this->isCached(Left, Model);
    bool RightCached = this->isCached(Right, Model);
    if (LeftCached != RightCached)
      return LeftCached;
    double Added = this->Models.at(Model.Id).workPerCopy();
    return this->utilization(Left, Added) < this->utilization(Right, Added);
  }

  /// Work per second of an engine if each model's work is spread evenly over
  /// its copies.
  double workAt(const EngineView &View) const {
    double Work = 0;
    for (const auto &[Id, Held] : View.Models)
      if (auto Found = this->Models.find(Id); Found != this->Models.end())
        Work += Found->second.workPerCopy();
    return Work;
  }

  /// Frees memory for a model by unloading the model whose loss costs least.
  /// \p MayTakeLastCopy allows the last copy of a model without recent
  /// requests.
  bool unloadModelFor(const catalog::Model &For, double GainPerCopy,
                      bool MayTakeLastCopy, std::string_view Reason) {
    // Unloads in progress were ordered for the models that come first here.
    if (this->PendingModelUnloads > 0) {
      --this->PendingModelUnloads;
      return false;
    }
    EngineView *Where = nullptr;
    base::ModelId Victim;
    double Least = 0;
    for (EngineView &Each : this->Engines) {
      if (!this->mayLoad(Each, For))
        continue;
      for (const auto &[Id, Held] : Each.Models) {
        auto Found = this->Models.find(Id);
        double Loss = Found == this->Models.end()
                          ? 0
                          : this->evictionLoss(Found->second, MayTakeLastCopy);
        double Freed =
            Found == this->Models.end() ? 0 : Found->second.Model->WeightsMb;
        if (Loss > GainPerCopy * this->Settings.VictimWorkFraction ||
            this->freeMbForModels(Each) + Freed < For.WeightsMb)
          continue;
        Loss -= this->isCached(Each, For) ? CachedPreference : 0;
        if (Where == nullptr || Loss < Least) {
          Where = &Each;
          Victim = Id;
          Least = Loss;
        }
      }
    }
    if (Where == nullptr)
      return false;
    if (auto Found = this->Models.find(Victim); Found != this->Models.end())
      --Found->second.Copies;
    this->addOrder(*Where, OrderKind::Unload, {Victim, {}}, Reason);
    return true;
  }

  /// Work per copy that the remaining copies would have; NotEvictable if the
  /// copy must stay.
  double evictionLoss(const ModelState &State, bool MayTakeLastCopy) const {
    constexpr double NotEvictable = 1e9;
    if (State.Demand.Waiting > 0 && State.Copies <= 1)
      return NotEvictable;
    if (State.Copies <= 1)
      return MayTakeLastCopy && !State.Demand.Recent ? LastCopyLoss
                                                     : NotEvictable;
    return State.Demand.EvictionWork / (State.Copies - 1);
  }

  bool mayStartLoad() const { return this->LoadsInProgress < this->MaxLoads; }

  void placeAwaitedModels() {
    for (ModelState *Each : this->byWork()) {
      if (Each->Copies > 0 ||
          (Each->Demand.Waiting == 0 && !Each->Demand.Recent))
        continue;
      if (EngineView *Engine = this->findEngineFor(*Each->Model))
        this->addOrder(*Engine, OrderKind::Load, {Each->Model->Id, {}},
                       ReasonAwaited);
      else
        this->unloadModelFor(*Each->Model, AwaitedGain, true, ReasonAwaited);
    }
  }

  void growModels() {
    for (ModelState *Each : this->byWork()) {
      if (!this->mayStartLoad() || Each->Copies == 0)
        continue;
      bool SecondCopy = Each->Copies == 1 &&
                        Each->Demand.Work > this->Settings.SecondCopyAbove;
      double Work = Each->workPerCopy();
      if (!SecondCopy && Work < this->Settings.GrowAbove)
        continue;
      std::string_view Reason = SecondCopy ? ReasonSecondCopy : ReasonGrowth;
      if (EngineView *Engine = this->findEngineFor(*Each->Model))
        this->addOrder(*Engine, OrderKind::Load, {Each->Model->Id, {}}, Reason);
      else if (Work > this->Settings.ReplaceAbove)
        this->unloadModelFor(*Each->Model, Work, true, Reason);
    }
  }

  void placeUnheldModels() {
    for (ModelState *Each : this->byWork()) {
      if (Each->Copies > 0 || !this->mayStartLoad())
        continue;
      if (EngineView *Engine = this->findEngineFor(*Each->Model))
        this->addOrder(*Engine, OrderKind::Load, {Each->Model->Id, {}},
                       ReasonUnheld);
    }
  }

  residency::Demand adapterDemand(const Item &What) const {
    return this->Input.Demand.demandOf(this->Input.Service, What,
                                       this->Input.Now);
  }

  unsigned adapterCopies(const Item &What) const {
    auto Found = this->AdapterCopies.find(What);
    return Found == this->AdapterCopies.end() ? 0 : Found->second;
  }

  /// Loads the adapter on an engine that holds its model. If all slots are
  /// taken and \p MayEvict, unloads an adapter that is needed less.
  void placeAdapter(const Item &What, double Work, bool MayEvict,
                    std::string_view Reason) {
    EngineView *Best = nullptr;
    std::optional<Item> BestVictim;
    double Least = 0;
    for (EngineView &Each : this->Engines) {
      if (!Each.AcceptsAdapterOrder || Each.Models.count(What.Model) == 0 ||
          this->Models.count(What.Model) == 0 ||
          Each.Reserved.count(What) != 0 ||
          this->freeMb(Each) < this->Models[What.Model].Model->AdapterMb)
        continue;
      std::optional<Item> Victim;
      double Cost = this->workAt(Each);
      if (Each.ReservedAdapters >= this->Input.Kind.AdapterSlots) {
        auto [Found, Loss] = this->cheapestAdapterToEvict(Each);
        if (!MayEvict || !Found || Loss >= Work)
          continue;
        Victim = Found;
        Cost += EvictionCost + Loss;
      }
      if (Best == nullptr || Cost < Least) {
        Best = &Each;
        BestVictim = Victim;
        Least = Cost;
      }
    }
    if (Best == nullptr)
      return;
    if (BestVictim)
      this->addOrder(*Best, OrderKind::Unload, *BestVictim, Reason);
    else
      this->addOrder(*Best, OrderKind::Load, What, Reason);
  }

  std::pair<std::optional<Item>, double>
  cheapestAdapterToEvict(const EngineView &At) const {
    std::optional<Item> Least;
    double LeastLoss = 0;
    for (const auto &[Model, Held] : At.Models) {
      for (const base::AdapterId &Adapter : Held.Adapters) {
        Item What{Model, Adapter};
        residency::Demand AdapterDemand = this->adapterDemand(What);
        double Loss =
            AdapterDemand.Work / std::max(1U, this->adapterCopies(What));
        // The unload of an adapter in use waits for its requests to finish, and
        // the engine accepts no other order until then.
        Loss += AdapterDemand.InUse    ? InUseLoss
                : AdapterDemand.Recent ? RecentAdapterLoss
                                       : 0;
        if (!Least || Loss < LeastLoss) {
          Least = What;
          LeastLoss = Loss;
        }
      }
    }
    return {Least, LeastLoss};
  }

  void placeAwaitedAdapters() {
    for (const Item &Each : this->Input.Demand.recentAdapters(
             this->Input.Service, this->Input.Now))
      if (this->adapterDemand(Each).Waiting > 0 &&
          this->adapterCopies(Each) == 0)
        this->placeAdapter(Each, AwaitedGain, true, ReasonAwaited);
  }

  void growAdapters() {
    for (const Item &Each : this->Input.Demand.recentAdapters(
             this->Input.Service, this->Input.Now)) {
      auto Model = this->Models.find(Each.Model);
      if (Model == this->Models.end() || Model->second.Demand.Work <= 0)
        continue;
      residency::Demand AdapterDemand = this->adapterDemand(Each);
      double Share = AdapterDemand.Work / Model->second.Demand.Work;
      double Wanted = std::ceil(Share * Model->second.Copies *
                                this->Settings.AdapterCopiesFactor);
      auto Copies = this->adapterCopies(Each);
      if (Copies >= std::min<double>(Wanted, Model->second.Copies))
        continue;
      this->placeAdapter(Each, AdapterDemand.Work, false, ReasonGrowth);
    }
  }

  /// Gain from an item that callers wait for: exceeds every loss except
  /// NotEvictable.
  static constexpr double AwaitedGain = 1e6;
  /// Loss for the last copy of a model without recent requests.
  static constexpr double LastCopyLoss = 0.05;
  /// Makes a load from an engine's own disk preferred when losses are similar.
  static constexpr double CachedPreference = 0.05;
  static constexpr double EvictionCost = 0.05;
  static constexpr double RecentAdapterLoss = 0.001;
  static constexpr double InUseLoss = 1;

  const PlanInput &Input;
  const PlannerSettings &Settings;
  unsigned StoreLoads;
  unsigned MaxLoads;
  unsigned LoadsInProgress = 0;
  /// Engines on which a model is being unloaded.
  unsigned PendingModelUnloads = 0;
  double LargestAdapterMb = 0;
  std::vector<EngineView> Engines;
  std::map<base::ModelId, ModelState> Models;
  /// Copies on usable engines, held or being loaded.
  std::map<Item, unsigned> AdapterCopies;
  std::vector<PlannedOrder> Orders;
};

} // namespace

unsigned maxConcurrentLoads(const catalog::Engine &Kind,
                            const PlannerSettings &Settings) {
  if (Kind.Models.empty())
    return Settings.MinConcurrentLoads;
  std::chrono::duration<double> TotalLoadTime{0};
  for (const auto &[Id, Each] : Kind.Models)
    TotalLoadTime += Each.StoreLoad;
  double Mean = TotalLoadTime.count() / static_cast<double>(Kind.Models.size());
  return std::max(
      Settings.MinConcurrentLoads,
      static_cast<unsigned>(std::ceil(Mean * Kind.StoreLoadsPerSecond)));
}

double workPerEngine(const catalog::Engine &Kind,
                     const PlannerSettings &Settings) {
  return Settings.WorkPerSlot * std::max(1U, Kind.BatchSlots);
}

std::vector<PlannedOrder> planOrders(const PlanInput &Input,
                                     const PlannerSettings &Settings) {
  return PlanningRound(Input, Settings).run();
}

} // namespace kingcuphub::residency
