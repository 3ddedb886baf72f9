#include "residency/planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace kingcuphub::residency {

namespace {

constexpr std::string_view ReasonWaited = "callers-wait";
constexpr std::string_view ReasonSpare = "single-copy";
constexpr std::string_view ReasonGrowth = "demand";
constexpr std::string_view ReasonUnheld = "held-nowhere";

/// One decision over copies of the engines' state.
class Round {
public:
  Round(const PlanInput &Input, const PlannerSettings &Settings)
      : Input(Input), Settings(Settings), StoreLoads(Input.StoreLoads),
        MostLoads(loadsAtOnce(Input.Kind, Settings)) {
    for (const auto &[Id, Model] : Input.Kind.Models) {
      ModelState &New = this->Models[Id];
      New.Model = &Model;
      New.Demand = Input.Demand.of(Input.Service, {Id, {}}, Input.Now);
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

  std::vector<Move> run() {
    this->placeWaitedModels();
    this->placeWaitedAdapters();
    this->growModels();
    this->placeUnheldModels();
    this->growAdapters();
    return std::move(this->Moves);
  }

private:
  struct ModelState {
    const catalog::Model *Model = nullptr;
    residency::Demand Demand;
    /// On usable engines, held or on its way.
    unsigned Copies = 0;
    double workPerCopy() const {
      return this->Demand.Work / std::max(1U, this->Copies);
    }
  };

  /// Counts the copies that the engine has or is about to have.
  void count(const EngineView &Of) {
    this->RoomsComing += Of.Usable && Of.FreesMemory ? 1 : 0;
    auto Copy = [this, &Of](const base::ModelId &Id) {
      auto Found = this->Models.find(Id);
      if (Of.Usable && Found != this->Models.end())
        ++Found->second.Copies;
    };
    for (const auto &[Id, Held] : Of.Models) {
      Copy(Id);
      for (const base::AdapterId &Each : Held.Adapters)
        this->AdapterCopies[{Id, Each}] += Of.Usable ? 1 : 0;
    }
    for (const Item &Each : Of.Loading) {
      auto Held = Of.Models.find(Each.Model);
      bool ModelHeld = Held != Of.Models.end();
      if (!Each.isAdapter()) {
        ++this->LoadsUnderWay;
        if (!ModelHeld)
          Copy(Each.Model);
      } else if (!ModelHeld || Held->second.Adapters.count(Each.Adapter) == 0) {
        this->AdapterCopies[Each] += Of.Usable ? 1 : 0;
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

  double freeMb(const EngineView &Of) const {
    return this->Input.Kind.WeightsMb - Of.TakenMb;
  }

  /// Memory for models: adapters keep what their places may take.
  double roomForModels(const EngineView &Of) const {
    unsigned Places = this->Input.Kind.AdapterSlots;
    unsigned Left = Places - std::min(Places, Of.TakenAdapters);
    return this->freeMb(Of) - Left * this->LargestAdapterMb;
  }

  bool isCached(const EngineView &Of, const catalog::Model &Model) const {
    return Of.CachedWeights.count(Model.Id) != 0;
  }

  /// Whether the engine could be given the model if it had the room.
  bool mayLoad(const EngineView &Of, const catalog::Model &Model) const {
    if (!Of.TakesModelOrder || Of.Claimed.count({Model.Id, {}}) != 0)
      return false;
    return this->isCached(Of, Model) || this->StoreLoads > 0;
  }

  void commit(EngineView &At, OrderKind Kind, const Item &What,
              std::string_view Reason) {
    bool FromStore = false;
    if (!What.isAdapter() && Kind == OrderKind::Load) {
      FromStore = At.CachedWeights.count(What.Model) == 0;
      this->StoreLoads -= FromStore ? 1 : 0;
      ++this->LoadsUnderWay;
      ++this->Models[What.Model].Copies;
    }
    if (What.isAdapter() && Kind == OrderKind::Load)
      ++this->AdapterCopies[What];
    At.TakesModelOrder = false;
    At.TakesAdapterOrder = false;
    this->Moves.push_back({At.Target, Kind, What, Reason, FromStore});
  }

  /// The engine with room for the model that gets it soonest.
  EngineView *findRoom(const catalog::Model &Model) {
    EngineView *Best = nullptr;
    for (EngineView &Each : this->Engines) {
      if (!this->mayLoad(Each, Model) ||
          this->roomForModels(Each) < Model.WeightsMb)
        continue;
      if (Best == nullptr || this->betterFor(Model, Each, *Best))
        Best = &Each;
    }
    return Best;
  }

  bool betterFor(const catalog::Model &Model, const EngineView &Left,
                 const EngineView &Right) const {
    bool LeftCached = this->isCached(Left, Model);
    bool RightCached = this->isCached(Right, Model);
    if (LeftCached != RightCached)
      return LeftCached;
    return this->workAt(Left) < this->workAt(Right);
  }

  /// Work per second that flows to an engine if each model's is spread evenly.
  double workAt(const EngineView &Of) const {
    double Work = 0;
    for (const auto &[Id, Held] : Of.Models)
      if (auto Found = this->Models.find(Id); Found != this->Models.end())
        Work += Found->second.workPerCopy();
    return Work;
  }

  /// Makes room for a model by unloading what is missed least. \p LastToo:
  /// also the last copy of a model that nobody asks for.
  bool makeRoom(const catalog::Model &For, double GainPerCopy, bool LastToo,
                std::string_view Reason) {
    // An unload that is under way was ordered for what is first in need.
    if (this->RoomsComing > 0) {
      --this->RoomsComing;
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
                          : this->lossOf(Found->second, LastToo);
        double Freed =
            Found == this->Models.end() ? 0 : Found->second.Model->WeightsMb;
        if (Loss > GainPerCopy * this->Settings.VictimBelow ||
            this->roomForModels(Each) + Freed < For.WeightsMb)
          continue;
        Loss -= this->isCached(Each, For) ? CachedBonus : 0;
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
    this->commit(*Where, OrderKind::Unload, {Victim, {}}, Reason);
    return true;
  }

  /// Work per copy that the remaining copies would have; infinite if the copy
  /// may not go.
  double lossOf(const ModelState &Of, bool LastToo) const {
    constexpr double Never = 1e9;
    if (Of.Demand.Waiting > 0 && Of.Copies <= 1)
      return Never;
    if (Of.Copies <= 1)
      return LastToo && !Of.Demand.Recent ? LastCopyLoss : Never;
    return Of.Demand.HeldWork / (Of.Copies - 1);
  }

  bool loadsLeft() const { return this->LoadsUnderWay < this->MostLoads; }

  void placeWaitedModels() {
    for (ModelState *Each : this->byWork()) {
      if (Each->Copies > 0 ||
          (Each->Demand.Waiting == 0 && !Each->Demand.Recent))
        continue;
      if (EngineView *Room = this->findRoom(*Each->Model))
        this->commit(*Room, OrderKind::Load, {Each->Model->Id, {}},
                     ReasonWaited);
      else
        this->makeRoom(*Each->Model, Urgent, true, ReasonWaited);
    }
  }

  void growModels() {
    for (ModelState *Each : this->byWork()) {
      if (!this->loadsLeft() || Each->Copies == 0)
        continue;
      bool Spare =
          Each->Copies == 1 && Each->Demand.Work > this->Settings.SpareAbove;
      double Work = Each->workPerCopy();
      if (!Spare && Work < this->Settings.GrowAbove)
        continue;
      std::string_view Reason = Spare ? ReasonSpare : ReasonGrowth;
      if (EngineView *Room = this->findRoom(*Each->Model))
        this->commit(*Room, OrderKind::Load, {Each->Model->Id, {}}, Reason);
      else if (Work > this->Settings.ReplaceAbove)
        this->makeRoom(*Each->Model, Work, true, Reason);
    }
  }

  void placeUnheldModels() {
    for (ModelState *Each : this->byWork()) {
      if (Each->Copies > 0 || !this->loadsLeft())
        continue;
      if (EngineView *Room = this->findRoom(*Each->Model))
        this->commit(*Room, OrderKind::Load, {Each->Model->Id, {}},
                     ReasonUnheld);
    }
  }

  residency::Demand adapterDemand(const Item &What) const {
    return this->Input.Demand.of(this->Input.Service, What, this->Input.Now);
  }

  unsigned adapterCopies(const Item &What) const {
    auto Found = this->AdapterCopies.find(What);
    return Found == this->AdapterCopies.end() ? 0 : Found->second;
  }

  /// Loads the adapter where its model is, in place of one that is missed less
  /// if there is no place left.
  void placeAdapter(const Item &What, double Work, bool MayEvict,
                    std::string_view Reason) {
    EngineView *Best = nullptr;
    std::optional<Item> BestVictim;
    double Least = 0;
    for (EngineView &Each : this->Engines) {
      if (!Each.TakesAdapterOrder || Each.Models.count(What.Model) == 0 ||
          this->Models.count(What.Model) == 0 ||
          Each.Claimed.count(What) != 0 ||
          this->freeMb(Each) < this->Models[What.Model].Model->AdapterMb)
        continue;
      std::optional<Item> Victim;
      double Cost = this->workAt(Each);
      if (Each.TakenAdapters >= this->Input.Kind.AdapterSlots) {
        auto [Found, Loss] = this->leastMissedAdapter(Each);
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
      this->commit(*Best, OrderKind::Unload, *BestVictim, Reason);
    else
      this->commit(*Best, OrderKind::Load, What, Reason);
  }

  std::pair<std::optional<Item>, double>
  leastMissedAdapter(const EngineView &At) const {
    std::optional<Item> Least;
    double LeastLoss = 0;
    for (const auto &[Model, Held] : At.Models) {
      for (const base::AdapterId &Adapter : Held.Adapters) {
        Item What{Model, Adapter};
        residency::Demand Asked = this->adapterDemand(What);
        double Loss = Asked.Work / std::max(1U, this->adapterCopies(What));
        // The unload of one that is in use waits for its requests, and the
        // engine takes no other order meanwhile.
        Loss += Asked.InUse ? InUseLoss : Asked.Recent ? RecentAdapterLoss : 0;
        if (!Least || Loss < LeastLoss) {
          Least = What;
          LeastLoss = Loss;
        }
      }
    }
    return {Least, LeastLoss};
  }

  void placeWaitedAdapters() {
    for (const Item &Each : this->Input.Demand.recentAdapters(
             this->Input.Service, this->Input.Now))
      if (this->adapterDemand(Each).Waiting > 0 &&
          this->adapterCopies(Each) == 0)
        this->placeAdapter(Each, Urgent, true, ReasonWaited);
  }

  void growAdapters() {
    for (const Item &Each : this->Input.Demand.recentAdapters(
             this->Input.Service, this->Input.Now)) {
      auto Model = this->Models.find(Each.Model);
      if (Model == this->Models.end() || Model->second.Demand.Work <= 0)
        continue;
      residency::Demand Asked = this->adapterDemand(Each);
      double Part = Asked.Work / Model->second.Demand.Work;
      double Wanted =
          std::ceil(Part * Model->second.Copies * this->Settings.AdapterSpread);
      auto Copies = this->adapterCopies(Each);
      if (Copies >= std::min<double>(Wanted, Model->second.Copies))
        continue;
      this->placeAdapter(Each, Asked.Work, false, ReasonGrowth);
    }
  }

  /// Above every loss but that of a copy that may not go.
  static constexpr double Urgent = 1e6;
  /// What the last copy of a model is worth that nobody asks for.
  static constexpr double LastCopyLoss = 0.05;
  /// A load from an engine's own disk is preferred at like losses.
  static constexpr double CachedBonus = 0.05;
  static constexpr double EvictionCost = 0.05;
  static constexpr double RecentAdapterLoss = 0.001;
  static constexpr double InUseLoss = 1;

  const PlanInput &Input;
  const PlannerSettings &Settings;
  unsigned StoreLoads;
  unsigned MostLoads;
  unsigned LoadsUnderWay = 0;
  /// Engines on which memory for a model is about to be free.
  unsigned RoomsComing = 0;
  double LargestAdapterMb = 0;
  std::vector<EngineView> Engines;
  std::map<base::ModelId, ModelState> Models;
  /// On usable engines, held or on their way.
  std::map<Item, unsigned> AdapterCopies;
  std::vector<Move> Moves;
};

} // namespace

unsigned loadsAtOnce(const catalog::Engine &Kind,
                     const PlannerSettings &Settings) {
  if (Kind.Models.empty())
    return Settings.LeastLoadsAtOnce;
  std::chrono::duration<double> Whole{0};
  for (const auto &[Id, Each] : Kind.Models)
    Whole += Each.StoreLoad;
  double Mean = Whole.count() / static_cast<double>(Kind.Models.size());
  return std::max(
      Settings.LeastLoadsAtOnce,
      static_cast<unsigned>(std::ceil(Mean * Kind.StoreLoadsPerSecond)));
}

std::vector<Move> planMoves(const PlanInput &Input,
                            const PlannerSettings &Settings) {
  return Round(Input, Settings).run();
}

} // namespace kingcuphub::residency
