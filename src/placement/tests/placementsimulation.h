#ifndef KINGCUPHUB_PLACEMENT_TESTS_PLACEMENTSIMULATION_H
#define KINGCUPHUB_PLACEMENT_TESTS_PLACEMENTSIMULATION_H

/// \file
/// A deterministic simulation around Controllers for fuzzing: a log, engines
/// that honour or ignore fencing, and a network that loses, delays and
/// duplicates messages. The engines' actual memory is the test oracle. A run is
/// determined by its seed and steps.

#include "placement/controller.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kingcuphub::placement::test {

/// A simulated engine with its actual state.
struct Engine {
  base::TargetId Id;
  base::ZoneId Zone;
  bool Fencing = true;
  std::vector<base::Bytes> Sizes;
  std::uint64_t Incarnation = 1;
  bool Reachable = true;
  std::vector<std::map<Item, base::Bytes>> Items;
  /// The first answer to each order, which repeated copies get again.
  std::map<OrderId, OrderAnswer> Answers;
  std::uint64_t NewestFencing = 0;
  std::uint64_t Sequence = 0;
  /// Reports with the time of their content, the newest last.
  std::deque<std::pair<base::TimePoint, MemoryReport>> History;
};

/// A simulated instance.
struct Instance {
  base::InstanceId Id;
  std::uint64_t Incarnation = 0;
  std::unique_ptr<Controller> Placement;
  std::size_t NextRecord = 0;
  base::TimePoint PausedUntil;
  /// Rate of its clock against simulated time.
  double ClockRate = 1;
  base::TimePoint PolledAt;
};

struct SimulationSettings {
  unsigned Instances = 3;
  unsigned Zones = 3;
  unsigned EnginesPerZone = 2;
  unsigned AcceleratorsPerEngine = 1;
  unsigned Models = 5;
  base::Bytes AcceleratorSize{80};
  base::Bytes ModelSize{20};
  base::Bytes AdapterSize{2};
  ControllerSettings Controller;
  /// The greatest age of a report's content.
  std::chrono::milliseconds ReportLag{1500};
};

class PlacementSimulation {
public:
  PlacementSimulation(SimulationSettings Settings, std::uint64_t Seed);

  void run(std::chrono::milliseconds Time);

  // Faults, and changes by operators.
  void pause(std::size_t Index, std::chrono::milliseconds Time);
  void restartInstance(std::size_t Index);
  void restartEngine(std::size_t Index);
  void setReachable(std::size_t Index, bool Reachable);
  void stopLog(std::chrono::milliseconds Time);
  void stopStore(std::chrono::milliseconds Time);
  void setZoneOut(std::size_t Index, bool Out);
  void changeVersion(std::size_t Model);
  void setDemand(std::size_t Model, double TokensPerSecond);
  void usePreset(state::Preset Preset);
  void setLossyNetwork(bool LossyNetwork) { this->LossyNetwork = LossyNetwork; }
  /// Ends all faults except what operators have set, such as a zone that is
  /// out.
  void clearFaults();

  /// Violations of the rules that were seen; empty if there were none.
  const std::vector<std::string> &violations() const {
    return this->Violations;
  }
  /// Models that no reachable engine in a zone in service holds.
  std::vector<std::string> unreachable() const;
  /// Models in fewer than two zones.
  std::vector<std::string> inFewerThanTwoZones() const;
  std::string describe() const;

  std::size_t engines() const { return this->Engines.size(); }
  std::size_t instances() const { return this->Instances.size(); }
  const Engine &engine(std::size_t Index) const { return this->Engines[Index]; }
  Instance &instance(std::size_t Index) { return this->Instances[Index]; }
  const state::Config &config() const { return *this->Config; }
  std::size_t executed() const { return this->Executed; }
  std::size_t refused() const { return this->Refused; }

private:
  struct Event {
    base::TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Run;
  };

  base::TimePoint clockOf(const Instance &Current) const;
  void step();
  void runInstance(Instance &Current);
  void read(Instance &Current);
  void poll(Instance &Current);
  void handleCommand(std::size_t Index, ControllerCommand Command);
  void append(wire::Record Record);
  void send(std::size_t Index, const SendOrder &Sent);
  void deliver(std::size_t Index, std::uint64_t InstanceIncarnation,
               const SendOrder &Sent,
               std::optional<std::uint64_t> EngineIncarnation);
  std::optional<OrderAnswer> execute(Engine &Host, const SendOrder &Sent);
  void checkMemory(const Engine &Host, const SendOrder &Sent);
  void checkHolders();
  void checkUnload(const Engine &Host, const Order &What);
  bool isReachable(const base::ModelId &Model) const;
  void snapshot(Engine &Current);
  void publish();
  void schedule(base::TimePoint When, std::function<void()> Run);
  std::chrono::milliseconds random(std::int64_t Least, std::int64_t Most);
  bool withProbability(double Probability);

  SimulationSettings Settings;
  std::mt19937_64 Random;
  base::TimePoint Now{std::chrono::hours(1)};
  std::shared_ptr<state::Config> Config;
  std::vector<Engine> Engines;
  std::vector<Instance> Instances;
  std::vector<wire::Record> Log;
  std::vector<Event> Events;
  std::uint64_t NextEvent = 0;
  std::vector<double> Demand;
  base::TimePoint LogUnavailableUntil;
  base::TimePoint StoreUnavailableUntil;
  /// When an engine last restarted, or the reachability of an engine or the set
  /// of zones that are out last changed.
  base::TimePoint LastLoss;
  bool LossyNetwork = true;
  std::vector<std::string> Violations;
  std::size_t Executed = 0;
  std::size_t Refused = 0;
};

} // namespace kingcuphub::placement::test

#endif // KINGCUPHUB_PLACEMENT_TESTS_PLACEMENTSIMULATION_H
